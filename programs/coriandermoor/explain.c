/// @file explain.c
/// `coriandermoor explain`: what the logs say of one request, or of all
/// failures.

#include "explain.h"

#include <stdio.h>
#include <stdlib.h>

#include "commands.h"
#include "config/settings.h"
#include "explain/timeline.h"

#define BLOCK_BYTES 65536

static void
add_standard_input(struct cm_timeline *story)
{
    GString *text = g_string_new(NULL);
    char block[BLOCK_BYTES];
    size_t size;
    while ((size = fread(block, 1, sizeof(block), stdin)) > 0) {
        g_string_append_len(text, block, (gssize)size);
    }
    CmTimeline_AddLog(story, text->str, text->len);
    g_string_free(text, TRUE);
}

/// @return whether all files could be read.
static bool
add_files(struct cm_timeline *story, char *const *paths, size_t n)
{
    if (n == 0) {
        add_standard_input(story);
    }
    for (size_t i = 0; i < n; i++) {
        size_t size;
        GError *error = NULL;
        char *text = CmSettings_LoadFile(paths[i], &size, &error);
        if (text == NULL) {
            fprintf(stderr, "coriandermoor: %s\n", error->message);
            g_clear_error(&error);
            return false;
        }
        CmTimeline_AddLog(story, text, size);
        g_free(text);
    }
    return true;
}

int
Explain_Run(const char *request, char *const *paths, size_t n)
{
    struct cm_timeline story;
    CmTimeline_Init(&story);
    int code = CM_EXIT_UNSURE;
    if (add_files(&story, paths, n)) {
        GString *out = g_string_new(NULL);
        code = EXIT_SUCCESS;
        if (request == NULL) {
            CmTimeline_AppendSummary(&story, out);
        }
        else if (!CmTimeline_AppendRequest(&story, request, out)) {
            fprintf(stderr, "coriandermoor: no line of request %s\n", request);
            code = CM_EXIT_REFUSED;
        }
        fputs(out->str, stdout);
        g_string_free(out, TRUE);
    }
    CmTimeline_Finish(&story);
    return code;
}
