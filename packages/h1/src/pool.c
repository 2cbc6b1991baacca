/// @file pool.c
/// Kept connections per address.

#include "h1/pool.h"

#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000

struct cm_h1_pool_conn {
    LIST_ENTRY(cm_h1_pool_conn) link; ///< in its peer's idle or busy list
    struct cm_h1_peer *peer;
    struct cm_h1_conn conn;
    struct cm_h1_call *call; ///< NULL while idle
    struct event *timer;     ///< until the connection is established
    bool established;
    bool mine; ///< the message being read belongs to the call
    int skipped;
    int64_t keep_ms;
    struct timespec idle_since;
};

struct cm_h1_peer {
    struct cm_h1_pool *pool;
    char *address;
    LIST_HEAD(, cm_h1_pool_conn) idle;
    LIST_HEAD(, cm_h1_pool_conn) busy;
};

static void
pooled_free(struct cm_h1_pool_conn *pooled)
{
    LIST_REMOVE(pooled, link);
    CmH1Conn_Finish(&pooled->conn);
    if (pooled->timer != NULL) {
        event_free(pooled->timer);
    }
    g_free(pooled);
}

static void
peer_free(void *value)
{
    struct cm_h1_peer *peer = value;
    struct cm_h1_pool_conn *pooled;
    struct cm_h1_pool_conn *next;
    CmList_FOREACH_SAFE (pooled, &peer->idle, link, next) {
        pooled_free(pooled);
    }
    CmList_FOREACH_SAFE (pooled, &peer->busy, link, next) {
        pooled->call->pooled = NULL;
        pooled_free(pooled);
    }
    g_free(peer->address);
    g_free(peer);
}

/// Ends the call of a connection; the connection is closed.
static void
end_call(struct cm_h1_pool_conn *pooled, enum cm_h1_call_result end)
{
    struct cm_h1_call *call = pooled->call;
    pooled_free(pooled);
    if (call != NULL) {
        call->pooled = NULL;
        call->handler->done(call->context, end);
    }
}

static void
on_connected(void *context)
{
    struct cm_h1_pool_conn *pooled = context;
    pooled->established = true;
    event_free(pooled->timer);
    pooled->timer = NULL;
}

static void
on_connect_timeout(evutil_socket_t fd, short what, void *context)
{
    end_call(context, CM_H1_CALL_NOT_CONNECTED);
}

/// @return for how long the other end keeps the connection idle.
static int64_t
announced_keep_ms(const struct cm_h1_head *head)
{
    const char *keep = CmH1Head_Find(head, "Keep-Alive");
    const char *timeout = keep != NULL ? strstr(keep, "timeout=") : NULL;
    if (timeout == NULL) {
        return CM_H1_KEEP_ALIVE_DEFAULT_MS;
    }
    long seconds = strtol(timeout + strlen("timeout="), NULL, 10);
    return seconds * MS_PER_S - CM_H1_KEEP_ALIVE_MARGIN_MS;
}

static void
on_head(void *context, const struct cm_h1_head *head)
{
    struct cm_h1_pool_conn *pooled = context;
    struct cm_h1_call *call = pooled->call;
    if (head->status / 100 == 1 || call == NULL) {
        return;
    }
    pooled->keep_ms = announced_keep_ms(head);
    pooled->mine = call->handler->head(call->context, head);
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct cm_h1_pool_conn *pooled = context;
    if (pooled->mine && pooled->call != NULL &&
        pooled->call->handler->body != NULL) {
        pooled->call->handler->body(pooled->call->context, data, size);
    }
}

/// Keeps the connection for the next call if that is safe.
static void
keep_or_close(struct cm_h1_pool_conn *pooled)
{
    const struct cm_h1_head *head = CmH1Conn_Head(&pooled->conn);
    // Unread input would be taken for the next call's response; an unwritten
    // rest of the request still has to reach the other end in full.
    if (!head->keep_alive || !head->self_delimited || pooled->keep_ms <= 0 ||
        CmH1Conn_PendingInput(&pooled->conn) > 0 ||
        CmH1Conn_PendingOutput(&pooled->conn) > 0) {
        pooled_free(pooled);
        return;
    }
    pooled->call = NULL;
    pooled->idle_since = CmClock_Now(pooled->peer->pool->clock);
    LIST_REMOVE(pooled, link);
    LIST_INSERT_HEAD(&pooled->peer->idle, pooled, link);
}

static void
on_whole(void *context)
{
    struct cm_h1_pool_conn *pooled = context;
    if (!pooled->mine) {
        if (++pooled->skipped > CM_H1_SKIPPED_RESPONSES_MAX) {
            end_call(pooled, CM_H1_CALL_INVALID);
            return;
        }
        CmH1Conn_ReadNext(&pooled->conn);
        return;
    }
    struct cm_h1_call *call = pooled->call;
    call->pooled = NULL;
    keep_or_close(pooled);
    call->handler->done(call->context, CM_H1_CALL_COMPLETE);
}

