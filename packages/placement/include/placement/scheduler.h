/// @file scheduler.h
/// Schedules the jobs of one agent's target: decides which job starts next,
/// which adapter is loaded and which one is evicted. The scheduler performs no
/// I/O: its owner asks for the next action, carries it out and reports the
/// result. No other component loads into or evicts from its engine's slots.

#ifndef PLACEMENT_SCHEDULER_H
#define PLACEMENT_SCHEDULER_H

#include "placement/scheduler_defs.h"

/// @return the eviction policy called `name` ("lru" or "value"), or NULL.
const struct cm_eviction_ops *
CmEviction_Find(const char *name);

/// @param n_slots adapter slots of the engine; 0 for a plain target, which
///        serves no adapters.
/// @param capacity jobs that may run at the same time.
void
CmScheduler_Init(struct cm_scheduler *scheduler,
                 const struct cm_eviction_ops *eviction, size_t n_slots,
                 size_t capacity);

/// Frees the scheduler, but not its jobs, which belong to the owner.
void
CmScheduler_Finish(struct cm_scheduler *scheduler);

/// Queues a job whose priority, arrived and deadline the owner has set.
/// @param adapter "name@version"; ignored for a plain target.
void
CmScheduler_Add(struct cm_scheduler *scheduler, struct cm_job *job,
                const char *adapter, struct timespec now);

/// Removes a running or waiting job. A running job's pin is released.
void
CmScheduler_Remove(struct cm_scheduler *scheduler, struct cm_job *job,
                   struct timespec now);

/// Queues a running job again, because its target did not start it.
void
CmScheduler_Requeue(struct cm_scheduler *scheduler, struct cm_job *job,
                    struct timespec now);

/// @return the next action. START pins the job's slot; LOAD and EVICT change
///         the state of the slot. A refused job stays queued until the owner
///         removes it.
struct cm_action
CmScheduler_NextAction(struct cm_scheduler *scheduler, struct timespec now);

/// Records the result of the load into `slot`. A failed load is retried after
/// CM_LOAD_RETRY_MS times the number of failures in a row.
void
CmScheduler_FinishLoad(struct cm_scheduler *scheduler, struct cm_slot *slot,
                       bool ok, struct timespec now);

/// Records the result of the eviction from `slot`. The adapter stays in the
/// slot if the eviction failed.
void
CmScheduler_FinishEviction(struct cm_scheduler *scheduler,
                           struct cm_slot *slot, bool ok, struct timespec now);

/// Clears the slot of an adapter that the engine does not have. A slot with
/// running jobs is drained first.
void
CmScheduler_InvalidateAdapter(struct cm_scheduler *scheduler,
                              const char *adapter);

/// @return whether `adapter` has a slot, also while it loads or unloads.
bool
CmScheduler_HasAdapter(const struct cm_scheduler *scheduler,
                       const char *adapter);

/// Assigns an empty slot to an adapter that the engine has loaded already.
/// @return whether `adapter` has a slot now; false if no slot is empty.
bool
CmScheduler_Adopt(struct cm_scheduler *scheduler, const char *adapter,
                  struct timespec now);

/// Protects the adapter from eviction until CmScheduler_ClearUntracked(),
/// because the engine may run requests with it that this scheduler does not
/// track, such as those of an earlier agent process.
void
CmScheduler_MarkUntracked(struct cm_scheduler *scheduler, const char *adapter);

/// Ends that protection, once the engine runs only jobs of this scheduler.
void
CmScheduler_ClearUntracked(struct cm_scheduler *scheduler);

/// @return whether some slot may serve untracked requests.
bool
CmScheduler_AnyUntracked(const struct cm_scheduler *scheduler);

/// Clears all ready slots, after the engine restarted without adapters. Loads
/// and evictions in progress end by their own result.
void
CmScheduler_ClearSlots(struct cm_scheduler *scheduler);

/// Requests a load of `adapter` without a waiting job. A prefetch comes after
/// all loads that a job waits for, and evicts nothing.
void
CmScheduler_Prefetch(struct cm_scheduler *scheduler, const char *adapter,
                     struct timespec now);

/// @return the retention value of the adapter that a further load would evict:
///         0 if a slot is empty, DBL_MAX if nothing can be evicted.
double
CmScheduler_EvictionCost(const struct cm_scheduler *scheduler,
                         struct timespec now);

/// @param[out] deadline of the first waiting job of the most urgent load; zero
///             for a prefetch. Unchanged if no load can start.
/// @return pending loads that could start now, at most
///         CM_CONCURRENT_LOADS_MAX.
size_t
CmScheduler_CountPendingLoads(const struct cm_scheduler *scheduler,
                              struct timespec *deadline);

#endif
