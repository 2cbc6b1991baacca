/// @file scheduler_defs.h
/// Types of an agent's scheduler: jobs, adapter slots, and the actions that
/// it asks for.

#ifndef PLACEMENT_SCHEDULER_DEFS_H
#define PLACEMENT_SCHEDULER_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"
#include "placement/popularity.h"

/// Loads that one engine runs at once.
#define CM_CONCURRENT_LOADS_MAX 2
/// Wait after which a load may close a slot that is busy without a break.
#define CM_SLOT_DRAIN_WAIT_MS 500
/// Pause before a failed load is tried again.
#define CM_LOAD_RETRY_MS 300
/// Failed loads in a row after which the waiting jobs are refused.
#define CM_LOAD_FAILURES_MAX 3

struct cm_adapter_queue;

/// One request in an agent, embedded in the owner's own struct.
struct cm_job {
    TAILQ_ENTRY(cm_job) link; ///< in its want's queue while it waits
    struct cm_adapter_queue *queue;
    int64_t priority; ///< 0 is most urgent
    struct timespec arrived;
    struct timespec deadline;
    bool running;
    GSequenceIter *deadline_iter; ///< place among waiting jobs
    struct cm_slot *slot;         ///< pinned while it runs
    uint64_t slot_epoch;          ///< of `slot` when it was pinned
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
    struct cm_adapter_queue *queue; ///< adapter in the slot, NULL while empty
    struct cm_adapter_queue
        *reserved_for;   ///< adapter that gets the slot after an eviction
    size_t pins;         ///< running jobs; never evicted while above zero
    uint64_t epoch;      ///< grows when the slot is cleared
    bool untracked_runs; ///< may serve runs that are not known here: not
                         ///< evicted
    bool draining;       ///< takes no new jobs, to be evicted when idle
    struct timespec last_used;
    struct timespec loaded_at;
    int64_t load_stall_ms; ///< time the adapter was waited for before that
};

/// All that waits for, or holds, one adapter.
struct cm_adapter_queue {
    LIST_ENTRY(cm_adapter_queue) link;
    char *adapter; ///< "name@version"; empty for a plain target
    TAILQ_HEAD(cm_job_queue, cm_job) jobs; ///< by priority, then deadline
    size_t running;                        ///< jobs of it that run
    struct cm_slot *slot;
    GSequenceIter *pending_iter; ///< place among wants that need a load
    bool prefetch;               ///< wanted although nobody waits
    int failures;                ///< failed loads in a row
    struct timespec retry_at;
    struct timespec stall_started; ///< when a job first waited for the load
};

/// What is to be done next.
enum cm_action_kind {
    CM_ACTION_NONE,
    CM_ACTION_START, ///< run `job`
    CM_ACTION_LOAD,  ///< load the adapter of `slot->want` into `slot`
    CM_ACTION_EVICT, ///< take the adapter of `slot->want` out
    CM_ACTION_REFUSE_DEADLINE, ///< `job` cannot be started in time
    CM_ACTION_REFUSE_LOAD,     ///< the adapter of `job` cannot be loaded
};

struct cm_action {
    enum cm_action_kind kind;
    struct cm_job *job;
    struct cm_slot *slot;
    const char *reason;
};

struct cm_scheduler;

/// How a slot is chosen for eviction.
struct cm_eviction_ops {
    const char *name;
    /// @return how much worth keeping the adapter of `slot` is; the lowest
    ///         goes first.
    double (*retention_value)(const struct cm_scheduler *scheduler,
                              const struct cm_slot *slot, struct timespec now);
};

struct cm_scheduler {
    const struct cm_eviction_ops *eviction;
    struct cm_slot *slots;
    size_t n_slots; ///< 0 for a plain target
    size_t capacity;
    size_t running;
    size_t waiting_jobs;
    size_t loading;
    size_t permits;     ///< loads allowed by the weight store's budget
    bool stopped;       ///< the target is down: nothing is started or loaded
    GHashTable *queues; ///< adapter text to struct cm_adapter_queue
    GSequence *jobs_by_deadline; ///< waiting jobs, earliest deadline first
    GSequence *pending_loads;    ///< wants that need a load, most urgent first
    struct cm_popularity popularity;
    struct cm_adapter_queue *plain_queue; ///< the one want of a plain target
};

#endif
