/// @file response_check.c
/// Checks responses. The stand-ins derive each body from the request alone, so
/// the expected body is known.

#include "response_check.h"

#include <string.h>

#define STATUS_OK 200

/// @return the text that the stand-in engine generates: the adapter's name and
///         one numbered word per token.
static char *
expected_text(const struct inflight_request *inflight)
{
    GString *text = g_string_new(inflight->adapter);
    for (int i = 0; i < inflight->tokens; i++) {
        g_string_append_printf(text, " w%d", i);
    }
    return g_string_free(text, FALSE);
}

static const char *
completion_text(const json_t *answer)
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
matches_request(const json_t *answer, const struct inflight_request *inflight)
{
    const char *id = json_string_value(json_object_get(answer, "id"));
    const char *model = json_string_value(json_object_get(answer, "model"));
    return id != NULL && strcmp(id, inflight->result.id) == 0 &&
           model != NULL && strcmp(model, inflight->adapter) == 0;
}

static void
check_completion(struct inflight_request *inflight)
{
    json_t *answer =
        json_loadb(inflight->body->str, inflight->body->len, 0, NULL);
    char *expected = expected_text(inflight);
    const char *text = completion_text(answer);
    inflight->result.wrong |= !matches_request(answer, inflight) ||
                              text == NULL || strcmp(text, expected) != 0;
    g_free(expected);
    json_decref(answer);
}

static void
check_stream(struct inflight_request *inflight)
{
    GString *text = g_string_new(NULL);
    bool done = false;
    char **lines = g_strsplit(inflight->body->str, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        if (!g_str_has_prefix(*line, "data: ")) {
            continue;
        }
        const char *data = *line + strlen("data: ");
        if (strcmp(data, "[DONE]") == 0) {
            done = true;
            continue;
        }
        json_t *chunk = json_loads(data, 0, NULL);
        const char *chunk_text = completion_text(chunk);
        inflight->result.wrong |=
            chunk_text == NULL || !matches_request(chunk, inflight);
        g_string_append(text, chunk_text != NULL ? chunk_text : "");
        json_decref(chunk);
    }
    g_strfreev(lines);
    char *expected = expected_text(inflight);
    inflight->result.wrong |= strcmp(text->str, expected) != 0;
    // The HTTP message ended normally, so the caller can't detect the missing
    // end of the stream.
    inflight->result.wrong |= !done;
    g_free(expected);
    g_string_free(text, TRUE);
}

void
Response_Check(struct inflight_request *inflight)
{
    struct result *result = &inflight->result;
    if (result->status != STATUS_OK) {
        return;
    }
    switch (inflight->request.kind) {
    case TRACE_COMPLETION:
        check_completion(inflight);
        return;
    case TRACE_STREAM:
        check_stream(inflight);
        return;
    case TRACE_LOOKUP:
    case TRACE_LEDGER:
        g_strlcpy(result->ledger_body, inflight->body->str,
                  sizeof(result->ledger_body));
        result->wrong |= strstr(inflight->body->str, "\"target\"") == NULL;
        return;
    }
}
