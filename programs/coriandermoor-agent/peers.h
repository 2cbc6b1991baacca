/// @file peers.h
/// Entries that send heartbeats to the agent, and the agent's reports to them.

#ifndef PEERS_H
#define PEERS_H

#include "agent.h"

/// @return the entry with the link address `address`, added if unknown.
struct peer *
Peers_FindOrAdd(struct agent *agent, const struct cm_link_peer *address);

/// Records a heartbeat and replies with a report.
void
Peers_RecordHeartbeat(struct agent *agent, struct peer *peer,
                      const struct cm_msg_hello *hello);

/// @param sent_ms time of sending by the entry's monotonic clock
/// @return age of the message in milliseconds, less the transit time of the
///         fastest message so far. Covers the time that a message spent in a
///         queue while this process was suspended.
int64_t
Peer_MessageAgeMs(const struct agent *agent, struct peer *peer,
                  uint64_t sent_ms);

/// @return the live entry that grants load permits, or NULL. Agents that get
///         heartbeats from the same entries choose the same one.
const struct peer *
Peers_FindPermitIssuer(const struct agent *agent);

/// Reports the agent's state to all live entries.
void
Peers_ReportAll(struct agent *agent);

/// Removes entries that have not sent a heartbeat for a minute.
void
Peers_Expire(struct agent *agent);

void
Peers_Finish(struct agent *agent);

#endif
