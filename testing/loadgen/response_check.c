/// @file response_check.c
/// Checks of answers: each is a function of its request.

#include "response_check.h"

#include <string.h>

#define STATUS_OK 200

/// The text that the adapter answers: its name and numbered words.
static char *
expected_text(const struct sending *sending)
{
    GString *text = g_string_new(sending->adapter);
    for (int i = 0; i < sending->tokens; i++) {
        g_string_append_printf(text, " w%d", i);
    }
    return g_string_free(text, FALSE);
}

static const char *
text_of(const json_t *answer)
{
    const json_t *choice =
        json_array_get(json_object_get(answer, "choices"), 0);
    const char *text = json_string_value(json_object_get(choice, "text"));
    if (text == NULL) {
        text = json_string_value(
            json_object_get(json_object_get(choice, "delta"), "content"));
    }
    return text;
}

static bool
is_own(const json_t *answer, const struct sending *sending)
{
    const char *id = json_string_value(json_object_get(answer, "id"));
    const char *model = json_string_value(json_object_get(answer, "model"));
    return id != NULL && strcmp(id, sending->result.id) == 0 &&
           model != NULL && strcmp(model, sending->adapter) == 0;
}

static void
check_completion(struct sending *sending)
{
    json_t *answer =
        json_loadb(sending->body->str, sending->body->len, 0, NULL);
    char *expected = expected_text(sending);
    const char *text = text_of(answer);
    sending->result.wrong |= !is_own(answer, sending) || text == NULL ||
                             strcmp(text, expected) != 0;
    g_free(expected);
    json_decref(answer);
}

static void
check_stream(struct sending *sending)
{
    GString *text = g_string_new(NULL);
    bool done = false;
    char **lines = g_strsplit(sending->body->str, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        if (!g_str_has_prefix(*line, "data: ")) {
            continue;
        }
        const char *data = *line + strlen("data: ");
        if (strcmp(data, "[DONE]") == 0) {
            done = true;
            continue;
        }
        json_t *piece = json_loads(data, 0, NULL);
        const char *part = text_of(piece);
        sending->result.wrong |= part == NULL || !is_own(piece, sending);
        g_string_append(text, part != NULL ? part : "");
        json_decref(piece);
    }
    g_strfreev(lines);
    char *expected = expected_text(sending);
    sending->result.wrong |= strcmp(text->str, expected) != 0;
    // Ended properly, yet not whole: worse than a connection that broke.
    sending->result.wrong |= !done;
    g_free(expected);
    g_string_free(text, TRUE);
}

void
Answer_Check(struct sending *sending)
{
    struct result *result = &sending->result;
    if (result->status != STATUS_OK) {
        return;
    }
    switch (sending->request.kind) {
    case TRACE_COMPLETION:
        check_completion(sending);
        return;
    case TRACE_STREAM:
        check_stream(sending);
        return;
    case TRACE_LOOKUP:
    case TRACE_LEDGER:
        g_strlcpy(result->run, sending->body->str, sizeof(result->run));
        result->wrong |= strstr(sending->body->str, "\"target\"") == NULL;
        return;
    }
}
