/// @file peer_fetch.c
/// Asks one seed after the other until requests can be placed.

#include "peer_fetch.h"

#include <string.h>

#include "base/log.h"
#include "h1/writer.h"
#include "snapshot.h"

/// Time that the store gets to answer first, at a start.
#define STORE_FIRST_MS 600
/// Time for one seed's answer, and the pause before the next is asked.
#define ANSWER_MS 500
#define PAUSE_MS 150
#define SNAPSHOT_PATH "/snapshot"
#define STATUS_OK 200

static void
set_timer(struct peers *peers, int64_t ms)
{
    struct timeval timeout = CmTime_Timeval(ms);
    evtimer_add(peers->timer, &timeout);
}

static bool
on_head(void *context, const struct cm_h1_head *head)
{
    struct gateway *gateway = context;
    gateway->peers.status = head->status;
    g_string_truncate(gateway->peers.body, 0);
    return true;
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct gateway *gateway = context;
    g_string_append_len(gateway->peers.body, data, (gssize)size);
}

static void
on_end(void *context, enum cm_h1_call_result end)
{
    struct gateway *gateway = context;
    struct peers *peers = &gateway->peers;
    set_timer(peers, PAUSE_MS);
    // What the store has told meanwhile is newer.
    if (end != CM_H1_CALL_COMPLETE || peers->status != STATUS_OK ||
        Gateway_CanServe(gateway)) {
        return;
    }
    if (!Snapshot_Take(gateway, peers->body->str, peers->body->len)) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "peers", NULL,
                    "another gateway's snapshot is not understood");
        return;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "peers", NULL,
                "the store has not answered yet: another gateway told of %zu "
                "targets",
                gateway->targets.count);
}

static const struct cm_h1_call_handler call_handler = {on_head, on_body,
                                                       on_end};

/// @return the next seed that is not this gateway, or NULL.
static const char *
next_seed(struct gateway *gateway)
{
    const struct cm_gateway_settings *settings = &gateway->settings;
    for (size_t i = 0; i < settings->n_seeds; i++) {
        const char *seed =
            settings->seeds[gateway->peers.next++ % settings->n_seeds];
        if (g_strcmp0(seed, settings->control) != 0) {
            return seed;
        }
    }
    return NULL;
}

static void
ask(struct gateway *gateway, const char *seed)
{
    struct peers *peers = &gateway->peers;
    GString *message = g_string_new(NULL);
    CmH1Writer_Request(message, "GET", SNAPSHOT_PATH);
    CmH1Writer_Header(message, "Host", seed);
    g_string_append(message, "\r\n");
    struct cm_h1_call_request request = {.address = seed, .message = message};
    bool started = CmH1Call_Start(&peers->call, &gateway->pool, &request,
                                  &call_handler, gateway);
    set_timer(peers, started ? ANSWER_MS : PAUSE_MS);
    g_string_free(message, TRUE);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct gateway *gateway = context;
    CmH1Call_Cancel(&gateway->peers.call);
    if (Gateway_CanServe(gateway)) {
        return;
    }
    const char *seed = next_seed(gateway);
    if (seed != NULL) {
        ask(gateway, seed);
    }
}

void
Peers_Init(struct gateway *gateway)
{
    struct peers *peers = &gateway->peers;
    peers->body = g_string_new(NULL);
    peers->timer = evtimer_new(gateway->base, on_timer, gateway);
    // Gateways that start together ask different seeds first.
    peers->next = (size_t)g_rand_int_range(gateway->random, 0, CM_SEEDS_MAX);
    set_timer(peers, STORE_FIRST_MS);
}

void
Peers_Finish(struct gateway *gateway)
{
    CmH1Call_Cancel(&gateway->peers.call);
    event_free(gateway->peers.timer);
    g_string_free(gateway->peers.body, TRUE);
}
