/// @file introduction.h
/// Introductions between gateways whose settings have no seed in common: each
/// tells its control address to the same few agents, which answer with those
/// of others. One datagram each way, a JSON object. Without sockets.

#ifndef PEERS_INTRODUCTION_H
#define PEERS_INTRODUCTION_H

#include <glib.h>
#include <stdbool.h>
#include <sys/queue.h>

#include "base/clock.h"
#include "peers/peer_news.h"

/// Largest datagram, in bytes.
#define CM_INTRODUCTION_MAX 256
/// First byte of an introduction, which tells it from other datagrams.
#define CM_INTRODUCTION_MARK '{'
/// Gateways in one answer.
#define CM_INTRODUCTION_GATEWAYS_MAX 8
/// Agents to which a gateway introduces itself: one may be lost.
#define CM_INTRODUCTION_AGENTS 2
/// Matter by whose hash these agents are chosen.
#define CM_INTRODUCTION_KEY "gateways"
/// Interval of introductions of a gateway that has just started, the time for
/// which it counts as such, and the interval afterwards. The latter grows with
/// the number of gateways beyond CM_INTRODUCTION_INTERVAL_GATEWAYS, so that an
/// agent's load stays the same.
#define CM_INTRODUCTION_FIRST_MS 1000
#define CM_INTRODUCTION_FIRST_FOR_MS 10000
#define CM_INTRODUCTION_INTERVAL_MS 5000
#define CM_INTRODUCTION_INTERVAL_GATEWAYS 40

/// An introduction or its answer.
struct cm_introduction {
    bool is_answer;
    size_t n; ///< 1 for an introduction
    char gateways[CM_INTRODUCTION_GATEWAYS_MAX][CM_PEER_ADDRESS_SIZE];
};

/// @param[out] data receives the datagram.
/// @return its size; gateways for which there is no room are left out.
size_t
CmIntroduction_Encode(const struct cm_introduction *introduction,
                      char data[CM_INTRODUCTION_MAX]);

/// @return whether the datagram is valid.
bool
CmIntroduction_Decode(struct cm_introduction *introduction, const char *data,
                      size_t size);

/// @return time until a gateway introduces itself again.
int64_t
CmIntroduction_IntervalMs(int64_t running_ms, size_t gateways);

/// The gateways that have introduced themselves to one agent.
struct cm_introducer {
    struct cm_clock *clock;
    TAILQ_HEAD(cm_introduced_list, cm_introduced) latest; ///< latest first
    GHashTable *gateways; ///< address to its entry in the list
};

/// @param clock is borrowed.
void
CmIntroducer_Init(struct cm_introducer *introducer, struct cm_clock *clock);

void
CmIntroducer_Finish(struct cm_introducer *introducer);

/// Records an introduction and answers with others: those that came last.
void
CmIntroducer_Answer(struct cm_introducer *introducer,
                    const struct cm_introduction *introduction,
                    struct cm_introduction *answer);

#endif
