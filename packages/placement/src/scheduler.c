/// @file scheduler.c
/// Starts jobs by priority and deadline, and loads adapters into the slots of
/// an engine by the urgency of their jobs.

#include "placement/scheduler.h"

#include <string.h>

#include "base/clock.h"
#include "scheduler_internal.h"

static int
compare_times(struct timespec a, struct timespec b)
{
    if (CmTime_Before(a, b)) {
        return -1;
    }
    return CmTime_Before(b, a);
}

static int
compare_jobs(const struct cm_job *a, const struct cm_job *b)
{
    if (a->priority != b->priority) {
        return a->priority < b->priority ? -1 : 1;
    }
    return compare_times(a->deadline, b->deadline);
}

/// Orders pending loads: those with waiting jobs first, by their most urgent
/// job, then prefetches.
static int
compare_queues(gconstpointer left, gconstpointer right, gpointer data)
{
    const struct cm_adapter_queue *a = left;
    const struct cm_adapter_queue *b = right;
    const struct cm_job *job_a = TAILQ_FIRST(&a->jobs);
    const struct cm_job *job_b = TAILQ_FIRST(&b->jobs);
    if (job_a == NULL || job_b == NULL) {
        return (job_a == NULL) - (job_b == NULL);
    }
    return compare_jobs(job_a, job_b);
}

static int
compare_deadlines(gconstpointer left, gconstpointer right, gpointer data)
{
    const struct cm_job *a = left;
    const struct cm_job *b = right;
    return compare_times(a->deadline, b->deadline);
}

static struct cm_adapter_queue *
queue_new(const char *adapter)
{
    struct cm_adapter_queue *queue = g_new0(struct cm_adapter_queue, 1);
    queue->adapter = g_strdup(adapter);
    TAILQ_INIT(&queue->jobs);
    return queue;
}

static void
queue_free(gpointer data)
{
    struct cm_adapter_queue *queue = data;
    g_free(queue->adapter);
    g_free(queue);
}

void
CmScheduler_Init(struct cm_scheduler *scheduler,
                 const struct cm_eviction_ops *eviction, size_t n_slots,
                 size_t capacity)
{
    memset(scheduler, 0, sizeof(*scheduler));
    scheduler->eviction = eviction;
    scheduler->n_slots = n_slots;
    scheduler->capacity = capacity;
    scheduler->slots = g_new0(struct cm_slot, n_slots + 1);
    scheduler->queues =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, queue_free);
    scheduler->pending_loads = g_sequence_new(NULL);
    scheduler->jobs_by_deadline = g_sequence_new(NULL);
    CmPopularity_Init(&scheduler->popularity);
    if (n_slots == 0) {
        scheduler->plain_queue = queue_new("");
    }
}

void
CmScheduler_Finish(struct cm_scheduler *scheduler)
{
    if (scheduler->plain_queue != NULL) {
        queue_free(scheduler->plain_queue);
    }
    g_sequence_free(scheduler->pending_loads);
    g_sequence_free(scheduler->jobs_by_deadline);
    g_hash_table_destroy(scheduler->queues);
    CmPopularity_Finish(&scheduler->popularity);
    g_free(scheduler->slots);
}

struct cm_adapter_queue *
CmAdapterQueue_FindOrAdd(struct cm_scheduler *scheduler, const char *adapter)
{
    if (scheduler->plain_queue != NULL) {
        return scheduler->plain_queue;
    }
    struct cm_adapter_queue *queue =
        g_hash_table_lookup(scheduler->queues, adapter);
    if (queue == NULL) {
        queue = queue_new(adapter);
        g_hash_table_insert(scheduler->queues, queue->adapter, queue);
    }
    return queue;
}

void
CmAdapterQueue_FreeIfUnused(struct cm_scheduler *scheduler,
                            struct cm_adapter_queue *queue)
{
    if (queue == scheduler->plain_queue || queue->slot != NULL ||
        queue->running > 0 || queue->pending_iter != NULL ||
        !TAILQ_EMPTY(&queue->jobs)) {
        return;
    }
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        if (scheduler->slots[i].reserved_for == queue) {
            return;
        }
    }
    g_hash_table_remove(scheduler->queues, queue->adapter);
}

