/// @file caller_conns.c
/// Connections of callers.

#include "caller_conns.h"

#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "call_codec.h"
#include "request.h"

/// Limits while no configuration is known.
#define BODY_DEFAULT_BYTES ((int64_t)4 * 1024 * 1024)
#define IDLE_DEFAULT_MS 30000
/// Share of the process's files that callers' connections may take, and
/// connections beyond it that still get an answer before they are closed.
#define CALLERS_PERCENT 60
#define EXCESS_MAX 100
/// Added to the configured idle time, for a request that is on its way.
#define IDLE_MARGIN_MS 2000

#define STATUS_BAD_REQUEST 400
#define STATUS_TOO_LARGE 413
#define STATUS_HEADER_TOO_LARGE 431
#define STATUS_TIMEOUT 408

static void
set_idle_timer(struct caller *caller)
{
    const struct cm_catalog *catalog = caller->gateway->catalog;
    int64_t idle_ms =
        catalog != NULL ? catalog->limits.idle_timeout_ms : IDLE_DEFAULT_MS;
    struct timeval timeout = CmTime_Timeval(idle_ms + IDLE_MARGIN_MS);
    evtimer_add(caller->timer, &timeout);
}

static void
caller_free(struct caller *caller)
{
    TAILQ_REMOVE(&caller->gateway->callers, caller, link);
    caller->gateway->count.callers.value--;
    CmH1Conn_Finish(&caller->conn);
    event_free(caller->timer);
    g_string_free(caller->body, TRUE);
    g_free(caller);
}

/// Answers what is not a sound request and closes.
static void
reject(struct caller *caller, int status, const char *reason)
{
    GString *out = g_string_new(NULL);
    CmCallCodec_ComposeError(out, status, "", reason, -1);
    CmH1Conn_Write(&caller->conn, out->str, out->len);
    g_string_free(out, TRUE);
    CmLog_Event(G_LOG_LEVEL_INFO, "callers", NULL, "rejected with %d: %s",
                status, reason);
    CmH1Conn_FinishAfterWrite(&caller->conn);
    caller_free(caller);
}

static void
on_head(void *context, const struct cm_h1_head *head)
{
    struct caller *caller = context;
    caller->reading = true;
    caller->too_large = false;
    g_string_truncate(caller->body, 0);
    if (CmH1Head_Find(head, "Expect") != NULL) {
        static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
        CmH1Conn_Write(&caller->conn, go_on, strlen(go_on));
    }
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct caller *caller = context;
    const struct cm_catalog *catalog = caller->gateway->catalog;
    set_idle_timer(caller);
    int64_t limit =
        catalog != NULL ? catalog->limits.body_bytes : BODY_DEFAULT_BYTES;
    if ((int64_t)(caller->body->len + size) > limit) {
        caller->too_large = true;
        return;
    }
    g_string_append_len(caller->body, data, (gssize)size);
}

static void
on_whole(void *context)
{
    struct caller *caller = context;
    caller->reading = false;
    evtimer_del(caller->timer);
    if (caller->too_large) {
        reject(caller, STATUS_TOO_LARGE, "the body is too large");
        return;
    }
    Request_Start(caller);
}

static void
on_end(void *context, enum cm_h1_close_reason end)
{
    struct caller *caller = context;
    if (caller->request != NULL) {
        Request_Abandon(caller->request);
        caller->request = NULL;
    }
    if (end == CM_H1_INVALID) {
        reject(caller, STATUS_BAD_REQUEST, "this is no HTTP request");
    }
    else if (end == CM_H1_HEADER_TOO_LARGE) {
        reject(caller, STATUS_HEADER_TOO_LARGE, "the header is too large");
    }
    else {
        caller_free(caller);
    }
}

static const struct cm_h1_handler handler = {.head = on_head,
                                             .body = on_body,
                                             .message_complete = on_whole,
                                             .closed = on_end};

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct caller *caller = context;
    if (caller->reading) {
        reject(caller, STATUS_TIMEOUT, "the body did not arrive in time");
    }
    else if (caller->request == NULL) {
        caller_free(caller);
    }
}

/// @return connections of callers beyond which new ones are refused: targets,
/// agents and the store need the other files.
static int64_t
connections_max(const struct gateway *gateway)
{
    return gateway->settings.files * CALLERS_PERCENT / 100;
}

static void
on_accept(void *context, evutil_socket_t fd)
{
    struct gateway *gateway = context;
    int64_t most = connections_max(gateway);
    if (gateway->count.callers.value >= most + EXCESS_MAX) {
        close(fd);
        return;
    }
    struct caller *caller = g_new0(struct caller, 1);
    caller->excess = gateway->count.callers.value >= most;
    caller->gateway = gateway;
    caller->body = g_string_new(NULL);
    caller->timer = evtimer_new(gateway->base, on_timer, caller);
    TAILQ_INSERT_TAIL(&gateway->callers, caller, link);
    gateway->count.callers.value++;
    set_idle_timer(caller);
    CmH1Conn_Accept(&caller->conn, gateway->base, fd, &handler, caller);
}

gboolean
CallerConns_Listen(struct gateway *gateway, GError **error)
{
    return CmH1Listener_Init(&gateway->callers_listener, gateway->base,
                             gateway->settings.listen, on_accept, gateway,
                             error);
}

void
CallerConns_Finish(struct gateway *gateway)
{
    CmH1Listener_Finish(&gateway->callers_listener);
    struct caller *caller;
    while ((caller = TAILQ_FIRST(&gateway->callers)) != NULL) {
        if (caller->request != NULL) {
            Request_Abandon(caller->request);
            caller->request = NULL;
        }
        caller_free(caller);
    }
}

void
CallerConns_StopRequests(struct gateway *gateway)
{
    struct caller *caller;
    struct caller *next;
    CmTailq_FOREACH_SAFE (caller, &gateway->callers, link, next) {
        if (caller->request != NULL) {
            Request_Stop(caller->request);
        }
    }
}

void
CallerConns_CloseIdle(struct gateway *gateway)
{
    struct caller *caller;
    struct caller *next;
    CmTailq_FOREACH_SAFE (caller, &gateway->callers, link, next) {
        if (caller->request == NULL && !caller->reading &&
            CmH1Conn_PendingInput(&caller->conn) == 0) {
            CmH1Conn_FinishAfterWrite(&caller->conn);
            caller_free(caller);
        }
    }
}

bool
Caller_Keeps(const struct caller *caller)
{
    return CmH1Conn_Head(&caller->conn)->keep_alive && !caller->excess &&
           !caller->gateway->leaving;
}

void
Caller_Answered(struct caller *caller, bool keep)
{
    caller->request = NULL;
    // A stream that began before a planned stop promised to keep it open.
    if (!keep || caller->gateway->leaving) {
        CmH1Conn_FinishAfterWrite(&caller->conn);
        caller_free(caller);
        return;
    }
    set_idle_timer(caller);
    CmH1Conn_ReadNext(&caller->conn);
}

void
Caller_Cut(struct caller *caller)
{
    caller->request = NULL;
    caller_free(caller);
}
