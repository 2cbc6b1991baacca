/// @file introductions.c
/// Introductions to agents and their answers, and entries in the store.

#include "introductions.h"

#include "peers/introduction.h"
#include "streams/holders.h"

static void
on_found(void *context, const char *address)
{
    struct gateway *gateway = context;
    CmRoster_Add(&gateway->gossip.roster, address);
}

void
Introductions_Init(struct gateway *gateway)
{
    CmStoreRegistry_Init(
        &gateway->registry, &gateway->store, gateway->settings.common.name,
        gateway->gossip.roster.self.address, on_found, gateway);
}

void
Introductions_Finish(struct gateway *gateway)
{
    CmStoreRegistry_Finish(&gateway->registry);
}

void
Introductions_Apply(struct gateway *gateway, const char *data, size_t size)
{
    struct cm_introduction answer;
    if (!CmIntroduction_Decode(&answer, data, size) || !answer.is_answer) {
        return;
    }
    for (size_t i = 0; i < answer.n; i++) {
        CmRoster_Add(&gateway->gossip.roster, answer.gateways[i]);
    }
}

/// Sends an introduction to the agents that all gateways choose.
/// @return their number.
static size_t
introduce(struct gateway *gateway)
{
    struct cm_introduction introduction = {.n = 1};
    g_strlcpy(introduction.gateways[0], gateway->gossip.roster.self.address,
              sizeof(introduction.gateways[0]));
    char data[CM_INTRODUCTION_MAX];
    size_t size = CmIntroduction_Encode(&introduction, data);
    const char *agents[CM_INTRODUCTION_AGENTS];
    size_t n = CmStreamHolders_Choose(&gateway->targets, CM_INTRODUCTION_KEY,
                                      CM_INTRODUCTION_AGENTS, agents);
    for (size_t i = 0; i < n; i++) {
        CmDatagramPort_Send(&gateway->stream_port, agents[i], data, size);
        gateway->count.introductions.value++;
    }
    return n;
}

void
Introductions_Tick(struct gateway *gateway)
{
    struct timespec now = Gateway_Now(gateway);
    // Until targets are known, it is not known whether there are agents.
    if (gateway->gossip.roster.self.address[0] == '\0' ||
        gateway->targets.count == 0 ||
        CmTime_Before(now, gateway->introduction_at)) {
        return;
    }
    if (introduce(gateway) == 0) {
        CmStoreRegistry_Update(&gateway->registry);
    }
    int64_t interval_ms =
        CmIntroduction_IntervalMs(CmTime_DiffMs(now, gateway->started_at),
                                  gateway->gossip.roster.peers->len + 1);
    gateway->introduction_at = CmTime_AddMs(now, interval_ms);
}