void
CmAdapterQueue_UpdatePendingLoad(struct cm_scheduler *scheduler,
                                 struct cm_adapter_queue *queue)
{
    if (queue == scheduler->plain_queue) {
        return;
    }
    if (queue->pending_iter != NULL) {
        g_sequence_remove(queue->pending_iter);
        queue->pending_iter = NULL;
    }
    bool needed = !TAILQ_EMPTY(&queue->jobs) || queue->prefetch;
    if (needed && queue->slot == NULL) {
        if (queue->stall_started.tv_sec == 0 && !TAILQ_EMPTY(&queue->jobs)) {
            queue->stall_started = TAILQ_FIRST(&queue->jobs)->arrived;
        }
        queue->pending_iter = g_sequence_insert_sorted(
            scheduler->pending_loads, queue, compare_queues, NULL);
    }
}

static void
insert_job(struct cm_scheduler *scheduler, struct cm_adapter_queue *queue,
           struct cm_job *job)
{
    struct cm_job *other;
    scheduler->waiting_jobs++;
    job->deadline_iter = g_sequence_insert_sorted(
        scheduler->jobs_by_deadline, job, compare_deadlines, NULL);
    TAILQ_FOREACH_REVERSE(other, &queue->jobs, cm_job_queue, link)
    {
        if (compare_jobs(other, job) <= 0) {
            TAILQ_INSERT_AFTER(&queue->jobs, other, job, link);
            return;
        }
    }
    TAILQ_INSERT_HEAD(&queue->jobs, job, link);
}

static void
dequeue_job(struct cm_scheduler *scheduler, struct cm_job *job)
{
    TAILQ_REMOVE(&job->queue->jobs, job, link);
    g_sequence_remove(job->deadline_iter);
    job->deadline_iter = NULL;
    scheduler->waiting_jobs--;
}

void
CmScheduler_Add(struct cm_scheduler *scheduler, struct cm_job *job,
                const char *adapter, struct timespec now)
{
    struct cm_adapter_queue *queue =
        CmAdapterQueue_FindOrAdd(scheduler, adapter);
    job->queue = queue;
    job->running = false;
    insert_job(scheduler, queue, job);
    if (queue != scheduler->plain_queue) {
        CmPopularity_RecordRequest(&scheduler->popularity, adapter, now);
    }
    CmAdapterQueue_UpdatePendingLoad(scheduler, queue);
}

static void
release_pin(struct cm_scheduler *scheduler, struct cm_job *job,
            struct timespec now)
{
    scheduler->running--;
    job->queue->running--;
    job->running = false;
    struct cm_slot *slot = job->slot;
    // If the slot was cleared since the start (the engine restarted), its
    // pins are those of later jobs.
    if (slot != NULL && slot->epoch == job->slot_epoch) {
        slot->pins--;
        slot->last_used = now;
    }
    job->slot = NULL;
}

/// Clears the slot of an adapter that the engine lacks once no job pins it.
/// May free the queue.
/// @return whether the slot was cleared.
static bool
clear_invalid_slot(struct cm_scheduler *scheduler,
                   struct cm_adapter_queue *queue)
{
    struct cm_slot *slot = queue->slot;
    if (slot == NULL || !slot->invalid || slot->pins > 0) {
        return false;
    }
    CmSlot_Clear(scheduler, slot);
    return true;
}

void
CmScheduler_Remove(struct cm_scheduler *scheduler, struct cm_job *job,
                   struct timespec now)
{
    struct cm_adapter_queue *queue = job->queue;
    if (job->running) {
        release_pin(scheduler, job, now);
    }
    else {
        dequeue_job(scheduler, job);
    }
    job->queue = NULL;
    if (clear_invalid_slot(scheduler, queue)) {
        return;
    }
    CmAdapterQueue_UpdatePendingLoad(scheduler, queue);
    CmAdapterQueue_FreeIfUnused(scheduler, queue);
}

