/// @file caller_conns.c
/// Client connections: accept, read requests, keep-alive and idle timeouts.

#include "caller_conns.h"

#include <inttypes.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "call_codec.h"
#include "request.h"

/// Limits until a configuration is known.
static const struct cm_caller_limits default_limits = {
    .body_bytes = (int64_t)4 * 1024 * 1024,
    .header_timeout_ms = 10000,
    .idle_timeout_ms = 30000,
};
/// Share of the process's file descriptors that client connections may use,
/// and number of connections beyond it that get a 503 before they are closed.
/// Any further ones are closed at once, without a response.
#define CALLER_FILES_PERCENT 60
#define OVER_LIMIT_MAX 100
/// Memory of a body that is kept for the next one.
#define BODY_KEPT_BYTES ((gsize)4096)
#define PAGE_BYTES ((gsize)4096)
/// Added to the configured timeouts, as a request may be in transit.
#define TIMEOUT_MARGIN_MS 2000

/// Retry-After of a request that is refused before it has arrived whole: other
/// gateways may take it at once.
#define UNREAD_RETRY_AFTER_MS 0

#define STATUS_BAD_REQUEST 400
#define STATUS_TOO_LARGE 413
#define STATUS_HEADER_TOO_LARGE 431
#define STATUS_TIMEOUT 408
#define STATUS_UNAVAILABLE 503

/// @return the limits in force.
static const struct cm_caller_limits *
current_limits(const struct gateway *gateway)
{
    return gateway->catalog != NULL ? &gateway->catalog->limits
                                    : &default_limits;
}

static void
start_timer(struct caller_conn *caller, int64_t ms)
{
    struct timeval timeout = CmTime_Timeval(ms);
    evtimer_add(caller->timer, &timeout);
    caller->due = false;
}

/// @return ms until the connection has been idle for too long.
static int64_t
idle_left_ms(const struct caller_conn *caller)
{
    const struct gateway *gateway = caller->gateway;
    return current_limits(gateway)->idle_timeout_ms + TIMEOUT_MARGIN_MS -
           CmTime_DiffMs(Gateway_Now(gateway), caller->idle_since);
}

static void
become_idle(struct caller_conn *caller)
{
    caller->idle_since = Gateway_Now(caller->gateway);
    caller->unread = CmH1Conn_UnreadOutput(&caller->conn);
    start_timer(caller, idle_left_ms(caller));
}

/// Frees a client whose connection is finished.
static void
caller_free(struct caller_conn *caller)
{
    CmIntakeClient_Finish(&caller->client);
    TAILQ_REMOVE(&caller->gateway->callers, caller, link);
    caller->gateway->count.connections.value--;
    event_free(caller->timer);
    g_string_free(caller->body, TRUE);
    g_free(caller);
}

/// Frees a client and closes its connection in order, unless the connection is
/// finished already.
static void
caller_close(struct caller_conn *caller)
{
    CmH1Conn_FinishAfterWrite(&caller->conn);
    caller_free(caller);
}

/// @return memory that the connection's request takes. Of a large body the
/// system provides just the pages that are used.
static size_t
held_bytes(const struct caller_conn *caller)
{
    const GString *body = caller->body;
    return CmH1Conn_HeldInput(&caller->conn) +
           MIN(body->allocated_len,
               MAX(body->len + PAGE_BYTES, (gsize)MMAP_THRESHOLD_BYTES));
}

/// Frees what the last request took, and waits for the next one.
static void
free_request(struct caller_conn *caller)
{
    if (caller->body->allocated_len > BODY_KEPT_BYTES) {
        g_string_free(caller->body, TRUE);
        caller->body = g_string_new(NULL);
    }
    CmIntakeClient_BecomeIdle(&caller->client, held_bytes(caller));
}

/// Closes a connection without a request. One that arrives meanwhile must stay
/// unread: the reset tells its caller that it may be sent again.
static void
close_idle(struct caller_conn *caller)
{
    if (CmH1Conn_UnreadOutput(&caller->conn) > 0) {
        caller_close(caller);
        return;
    }
    CmH1Conn_Finish(&caller->conn);
    caller_free(caller);
}

/// Sends an error response to an invalid request and closes the connection.
static void
reject(struct caller_conn *caller, int status, const char *reason)
{
    GString *out = g_string_new(NULL);
    CmCallCodec_ComposeError(
        out, status, "", reason,
        status == STATUS_UNAVAILABLE ? UNREAD_RETRY_AFTER_MS : -1);
    CmH1Conn_Write(&caller->conn, out->str, out->len);
    g_string_free(out, TRUE);
    CmLog_Event(G_LOG_LEVEL_INFO, "callers", NULL,
                "request rejected with status %d, connection closed: %s; %zu "
                "bytes of its body had arrived",
                status, reason, caller->body->len);
    caller_close(caller);
}

