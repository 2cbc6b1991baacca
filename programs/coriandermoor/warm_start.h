/// @file warm_start.h
/// Warm start: stores a snapshot of the adapters' request rates in the object
/// API, loads it when the entry starts, and prefetches popular adapters into
/// empty slots.

#ifndef WARM_START_H
#define WARM_START_H

#include "entry.h"

/// Initializes the calls to the object API.
void
WarmStart_Init(struct entry *entry);

/// Cancels the call in flight.
void
WarmStart_Finish(struct entry *entry);

/// Loads the stored snapshot once after the start; later replaces it if it is
/// a minute old, so that all entries together write it once a minute. To be
/// called once a second.
void
WarmStart_SyncSnapshot(struct entry *entry);

/// Sends prefetches of popular adapters to targets with empty slots. To be
/// called once a second.
void
WarmStart_Prefetch(struct entry *entry);

#endif
