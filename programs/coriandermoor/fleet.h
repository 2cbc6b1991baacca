/// @file fleet.h
/// Joins the instance list, the configuration, the member table and the
/// router's targets.

#ifndef FLEET_H
#define FLEET_H

#include "entry.h"

/// Prepares the tables.
void
Fleet_Init(struct entry *entry);

/// Frees the tables.
void
Fleet_Finish(struct entry *entry);

/// Reads the instance list again.
void
Fleet_PollInstances(struct entry *entry);

/// Brings links and targets in line with configuration and list.
void
Fleet_Sync(struct entry *entry);

/// Asks targets to hold the adapters that services depend on.
void
Fleet_PrefetchDependencies(struct entry *entry);

#endif
