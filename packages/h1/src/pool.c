/// @file pool.c
/// Connection pools of the HTTP/1.1 client.

#include "h1/pool.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "h1/writer.h"

#define MS_PER_S 1000
/// Longest announced Keep-Alive timeout that counts; no idle connection is
/// kept for longer.
#define KEEP_ALIVE_MAX_S 3600

struct cm_h1_pool_conn {
    LIST_ENTRY(cm_h1_pool_conn) link; ///< in the idle or busy list of `peer`
    struct cm_h1_peer *peer;
    struct cm_h1_conn conn;
    struct cm_h1_call *call;     ///< NULL while idle
    struct event *connect_timer; ///< NULL once the connection is established
    bool established;
    bool connect_only;     ///< the call sends nothing
    bool used;             ///< it has carried a call
    bool response_matches; ///< the message being read belongs to the call
    uint64_t call_id;      ///< that the request names, 0 for none
    int skipped_responses;
    size_t body_max_bytes; ///< of the call's response, 0 for no limit
    size_t body_bytes;     ///< of the message being read
    int64_t keep_alive_ms; ///< idle time after which it is not reused
    struct timespec idle_since;
};

struct cm_h1_peer {
    struct cm_h1_pool *pool;
    char *address;
    LIST_HEAD(, cm_h1_pool_conn) idle;
    LIST_HEAD(, cm_h1_pool_conn) busy;
};

static void
pool_conn_free(struct cm_h1_pool_conn *pool_conn)
{
    LIST_REMOVE(pool_conn, link);
    CmH1Conn_Finish(&pool_conn->conn);
    if (pool_conn->connect_timer != NULL) {
        event_free(pool_conn->connect_timer);
    }
    g_free(pool_conn);
}

static void
peer_free(void *value)
{
    struct cm_h1_peer *peer = value;
    struct cm_h1_pool_conn *pool_conn;
    struct cm_h1_pool_conn *next;
    CmList_FOREACH_SAFE (pool_conn, &peer->idle, link, next) {
        pool_conn_free(pool_conn);
    }
    CmList_FOREACH_SAFE (pool_conn, &peer->busy, link, next) {
        pool_conn->call->pool_conn = NULL;
        pool_conn_free(pool_conn);
    }
    g_free(peer->address);
    g_free(peer);
}

/// Closes a connection and reports the result to its call.
static void
close_and_finish_call(struct cm_h1_pool_conn *pool_conn,
                      enum cm_h1_call_result result)
{
    struct cm_h1_call *call = pool_conn->call;
    pool_conn_free(pool_conn);
    if (call != NULL) {
        call->pool_conn = NULL;
        call->handler->done(call->context, result);
    }
}

/// Moves a connection without a call to the idle list.
static void
make_idle(struct cm_h1_pool_conn *pool_conn)
{
    pool_conn->call = NULL;
    CmH1Conn_SetReading(&pool_conn->conn, true);
    pool_conn->idle_since = CmClock_Now(pool_conn->peer->pool->clock);
    LIST_REMOVE(pool_conn, link);
    LIST_INSERT_HEAD(&pool_conn->peer->idle, pool_conn, link);
}

static void
on_connected(void *context)
{
    struct cm_h1_pool_conn *pool_conn = context;
    pool_conn->established = true;
    event_free(pool_conn->connect_timer);
    pool_conn->connect_timer = NULL;
    if (pool_conn->connect_only) {
        struct cm_h1_call *call = pool_conn->call;
        pool_conn->connect_only = false;
        pool_conn->keep_alive_ms =
            pool_conn->peer->pool->keep_alive_default_ms;
        make_idle(pool_conn);
        call->pool_conn = NULL;
        call->handler->done(call->context, CM_H1_CALL_COMPLETE);
    }
}

static void
on_connect_timeout(evutil_socket_t fd, short what, void *context)
{
    close_and_finish_call(context, CM_H1_CALL_NOT_CONNECTED);
}

