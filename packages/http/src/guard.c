/// @file guard.c
/// Accounts of evhttp connections: crowds of callers that stop before the end
/// of their requests, send without end or do not read.

#include "http/guard.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <malloc.h>
#include <stddef.h>
#include <sys/socket.h>

/// Interval at which connections are looked for that evhttp has freed.
#define SWEEP_MS 200
/// A body is copied into the exchange that serves it.
#define BODY_COPIES 2

/// One connection.
struct http_peer {
    struct cm_http_guard *guard;
    struct bufferevent *bev; ///< with a reference of its own
    struct cm_intake_client client;
    struct cm_memory_hold output;
    size_t arrived; ///< bytes since the last whole request
    bool ended;     ///< no longer a client; evhttp will notice
};

/// @return whether evhttp still has the connection: it takes its callbacks
/// away when it frees it.
static bool
is_alive(const struct http_peer *peer)
{
    bufferevent_event_cb on_event;
    bufferevent_getcb(peer->bev, NULL, NULL, &on_event, NULL);
    return on_event != NULL;
}

/// Gives up what is counted for the connection.
static void
uncount(struct http_peer *peer)
{
    if (!peer->ended) {
        peer->ended = true;
        CmIntakeClient_Finish(&peer->client);
        CmMemoryHold_Finish(&peer->output);
    }
}

static void
drop_input(struct evbuffer *input)
{
    evbuffer_drain(input, evbuffer_get_length(input));
}

/// Makes evhttp see the end of the connection, once it has read what the
/// system has received; that is dropped.
/// @param aborts whether the close resets the connection: a client that still
/// sends would wait for room in the window of a peer that reads no more. A
/// response that the client has not read is lost then.
static void
end_peer(struct http_peer *peer, bool aborts)
{
    uncount(peer);
    peer->guard->frees_memory = true;
    if (is_alive(peer)) {
        evutil_socket_t fd = bufferevent_getfd(peer->bev);
        struct linger linger = {.l_onoff = aborts};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
        drop_input(bufferevent_get_input(peer->bev));
        shutdown(fd, SHUT_RDWR);
    }
}

static void
on_end(struct cm_intake_client *client, enum cm_intake_client_end why)
{
    end_peer((struct http_peer *)((char *)client -
                                  offsetof(struct http_peer, client)),
             client->phase == CM_INTAKE_ARRIVING);
}

static void
release_output(struct cm_memory_hold *hold)
{
    end_peer((struct http_peer *)((char *)hold -
                                  offsetof(struct http_peer, output)),
             true);
}

static void
on_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
         void *context)
{
    struct http_peer *peer = context;
    if (info->n_added == 0) {
        return;
    }
    if (peer->ended) {
        drop_input(buffer);
        return;
    }
    peer->arrived += info->n_added;
    if (peer->client.phase != CM_INTAKE_BUSY) {
        CmIntakeClient_Arriving(&peer->client, peer->arrived);
    }
}

static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *context)
{
    struct http_peer *peer = context;
    if (peer->ended) {
        return;
    }
    CmMemoryHold_Set(&peer->output, evbuffer_get_length(buffer));
    if (info->n_deleted > 0) {
        CmMemoryHold_CountProgress(&peer->output);
    }
    CmMemoryBudget_Enforce(&peer->guard->budget, CM_MEMORY_OUTPUT);
}

static void
peer_free(void *value)
{
    struct http_peer *peer = value;
    uncount(peer);
    evbuffer_remove_cb(bufferevent_get_input(peer->bev), on_input, peer);
    evbuffer_remove_cb(bufferevent_get_output(peer->bev), on_output, peer);
    bufferevent_decref(peer->bev);
    g_free(peer);
}

static gboolean
is_gone(void *key, void *value, void *context)
{
    return !is_alive(value);
}