void
CmScheduler_Requeue(struct cm_scheduler *scheduler, struct cm_job *job,
                    struct timespec now)
{
    release_pin(scheduler, job, now);
    insert_job(scheduler, job->queue, job);
    CmAdapterQueue_UpdatePendingLoad(scheduler, job->queue);
    clear_invalid_slot(scheduler, job->queue);
}

static struct cm_action
no_action(void)
{
    return (struct cm_action){.kind = CM_ACTION_NONE};
}

/// @return the most urgent job that can run now, or NULL.
static struct cm_job *
find_startable_job(const struct cm_scheduler *scheduler)
{
    if (scheduler->plain_queue != NULL) {
        return TAILQ_FIRST(&scheduler->plain_queue->jobs);
    }
    struct cm_job *best = NULL;
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        const struct cm_slot *slot = &scheduler->slots[i];
        if (slot->state != CM_SLOT_READY || slot->draining || slot->invalid) {
            continue;
        }
        struct cm_job *job = TAILQ_FIRST(&slot->queue->jobs);
        if (job != NULL && (best == NULL || compare_jobs(job, best) < 0)) {
            best = job;
        }
    }
    return best;
}

static struct cm_action
start_job(struct cm_scheduler *scheduler, struct cm_job *job,
          struct timespec now)
{
    struct cm_adapter_queue *queue = job->queue;
    dequeue_job(scheduler, job);
    scheduler->running++;
    queue->running++;
    job->running = true;
    job->slot = queue->slot;
    if (queue->slot != NULL) {
        job->slot_epoch = queue->slot->epoch;
        queue->slot->pins++;
        queue->slot->last_used = now;
    }
    return (struct cm_action){.kind = CM_ACTION_START, .job = job};
}

static struct cm_action
refuse_expired_job(struct cm_scheduler *scheduler, struct timespec now)
{
    GSequenceIter *first =
        g_sequence_get_begin_iter(scheduler->jobs_by_deadline);
    if (g_sequence_iter_is_end(first)) {
        return no_action();
    }
    struct cm_job *job = g_sequence_get(first);
    if (CmTime_Before(now, job->deadline)) {
        return no_action();
    }
    return (struct cm_action){.kind = CM_ACTION_REFUSE_DEADLINE, .job = job};
}

struct cm_slot *
CmSlots_FindEmpty(const struct cm_scheduler *scheduler)
{
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        struct cm_slot *slot = &scheduler->slots[i];
        if (slot->state == CM_SLOT_EMPTY && slot->reserved_for == NULL) {
            return slot;
        }
    }
    return NULL;
}

struct cm_slot *
CmSlots_FindCheapest(const struct cm_scheduler *scheduler, bool busy,
                     struct timespec now)
{
    struct cm_slot *cheapest = NULL;
    double least = 0;
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        struct cm_slot *slot = &scheduler->slots[i];
        if (slot->state != CM_SLOT_READY || slot->invalid ||
            (slot->draining && busy)) {
            continue;
        }
        bool idle = slot->pins == 0 && !slot->untracked_runs &&
                    (TAILQ_EMPTY(&slot->queue->jobs) || slot->draining);
        if (idle == busy) {
            continue;
        }
        double value =
            scheduler->eviction->retention_value(scheduler, slot, now);
        if (cheapest == NULL || value < least) {
            cheapest = slot;
            least = value;
        }
    }
    return cheapest;
}

static struct cm_action
start_load(struct cm_scheduler *scheduler, struct cm_slot *slot,
           struct cm_adapter_queue *queue)
{
    slot->state = CM_SLOT_LOADING;
    slot->queue = queue;
    slot->reserved_for = NULL;
    slot->pins = 0;
    slot->draining = false;
    queue->slot = slot;
    scheduler->loading++;
    if (scheduler->permits > 0) {
        scheduler->permits--;
    }
    CmAdapterQueue_UpdatePendingLoad(scheduler, queue);
    return (struct cm_action){
        .kind = CM_ACTION_LOAD, .slot = slot, .reason = "load pending"};
}