static void
on_begin(void *context)
{
    struct caller_conn *caller = context;
    caller->reading = true;
    caller->limits = *current_limits(caller->gateway);
    g_string_truncate(caller->body, 0);
    start_timer(caller, caller->limits.header_timeout_ms + TIMEOUT_MARGIN_MS);
}

/// Starts the timeout of the next part of the body.
static void
start_body_timer(struct caller_conn *caller)
{
    start_timer(caller, caller->limits.idle_timeout_ms + TIMEOUT_MARGIN_MS);
}

static void
reject_body(struct caller_conn *caller)
{
    reject(caller, STATUS_TOO_LARGE, "the body is too large");
}

static void
on_head(void *context, const struct cm_h1_head *head)
{
    struct caller_conn *caller = context;
    start_body_timer(caller);
    if (head->body_bytes > caller->limits.body_bytes) {
        reject_body(caller);
        return;
    }
    if (CmH1Head_Find(head, "Expect") != NULL) {
        static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
        CmH1Conn_Write(&caller->conn, interim, strlen(interim));
    }
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct caller_conn *caller = context;
    if ((int64_t)(caller->body->len + size) > caller->limits.body_bytes) {
        reject_body(caller);
        return;
    }
    g_string_append_len(caller->body, data, (gssize)size);
}

static void
on_progress(void *context)
{
    struct caller_conn *caller = context;
    if (CmIntakeClient_Arriving(&caller->client, held_bytes(caller)) &&
        CmH1Conn_HeadDone(&caller->conn)) {
        start_body_timer(caller);
    }
}

static void
on_message_complete(void *context)
{
    struct caller_conn *caller = context;
    caller->reading = false;
    evtimer_del(caller->timer);
    // While the body is sent to a target there is a copy of it.
    caller->has_no_memory = !CmIntakeClient_Begin(
        &caller->client, held_bytes(caller) + caller->body->len);
    Request_Start(caller);
}

static void
on_closed(void *context, enum cm_h1_close_reason reason)
{
    struct caller_conn *caller = context;
    if (reason == CM_H1_UNREAD) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "callers", NULL,
                    "connection closed as callers leave too much unread, "
                    "%zu bytes here",
                    CmH1Conn_UnreadOutput(&caller->conn));
        if (caller->request != NULL) {
            Request_EndUnread(caller->request);
            return;
        }
    }
    if (caller->request != NULL) {
        Request_Abandon(caller->request, "the caller disconnected");
        caller->request = NULL;
    }
    if (reason == CM_H1_INVALID) {
        reject(caller, STATUS_BAD_REQUEST, "this is no HTTP request");
    }
    else if (reason == CM_H1_HEADER_TOO_LARGE) {
        reject(caller, STATUS_HEADER_TOO_LARGE, "the header is too large");
    }
    else {
        caller_close(caller);
    }
}

static void
on_drained(void *context)
{
    struct caller_conn *caller = context;
    caller->idle_since = Gateway_Now(caller->gateway);
}

static const struct cm_h1_handler handler = {.begin = on_begin,
                                             .head = on_head,
                                             .body = on_body,
                                             .progress = on_progress,
                                             .message_complete =
                                                 on_message_complete,
                                             .drained = on_drained,
                                             .closed = on_closed};

static void
log_idle_close(const struct caller_conn *caller, size_t unread)
{
    const struct gateway *gateway = caller->gateway;
    CmLog_Event(G_LOG_LEVEL_INFO, "callers", NULL,
                "connection closed after %" PRId64 " ms without a request, "
                "limit %" PRId64 " ms, %zu bytes of its last response unread",
                CmTime_DiffMs(Gateway_Now(gateway), caller->idle_since),
                current_limits(gateway)->idle_timeout_ms, unread);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct caller_conn *caller = context;
    if (!caller->due) {
        // Input may have arrived and not been looked for yet, as after a stop
        // of the process.
        start_timer(caller, 0);
        caller->due = true;
        return;
    }
    if (caller->reading) {
        reject(caller, STATUS_TIMEOUT, "the request did not arrive in time");
    }
    else if (caller->request == NULL) {
        size_t unread = CmH1Conn_UnreadOutput(&caller->conn);
        if (unread < caller->unread) {
            // The caller still reads its response, or did until lately.
            become_idle(caller);
            return;
        }
        // The limit may have risen since the timer was started.
        int64_t left_ms = idle_left_ms(caller);
        if (left_ms > 0) {
            start_timer(caller, left_ms);
            return;
        }
        log_idle_close(caller, unread);
        close_idle(caller);
    }
}

