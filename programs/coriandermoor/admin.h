/// @file admin.h
/// HTTP listener for operators: configuration, status, metrics and health
/// checks of an entry.

#ifndef ADMIN_H
#define ADMIN_H

#include "entry.h"

/// Registers the entry's counters and gauges for /metrics.
void
Admin_InitCounters(struct entry *entry);

/// Starts listening on the admin address of the settings.
/// @return false with `error` set if the address cannot be bound.
bool
Admin_Listen(struct entry *entry, GError **error);

#endif