/// @return the idle time in ms after which the connection is not reused.
static int64_t
keep_alive_timeout_ms(const struct cm_h1_pool *pool,
                      const struct cm_h1_head *head)
{
    const char *keep_alive_header = CmH1Head_Find(head, "Keep-Alive");
    const char *timeout = keep_alive_header != NULL
                              ? strstr(keep_alive_header, "timeout=")
                              : NULL;
    if (timeout == NULL) {
        return pool->keep_alive_default_ms;
    }
    long seconds = strtol(timeout + strlen("timeout="), NULL, 10);
    return CLAMP(seconds, 0, KEEP_ALIVE_MAX_S) * MS_PER_S -
           CM_H1_KEEP_ALIVE_MARGIN_MS;
}

/// A connection that has been opened for a later call gets input.
static void
on_begin(void *context)
{
    struct cm_h1_pool_conn *pool_conn = context;
    if (pool_conn->call == NULL) {
        pool_conn_free(pool_conn);
    }
}

/// @return whether the response names another call.
static bool
is_to_other_call(const struct cm_h1_pool_conn *pool_conn,
                 const struct cm_h1_head *head)
{
    const char *id = CmH1Head_Find(head, CM_H1_CALL_ID);
    return pool_conn->call_id != 0 && id != NULL &&
           g_ascii_strtoull(id, NULL, 10) != pool_conn->call_id;
}

static void
on_head(void *context, const struct cm_h1_head *head)
{
    struct cm_h1_pool_conn *pool_conn = context;
    struct cm_h1_call *call = pool_conn->call;
    if (head->status / 100 == 1) {
        return;
    }
    pool_conn->body_bytes = 0;
    pool_conn->response_matches = false;
    if (is_to_other_call(pool_conn, head)) {
        return;
    }
    pool_conn->keep_alive_ms =
        keep_alive_timeout_ms(pool_conn->peer->pool, head);
    pool_conn->response_matches = call->handler->head(call->context, head);
}

static bool
is_too_long(const struct cm_h1_pool_conn *pool_conn)
{
    size_t max = pool_conn->response_matches ? pool_conn->body_max_bytes
                                             : CM_H1_SKIPPED_BODY_MAX_BYTES;
    return max > 0 && pool_conn->body_bytes > max;
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct cm_h1_pool_conn *pool_conn = context;
    pool_conn->body_bytes += size;
    if (is_too_long(pool_conn)) {
        close_and_finish_call(pool_conn, CM_H1_CALL_INVALID);
        return;
    }
    if (pool_conn->response_matches && pool_conn->call != NULL &&
        pool_conn->call->handler->body != NULL) {
        pool_conn->call->handler->body(pool_conn->call->context, data, size);
    }
}

/// Returns a connection to the pool if it can be reused, and closes it
/// otherwise.
static void
release_connection(struct cm_h1_pool_conn *pool_conn)
{
    const struct cm_h1_head *head = CmH1Conn_Head(&pool_conn->conn);
    // Pending input would be parsed as the response to the next call. Pending
    // output means that the server does not have the whole request yet.
    if (!head->keep_alive || !head->self_delimited ||
        pool_conn->keep_alive_ms <= 0 ||
        CmH1Conn_PendingInput(&pool_conn->conn) > 0 ||
        CmH1Conn_PendingOutput(&pool_conn->conn) > 0) {
        pool_conn_free(pool_conn);
        return;
    }
    make_idle(pool_conn);
}

static void
on_message_complete(void *context)
{
    struct cm_h1_pool_conn *pool_conn = context;
    if (!pool_conn->response_matches) {
        if (++pool_conn->skipped_responses > CM_H1_SKIPPED_RESPONSES_MAX) {
            close_and_finish_call(pool_conn, CM_H1_CALL_INVALID);
            return;
        }
        CmH1Conn_ReadNext(&pool_conn->conn);
        return;
    }
    struct cm_h1_call *call = pool_conn->call;
    call->pool_conn = NULL;
    release_connection(pool_conn);
    call->handler->done(call->context, CM_H1_CALL_COMPLETE);
}

