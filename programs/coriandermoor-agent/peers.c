/// @file peers.c
/// Heartbeats from entries, and reports to them.

#include "peers.h"

#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "jobs.h"

/// Time without a heartbeat after which an entry is removed.
#define PEER_EXPIRY_MS 60000
/// Upper bound for the heartbeat interval that an entry announces.
#define HEARTBEAT_INTERVAL_MAX_MS 60000
/// Reports carry the eviction cost in thousandths.
#define EVICTION_COST_SCALE 1000
/// Upper bound of the reported cost; also reported where no adapter can be
/// evicted.
#define EVICTION_COST_MAX 1000000

static int64_t
now_ms(const struct agent *agent)
{
    return CmTime_DiffMs(Agent_Now(agent), (struct timespec){0});
}

struct peer *
Peers_FindOrAdd(struct agent *agent, const struct cm_link_peer *address)
{
    struct peer *peer;
    CmList_FOREACH (peer, &agent->peers, link) {
        if (strcmp(peer->address.name, address->name) == 0) {
            return peer;
        }
    }
    peer = g_new0(struct peer, 1);
    peer->address = *address;
    peer->min_clock_offset_ms = G_MAXINT64;
    peer->last_heartbeat = Agent_Now(agent);
    LIST_INSERT_HEAD(&agent->peers, peer, link);
    return peer;
}

static void
peer_free(struct peer *peer)
{
    LIST_REMOVE(peer, link);
    g_free(peer->name);
    g_free(peer);
}

int64_t
Peer_MessageAgeMs(const struct agent *agent, struct peer *peer,
                  uint64_t sent_ms)
{
    int64_t offset_ms = now_ms(agent) - (int64_t)sent_ms;
    if (offset_ms < peer->min_clock_offset_ms) {
        peer->min_clock_offset_ms = offset_ms;
    }
    return offset_ms - peer->min_clock_offset_ms;
}

static void
fill_slots(const struct agent *agent, struct cm_msg_report *report)
{
    const struct cm_scheduler *scheduler = &agent->scheduler;
    report->slots = g_new0(struct cm_msg_slot, scheduler->n_slots + 1);
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        const struct cm_slot *slot = &scheduler->slots[i];
        bool reported = slot->state == CM_SLOT_LOADING ||
                        (slot->state == CM_SLOT_READY && !slot->draining);
        if (reported) {
            report->slots[report->n_slots++] =
                (struct cm_msg_slot){CmBytes_FromText(slot->queue->adapter),
                                     slot->state == CM_SLOT_READY, slot->pins};
        }
    }
    report->slots_included = 1;
}

static uint64_t
eviction_cost(const struct agent *agent)
{
    double cost =
        CmScheduler_EvictionCost(&agent->scheduler, Agent_Now(agent));
    return cost < EVICTION_COST_MAX
               ? (uint64_t)(cost * EVICTION_COST_SCALE)
               : (uint64_t)EVICTION_COST_MAX * EVICTION_COST_SCALE;
}

static void
send_report(struct agent *agent, struct peer *peer)
{
    const struct cm_scheduler *scheduler = &agent->scheduler;
    struct cm_message message = {.type = CM_MSG_REPORT};
    struct cm_msg_report *report = &message.report;
    report->target = CmBytes_FromText(agent->settings.target);
    report->service = CmBytes_FromText(agent->settings.service);
    report->incarnation = agent->incarnation;
    report->revision = agent->revision;
    report->draining = agent->shutting_down;
    report->healthy = agent->healthy;
    report->running = scheduler->running;
    report->waiting = scheduler->waiting_jobs;
    report->capacity = scheduler->capacity;
    report->slot_count = scheduler->n_slots;
    report->load_ms = (uint64_t)agent->mean_load_ms;
    report->eviction_cost = eviction_cost(agent);
    report->run_ms = (uint64_t)agent->mean_run_ms;
    report->slots_version = agent->slots_version;
    if (peer->known_slots_version != agent->slots_version) {
        fill_slots(agent, report);
    }
    CmLink_Send(&agent->link, &peer->address, &message);
    g_free(report->slots);
}

static bool
is_silent(const struct agent *agent, const struct peer *peer)
{
    return CmTime_DiffMs(Agent_Now(agent), peer->last_heartbeat) >
           peer->interval_ms * CM_PEER_MISSED_HEARTBEATS_MAX;
}

/// Updates whether the instance list of any live entry shows this instance as
/// draining. Requests that have not started are then refused, so that entries
/// send them to other targets.
static void
update_instance_draining(struct agent *agent)
{
    bool draining = false;
    const struct peer *peer;
    CmList_FOREACH (peer, &agent->peers, link) {
        draining |= peer->reports_draining && !is_silent(agent, peer);
    }
    bool newly_draining = draining && !agent->instance_draining;
    agent->instance_draining = draining;
    if (newly_draining) {
        CmLog_Event(G_LOG_LEVEL_INFO, "peers", NULL,
                    "the instance list shows this instance as draining; "
                    "refusing requests that have not started");
        Jobs_RefuseWaiting(agent, CM_REASON_DRAINING);
    }
}

void
Peers_RecordHeartbeat(struct agent *agent, struct peer *peer,
                      const struct cm_msg_hello *hello)
{
    if (peer->name == NULL) {
        peer->name = CmBytes_Dup(hello->entry);
    }
    peer->last_heartbeat = Agent_Now(agent);
    peer->revision = hello->revision;
    peer->known_slots_version = hello->known_slots_version;
    peer->interval_ms = hello->interval_ms < HEARTBEAT_INTERVAL_MAX_MS
                            ? (int64_t)hello->interval_ms
                            : HEARTBEAT_INTERVAL_MAX_MS;
    peer->reports_draining = hello->instance_draining != 0;
    update_instance_draining(agent);
    Peer_MessageAgeMs(agent, peer, hello->sent_ms);
    if (hello->revision > agent->revision) {
        agent->revision = hello->revision;
        agent->count.revision.value = (int64_t)hello->revision;
        CmLog_Event(G_LOG_LEVEL_INFO, "config", NULL,
                    "revision %" G_GUINT64_FORMAT " is in force",
                    agent->revision);
    }
    send_report(agent, peer);
}

const struct peer *
Peers_FindPermitIssuer(const struct agent *agent)
{
    const struct peer *best = NULL;
    uint64_t best_hash = 0;
    const struct peer *peer;
    CmList_FOREACH (peer, &agent->peers, link) {
        if (peer->name == NULL || is_silent(agent, peer)) {
            continue;
        }
        uint64_t hash = CmHash_Text(peer->name, 0);
        if (best == NULL || hash > best_hash) {
            best = peer;
            best_hash = hash;
        }
    }
    return best;
}

void
Peers_ReportAll(struct agent *agent)
{
    struct peer *peer;
    CmList_FOREACH (peer, &agent->peers, link) {
        if (!is_silent(agent, peer)) {
            send_report(agent, peer);
        }
    }
}

void
Peers_Expire(struct agent *agent)
{
    struct peer *peer;
    struct peer *next;
    CmList_FOREACH_SAFE (peer, &agent->peers, link, next) {
        if (CmTime_DiffMs(Agent_Now(agent), peer->last_heartbeat) >
            PEER_EXPIRY_MS) {
            peer_free(peer);
        }
    }
}

void
Peers_Finish(struct agent *agent)
{
    struct peer *peer;
    while ((peer = LIST_FIRST(&agent->peers)) != NULL) {
        peer_free(peer);
    }
}
