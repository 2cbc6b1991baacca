/// @file scheduler.h
/// An agent's decisions: which job runs next, which adapter is loaded, which
/// one is evicted. Pure: the owner asks for the next action, carries it out
/// and reports back. The only writer of its engine's slots.

#ifndef PLACEMENT_SCHEDULER_H
#define PLACEMENT_SCHEDULER_H

#include "placement/scheduler_defs.h"

/// @return the eviction policy called `name` ("lru" or "value"), or NULL.
const struct cm_eviction_ops *
CmEviction_Find(const char *name);

/// Prepares a scheduler. A plain target has no slots.
void
CmScheduler_Init(struct cm_scheduler *scheduler,
                 const struct cm_eviction_ops *eviction, size_t n_slots,
                 size_t capacity);

/// Frees the scheduler; jobs belong to the owner.
void
CmScheduler_Finish(struct cm_scheduler *scheduler);

/// Adds a job; the owner set priority, arrived and deadline.
void
CmScheduler_Add(struct cm_scheduler *scheduler, struct cm_job *job,
                const char *adapter, struct timespec now);

/// Takes a job out, running or waiting; its pin is released.
void
CmScheduler_Remove(struct cm_scheduler *scheduler, struct cm_job *job,
                   struct timespec now);

/// Puts a running job back, as its target turned out not to have started it.
void
CmScheduler_Requeue(struct cm_scheduler *scheduler, struct cm_job *job,
                    struct timespec now);

/// @return the next action. START pins the slot, LOAD and EVICT mark it; the
///         refusals leave the job in place until it is removed.
struct cm_action
CmScheduler_NextAction(struct cm_scheduler *scheduler, struct timespec now);

/// The load into `slot` ended.
void
CmScheduler_FinishLoad(struct cm_scheduler *scheduler, struct cm_slot *slot,
                       bool ok, struct timespec now);

/// The eviction from `slot` ended.
void
CmScheduler_FinishEviction(struct cm_scheduler *scheduler,
                           struct cm_slot *slot, bool ok, struct timespec now);

/// The adapter turned out not to be in its slot.
void
CmScheduler_InvalidateAdapter(struct cm_scheduler *scheduler,
                              const char *adapter);

/// @return whether `adapter` has a slot.
bool
CmScheduler_HasAdapter(const struct cm_scheduler *scheduler,
                       const char *adapter);

/// The engine turned out to hold `adapter`; takes a free slot for it.
/// @return false where no slot is free.
bool
CmScheduler_Adopt(struct cm_scheduler *scheduler, const char *adapter,
                  struct timespec now);

/// Runs that this scheduler does not know of may use the adapter: it is not
/// evicted until CmScheduler_ClearUntracked().
void
CmScheduler_MarkUntracked(struct cm_scheduler *scheduler, const char *adapter);

/// The engine runs nothing but this scheduler's jobs.
void
CmScheduler_ClearUntracked(struct cm_scheduler *scheduler);

/// @return whether some slot may serve runs that are not known here.
bool
CmScheduler_AnyUntracked(const struct cm_scheduler *scheduler);

/// The engine restarted cold: all slots are empty.
void
CmScheduler_ClearSlots(struct cm_scheduler *scheduler);

/// Asks for `adapter` although nobody waits; loaded when nobody else does.
void
CmScheduler_Prefetch(struct cm_scheduler *scheduler, const char *adapter,
                     struct timespec now);

/// @return how much worth keeping the adapter is that a further load would
///         evict: 0 with an empty slot, DBL_MAX where nothing can be evicted.
double
CmScheduler_EvictionCost(const struct cm_scheduler *scheduler,
                         struct timespec now);

/// @return how many loads could be made now, CM_CONCURRENT_LOADS_MAX at most,
/// and
///         the most urgent of their callers' deadlines (in `*deadline`; zero
///         where nobody waits).
size_t
CmScheduler_CountPendingLoads(const struct cm_scheduler *scheduler,
                              struct timespec *deadline);

#endif