static void
on_sweep(evutil_socket_t fd, short what, void *context)
{
    struct cm_http_guard *guard = context;
    g_hash_table_foreach_remove(guard->peers, is_gone, NULL);
    if (guard->frees_memory) {
        // The small blocks of buffers would stay with the process.
        guard->frees_memory = false;
        malloc_trim(0);
    }
}

/// Creates the bufferevent of a connection that evhttp accepts.
static struct bufferevent *
new_connection(struct event_base *base, void *context)
{
    const struct cm_http_guarded *guarded = context;
    struct cm_http_guard *guard = guarded->guard;
    // Requests in progress have a limit of their own.
    CmIntake_MakeRoom(&guard->intake, 0);
    struct http_peer *peer = g_new0(struct http_peer, 1);
    peer->guard = guard;
    // The descriptor must stay until the bufferevent goes: its events would
    // keep those of a new connection with the same one from being noticed.
    peer->bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_incref(peer->bev);
    CmIntakeClient_Init(&peer->client, &guard->intake, on_end);
    CmMemoryHold_Init(&peer->output, &guard->budget, CM_MEMORY_OUTPUT,
                      release_output);
    peer->client.hold.may_go_alone = guarded->has_large_messages;
    peer->output.may_go_alone = guarded->has_large_messages;
    evbuffer_add_cb(bufferevent_get_input(peer->bev), on_input, peer);
    evbuffer_add_cb(bufferevent_get_output(peer->bev), on_output, peer);
    g_hash_table_insert(guard->peers, peer->bev, peer);
    return peer->bev;
}

void
CmHttpGuard_Init(struct cm_http_guard *guard, struct event_base *base,
                 struct cm_clock *clock, size_t max_bytes,
                 int64_t max_connections)
{
    guard->base = base;
    CmMemoryBudget_Init(&guard->budget, clock, max_bytes);
    CmIntake_Init(&guard->intake, &guard->budget, clock, max_connections);
    guard->peers = g_hash_table_new_full(NULL, NULL, NULL, peer_free);
    guard->sweep = event_new(base, -1, EV_PERSIST, on_sweep, guard);
    struct timeval interval = CmTime_Timeval(SWEEP_MS);
    event_add(guard->sweep, &interval);
}

void
CmHttpGuard_Watch(struct cm_http_guard *guard, struct evhttp *server,
                  struct cm_http_guarded *guarded, bool has_large_messages)
{
    *guarded = (struct cm_http_guarded){guard, has_large_messages};
    evhttp_set_bevcb(server, new_connection, guarded);
}

static struct http_peer *
find_peer(struct cm_http_guard *guard, struct evhttp_request *request)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    return connection != NULL
               ? g_hash_table_lookup(
                     guard->peers,
                     evhttp_connection_get_bufferevent(connection))
               : NULL;
}

/// The response has been written.
static void
on_complete(struct evhttp_request *request, void *context)
{
    struct http_peer *peer = find_peer(context, request);
    if (peer != NULL && !peer->ended) {
        CmIntakeClient_BecomeIdle(&peer->client, peer->arrived);
    }
}

bool
CmHttpGuard_Begin(struct cm_http_guard *guard, struct evhttp_request *request)
{
    struct http_peer *peer = find_peer(guard, request);
    if (peer == NULL || peer->ended) {
        return true;
    }
    size_t body =
        evbuffer_get_length(evhttp_request_get_input_buffer(request));
    peer->arrived = evbuffer_get_length(bufferevent_get_input(peer->bev));
    evhttp_request_set_on_complete_cb(request, on_complete, guard);
    return CmIntakeClient_Begin(&peer->client, BODY_COPIES * body);
}

bool
CmHttpGuard_HasOutput(const struct cm_http_guard *guard)
{
    return !TAILQ_EMPTY(&guard->budget.classes[CM_MEMORY_OUTPUT].holds);
}

void
CmHttpGuard_Finish(struct cm_http_guard *guard)
{
    event_free(guard->sweep);
    g_hash_table_destroy(guard->peers);
}
