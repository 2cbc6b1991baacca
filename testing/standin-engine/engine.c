/// @file engine.c
/// Continuous batching, simulated crashes and the HTTP interface of one
/// engine: the OpenAI API with vLLM's calls that load and unload adapters.

#include "engine.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "adapters.h"
#include "base/clock.h"
#include "http/server.h"
#include "run.h"

/// Time for which an engine is down after a crash.
#define RESTART_MS 1000
/// Delay between a request that triggers a crash and the crash.
#define CRASH_DELAY_MS 5
/// Resumable runs kept after their end, so that clients can still read them.
#define COMPLETED_RUNS_MAX 256
#define US_PER_MS 1000.0

/// @return number of runs in the batch, or in the queue if not `running`.
static int
count_runs(const struct engine *engine, bool running)
{
    int count = 0;
    const struct engine_run *run;
    if (running) {
        CmTailq_FOREACH (run, &engine->running, link) {
            count++;
        }
    }
    else {
        CmTailq_FOREACH (run, &engine->waiting, link) {
            count++;
        }
    }
    return count;
}

/// Adds the start of a run to the execution log that `GET /executions`
/// returns.
static void
record_start(const struct engine_run *run)
{
    const char *at = strrchr(run->adapter, '@');
    char *name = at != NULL
                     ? g_strndup(run->adapter, (gsize)(at - run->adapter))
                     : g_strdup(run->adapter);
    const char *version = at != NULL ? at + 1 : "";
    const char *key = NULL;
    if (run->request != NULL) {
        key = evhttp_find_header(
            evhttp_request_get_input_headers(run->request), "Idempotency-Key");
    }
    StandinLog_Append(&run->engine->shared->execution_log,
                      json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "id", run->id,
                                "key", key != NULL ? key : "", "service",
                                "engines", "adapter", name, "version", version,
                                "target", run->engine->name));
    g_free(name);
}

/// Starts the timer of the next decode step unless it runs or the batch is
/// empty. A step takes longer the more requests are in the batch.
static void
schedule_decode_step(struct engine *engine)
{
    if (TAILQ_EMPTY(&engine->running) ||
        event_pending(engine->decode_timer, EV_TIMEOUT, NULL)) {
        return;
    }
    const struct shared_state *shared = engine->shared;
    double ms = shared->step_ms +
                shared->step_request_ms * count_runs(engine, true) +
                engine->faults.token_delay_ms;
    struct timeval tv = {.tv_sec = (long)(ms / CM_MS_PER_S)};
    tv.tv_usec = (long)((ms - (double)tv.tv_sec * CM_MS_PER_S) * US_PER_MS);
    event_add(engine->decode_timer, &tv);
}

/// Moves runs from the queue into the batch until it is full.
static void
fill_batch(struct engine *engine)
{
    int room = engine->shared->capacity - count_runs(engine, true);
    struct engine_run *run;
    while (room > 0 && (run = TAILQ_FIRST(&engine->waiting)) != NULL) {
        TAILQ_REMOVE(&engine->waiting, run, link);
        TAILQ_INSERT_TAIL(&engine->running, run, link);
        if (!run->finished) {
            record_start(run);
        }
        room--;
    }
    schedule_decode_step(engine);
}

/// Counts a run as no longer using its adapter.
static void
release_adapter(struct engine_run *run)
{
    struct engine_adapter *adapter = Adapters_Find(run->engine, run->adapter);
    if (adapter != NULL && adapter->users > 0) {
        adapter->users--;
    }
}

/// Frees a run and closes its client connection, if any.
static void
discard_run(struct engine_run *run)
{
    struct engine *engine = run->engine;
    if (run->request != NULL) {
        CmHttp_CloseWithoutReply(run->request);
    }
    if (g_hash_table_lookup(engine->streams, run->id) == run) {
        g_hash_table_remove(engine->streams, run->id);
    }
    Run_Free(run);
}

