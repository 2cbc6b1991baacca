/// @file plain.c
/// Plain target: echoes requests after a delay, with simulated crashes.

#include "plain.h"

#include <event2/buffer.h>
#include <string.h>

#include "base/clock.h"
#include "http/server.h"

#define DEFAULT_DELAY_MS 5
/// Time for which a target is down after a crash.
#define RESTART_MS 1000

/// A request whose answer is delayed.
struct plain_run {
    struct plain_target *plain;
    struct evhttp_request *request;
    uint64_t incarnation; ///< of the target when the request arrived
};

/// @return the value of a request header, "" if it is missing.
static const char *
header(struct evhttp_request *request, const char *name)
{
    const char *value =
        evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value != NULL ? value : "";
}

/// Answers with the request's method, path and body, which is made valid
/// UTF-8.
static void
reply(struct plain_target *plain, struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(input);
    char *body = g_strndup(
        size > 0 ? (const char *)evbuffer_pullup(input, -1) : "", size);
    char *valid = g_utf8_make_valid(body, -1);
    enum evhttp_cmd_type method = evhttp_request_get_command(request);
    json_t *answer = json_pack("{s:s,s:s,s:s,s:s,s:I}", "target", plain->name,
                               "method", CmHttp_MethodName(method), "path",
                               evhttp_request_get_uri(request), "echo", valid,
                               "run", (json_int_t)plain->runs);
    g_free(valid);
    g_free(body);
    CmHttp_ReplyJson(request, HTTP_OK, answer);
}

/// Answers a request after its delay. If the target has crashed meanwhile,
/// closes the connection instead; if it is silent, does nothing.
static void
finish_run(evutil_socket_t fd, short what, void *context)
{
    struct plain_run *run = context;
    if (run->incarnation != run->plain->incarnation) {
        CmHttp_CloseWithoutReply(run->request);
    }
    else if (!run->plain->silent) {
        reply(run->plain, run->request);
    }
    g_free(run);
}

/// Simulates a crash: requests in progress lose their connection, new ones
/// are dropped for RESTART_MS.
static void
crash(struct plain_target *plain)
{
    plain->incarnation++;
    plain->down = true;
    struct timeval tv = CmTime_Timeval(RESTART_MS);
    event_add(plain->restart_timer, &tv);
}

static void
finish_restart(evutil_socket_t fd, short what, void *context)
{
    ((struct plain_target *)context)->down = false;
}

/// @return whether the request body contains the text in `crash_on`.
static bool
is_crash_request(const struct plain_target *plain,
                 struct evhttp_request *request)
{
    if (plain->crash_on == NULL) {
        return false;
    }
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(input);
    return size > 0 && g_strstr_len((const char *)evbuffer_pullup(input, -1),
                                    (gssize)size, plain->crash_on) != NULL;
}

static void
handle_request(struct evhttp_request *request, void *context)
{
    struct plain_target *plain = context;
    if (plain->down) {
        CmHttp_CloseWithoutReply(request);
        return;
    }
    if (strcmp(CmHttp_Path(request), "/health") == 0) {
        CmHttp_ReplyText(request, HTTP_OK, "text/plain", "ok");
        return;
    }
    plain->runs++;
    StandinLog_Append(&plain->shared->execution_log,
                      json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "id",
                                header(request, "X-Request-Id"), "key",
                                header(request, "Idempotency-Key"), "service",
                                "plain", "adapter", "", "version", "",
                                "target", plain->name));
    struct plain_run *run = g_new0(struct plain_run, 1);
    run->plain = plain;
    run->request = request;
    run->incarnation = plain->incarnation;
    struct timeval delay = CmTime_Timeval(plain->delay_ms);
    event_base_once(plain->shared->base, -1, EV_TIMEOUT, finish_run, run,
                    &delay);
    if (is_crash_request(plain, request)) {
        crash(plain);
    }
}

void
PlainTarget_Init(struct plain_target *plain, struct shared_state *shared,
                 const char *name, int port)
{
    memset(plain, 0, sizeof(*plain));
    plain->shared = shared;
    plain->delay_ms = DEFAULT_DELAY_MS;
    g_strlcpy(plain->name, name, sizeof(plain->name));
    plain->restart_timer = evtimer_new(shared->base, finish_restart, plain);
    plain->server = Standin_Listen(shared->base, port, handle_request, plain);
}

void
PlainTarget_Finish(struct plain_target *plain)
{
    evhttp_free(plain->server);
    event_free(plain->restart_timer);
    g_free(plain->crash_on);
}

void
PlainTarget_SetFaults(struct plain_target *plain, const json_t *body)
{
    const json_t *crash_on = json_object_get(body, "crash_on");
    if (crash_on != NULL) {
        g_free(plain->crash_on);
        const char *text = json_string_value(crash_on);
        plain->crash_on =
            text != NULL && *text != '\0' ? g_strdup(text) : NULL;
    }
    const json_t *silent = json_object_get(body, "silent");
    if (silent != NULL) {
        plain->silent = json_is_true(silent);
    }
    plain->delay_ms =
        (int)Standin_JsonNumber(body, "token_delay_ms", plain->delay_ms);
    if (json_is_true(json_object_get(body, "restart"))) {
        crash(plain);
    }
}
