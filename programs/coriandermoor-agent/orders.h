/// @file orders.h
/// Orders to the engine: adapter loads and evictions, the permits that loads
/// need, and reconciliation of the slots with the engine's adapter list.

#ifndef ORDERS_H
#define ORDERS_H

#include "agent.h"

void
Orders_Init(struct agent *agent);

/// Cancels all orders under way.
void
Orders_Finish(struct agent *agent);

/// Orders the engine to load the adapter of `slot`.
/// @param reason logged with the decision
void
Orders_Load(struct agent *agent, struct cm_slot *slot, const char *reason);

/// Orders the engine to unload the adapter of `slot`.
/// @param reason logged with the decision
void
Orders_Evict(struct agent *agent, struct cm_slot *slot, const char *reason);

/// Protects the adapter from eviction, as runs that this agent does not track
/// may use it.
void
Orders_MarkUntracked(struct agent *agent, const char *adapter);

/// Ends that protection once the engine's load report shows no untracked runs.
/// Called at each tick.
void
Orders_CheckUntracked(struct agent *agent);

/// Requests the engine's adapter list and corrects the slots that differ from
/// it.
void
Orders_Reconcile(struct agent *agent);

/// Requests permits for pending loads and releases those no longer needed.
void
Orders_UpdatePermits(struct agent *agent);

/// Records a permit that an entry granted, or releases it at once where no
/// load needs it any more.
void
Orders_AcceptGrant(struct agent *agent, const struct cm_link_peer *peer,
                   const struct cm_msg_grant *grant);

#endif