/// Removes a run from the batch. A resumable run stays readable until
/// COMPLETED_RUNS_MAX later ones have completed; any other run is discarded.
static void
complete_run(struct engine_run *run)
{
    struct engine *engine = run->engine;
    TAILQ_REMOVE(&engine->running, run, link);
    release_adapter(run);
    if (!run->resumable) {
        discard_run(run);
        return;
    }
    TAILQ_INSERT_TAIL(&engine->completed, run, link);
    if (++engine->n_completed > COMPLETED_RUNS_MAX) {
        struct engine_run *oldest = TAILQ_FIRST(&engine->completed);
        TAILQ_REMOVE(&engine->completed, oldest, link);
        engine->n_completed--;
        discard_run(oldest);
    }
}

/// Advances each run in the batch by one decode step.
static void
run_decode_step(evutil_socket_t fd, short what, void *context)
{
    struct engine *engine = context;
    engine->decode_steps++;
    engine->batch_size_sum += count_runs(engine, true);
    struct engine_run *run;
    struct engine_run *next;
    CmTailq_FOREACH_SAFE (run, &engine->running, link, next) {
        Run_DecodeStep(run);
        Run_SendPending(run);
        if (run->finished) {
            complete_run(run);
        }
    }
    fill_batch(engine);
}

/// Handles a closed client connection. A resumable run continues without a
/// client; any other run is cancelled.
static void
detach_or_cancel_run(struct evhttp_connection *connection, void *context)
{
    struct engine_run *run = context;
    struct engine *engine = run->engine;
    CmHttp_FreeDetached(run->request);
    run->request = NULL;
    if (run->resumable || run->finished) {
        return;
    }
    struct engine_run *other;
    CmTailq_FOREACH (other, &engine->waiting, link) {
        if (other == run) {
            TAILQ_REMOVE(&engine->waiting, run, link);
            release_adapter(run);
            discard_run(run);
            return;
        }
    }
    run->finished = true; // removed from the batch by the next decode step
}

/// Queues a run behind all runs of the same or a more urgent priority.
static void
insert_waiting(struct engine *engine, struct engine_run *run)
{
    struct engine_run *other;
    CmTailq_FOREACH (other, &engine->waiting, link) {
        if (other->priority > run->priority) {
            TAILQ_INSERT_BEFORE(other, run, link);
            return;
        }
    }
    TAILQ_INSERT_TAIL(&engine->waiting, run, link);
}

/// Simulates a crash: closes all connections and loses all runs, adapters and
/// cached prefixes. The engine restarts empty after RESTART_MS.
static void
crash(struct engine *engine)
{
    engine->down = true;
    Adapters_AbortLoads(engine);
    struct engine_run *run;
    TAILQ_CONCAT(&engine->running, &engine->waiting, link);
    TAILQ_CONCAT(&engine->running, &engine->completed, link);
    engine->n_completed = 0;
    while ((run = TAILQ_FIRST(&engine->running)) != NULL) {
        TAILQ_REMOVE(&engine->running, run, link);
        if (run->request != NULL) {
            CmHttp_CloseWithoutReply(run->request);
        }
        Run_Free(run);
    }
    g_hash_table_remove_all(engine->streams);
    g_hash_table_remove_all(engine->adapters);
    memset(engine->prefix_hashes, 0, sizeof(engine->prefix_hashes));
    struct timeval tv = CmTime_Timeval(RESTART_MS);
    event_add(engine->restart_timer, &tv);
}

static void
finish_restart(evutil_socket_t fd, short what, void *context)
{
    struct engine *engine = context;
    engine->down = false;
    engine->last_fence = 0;
}

/// @return whether the request body contains `text`.
static bool
body_contains(struct evhttp_request *request, const char *text)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(input);
    return size > 0 && g_strstr_len((const char *)evbuffer_pullup(input, -1),
                                    (gssize)size, text) != NULL;
}

