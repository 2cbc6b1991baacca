/// @file orders.h
/// Orders to the engine: loads, evictions, and the permits that loads need.

#ifndef ORDERS_H
#define ORDERS_H

#include "agent.h"

/// Prepares orders and permits.
void
Orders_Init(struct agent *agent);

/// Frees them.
void
Orders_Finish(struct agent *agent);

/// Loads the adapter of `slot`.
void
Orders_Load(struct agent *agent, struct cm_slot *slot, const char *reason);

/// Evicts the adapter of `slot`.
void
Orders_Evict(struct agent *agent, struct cm_slot *slot, const char *reason);

/// Runs that this agent does not know of may use the adapter.
void
Orders_MarkUntracked(struct agent *agent, const char *adapter);

/// Finds out whether such runs are over; every few milliseconds.
void
Orders_CheckUntracked(struct agent *agent);

/// Compares the slots with what the engine holds.
void
Orders_Reconcile(struct agent *agent);

/// Asks for the permits that waiting loads need; returns unneeded ones.
void
Orders_UpdatePermits(struct agent *agent);

/// An entry answered a question for a permit.
void
Orders_AcceptGrant(struct agent *agent, const struct cm_link_peer *peer,
                   const struct cm_msg_grant *grant);

#endif
