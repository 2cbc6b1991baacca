/// @file peer_fetch.c
/// Polls other gateways for a snapshot until requests can be placed, then
/// once for facts that the store may have lost.

#include "peer_fetch.h"

#include <string.h>

#include "base/log.h"
#include "h1/writer.h"
#include "snapshot.h"

/// Time for the store to answer before the first peer is polled.
#define STORE_HEAD_START_MS 600
/// Timeout of a fetch, and pause before the next one.
#define PEER_TIMEOUT_MS 500
#define PEER_PAUSE_MS 150
/// Time over which the gateways ask others in a new era, as all notice it
/// at about the same time.
#define ERA_SPREAD_MS 500
#define SNAPSHOT_PATH "/snapshot"
/// Peers that are asked for facts once the store has answered.
#define FACTS_TRIES 3
/// Largest snapshot: the configuration and all targets with their adapters.
#define BODY_MAX_BYTES ((size_t)8 * 1024 * 1024)
#define STATUS_OK 200

static void
set_timer(struct peer_fetch *fetch, int64_t ms)
{
    struct timeval timeout = CmTime_Timeval(ms);
    evtimer_add(fetch->timer, &timeout);
}

/// From here on, the configuration is as new as the store's latest answer.
static void
settle(struct gateway *gateway)
{
    struct peer_fetch *fetch = &gateway->peer_fetch;
    fetch->facts_tries = FACTS_TRIES;
    fetch->settled = true;
    if (fetch->listed_at.tv_sec != 0) {
        CmConfigAge_Confirm(&gateway->config_age, fetch->listed_at);
    }
}

static bool
on_head(void *context, const struct cm_h1_head *head)
{
    struct gateway *gateway = context;
    gateway->peer_fetch.status = head->status;
    g_string_truncate(gateway->peer_fetch.body, 0);
    return true;
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct gateway *gateway = context;
    g_string_append_len(gateway->peer_fetch.body, data, (gssize)size);
}

static void
on_end(void *context, enum cm_h1_call_result end)
{
    struct gateway *gateway = context;
    struct peer_fetch *fetch = &gateway->peer_fetch;
    set_timer(fetch, PEER_PAUSE_MS);
    if (end != CM_H1_CALL_COMPLETE || fetch->status != STATUS_OK) {
        return;
    }
    // The store's targets, if there are any by now, are newer.
    if (Gateway_CanServe(gateway)) {
        if (fetch->wants_facts &&
            Snapshot_ApplyFacts(gateway, fetch->body->str, fetch->body->len)) {
            settle(gateway);
        }
        return;
    }
    if (!Snapshot_Apply(gateway, fetch->body->str, fetch->body->len)) {
        CmLog_Event(
            G_LOG_LEVEL_WARNING, "peers", NULL,
            "a peer gateway's snapshot is malformed: ignored, the next one "
            "is polled");
        return;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "peers", NULL,
                "the store has not answered yet: a peer gateway's snapshot is "
                "applied, %zu targets are known",
                gateway->targets.count);
}

static const struct cm_h1_call_handler call_handler = {on_head, on_body,
                                                       on_end};

/// @return a peer to be asked, one that responds if there is one, or NULL.
static const char *
choose_peer(struct gateway *gateway)
{
    const struct cm_roster *roster = &gateway->gossip.roster;
    guint n = roster->peers->len;
    guint first =
        n > 0 ? (guint)g_rand_int_range(gateway->random, 0, (gint32)n) : 0;
    for (guint i = 0; i < n; i++) {
        const struct cm_roster_peer *peer =
            CmRoster_PeerAt(roster, (first + i) % n);
        if (CmRosterPeer_Responds(peer)) {
            return peer->address;
        }
    }
    return n > 0 ? CmRoster_PeerAt(roster, first)->address : NULL;
}

static void
fetch_snapshot(struct gateway *gateway, const char *peer)
{
    struct peer_fetch *fetch = &gateway->peer_fetch;
    GString *message = g_string_new(NULL);
    CmH1Writer_Request(message, "GET",
                       fetch->wants_facts ? FACTS_PATH : SNAPSHOT_PATH);
    CmH1Writer_Header(message, "Host", peer);
    uint64_t id = CmH1Pool_NextCallId(&gateway->pool);
    CmH1Writer_CallId(message, id);
    g_string_append(message, "\r\n");
    struct cm_h1_call_request request = {.address = peer,
                                         .message = message,
                                         .call_id = id,
                                         .body_max_bytes = BODY_MAX_BYTES};
    bool started = CmH1Call_Start(&fetch->call, &gateway->pool, &request,
                                  &call_handler, gateway);
    set_timer(fetch, started ? PEER_TIMEOUT_MS : PEER_PAUSE_MS);
    g_string_free(message, TRUE);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct gateway *gateway = context;
    CmH1Call_Cancel(&gateway->peer_fetch.call);
    gateway->peer_fetch.wants_facts = Gateway_CanServe(gateway);
    if (gateway->peer_fetch.wants_facts &&
        gateway->peer_fetch.facts_tries++ >= FACTS_TRIES) {
        settle(gateway);
        return;
    }
    const char *peer = choose_peer(gateway);
    if (peer != NULL) {
        fetch_snapshot(gateway, peer);
    }
    else {
        settle(gateway);
    }
}

void
PeerFetch_Init(struct gateway *gateway)
{
    struct peer_fetch *fetch = &gateway->peer_fetch;
    fetch->body = g_string_new(NULL);
    fetch->timer = evtimer_new(gateway->base, on_timer, gateway);
    set_timer(fetch, STORE_HEAD_START_MS);
}

void
PeerFetch_AskForFacts(struct gateway *gateway)
{
    struct peer_fetch *fetch = &gateway->peer_fetch;
    if (fetch->facts_tries >= FACTS_TRIES &&
        !evtimer_pending(fetch->timer, NULL)) {
        fetch->facts_tries = 0;
        set_timer(fetch, 0);
    }
}

void
PeerFetch_AskAgain(struct gateway *gateway)
{
    struct peer_fetch *fetch = &gateway->peer_fetch;
    fetch->settled = false;
    fetch->facts_tries = 0;
    fetch->listed_at = (struct timespec){0};
    set_timer(fetch, g_rand_int_range(gateway->random, 1, ERA_SPREAD_MS));
}

void
PeerFetch_Finish(struct gateway *gateway)
{
    CmH1Call_Cancel(&gateway->peer_fetch.call);
    event_free(gateway->peer_fetch.timer);
    g_string_free(gateway->peer_fetch.body, TRUE);
}