static void
on_closed(void *context, enum cm_h1_close_reason reason)
{
    struct cm_h1_pool_conn *pool_conn = context;
    if (reason == CM_H1_INVALID || reason == CM_H1_HEADER_TOO_LARGE) {
        close_and_finish_call(pool_conn, CM_H1_CALL_INVALID);
        return;
    }
    close_and_finish_call(pool_conn, pool_conn->established
                                         ? CM_H1_CALL_INTERRUPTED
                                         : CM_H1_CALL_NOT_CONNECTED);
}

static const struct cm_h1_handler handler = {
    .connected = on_connected,
    .begin = on_begin,
    .head = on_head,
    .body = on_body,
    .message_complete = on_message_complete,
    .closed = on_closed,
};

void
CmH1Pool_Init(struct cm_h1_pool *pool, struct event_base *base,
              struct cm_clock *clock)
{
    *pool = (struct cm_h1_pool){
        .base = base,
        .clock = clock,
        .keep_alive_default_ms = CM_H1_KEEP_ALIVE_DEFAULT_MS,
    };
    pool->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
}

uint64_t
CmH1Pool_NextCallId(struct cm_h1_pool *pool)
{
    return ++pool->last_call_id;
}

void
CmH1Pool_Finish(struct cm_h1_pool *pool)
{
    g_hash_table_destroy(pool->peers);
}

static gboolean
close_expired(void *key, void *value, void *now)
{
    struct cm_h1_peer *peer = value;
    struct cm_h1_pool_conn *pool_conn;
    struct cm_h1_pool_conn *next;
    CmList_FOREACH_SAFE (pool_conn, &peer->idle, link, next) {
        if (CmTime_DiffMs(*(struct timespec *)now, pool_conn->idle_since) >
            pool_conn->keep_alive_ms) {
            pool_conn_free(pool_conn);
        }
    }
    return LIST_EMPTY(&peer->idle) && LIST_EMPTY(&peer->busy);
}

void
CmH1Pool_CloseExpired(struct cm_h1_pool *pool)
{
    struct timespec now = CmClock_Now(pool->clock);
    g_hash_table_foreach_remove(pool->peers, close_expired, &now);
}

static struct cm_h1_peer *
find_peer(struct cm_h1_pool *pool, const char *address)
{
    struct cm_h1_peer *peer = g_hash_table_lookup(pool->peers, address);
    if (peer == NULL) {
        peer = g_new0(struct cm_h1_peer, 1);
        peer->pool = pool;
        peer->address = g_strdup(address);
        LIST_INIT(&peer->idle);
        LIST_INIT(&peer->busy);
        g_hash_table_insert(pool->peers, peer->address, peer);
    }
    return peer;
}

/// @return whether the server has sent something, or has closed the
/// connection. The event loop may not have seen it yet.
static bool
has_ended(const struct cm_h1_conn *conn)
{
    char byte;
    return CmH1Conn_PendingInput(conn) > 0 ||
           recv(CmH1Conn_Socket(conn), &byte, sizeof(byte),
                MSG_PEEK | MSG_DONTWAIT) >= 0 ||
           (errno != EAGAIN && errno != EINTR);
}

/// Closes idle connections that are past their Keep-Alive timeout or have
/// unexpected input, as of a second response to the call before.
/// @return an idle connection that the request may use, still in the idle
/// list, or NULL.
static struct cm_h1_pool_conn *
find_idle_connection(struct cm_h1_peer *peer,
                     const struct cm_h1_call_request *request)
{
    struct timespec now = CmClock_Now(peer->pool->clock);
    struct cm_h1_pool_conn *pool_conn;
    struct cm_h1_pool_conn *next;
    CmList_FOREACH_SAFE (pool_conn, &peer->idle, link, next) {
        int64_t idle_ms = CmTime_DiffMs(now, pool_conn->idle_since);
        if (idle_ms > pool_conn->keep_alive_ms ||
            has_ended(&pool_conn->conn)) {
            pool_conn_free(pool_conn);
        }
        else if (idle_ms <= request->idle_max_ms &&
                 !(request->unused_only && pool_conn->used)) {
            return pool_conn;
        }
    }
    return NULL;
}