/// @return number of client connections beyond which new ones are refused, as
/// connections to targets, agents and the store need file descriptors too.
static int64_t
max_connections(const struct gateway *gateway)
{
    return gateway->settings.files * CALLER_FILES_PERCENT / 100;
}

/// Ends a connection so that others can be served.
static void
on_end(struct cm_intake_client *client, enum cm_intake_client_end why)
{
    struct caller_conn *caller =
        (struct caller_conn *)((char *)client -
                               offsetof(struct caller_conn, client));
    if (!CmH1Conn_HasBegun(&caller->conn)) {
        close_idle(caller);
    }
    else if (CmH1Conn_Detached() >= OVER_LIMIT_MAX) {
        // Too many that got a response are still open.
        CmH1Conn_Finish(&caller->conn);
        caller_free(caller);
    }
    else {
        reject(caller, STATUS_UNAVAILABLE,
               why == CM_INTAKE_END_MEMORY ? "requests take too much memory"
                                           : "too many connections are open");
    }
}

static void
on_accept(void *context, evutil_socket_t fd)
{
    struct gateway *gateway = context;
    // Those that are closed in order still have their file descriptors.
    int64_t detached = (int64_t)CmH1Conn_Detached();
    gateway->callers_intake.max = max_connections(gateway);
    bool has_room = CmIntake_MakeRoom(&gateway->callers_intake, detached);
    if (!has_room && gateway->callers_intake.count + detached >=
                         gateway->callers_intake.max + OVER_LIMIT_MAX) {
        close(fd);
        return;
    }
    struct caller_conn *caller = g_new0(struct caller_conn, 1);
    caller->over_limit = !has_room;
    caller->gateway = gateway;
    caller->accepted_at = Gateway_Now(gateway);
    caller->body = g_string_new(NULL);
    caller->timer = evtimer_new(gateway->base, on_timer, caller);
    CmIntakeClient_Init(&caller->client, &gateway->callers_intake, on_end);
    TAILQ_INSERT_TAIL(&gateway->callers, caller, link);
    gateway->count.connections.value++;
    CmH1Conn_Accept(&caller->conn, gateway->base, fd, &handler, caller);
    become_idle(caller);
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
    struct caller_conn *caller;
    while ((caller = TAILQ_FIRST(&gateway->callers)) != NULL) {
        if (caller->request != NULL) {
            Request_Abandon(caller->request, "the gateway exits");
            caller->request = NULL;
        }
        caller_close(caller);
    }
}

void
CallerConns_EndRequests(struct gateway *gateway, bool streams)
{
    struct caller_conn *caller;
    struct caller_conn *next;
    CmTailq_FOREACH_SAFE (caller, &gateway->callers, link, next) {
        if (caller->request != NULL) {
            if (streams || !caller->request->retry.answer_started) {
                Request_EndForShutdown(caller->request);
            }
        }
        else if (CmH1Conn_HasBegun(&caller->conn)) {
            reject(caller, STATUS_UNAVAILABLE, "the gateway stops");
        }
    }
}

/// @return whether the client waits for a response, or its next request is on
/// its way.
static bool
is_in_use(const struct caller_conn *caller)
{
    if (caller->request != NULL || CmH1Conn_HasBegun(&caller->conn) ||
        CmH1Conn_PendingInput(&caller->conn) > 0) {
        return true;
    }
    int64_t age_ms =
        CmTime_DiffMs(Gateway_Now(caller->gateway), caller->accepted_at);
    return !caller->client.has_requested &&
           age_ms < CM_INTAKE_FIRST_REQUEST_MS;
}

void
CallerConns_CloseIdle(struct gateway *gateway)
{
    struct caller_conn *caller;
    struct caller_conn *next;
    CmTailq_FOREACH_SAFE (caller, &gateway->callers, link, next) {
        if (!is_in_use(caller)) {
            close_idle(caller);
        }
    }
}

bool
CallerConn_KeepsAlive(const struct caller_conn *caller)
{
    return CmH1Conn_Head(&caller->conn)->keep_alive && !caller->over_limit &&
           !caller->gateway->shutdown.active;
}

void
CallerConn_EndResponse(struct caller_conn *caller, bool keep)
{
    caller->request = NULL;
    // The head of a stream that began before the shutdown has no
    // "Connection: close", so `keep` is true for it.
    if (!keep || caller->gateway->shutdown.active) {
        caller_close(caller);
        return;
    }
    become_idle(caller);
    free_request(caller);
    CmH1Conn_ReadNext(&caller->conn);
}

void
CallerConn_Abort(struct caller_conn *caller, bool deliver)
{
    caller->request = NULL;
    if (!deliver) {
        CmH1Conn_Finish(&caller->conn);
    }
    caller_close(caller);
}
