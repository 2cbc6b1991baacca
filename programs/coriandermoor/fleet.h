/// @file fleet.h
/// Keeps the member table, the links and the router's targets in line with
/// the platform's instance list and the configuration in force.

#ifndef FLEET_H
#define FLEET_H

#include "entry.h"

/// Initializes the member table, the links and the reader of the instance
/// list.
void
Fleet_Init(struct entry *entry);

/// Closes all links and frees the tables.
void
Fleet_Finish(struct entry *entry);

/// Reads the instance list again if its poll interval has passed.
void
Fleet_PollInstances(struct entry *entry);

/// Adds the configured targets to the router and removes all others.
void
Fleet_Sync(struct entry *entry);

/// Sends prefetches for the configured adapters of services that no usable
/// target has in a slot.
void
Fleet_PrefetchDependencies(struct entry *entry);

#endif
