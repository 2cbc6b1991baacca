/// @file explain.c
/// The `explain` command: reads the logs and prints the timeline of one
/// request, or a summary of all failures.

#include "explain.h"

#include <stdio.h>
#include <stdlib.h>

#include "commands.h"
#include "config/settings.h"
#include "explain/timeline.h"

#define READ_BLOCK_BYTES 65536

static void
add_stdin(struct cm_timeline *timeline)
{
    GString *text = g_string_new(NULL);
    char block[READ_BLOCK_BYTES];
    size_t size;
    while ((size = fread(block, 1, sizeof(block), stdin)) > 0) {
        g_string_append_len(text, block, (gssize)size);
    }
    CmTimeline_AddLog(timeline, text->str, text->len);
    g_string_free(text, TRUE);
}

/// Reads the files, or standard input if there are none.
/// @return whether all files could be read; if not, an error is printed.
static bool
add_files(struct cm_timeline *timeline, char *const *paths, size_t n)
{
    if (n == 0) {
        add_stdin(timeline);
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
        CmTimeline_AddLog(timeline, text, size);
        g_free(text);
    }
    return true;
}

int
Explain_PrintTimeline(const char *request, char *const *paths, size_t n)
{
    struct cm_timeline timeline;
    CmTimeline_Init(&timeline);
    int code = CM_EXIT_UNKNOWN;
    if (add_files(&timeline, paths, n)) {
        GString *out = g_string_new(NULL);
        code = EXIT_SUCCESS;
        if (request == NULL) {
            CmTimeline_AppendSummary(&timeline, out);
        }
        else if (!CmTimeline_AppendRequest(&timeline, request, out)) {
            fprintf(stderr, "coriandermoor: no log line of request %s\n",
                    request);
            code = CM_EXIT_REJECTED;
        }
        fputs(out->str, stdout);
        g_string_free(out, TRUE);
    }
    CmTimeline_Finish(&timeline);
    return code;
}
