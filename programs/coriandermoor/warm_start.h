/// @file warm_start.h
/// Keeps the adapters' popularity in the object API and takes it from there at
/// the start; has empty slots filled with what is popular.

#ifndef WARM_START_H
#define WARM_START_H

#include "entry.h"

/// Prepares; reads the snapshot once.
void
WarmStart_Init(struct entry *entry);

/// Gives calls under way up.
void
WarmStart_Finish(struct entry *entry);

/// Writes the snapshot where the stored one is old enough, so that all entries
/// together write it once a minute. Once a second.
void
WarmStart_SyncSnapshot(struct entry *entry);

/// Asks targets with empty slots to hold popular adapters. Once a second.
void
WarmStart_Prefetch(struct entry *entry);

#endif