static struct cm_h1_pool_conn *
open_connection(struct cm_h1_peer *peer)
{
    struct cm_h1_pool_conn *pool_conn = g_new0(struct cm_h1_pool_conn, 1);
    pool_conn->peer = peer;
    LIST_INSERT_HEAD(&peer->busy, pool_conn, link);
    if (!CmH1Conn_Connect(&pool_conn->conn, peer->pool->base, peer->address,
                          &handler, pool_conn)) {
        pool_conn_free(pool_conn);
        return NULL;
    }
    peer->pool->connections_opened++;
    struct timeval timeout = CmTime_Timeval(CM_H1_CONNECT_TIMEOUT_MS);
    pool_conn->connect_timer =
        evtimer_new(peer->pool->base, on_connect_timeout, pool_conn);
    evtimer_add(pool_conn->connect_timer, &timeout);
    return pool_conn;
}

bool
CmH1Call_Start(struct cm_h1_call *call, struct cm_h1_pool *pool,
               const struct cm_h1_call_request *request,
               const struct cm_h1_call_handler *call_handler, void *context)
{
    struct cm_h1_peer *peer = find_peer(pool, request->address);
    struct cm_h1_pool_conn *pool_conn = find_idle_connection(peer, request);
    *call = (struct cm_h1_call){.handler = call_handler, .context = context};
    if (pool_conn != NULL) {
        LIST_REMOVE(pool_conn, link);
        LIST_INSERT_HEAD(&peer->busy, pool_conn, link);
        CmH1Conn_ReadNext(&pool_conn->conn);
    }
    else {
        pool_conn = open_connection(peer);
        if (pool_conn == NULL) {
            return false;
        }
    }
    call->reused = pool_conn->used;
    pool_conn->used = true;
    pool_conn->call = call;
    pool_conn->response_matches = false;
    pool_conn->skipped_responses = 0;
    pool_conn->call_id = request->call_id;
    pool_conn->body_max_bytes = request->body_max_bytes;
    pool_conn->body_bytes = 0;
    call->pool_conn = pool_conn;
    if (request->no_body) {
        CmH1Conn_ExpectNoBody(&pool_conn->conn);
    }
    CmH1Conn_Write(&pool_conn->conn, request->message->str,
                   request->message->len);
    return true;
}

bool
CmH1Call_Connect(struct cm_h1_call *call, struct cm_h1_pool *pool,
                 const char *address,
                 const struct cm_h1_call_handler *call_handler, void *context)
{
    *call = (struct cm_h1_call){.handler = call_handler, .context = context};
    struct cm_h1_pool_conn *pool_conn =
        open_connection(find_peer(pool, address));
    if (pool_conn == NULL) {
        return false;
    }
    pool_conn->connect_only = true;
    pool_conn->call = call;
    call->pool_conn = pool_conn;
    return true;
}

bool
CmH1Pool_HasConnection(struct cm_h1_pool *pool,
                       const struct cm_h1_call_request *request)
{
    return find_idle_connection(find_peer(pool, request->address), request) !=
           NULL;
}

void
CmH1Call_Cancel(struct cm_h1_call *call)
{
    if (call->pool_conn != NULL) {
        pool_conn_free(call->pool_conn);
        call->pool_conn = NULL;
    }
}

void
CmH1Call_SetReading(struct cm_h1_call *call, bool reading)
{
    CmH1Conn_SetReading(&call->pool_conn->conn, reading);
}

bool
CmH1Call_IsConnected(const struct cm_h1_call *call)
{
    return call->pool_conn->established;
}

size_t
CmH1Call_Unsent(const struct cm_h1_call *call)
{
    return CmH1Conn_PendingOutput(&call->pool_conn->conn);
}

bool
CmH1Call_Active(const struct cm_h1_call *call)
{
    return call->pool_conn != NULL;
}
