/// @file peers.c
/// Entries that an agent hears of.

#include "peers.h"

#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "jobs.h"

/// Silence after which an entry is forgotten altogether.
#define FORGET_MS 60000
/// Longest interval of heartbeats that is believed.
#define INTERVAL_MAX_MS 60000
#define THOUSANDTHS 1000
/// Reported where nothing can be evicted.
#define EVICTION_COST_MAX 1000000

static int64_t
own_ms(const struct agent *agent)
{
    return CmTime_DiffMs(Agent_Now(agent), (struct timespec){0});
}

struct peer *
Peers_Find(struct agent *agent, const struct cm_link_peer *address)
{
    struct peer *peer;
    CmList_FOREACH (peer, &agent->peers, link) {
        if (strcmp(peer->address.name, address->name) == 0) {
            return peer;
        }
    }
    peer = g_new0(struct peer, 1);
    peer->address = *address;
    peer->least_offset_ms = G_MAXINT64;
    peer->heard = Agent_Now(agent);
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
Peer_Age(const struct agent *agent, struct peer *peer, uint64_t sent_ms)
{
    int64_t offset_ms = own_ms(agent) - (int64_t)sent_ms;
    if (offset_ms < peer->least_offset_ms) {
        peer->least_offset_ms = offset_ms;
    }
    return offset_ms - peer->least_offset_ms;
}

static void
fill_slots(const struct agent *agent, struct cm_msg_report *report)
{
    const struct cm_scheduler *scheduler = &agent->scheduler;
    report->slots = g_new0(struct cm_msg_slot, scheduler->n_slots + 1);
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        const struct cm_slot *slot = &scheduler->slots[i];
        bool shown = slot->state == CM_SLOT_LOADING ||
                     (slot->state == CM_SLOT_READY && !slot->draining);
        if (shown) {
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
               ? (uint64_t)(cost * THOUSANDTHS)
               : (uint64_t)EVICTION_COST_MAX * THOUSANDTHS;
}

static void
report_to(struct agent *agent, struct peer *peer)
{
    const struct cm_scheduler *scheduler = &agent->scheduler;
    struct cm_message message = {.type = CM_MSG_REPORT};
    struct cm_msg_report *report = &message.report;
    report->target = CmBytes_FromText(agent->settings.target);
    report->service = CmBytes_FromText(agent->settings.service);
    report->incarnation = agent->incarnation;
    report->revision = agent->revision;
    report->draining = agent->leaving;
    report->healthy = agent->healthy;
    report->running = scheduler->running;
    report->waiting = scheduler->waiting_jobs;
    report->capacity = scheduler->capacity;
    report->slot_count = scheduler->n_slots;
    report->load_ms = (uint64_t)agent->load_ms;
    report->eviction_cost = eviction_cost(agent);
    report->run_ms = (uint64_t)agent->run_ms;
    report->slots_version = agent->slots_version;
    if (peer->slots_seen != agent->slots_version) {
        fill_slots(agent, report);
    }
    CmLink_Send(&agent->link, &peer->address, &message);
    g_free(report->slots);
}

static bool
is_lost(const struct agent *agent, const struct peer *peer)
{
    return CmTime_DiffMs(Agent_Now(agent), peer->heard) >
           peer->interval_ms * CM_PEER_MISSED_MAX;
}

/// The instance list, read by any entry that is there, says that this
/// instance leaves: what has not started goes elsewhere.
static void
update_listed_leaving(struct agent *agent)
{
    bool listed = false;
    const struct peer *peer;
    CmList_FOREACH (peer, &agent->peers, link) {
        listed |= peer->says_leaving && !is_lost(agent, peer);
    }
    bool news = listed && !agent->listed_leaving;
    agent->listed_leaving = listed;
    if (news) {
        CmLog_Event(G_LOG_LEVEL_INFO, "peers", NULL,
                    "the instance list says that this instance leaves");
        Jobs_RefuseWaiting(agent, CM_REASON_DRAINING);
    }
}

void
Peers_Hello(struct agent *agent, struct peer *peer,
            const struct cm_msg_hello *hello)
{
    if (peer->name == NULL) {
        peer->name = CmBytes_Dup(hello->entry);
    }
    peer->heard = Agent_Now(agent);
    peer->revision = hello->revision;
    peer->slots_seen = hello->known_slots_version;
    peer->interval_ms = hello->interval_ms < INTERVAL_MAX_MS
                            ? (int64_t)hello->interval_ms
                            : INTERVAL_MAX_MS;
    peer->says_leaving = hello->instance_draining != 0;
    update_listed_leaving(agent);
    Peer_Age(agent, peer, hello->sent_ms);
    if (hello->revision > agent->revision) {
        agent->revision = hello->revision;
        agent->count.revision.value = (int64_t)hello->revision;
        CmLog_Event(G_LOG_LEVEL_INFO, "config", NULL,
                    "revision %" G_GUINT64_FORMAT " is in force",
                    agent->revision);
    }
    report_to(agent, peer);
}

const struct peer *
Peers_PermitHolder(const struct agent *agent)
{
    const struct peer *best = NULL;
    uint64_t best_hash = 0;
    const struct peer *peer;
    CmList_FOREACH (peer, &agent->peers, link) {
        if (peer->name == NULL || is_lost(agent, peer)) {
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
        if (!is_lost(agent, peer)) {
            report_to(agent, peer);
        }
    }
}

void
Peers_Expire(struct agent *agent)
{
    struct peer *peer;
    struct peer *next;
    CmList_FOREACH_SAFE (peer, &agent->peers, link, next) {
        if (CmTime_DiffMs(Agent_Now(agent), peer->heard) > FORGET_MS) {
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
