/// @file admin.h
/// The agent's listener for operators: metrics and health.

#ifndef ADMIN_H
#define ADMIN_H

#include "agent.h"

/// Registers the agent's counters.
void
Admin_InitCounters(struct agent *agent);

/// Starts the listener.
bool
Admin_Listen(struct agent *agent, GError **error);

#endif