static struct cm_action
start_eviction(struct cm_slot *slot, struct cm_adapter_queue *queue)
{
    slot->state = CM_SLOT_UNLOADING;
    slot->reserved_for = queue;
    return (struct cm_action){.kind = CM_ACTION_EVICT,
                              .slot = slot,
                              .reason = "lowest retention value"};
}

/// @return whether a slot is being evicted for `queue` already.
static bool
has_reserved_slot(const struct cm_scheduler *scheduler,
                  const struct cm_adapter_queue *queue)
{
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        if (scheduler->slots[i].reserved_for == queue) {
            return true;
        }
    }
    return false;
}

/// Drains the busy slot of the lowest retention value once the first job has
/// waited CM_SLOT_DRAIN_WAIT_MS. Without this, steady traffic to popular
/// adapters keeps all slots busy and starves the others.
static void
drain_busy_slot(struct cm_scheduler *scheduler,
                const struct cm_adapter_queue *queue, struct timespec now)
{
    const struct cm_job *job = TAILQ_FIRST(&queue->jobs);
    if (job == NULL ||
        CmTime_DiffMs(now, job->arrived) < CM_SLOT_DRAIN_WAIT_MS) {
        return;
    }
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        const struct cm_slot *slot = &scheduler->slots[i];
        if (slot->draining || slot->invalid || slot->state != CM_SLOT_READY) {
            return; // one slot at a time: this one frees up soon
        }
    }
    struct cm_slot *slot = CmSlots_FindCheapest(scheduler, true, now);
    if (slot != NULL) {
        slot->draining = true;
    }
}

/// Loads the adapter into an empty slot, or else evicts or drains one.
static struct cm_action
next_load_step(struct cm_scheduler *scheduler, struct cm_adapter_queue *queue,
               struct timespec now)
{
    struct cm_slot *slot = CmSlots_FindEmpty(scheduler);
    if (slot != NULL) {
        return start_load(scheduler, slot, queue);
    }
    if (TAILQ_EMPTY(&queue->jobs)) {
        return no_action(); // a prefetch never evicts
    }
    slot = CmSlots_FindCheapest(scheduler, false, now);
    if (slot != NULL) {
        return start_eviction(slot, queue);
    }
    drain_busy_slot(scheduler, queue, now);
    return no_action();
}

static bool
has_load_permit(const struct cm_scheduler *scheduler)
{
    size_t reserved = 0;
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        reserved += scheduler->slots[i].reserved_for != NULL;
    }
    return scheduler->permits > reserved &&
           scheduler->loading + reserved < CM_CONCURRENT_LOADS_MAX;
}

/// Loads an adapter into the slot that was evicted for it.
static struct cm_action
load_reserved(struct cm_scheduler *scheduler)
{
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        struct cm_slot *slot = &scheduler->slots[i];
        if (slot->state != CM_SLOT_EMPTY || slot->reserved_for == NULL) {
            continue;
        }
        struct cm_adapter_queue *queue = slot->reserved_for;
        if (!TAILQ_EMPTY(&queue->jobs)) {
            return start_load(scheduler, slot, queue);
        }
        slot->reserved_for = NULL; // its jobs have been removed meanwhile
        CmAdapterQueue_FreeIfUnused(scheduler, queue);
    }
    return no_action();
}

/// Lets draining slots start jobs again once no load is pending.
static void
stop_draining_slots(struct cm_scheduler *scheduler)
{
    if (g_sequence_get_length(scheduler->pending_loads) > 0) {
        return;
    }
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        scheduler->slots[i].draining = false;
    }
}

/// Drops a prefetch after a load that a job waited for took the empty slot.
static void
cancel_prefetch(struct cm_scheduler *scheduler, struct cm_adapter_queue *queue)
{
    queue->prefetch = false;
    CmAdapterQueue_UpdatePendingLoad(scheduler, queue);
    CmAdapterQueue_FreeIfUnused(scheduler, queue);
}