static void
on_end(void *context, enum cm_h1_close_reason end)
{
    struct cm_h1_pool_conn *pooled = context;
    if (end == CM_H1_INVALID || end == CM_H1_HEADER_TOO_LARGE) {
        end_call(pooled, CM_H1_CALL_INVALID);
        return;
    }
    end_call(pooled, pooled->established ? CM_H1_CALL_INTERRUPTED
                                         : CM_H1_CALL_NOT_CONNECTED);
}

static const struct cm_h1_handler handler = {
    .connected = on_connected,
    .head = on_head,
    .body = on_body,
    .message_complete = on_whole,
    .closed = on_end,
};

void
CmH1Pool_Init(struct cm_h1_pool *pool, struct event_base *base,
              struct cm_clock *clock)
{
    *pool = (struct cm_h1_pool){.base = base, .clock = clock};
    pool->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
}

void
CmH1Pool_Finish(struct cm_h1_pool *pool)
{
    g_hash_table_destroy(pool->peers);
}

static gboolean
is_unused(void *key, void *value, void *now)
{
    struct cm_h1_peer *peer = value;
    struct cm_h1_pool_conn *pooled;
    struct cm_h1_pool_conn *next;
    CmList_FOREACH_SAFE (pooled, &peer->idle, link, next) {
        if (CmTime_DiffMs(*(struct timespec *)now, pooled->idle_since) >
            pooled->keep_ms) {
            pooled_free(pooled);
        }
    }
    return LIST_EMPTY(&peer->idle) && LIST_EMPTY(&peer->busy);
}

void
CmH1Pool_CloseExpired(struct cm_h1_pool *pool)
{
    struct timespec now = CmClock_Now(pool->clock);
    g_hash_table_foreach_remove(pool->peers, is_unused, &now);
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

/// @return an idle connection that may be used again, or NULL; those that
/// may not are closed.
static struct cm_h1_pool_conn *
take_idle(struct cm_h1_peer *peer, int64_t idle_max_ms)
{
    struct timespec now = CmClock_Now(peer->pool->clock);
    struct cm_h1_pool_conn *pooled;
    struct cm_h1_pool_conn *next;
    CmList_FOREACH_SAFE (pooled, &peer->idle, link, next) {
        int64_t idle_ms = CmTime_DiffMs(now, pooled->idle_since);
        if (idle_ms > pooled->keep_ms ||
            CmH1Conn_PendingInput(&pooled->conn) > 0) {
            pooled_free(pooled);
        }
        else if (idle_ms <= idle_max_ms) {
            return pooled;
        }
    }
    return NULL;
}

static struct cm_h1_pool_conn *
connect_new(struct cm_h1_peer *peer)
{
    struct cm_h1_pool_conn *pooled = g_new0(struct cm_h1_pool_conn, 1);
    pooled->peer = peer;
    LIST_INSERT_HEAD(&peer->busy, pooled, link);
    if (!CmH1Conn_Connect(&pooled->conn, peer->pool->base, peer->address,
                          &handler, pooled)) {
        pooled_free(pooled);
        return NULL;
    }
    peer->pool->connections_opened++;
    struct timeval timeout = CmTime_Timeval(CM_H1_CONNECT_TIMEOUT_MS);
    pooled->timer = evtimer_new(peer->pool->base, on_connect_timeout, pooled);
    evtimer_add(pooled->timer, &timeout);
    return pooled;
}

bool
CmH1Call_Start(struct cm_h1_call *call, struct cm_h1_pool *pool,
               const struct cm_h1_call_request *request,
               const struct cm_h1_call_handler *call_handler, void *context)
{
    struct cm_h1_peer *peer = find_peer(pool, request->address);
    struct cm_h1_pool_conn *pooled = take_idle(peer, request->idle_max_ms);
    *call = (struct cm_h1_call){.handler = call_handler, .context = context};
    if (pooled != NULL) {
        LIST_REMOVE(pooled, link);
        LIST_INSERT_HEAD(&peer->busy, pooled, link);
        CmH1Conn_ReadNext(&pooled->conn);
    }
    else {
        pooled = connect_new(peer);
        if (pooled == NULL) {
            return false;
        }
    }
    pooled->call = call;
    pooled->mine = false;
    pooled->skipped = 0;
    call->pooled = pooled;
    if (request->no_body) {
        CmH1Conn_ExpectNoBody(&pooled->conn);
    }
    CmH1Conn_Write(&pooled->conn, request->message->str,
                   request->message->len);
    return true;
}

void
CmH1Call_Cancel(struct cm_h1_call *call)
{
    if (call->pooled != NULL) {
        pooled_free(call->pooled);
        call->pooled = NULL;
    }
}

bool
CmH1Call_Active(const struct cm_h1_call *call)
{
    return call->pooled != NULL;
}
