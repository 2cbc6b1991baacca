/// @file peers.h
/// Entries that an agent hears of, and reports to them.

#ifndef PEERS_H
#define PEERS_H

#include "agent.h"

/// Finds an entry by its link address, or adds it.
struct peer *
Peers_FindOrAdd(struct agent *agent, const struct cm_link_peer *address);

/// A heartbeat of an entry; answered by a report.
void
Peers_RecordHeartbeat(struct agent *agent, struct peer *peer,
                      const struct cm_msg_hello *hello);

/// @return age in milliseconds of a message that the entry sent at `sent_ms`
///         of its own clock, beyond the quickest one seen. A message that lay
///         in a queue while this process was paused shows its true age.
int64_t
Peer_MessageAgeMs(const struct agent *agent, struct peer *peer,
                  uint64_t sent_ms);

/// @return the live entry that hands out permits, the same for all agents
///         that hear the same entries, or NULL.
const struct peer *
Peers_FindPermitIssuer(const struct agent *agent);

/// Reports to all entries.
void
Peers_ReportAll(struct agent *agent);

/// Forgets entries that are silent.
void
Peers_Expire(struct agent *agent);

/// Frees all.
void
Peers_Finish(struct agent *agent);

#endif
