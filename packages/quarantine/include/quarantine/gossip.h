/// @file gossip.h
/// Spreads crash records among gateways, without sockets: decides which peer
/// gets which records, and answers its messages.
///
/// A new record is pushed to a few random peers, each of which pushes it on
/// once. What a push misses is found by polls: each gateway compares the
/// digest of its records with that of one random peer at a time, and on a
/// difference both exchange the ids that they have and the records that the
/// other lacks. Polls also tell of gateways; see peers/roster.h.

#ifndef QUARANTINE_GOSSIP_H
#define QUARANTINE_GOSSIP_H

#include "peers/roster.h"
#include "quarantine/exchange.h"
#include "quarantine/quarantine.h"

/// Peers to which a new record is pushed.
#define CM_GOSSIP_FANOUT 3
/// Pushed records in a second, on average; one with many runs counts as
/// several. Bounds the traffic while many targets crash at once; what is
/// repeated in several crashes goes first.
#define CM_GOSSIP_RECORDS_PER_S 24
/// Runs of a record that count as one more record.
#define CM_GOSSIP_RUNS_PER_RECORD 4
struct cm_gossip {
    struct cm_quarantine *quarantine;
    GRand *random;
    struct cm_roster roster; ///< the gateways that this one knows
    GArray
        *pending;  ///< of uint64_t, ids of records to push, urgent ones first
    bool synced;   ///< has the records of another gateway
    double credit; ///< records that may be pushed now
    struct timespec credit_at;
    int64_t list_pause_ms;   ///< between lists of ids that brought nothing
    struct timespec list_at; ///< no such list before
};

/// @param quarantine, `clock` and `random` are borrowed.
/// @param self own address.
void
CmGossip_Init(struct cm_gossip *gossip, struct cm_quarantine *quarantine,
              struct cm_clock *clock, const char *self, GRand *random);

void
CmGossip_Finish(struct cm_gossip *gossip);

/// Adds a record that this gateway observed, and marks it to be pushed.
void
CmGossip_Observe(struct cm_gossip *gossip, struct cm_crash_record *record,
                 struct timespec now);

/// Composes a push of records that are due, into an initialized message.
/// @return false if there are none.
bool
CmGossip_ComposePush(struct cm_gossip *gossip, struct timespec now,
                     struct cm_exchange *push);

/// Composes a poll, into an initialized message.
void
CmGossip_ComposePoll(struct cm_gossip *gossip, struct timespec now,
                     struct cm_exchange *poll);

/// Applies a peer's message and composes the response.
void
CmGossip_Answer(struct cm_gossip *gossip, struct cm_exchange *request,
                struct timespec now, struct cm_exchange *response);

/// Applies the response to a push or a poll.
/// @param followup receives the next message to the same peer, if any.
/// @return whether there is one.
bool
CmGossip_HandleResponse(struct cm_gossip *gossip, struct cm_exchange *response,
                        struct timespec now, struct cm_exchange *followup);

#endif
