/// @file run.c
/// One generation request in an engine.

#include "run.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "http/server.h"

#define DEFAULT_MAX_TOKENS 16
#define PREFILL_TOKENS_PER_STEP 512
#define BYTES_PER_TOKEN 4

/// @return whether the prompt's start is cached; caches it.
static bool
touch_prefix(struct engine *engine, const char *text)
{
    size_t size = strlen(text);
    size = size < ENGINE_PREFIX_BYTES ? size : ENGINE_PREFIX_BYTES;
    uint64_t hash = CmHash_Bytes(text, size, 0);
    for (size_t i = 0; i < ENGINE_PREFIX_MAX; i++) {
        if (engine->prefixes[i] == hash) {
            return true;
        }
    }
    engine->prefixes[engine->next_prefix] = hash;
    engine->next_prefix = (engine->next_prefix + 1) % ENGINE_PREFIX_MAX;
    // A fifth of the events is lost, as on real engines.
    engine->event_number++;
    if (g_rand_double(engine->fleet->random) > 0.2) {
        g_queue_push_tail(
            &engine->events,
            g_strdup_printf("{\"event\":%" G_GUINT64_FORMAT
                            ",\"stored\":\"%016" G_GINT64_MODIFIER "x\"}",
                            engine->event_number, hash));
    }
    return false;
}

static int
prefill_steps(struct engine *engine, const char *prompt)
{
    size_t tokens = strlen(prompt) / BYTES_PER_TOKEN;
    if (touch_prefix(engine, prompt)) {
        tokens /= 4;
    }
    return 1 + (int)(tokens / PREFILL_TOKENS_PER_STEP);
}

/// @return the text of the prompt or of all chat messages; to be freed.
static char *
prompt_text(const json_t *body, bool chat)
{
    const json_t *prompt = json_object_get(body, chat ? "messages" : "prompt");
    if (prompt == NULL) {
        return NULL;
    }
    if (json_is_string(prompt)) {
        return g_strdup(json_string_value(prompt));
    }
    char *dump = json_dumps(prompt, JSON_COMPACT | JSON_ENCODE_ANY);
    char *text = g_strdup(dump);
    free(dump);
    return text;
}

static const char *
header(struct evhttp_request *request, const char *name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(request), name);
}

struct engine_run *
Run_New(struct engine *engine, struct evhttp_request *request, json_t *body,
        bool chat)
{
    const char *model = json_string_value(json_object_get(body, "model"));
    char *prompt = prompt_text(body, chat);
    if (model == NULL || prompt == NULL) {
        g_free(prompt);
        return NULL;
    }
    struct engine_run *run = g_new0(struct engine_run, 1);
    run->engine = engine;
    run->request = request;
    const char *id = header(request, "X-Request-Id");
    run->id = id != NULL ? g_strdup(id)
                         : g_strdup_printf("anonymous-%u",
                                           g_rand_int(engine->fleet->random));
    run->adapter = g_strdup(model);
    const char *priority = header(request, "X-Priority");
    run->priority = priority != NULL ? atoi(priority) : 0;
    run->max_tokens =
        (int)Standin_JsonNumber(body, "max_tokens", DEFAULT_MAX_TOKENS);
    run->chat = chat;
    run->stream = json_is_true(json_object_get(body, "stream"));
    run->resumable = header(request, "X-Resumable") != NULL;
    run->prefill_steps = prefill_steps(engine, prompt);
    run->output = g_string_new(NULL);
    g_free(prompt);
    return run;
}

void
Run_Free(struct engine_run *run)
{
    g_free(run->id);
    g_free(run->adapter);
    g_string_free(run->output, TRUE);
    g_free(run);
}

static json_t *
answer(const struct engine_run *run, const char *text, const char *finish,
       bool piece)
{
    json_t *choice = json_object();
    json_object_set_new(choice, "index", json_integer(0));
    if (run->chat) {
        json_object_set_new(
            choice, piece ? "delta" : "message",
            json_pack("{s:s,s:s}", "role", "assistant", "content", text));
    }
    else {
        json_object_set_new(choice, "text", json_string(text));
    }
    json_object_set_new(choice, "finish_reason",
                        finish != NULL ? json_string(finish) : json_null());
    const char *kind =
        run->chat ? (piece ? "chat.completion.chunk" : "chat.completion")
                  : "text_completion";
    return json_pack("{s:s,s:s,s:s,s:[o]}", "id", run->id, "object", kind,
                     "model", run->adapter, "choices", choice);
}

static void
append_event(struct engine_run *run, const char *text, const char *finish)
{
    json_t *piece = answer(run, text, finish, true);
    char *dump = json_dumps(piece, JSON_COMPACT);
    g_string_append_printf(run->output, "data: %s\n\n", dump);
    free(dump);
    json_decref(piece);
}

static void
append_whole(struct engine_run *run)
{
    GString *text = g_string_new(run->adapter);
    for (int i = 0; i < run->max_tokens; i++) {
        g_string_append_printf(text, " w%d", i);
    }
    json_t *whole = answer(run, text->str, "length", false);
    json_object_set_new(
        whole, "usage",
        json_pack("{s:i}", "completion_tokens", run->max_tokens));
    char *dump = json_dumps(whole, JSON_COMPACT);
    g_string_append(run->output, dump);
    free(dump);
    json_decref(whole);
    g_string_free(text, TRUE);
}

void
Run_Step(struct engine_run *run)
{
    if (run->finished) {
        return; // cancelled
    }
    if (run->prefill_steps > 0) {
        run->prefill_steps--;
        return;
    }
    run->tokens++;
    run->finished = run->tokens >= run->max_tokens;
    if (run->stream) {
        char text[128];
        g_snprintf(text, sizeof(text), "%s w%d",
                   run->tokens == 1 ? run->adapter : "", run->tokens - 1);
        append_event(run, text, run->finished ? "length" : NULL);
        if (run->finished) {
            g_string_append(run->output, "data: [DONE]\n\n");
        }
    }
    else if (run->finished) {
        append_whole(run);
    }
}

static void
send_whole(struct engine_run *run)
{
    struct evhttp_request *request = run->request;
    run->request = NULL;
    CmHttp_UnwatchClose(request);
    evhttp_add_header(evhttp_request_get_output_headers(request), "X-Adapter",
                      run->adapter);
    CmHttp_ReplyText(request, HTTP_OK, "application/json",
                     run->output->str + run->sent);
    run->sent = run->output->len;
}

static void
send_stream_end(struct engine_run *run)
{
    struct evhttp_request *request = run->request;
    run->request = NULL;
    CmHttp_UnwatchClose(request);
    evhttp_send_reply_end(request);
}

void
Run_Flush(struct engine_run *run)
{
    if (run->request == NULL || run->silent) {
        return;
    }
    if (!run->stream) {
        if (run->finished) {
            send_whole(run);
        }
        return;
    }
    if (run->sent < run->output->len) {
        struct evbuffer *chunk = evbuffer_new();
        evbuffer_add(chunk, run->output->str + run->sent,
                     run->output->len - run->sent);
        run->sent = run->output->len;
        evhttp_send_reply_chunk(run->request, chunk);
        evbuffer_free(chunk);
    }
    if (run->finished && run->request != NULL) {
        send_stream_end(run);
    }
}

void
Run_Attach(struct engine_run *run, struct evhttp_request *request,
           size_t offset)
{
    if (run->request != NULL) {
        CmHttp_CloseWithoutReply(run->request);
    }
    run->request = request;
    run->silent = false;
    run->sent = offset < run->output->len ? offset : run->output->len;
}