static void
crash_after_delay(evutil_socket_t fd, short what, void *context)
{
    crash(context);
}

/// Handles POST /v1/completions and POST /v1/chat/completions.
static void
handle_completion(struct engine *engine, struct evhttp_request *request,
                  bool chat)
{
    json_t *body = CmHttp_JsonBody(request);
    struct engine_run *run =
        body != NULL ? Run_New(engine, request, body, chat) : NULL;
    json_decref(body);
    if (run == NULL) {
        CmHttp_ReplyError(request, 400, "invalid_request_error",
                          "the body has no model or no prompt");
        return;
    }
    struct engine_adapter *adapter = Adapters_Find(engine, run->adapter);
    if (adapter == NULL) {
        Run_Free(run);
        CmHttp_ReplyError(request, 404, "model_not_found",
                          "the adapter is not loaded");
        return;
    }
    adapter->users++;
    CmHttp_WatchClose(request, detach_or_cancel_run, run);
    if (run->stream) {
        struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Content-Type", "text/event-stream");
        evhttp_add_header(headers, "X-Adapter", run->adapter);
        evhttp_send_reply_start(request, HTTP_OK, NULL);
    }
    g_hash_table_replace(engine->streams, run->id, run);
    insert_waiting(engine, run);
    fill_batch(engine);
    if (engine->faults.crash_on != NULL &&
        body_contains(request, engine->faults.crash_on)) {
        struct timeval delay = CmTime_Timeval(CRASH_DELAY_MS);
        event_base_once(engine->shared->base, -1, EV_TIMEOUT,
                        crash_after_delay, engine, &delay);
    }
}

/// Handles GET /v1/streams/ID?offset=N: attaches the client to a resumable
/// run and sends the output from byte N on.
static void
handle_resume(struct engine *engine, struct evhttp_request *request,
              const char *id)
{
    struct engine_run *run = g_hash_table_lookup(engine->streams, id);
    if (run == NULL) {
        CmHttp_ReplyError(request, 404, "not_found", "no run has this id");
        return;
    }
    char *offset = CmHttp_QueryParameter(request, "offset");
    Run_AttachClient(run, request,
                     offset != NULL ? strtoull(offset, NULL, 10) : 0);
    g_free(offset);
    CmHttp_WatchClose(request, detach_or_cancel_run, run);
    if (run->stream) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "X-Adapter", run->adapter);
        evhttp_send_reply_start(request, HTTP_OK, NULL);
    }
    Run_SendPending(run);
}

/// Ends a run before its response is complete and releases its adapter.
static void
cancel_run(struct engine *engine, struct engine_run *run)
{
    struct engine_run *other;
    CmTailq_FOREACH (other, &engine->waiting, link) {
        if (other == run) {
            TAILQ_REMOVE(&engine->waiting, run, link);
            TAILQ_INSERT_TAIL(&engine->running, run, link);
            break;
        }
    }
    if (!run->finished) {
        run->finished = true;
        complete_run(run);
    }
}

/// Handles POST /v1/cancel.
static void
handle_cancel(struct engine *engine, struct evhttp_request *request)
{
    json_t *body = CmHttp_JsonBody(request);
    const char *id = json_string_value(json_object_get(body, "id"));
    struct engine_run *run =
        id != NULL ? g_hash_table_lookup(engine->streams, id) : NULL;
    if (run != NULL) {
        cancel_run(engine, run);
    }
    json_decref(body);
    CmHttp_ReplyJson(request, HTTP_OK,
                     json_pack("{s:b}", "cancelled", run != NULL));
}

/// Handles GET /v1/models: lists the adapters in slots.
static void
list_models(struct engine *engine, struct evhttp_request *request)
{
    json_t *data = json_array();
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, engine->adapters);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        json_array_append_new(
            data, json_pack("{s:s,s:s}", "id", name, "object", "model"));
    }
    CmHttp_ReplyJson(request, HTTP_OK, json_pack("{s:o}", "data", data));
}