static struct cm_action
next_load(struct cm_scheduler *scheduler, struct timespec now)
{
    struct cm_action reserved = load_reserved(scheduler);
    if (reserved.kind != CM_ACTION_NONE) {
        return reserved;
    }
    GSequenceIter *iter = g_sequence_get_begin_iter(scheduler->pending_loads);
    while (!g_sequence_iter_is_end(iter)) {
        struct cm_adapter_queue *queue = g_sequence_get(iter);
        iter = g_sequence_iter_next(iter);
        if (TAILQ_EMPTY(&queue->jobs) &&
            CmSlots_FindEmpty(scheduler) == NULL) {
            cancel_prefetch(scheduler, queue);
            continue;
        }
        if (queue->failures >= CM_LOAD_FAILURES_MAX &&
            !TAILQ_EMPTY(&queue->jobs)) {
            return (struct cm_action){.kind = CM_ACTION_REFUSE_LOAD,
                                      .job = TAILQ_FIRST(&queue->jobs)};
        }
        if (!has_load_permit(scheduler)) {
            return no_action();
        }
        bool ready = !CmTime_Before(now, queue->retry_at);
        if (ready && !has_reserved_slot(scheduler, queue)) {
            // If this load finds no slot, the less urgent ones find none.
            return next_load_step(scheduler, queue, now);
        }
    }
    return no_action();
}

struct cm_action
CmScheduler_NextAction(struct cm_scheduler *scheduler, struct timespec now)
{
    struct cm_action action = refuse_expired_job(scheduler, now);
    if (action.kind != CM_ACTION_NONE || scheduler->stopped) {
        return action;
    }
    stop_draining_slots(scheduler);
    if (scheduler->running < scheduler->capacity) {
        struct cm_job *job = find_startable_job(scheduler);
        if (job != NULL) {
            return start_job(scheduler, job, now);
        }
    }
    return next_load(scheduler, now);
}

void
CmSlot_Clear(struct cm_scheduler *scheduler, struct cm_slot *slot)
{
    struct cm_adapter_queue *queue = slot->queue;
    slot->state = CM_SLOT_EMPTY;
    slot->queue = NULL;
    slot->epoch++;
    slot->pins = 0;
    slot->untracked_runs = false;
    slot->draining = false;
    slot->invalid = false;
    if (queue != NULL) {
        queue->slot = NULL;
        CmAdapterQueue_UpdatePendingLoad(scheduler, queue);
        CmAdapterQueue_FreeIfUnused(scheduler, queue);
    }
}

void
CmScheduler_FinishLoad(struct cm_scheduler *scheduler, struct cm_slot *slot,
                       bool ok, struct timespec now)
{
    struct cm_adapter_queue *queue = slot->queue;
    scheduler->loading--;
    if (ok) {
        slot->state = CM_SLOT_READY;
        slot->last_used = now;
        slot->loaded_at = now;
        slot->load_stall_ms = queue->stall_started.tv_sec != 0
                                  ? CmTime_DiffMs(now, queue->stall_started)
                                  : 0;
        queue->stall_started = (struct timespec){0};
        queue->failures = 0;
        queue->prefetch = false;
        return;
    }
    queue->failures++;
    queue->retry_at = CmTime_AddMs(now, CM_LOAD_RETRY_MS * queue->failures);
    if (queue->failures >= CM_LOAD_FAILURES_MAX) {
        queue->prefetch = false;
    }
    CmSlot_Clear(scheduler, slot);
}

void
CmScheduler_FinishEviction(struct cm_scheduler *scheduler,
                           struct cm_slot *slot, bool ok, struct timespec now)
{
    if (ok) {
        CmSlot_Clear(scheduler, slot);
        return;
    }
    slot->state = CM_SLOT_READY;
    slot->reserved_for = NULL;
    slot->last_used = now;
}
