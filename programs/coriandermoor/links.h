/// @file links.h
/// Connections to agents: heartbeats, reports, silent connections.

#ifndef LINKS_H
#define LINKS_H

#include "entry.h"

/// Makes the link of a member; it is opened when needed.
struct agent_link *
Link_New(struct entry *entry, struct cm_member *member);

/// Closes and frees the link; its attempts fail first.
void
Link_Free(struct agent_link *link);

/// Opens the connection, or replaces it by a new one.
void
Link_Open(struct agent_link *link);

/// Closes the connection.
void
Link_Close(struct agent_link *link);

/// Sends a message. @return false where it was certainly not sent.
bool
Link_Send(struct agent_link *link, const struct cm_message *message);

/// @return the link of a target.
struct agent_link *
Links_FindByTarget(const struct entry *entry,
                   const struct cm_route_target *target);

/// Heartbeats, silence, permits; every few milliseconds.
void
Links_Tick(struct entry *entry);

/// This process was paused: what it did not hear meanwhile is no sign of
/// silence at the other end.
void
Links_ResetTimeouts(struct entry *entry, int64_t pause_ms);

/// @return monotonic milliseconds, as sent in messages.
uint64_t
Links_ClockMs(const struct entry *entry);

/// Brings `usable` of the link's target up to date.
void
Link_UpdateUsable(struct agent_link *link);

#endif