/// Handles GET /load with the last sampled load report.
static void
reply_load(struct engine *engine, struct evhttp_request *request)
{
    const struct engine_load_report *report = &engine->report;
    CmHttp_ReplyJson(request, HTTP_OK,
                     json_pack("{s:i,s:i,s:i,s:i,s:i,s:s}", "running",
                               report->running, "waiting", report->waiting,
                               "loading", report->loading, "capacity",
                               engine->shared->capacity, "slots",
                               engine->shared->slots, "role", engine->role));
}

/// Handles GET /events: returns the cache events since the last call.
static void
reply_cache_events(struct engine *engine, struct evhttp_request *request)
{
    GString *lines = g_string_new(NULL);
    char *line;
    while ((line = g_queue_pop_head(&engine->events)) != NULL) {
        g_string_append_printf(lines, "%s\n", line);
        g_free(line);
    }
    CmHttp_ReplyText(request, HTTP_OK, "application/x-ndjson", lines->str);
    g_string_free(lines, TRUE);
}

/// Handles /v1/role.
static void
set_role(struct engine *engine, struct evhttp_request *request)
{
    json_t *body = CmHttp_JsonBody(request);
    const char *role = json_string_value(json_object_get(body, "role"));
    if (role != NULL) {
        g_free(engine->role);
        engine->role = g_strdup(role);
    }
    json_decref(body);
    CmHttp_ReplyJson(request, HTTP_OK,
                     json_pack("{s:s}", "role", engine->role));
}

/// Handles /v1/kv/export and /v1/kv/import. Prefix hashes stand for the KV
/// cache, of which this engine keeps nothing else.
static void
handle_kv_transfer(struct engine *engine, struct evhttp_request *request,
                   bool importing)
{
    json_t *body = CmHttp_JsonBody(request);
    if (importing && json_is_string(json_object_get(body, "prefix"))) {
        const char *text = json_string_value(json_object_get(body, "prefix"));
        engine->prefix_hashes[engine->next_prefix_slot] =
            strtoull(text, NULL, 16);
        engine->next_prefix_slot =
            (engine->next_prefix_slot + 1) % ENGINE_PREFIXES_MAX;
    }
    json_decref(body);
    json_t *exported = json_array();
    for (size_t i = 0; i < ENGINE_PREFIXES_MAX && !importing; i++) {
        if (engine->prefix_hashes[i] != 0) {
            char text[32];
            g_snprintf(text, sizeof(text), "%016" PRIx64,
                       engine->prefix_hashes[i]);
            json_array_append_new(exported, json_string(text));
        }
    }
    CmHttp_ReplyJson(request, HTTP_OK,
                     json_pack("{s:o}", "prefixes", exported));
}

static void
handle_request(struct evhttp_request *request, void *context)
{
    struct engine *engine = context;
    if (engine->down) {
        CmHttp_CloseWithoutReply(request);
        return;
    }
    const char *path = CmHttp_Path(request);
    if (strcmp(path, "/v1/completions") == 0) {
        handle_completion(engine, request, false);
    }
    else if (strcmp(path, "/v1/chat/completions") == 0) {
        handle_completion(engine, request, true);
    }
    else if (strcmp(path, "/v1/load_lora_adapter") == 0) {
        Adapters_Load(engine, request);
    }
    else if (strcmp(path, "/v1/unload_lora_adapter") == 0) {
        Adapters_Unload(engine, request);
    }
    else if (strcmp(path, "/v1/models") == 0) {
        list_models(engine, request);
    }
    else if (strcmp(path, "/load") == 0) {
        reply_load(engine, request);
    }
    else if (strcmp(path, "/events") == 0) {
        reply_cache_events(engine, request);
    }
    else if (strcmp(path, "/v1/cancel") == 0) {
        handle_cancel(engine, request);
    }
    else if (strcmp(path, "/v1/role") == 0) {
        set_role(engine, request);
    }
    else if (strcmp(path, "/v1/kv/export") == 0) {
        handle_kv_transfer(engine, request, false);
    }
    else if (strcmp(path, "/v1/kv/import") == 0) {
        handle_kv_transfer(engine, request, true);
    }
    else if (g_str_has_prefix(path, "/v1/streams/")) {
        handle_resume(engine, request, path + strlen("/v1/streams/"));
    }
    else if (strcmp(path, "/health") == 0) {
        CmHttp_ReplyText(request, HTTP_OK, "text/plain", "ok");
    }
    else {
        CmHttp_ReplyError(request, 404, "not_found", "no such path");
    }
}

