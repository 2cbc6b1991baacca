/// @file introductions.c
/// Introductions to agents, and their answers.

#include "introductions.h"

#include "peers/introduction.h"
#include "streams/holders.h"

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
    if (gateway->gossip.roster.self.address[0] == '\0' ||
        CmTime_Before(now, gateway->introduction_at) ||
        introduce(gateway) == 0) {
        return;
    }
    int64_t interval_ms =
        CmIntroduction_IntervalMs(CmTime_DiffMs(now, gateway->started_at),
                                  gateway->gossip.roster.peers->len + 1);
    gateway->introduction_at = CmTime_AddMs(now, interval_ms);
}
