/// @file admin.h
/// The agent's admin listener: /metrics, /healthz and /readyz.

#ifndef ADMIN_H
#define ADMIN_H

#include "agent.h"

/// Registers the agent's counters.
void
Admin_InitCounters(struct agent *agent);

/// Starts the listener on the address in the settings.
/// @return false with `*error` where it cannot be bound.
bool
Admin_Listen(struct agent *agent, GError **error);

#endif
