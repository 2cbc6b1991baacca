/// @file scheduler_defs.h
/// Types of an agent's scheduler: jobs, adapter queues, slots, and actions for
/// the owner to carry out.

#ifndef PLACEMENT_SCHEDULER_DEFS_H
#define PLACEMENT_SCHEDULER_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"
#include "placement/popularity.h"

/// Adapter loads in progress at one engine.
#define CM_CONCURRENT_LOADS_MAX 2
/// Queue wait of a job after which a slot that is never idle is drained for
/// its adapter.
#define CM_SLOT_DRAIN_WAIT_MS 500
/// Delay before a failed load is retried, per failure in a row.
#define CM_LOAD_RETRY_MS 300
/// Failed loads in a row after which the waiting jobs are refused.
#define CM_LOAD_FAILURES_MAX 3

struct cm_adapter_queue;

/// One request in an agent, embedded in the owner's own struct.
struct cm_job {
    TAILQ_ENTRY(cm_job) link; ///< in `queue->jobs` while it waits
    struct cm_adapter_queue *queue;
    int64_t priority; ///< 0 is most urgent
    struct timespec arrived;
    struct timespec deadline;
    bool running;
    GSequenceIter *deadline_iter; ///< in `jobs_by_deadline` while it waits
    struct cm_slot *slot;         ///< pinned while it runs
    uint64_t slot_epoch;          ///< epoch of `slot` when it was pinned
};

enum cm_slot_state {
    CM_SLOT_EMPTY,
    CM_SLOT_LOADING,
    CM_SLOT_READY,
    CM_SLOT_UNLOADING,
};

/// One adapter slot of an engine.
struct cm_slot {
    enum cm_slot_state state;
    struct cm_adapter_queue *queue; ///< of its adapter, NULL while empty
    struct cm_adapter_queue *reserved_for; ///< loaded after the eviction
    size_t pins;         ///< running jobs; no eviction while above zero
    uint64_t epoch;      ///< incremented when the slot is cleared
    bool untracked_runs; ///< may run requests that are no job of the scheduler
    bool draining;       ///< starts no new jobs and is evicted when idle
    bool invalid;        ///< the engine lacks its adapter; cleared when idle
    struct timespec last_used;
    struct timespec loaded_at;
    int64_t load_stall_ms; ///< wait of the first job for this load
};

/// Jobs and slot of one adapter.
struct cm_adapter_queue {
    LIST_ENTRY(cm_adapter_queue) link;
    char *adapter; ///< "name@version"; empty for a plain target
    TAILQ_HEAD(cm_job_queue, cm_job) jobs; ///< by priority, then deadline
    size_t running;                        ///< running jobs
    struct cm_slot *slot;
    GSequenceIter *pending_iter;   ///< in `pending_loads`, or NULL
    bool prefetch;                 ///< load also without a waiting job
    int failures;                  ///< failed loads in a row
    struct timespec retry_at;      ///< no load before that
    struct timespec stall_started; ///< when a job first waited for the load
};

enum cm_action_kind {
    CM_ACTION_NONE,
    CM_ACTION_START, ///< run `job`
    CM_ACTION_LOAD,  ///< load the adapter of `slot->queue` into `slot`
    CM_ACTION_EVICT, ///< evict the adapter of `slot->queue`
    CM_ACTION_REFUSE_DEADLINE, ///< the deadline of `job` has passed
    CM_ACTION_REFUSE_LOAD,     ///< loads of the adapter of `job` keep failing
};

struct cm_action {
    enum cm_action_kind kind;
    struct cm_job *job;
    struct cm_slot *slot;
    const char *reason;
};

struct cm_scheduler;

/// An eviction policy.
struct cm_eviction_ops {
    const char *name;
    /// @return the retention value of the adapter of `slot`; the slot with
    ///         the lowest value is evicted first.
    double (*retention_value)(const struct cm_scheduler *scheduler,
                              const struct cm_slot *slot, struct timespec now);
};

struct cm_scheduler {
    const struct cm_eviction_ops *eviction;
    struct cm_slot *slots;
    size_t n_slots;  ///< 0 for a plain target
    size_t capacity; ///< jobs that may run at the same time
    size_t running;
    size_t waiting_jobs;
    size_t loading;
    size_t permits;     ///< granted load permits that no load has used yet
    bool stopped;       ///< target down: starts and loads nothing
    GHashTable *queues; ///< adapter name to struct cm_adapter_queue
    GSequence *jobs_by_deadline; ///< waiting jobs, earliest deadline first
    GSequence *pending_loads;    ///< adapter queues, most urgent first
    struct cm_popularity popularity;
    struct cm_adapter_queue *plain_queue; ///< only queue of a plain target
};

#endif