/// Samples the load report, so that `GET /load` answers with a lag.
static void
update_load_report(evutil_socket_t fd, short what, void *context)
{
    struct engine *engine = context;
    engine->report.running = count_runs(engine, true);
    engine->report.waiting = count_runs(engine, false);
    engine->report.loading = LIST_EMPTY(&engine->loads) ? 0 : 1;
}

void
Engine_Init(struct engine *engine, struct shared_state *shared,
            const char *name, int port)
{
    memset(engine, 0, sizeof(*engine));
    engine->shared = shared;
    g_strlcpy(engine->name, name, sizeof(engine->name));
    TAILQ_INIT(&engine->running);
    TAILQ_INIT(&engine->waiting);
    TAILQ_INIT(&engine->completed);
    LIST_INIT(&engine->loads);
    engine->adapters =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, Adapters_Free);
    engine->streams = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&engine->events);
    engine->role = g_strdup("mixed");
    engine->decode_timer = evtimer_new(shared->base, run_decode_step, engine);
    engine->restart_timer = evtimer_new(shared->base, finish_restart, engine);
    engine->report_timer =
        event_new(shared->base, -1, EV_PERSIST, update_load_report, engine);
    struct timeval lag = CmTime_Timeval(shared->report_lag_ms);
    event_add(engine->report_timer, &lag);
    engine->server =
        Standin_Listen(shared->base, port, handle_request, engine);
}

void
Engine_Finish(struct engine *engine)
{
    crash(engine);
    evhttp_free(engine->server);
    event_free(engine->decode_timer);
    event_free(engine->restart_timer);
    event_free(engine->report_timer);
    g_hash_table_destroy(engine->adapters);
    g_hash_table_destroy(engine->streams);
    g_queue_clear_full(&engine->events, g_free);
    g_free(engine->role);
    g_free(engine->faults.crash_on);
}

void
Engine_SetFaults(struct engine *engine, const json_t *body)
{
    struct engine_faults *faults = &engine->faults;
    const json_t *crash_on = json_object_get(body, "crash_on");
    if (crash_on != NULL) {
        g_free(faults->crash_on);
        const char *text = json_string_value(crash_on);
        faults->crash_on =
            text != NULL && *text != '\0' ? g_strdup(text) : NULL;
    }
    faults->load_failure_rate = Standin_JsonNumber(body, "load_failure_rate",
                                                   faults->load_failure_rate);
    faults->token_delay_ms = (int)Standin_JsonNumber(body, "token_delay_ms",
                                                     faults->token_delay_ms);
    if (json_is_true(json_object_get(body, "silent"))) {
        struct engine_run *run;
        CmTailq_FOREACH (run, &engine->running, link) {
            run->silent = true;
        }
    }
    if (json_is_true(json_object_get(body, "restart"))) {
        crash(engine);
    }
}

json_t *
Engine_Stats(const struct engine *engine)
{
    return json_pack("{s:s,s:I,s:f,s:I,s:i}", "target", engine->name, "steps",
                     (json_int_t)engine->decode_steps, "batch_sum",
                     engine->batch_size_sum, "evicted_in_use",
                     (json_int_t)engine->evicted_in_use, "adapters",
                     (int)g_hash_table_size(engine->adapters));
}
