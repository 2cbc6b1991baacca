/// @file links.h
/// Connections to agents: heartbeats, load reports, reconnects after silence,
/// permits for loads.

#ifndef LINKS_H
#define LINKS_H

#include "entry.h"

/// Creates the link of a member, closed. Link_Open() connects it.
struct agent_link *
Link_New(struct entry *entry, struct cm_member *member);

/// Fails the link's attempts, closes the connection and frees the link.
void
Link_Free(struct agent_link *link);

/// Connects to the agent; replaces an open connection by a new one.
void
Link_Open(struct agent_link *link);

/// Closes the connection, if it is open. The attempts stay.
void
Link_Close(struct agent_link *link);

/// Queues a message on the connection.
/// @return false if the message was certainly not sent.
bool
Link_Send(struct agent_link *link, const struct cm_message *message);

/// @return the link of the target's agent, or NULL if no member has its name.
struct agent_link *
Links_FindByTarget(const struct entry *entry,
                   const struct cm_route_target *target);

/// Opens and closes links within the limit, sends heartbeats, replaces silent
/// connections, checks the attempts' timeouts and grants permits. Called on
/// every tick of the entry.
void
Links_Tick(struct entry *entry);

/// Moves the links' last contact forward by the time for which this process
/// was suspended. Messages could not be received then, so their absence does
/// not show that an agent is down.
void
Links_ResetTimeouts(struct entry *entry, int64_t suspended_ms);

/// @return the monotonic clock in milliseconds, as used in messages.
uint64_t
Links_ClockMs(const struct entry *entry);

/// Updates whether the router may pick the link's target.
void
Link_UpdateUsable(struct agent_link *link);

#endif
