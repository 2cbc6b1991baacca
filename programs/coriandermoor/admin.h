/// @file admin.h
/// The listener for operators: configuration, status, metrics, health.

#ifndef ADMIN_H
#define ADMIN_H

#include "entry.h"

/// Registers the entry's counters.
void
Admin_InitCounters(struct entry *entry);

/// Starts the listener.
bool
Admin_Listen(struct entry *entry, GError **error);

#endif
