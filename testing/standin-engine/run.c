/// @file run.c
/// Prefill and token generation of one request, and the delivery of its
/// response.

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
/// Factor by which a cached prefix shortens the prefill.
#define CACHED_PREFILL_SPEEDUP 4
/// Share of cache events that is lost, as happens on real engines.
#define EVENT_LOSS_RATE 0.2

/// Looks up the start of a prompt in the prefix cache, adds it if missing and
/// records a cache event.
/// @return whether it was cached.
static bool
check_and_cache_prefix(struct engine *engine, const char *text)
{
    size_t size = strlen(text);
    size = size < ENGINE_PREFIX_BYTES ? size : ENGINE_PREFIX_BYTES;
    uint64_t hash = CmHash_Bytes(text, size, 0);
    for (size_t i = 0; i < ENGINE_PREFIXES_MAX; i++) {
        if (engine->prefix_hashes[i] == hash) {
            return true;
        }
    }
    engine->prefix_hashes[engine->next_prefix_slot] = hash;
    engine->next_prefix_slot =
        (engine->next_prefix_slot + 1) % ENGINE_PREFIXES_MAX;
    engine->last_event_number++;
    if (g_rand_double(engine->shared->random) > EVENT_LOSS_RATE) {
        g_queue_push_tail(
            &engine->events,
            g_strdup_printf("{\"event\":%" G_GUINT64_FORMAT
                            ",\"stored\":\"%016" G_GINT64_MODIFIER "x\"}",
                            engine->last_event_number, hash));
    }
    return false;
}

/// @return number of decode steps that the prefill of `prompt` takes.
static int
prefill_steps(struct engine *engine, const char *prompt)
{
    size_t tokens = strlen(prompt) / BYTES_PER_TOKEN;
    if (check_and_cache_prefix(engine, prompt)) {
        tokens /= CACHED_PREFILL_SPEEDUP;
    }
    return 1 + (int)(tokens / PREFILL_TOKENS_PER_STEP);
}

/// @return the prompt as text, or all chat messages as JSON, to be freed, or
/// NULL if the body has none.
static char *
extract_prompt(const json_t *body, bool chat)
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

/// @return the value of a request header, or NULL.
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
    char *prompt = extract_prompt(body, chat);
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
                                           g_rand_int(engine->shared->random));
    run->adapter = g_strdup(model);
    const char *priority = header(request, "X-Priority");
    run->priority = priority != NULL ? atoi(priority) : 0;
    run->max_tokens =
        (int)Standin_JsonNumber(body, "max_tokens", DEFAULT_MAX_TOKENS);
    run->chat = chat;
    run->stream = json_is_true(json_object_get(body, "stream"));
    run->resumable = header(request, "X-Resumable") != NULL;
    run->prefill_steps = prefill_steps(engine, prompt);
    run->response = g_string_new(NULL);
    g_free(prompt);
    return run;
}

void
Run_Free(struct engine_run *run)
{
    g_free(run->id);
    g_free(run->adapter);
    g_string_free(run->response, TRUE);
    g_free(run);
}

/// @param finish_reason NULL in all chunks but the last one.
/// @param chunk         part of a stream instead of the full response.
/// @return a response object in the format of the OpenAI API.
static json_t *
make_response(const struct engine_run *run, const char *text,
              const char *finish_reason, bool chunk)
{
    json_t *choice = json_object();
    json_object_set_new(choice, "index", json_integer(0));
    if (run->chat) {
        json_object_set_new(
            choice, chunk ? "delta" : "message",
            json_pack("{s:s,s:s}", "role", "assistant", "content", text));
    }
    else {
        json_object_set_new(choice, "text", json_string(text));
    }
    json_object_set_new(choice, "finish_reason",
                        finish_reason != NULL ? json_string(finish_reason)
                                              : json_null());
    const char *kind =
        run->chat ? (chunk ? "chat.completion.chunk" : "chat.completion")
                  : "text_completion";
    return json_pack("{s:s,s:s,s:s,s:[o]}", "id", run->id, "object", kind,
                     "model", run->adapter, "choices", choice);
}

/// Appends a server-sent event to the response.
static void
append_stream_event(struct engine_run *run, const char *text,
                    const char *finish_reason)
{
    json_t *chunk = make_response(run, text, finish_reason, true);
    char *dump = json_dumps(chunk, JSON_COMPACT);
    g_string_append_printf(run->response, "data: %s\n\n", dump);
    free(dump);
    json_decref(chunk);
}

/// Appends the response of a run that is not streamed.
static void
append_full_response(struct engine_run *run)
{
    GString *text = g_string_new(run->adapter);
    for (int i = 0; i < run->max_tokens; i++) {
        g_string_append_printf(text, " w%d", i);
    }
    json_t *whole = make_response(run, text->str, "length", false);
    json_object_set_new(
        whole, "usage",
        json_pack("{s:i}", "completion_tokens", run->max_tokens));
    char *dump = json_dumps(whole, JSON_COMPACT);
    g_string_append(run->response, dump);
    free(dump);
    json_decref(whole);
    g_string_free(text, TRUE);
}

void
Run_DecodeStep(struct engine_run *run)
{
    if (run->finished) {
        return; // cancelled by its client
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
        append_stream_event(run, text, run->finished ? "length" : NULL);
        if (run->finished) {
            g_string_append(run->response, "data: [DONE]\n\n");
        }
    }
    else if (run->finished) {
        append_full_response(run);
    }
}

static void
send_full_response(struct engine_run *run)
{
    struct evhttp_request *request = run->request;
    run->request = NULL;
    CmHttp_UnwatchClose(request);
    evhttp_add_header(evhttp_request_get_output_headers(request), "X-Adapter",
                      run->adapter);
    CmHttp_ReplyText(request, HTTP_OK, "application/json",
                     run->response->str + run->sent_size);
    run->sent_size = run->response->len;
}

static void
end_stream(struct engine_run *run)
{
    struct evhttp_request *request = run->request;
    run->request = NULL;
    CmHttp_UnwatchClose(request);
    evhttp_send_reply_end(request);
}

void
Run_SendPending(struct engine_run *run)
{
    if (run->request == NULL || run->silent) {
        return;
    }
    if (!run->stream) {
        if (run->finished) {
            send_full_response(run);
        }
        return;
    }
    if (run->sent_size < run->response->len) {
        struct evbuffer *chunk = evbuffer_new();
        evbuffer_add(chunk, run->response->str + run->sent_size,
                     run->response->len - run->sent_size);
        run->sent_size = run->response->len;
        evhttp_send_reply_chunk(run->request, chunk);
        evbuffer_free(chunk);
    }
    if (run->finished && run->request != NULL) {
        end_stream(run);
    }
}

void
Run_AttachClient(struct engine_run *run, struct evhttp_request *request,
                 size_t offset)
{
    if (run->request != NULL) {
        CmHttp_CloseWithoutReply(run->request);
    }
    run->request = request;
    run->silent = false;
    run->sent_size = offset < run->response->len ? offset : run->response->len;
}
