/// @file scheduler.c
/// An agent's scheduler.

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

/// Order of wants that need a load: those with a waiting caller first, by
/// their most urgent job; then prefetches.
static int
compare_wants(gconstpointer left, gconstpointer right, gpointer data)
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
want_new(const char *adapter)
{
    struct cm_adapter_queue *want = g_new0(struct cm_adapter_queue, 1);
    want->adapter = g_strdup(adapter);
    TAILQ_INIT(&want->jobs);
    return want;
}

static void
want_free(gpointer data)
{
    struct cm_adapter_queue *want = data;
    g_free(want->adapter);
    g_free(want);
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
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, want_free);
    scheduler->pending_loads = g_sequence_new(NULL);
    scheduler->jobs_by_deadline = g_sequence_new(NULL);
    CmPopularity_Init(&scheduler->popularity);
    if (n_slots == 0) {
        scheduler->plain_queue = want_new("");
    }
}

void
CmScheduler_Finish(struct cm_scheduler *scheduler)
{
    if (scheduler->plain_queue != NULL) {
        want_free(scheduler->plain_queue);
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
    struct cm_adapter_queue *want =
        g_hash_table_lookup(scheduler->queues, adapter);
    if (want == NULL) {
        want = want_new(adapter);
        g_hash_table_insert(scheduler->queues, want->adapter, want);
    }
    return want;
}

void
CmAdapterQueue_FreeIfUnused(struct cm_scheduler *scheduler,
                            struct cm_adapter_queue *want)
{
    if (want == scheduler->plain_queue || want->slot != NULL ||
        want->running > 0 || want->pending_iter != NULL ||
        !TAILQ_EMPTY(&want->jobs)) {
        return;
    }
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        if (scheduler->slots[i].reserved_for == want) {
            return;
        }
    }
    g_hash_table_remove(scheduler->queues, want->adapter);
}

void
CmAdapterQueue_UpdatePendingLoad(struct cm_scheduler *scheduler,
                                 struct cm_adapter_queue *want)
{
    if (want == scheduler->plain_queue) {
        return;
    }
    if (want->pending_iter != NULL) {
        g_sequence_remove(want->pending_iter);
        want->pending_iter = NULL;
    }
    bool needed = !TAILQ_EMPTY(&want->jobs) || want->prefetch;
    if (needed && want->slot == NULL) {
        if (want->stall_started.tv_sec == 0 && !TAILQ_EMPTY(&want->jobs)) {
            want->stall_started = TAILQ_FIRST(&want->jobs)->arrived;
        }
        want->pending_iter = g_sequence_insert_sorted(
            scheduler->pending_loads, want, compare_wants, NULL);
    }
}

static void
insert_job(struct cm_scheduler *scheduler, struct cm_adapter_queue *want,
           struct cm_job *job)
{
    struct cm_job *other;
    scheduler->waiting_jobs++;
    job->deadline_iter = g_sequence_insert_sorted(
        scheduler->jobs_by_deadline, job, compare_deadlines, NULL);
    TAILQ_FOREACH_REVERSE(other, &want->jobs, cm_job_queue, link)
    {
        if (compare_jobs(other, job) <= 0) {
            TAILQ_INSERT_AFTER(&want->jobs, other, job, link);
            return;
        }
    }
    TAILQ_INSERT_HEAD(&want->jobs, job, link);
}

static void
take_out_job(struct cm_scheduler *scheduler, struct cm_job *job)
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
    struct cm_adapter_queue *want =
        CmAdapterQueue_FindOrAdd(scheduler, adapter);
    job->queue = want;
    job->running = false;
    insert_job(scheduler, want, job);
    if (want != scheduler->plain_queue) {
        CmPopularity_RecordRequest(&scheduler->popularity, adapter, now);
    }
    CmAdapterQueue_UpdatePendingLoad(scheduler, want);
}

static void
release_pin(struct cm_scheduler *scheduler, struct cm_job *job,
            struct timespec now)
{
    scheduler->running--;
    job->queue->running--;
    job->running = false;
    struct cm_slot *slot = job->slot;
    // A slot cleared since (the engine restarted) holds no pin of this job.
    if (slot != NULL && slot->epoch == job->slot_epoch) {
        slot->pins--;
        slot->last_used = now;
    }
    job->slot = NULL;
}

void
CmScheduler_Remove(struct cm_scheduler *scheduler, struct cm_job *job,
                   struct timespec now)
{
    struct cm_adapter_queue *want = job->queue;
    if (job->running) {
        release_pin(scheduler, job, now);
    }
    else {
        take_out_job(scheduler, job);
    }
    job->queue = NULL;
    CmAdapterQueue_UpdatePendingLoad(scheduler, want);
    CmAdapterQueue_FreeIfUnused(scheduler, want);
}

void
CmScheduler_Requeue(struct cm_scheduler *scheduler, struct cm_job *job,
                    struct timespec now)
{
    release_pin(scheduler, job, now);
    insert_job(scheduler, job->queue, job);
    CmAdapterQueue_UpdatePendingLoad(scheduler, job->queue);
}

static struct cm_action
no_action(void)
{
    return (struct cm_action){.kind = CM_ACTION_NONE};
}

/// @return the most urgent job that can run now, or NULL.
static struct cm_job *
startable_job(const struct cm_scheduler *scheduler)
{
    if (scheduler->plain_queue != NULL) {
        return TAILQ_FIRST(&scheduler->plain_queue->jobs);
    }
    struct cm_job *best = NULL;
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        const struct cm_slot *slot = &scheduler->slots[i];
        if (slot->state != CM_SLOT_READY || slot->draining) {
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
    struct cm_adapter_queue *want = job->queue;
    take_out_job(scheduler, job);
    scheduler->running++;
    want->running++;
    job->running = true;
    job->slot = want->slot;
    if (want->slot != NULL) {
        job->slot_epoch = want->slot->epoch;
        want->slot->pins++;
        want->slot->last_used = now;
    }
    return (struct cm_action){.kind = CM_ACTION_START, .job = job};
}

static struct cm_action
expire_jobs(struct cm_scheduler *scheduler, struct timespec now)
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
        if (slot->state != CM_SLOT_READY || (slot->draining && busy)) {
            continue;
        }
        bool idle = slot->pins == 0 && !slot->untracked_runs &&
                    (TAILQ_EMPTY(&slot->queue->jobs) || slot->draining);
        if (idle == busy) {
            continue;
        }
        double worth =
            scheduler->eviction->retention_value(scheduler, slot, now);
        if (cheapest == NULL || worth < least) {
            cheapest = slot;
            least = worth;
        }
    }
    return cheapest;
}

static struct cm_action
load_into(struct cm_scheduler *scheduler, struct cm_slot *slot,
          struct cm_adapter_queue *want)
{
    slot->state = CM_SLOT_LOADING;
    slot->queue = want;
    slot->reserved_for = NULL;
    slot->pins = 0;
    slot->draining = false;
    want->slot = slot;
    scheduler->loading++;
    if (scheduler->permits > 0) {
        scheduler->permits--;
    }
    CmAdapterQueue_UpdatePendingLoad(scheduler, want);
    return (struct cm_action){
        .kind = CM_ACTION_LOAD, .slot = slot, .reason = "caller waits"};
}

static struct cm_action
evict_for(struct cm_slot *slot, struct cm_adapter_queue *want)
{
    slot->state = CM_SLOT_UNLOADING;
    slot->reserved_for = want;
    return (struct cm_action){.kind = CM_ACTION_EVICT,
                              .slot = slot,
                              .reason = "least worth keeping"};
}

/// @return whether a slot is already being cleared for `want`.
static bool
has_reserved_slot(const struct cm_scheduler *scheduler,
                  const struct cm_adapter_queue *want)
{
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        if (scheduler->slots[i].reserved_for == want) {
            return true;
        }
    }
    return false;
}

/// Closes the cheapest busy slot once a caller has waited long enough, so
/// that a stream of hot requests cannot hold all slots for ever.
static void
close_a_slot(struct cm_scheduler *scheduler,
             const struct cm_adapter_queue *want, struct timespec now)
{
    const struct cm_job *job = TAILQ_FIRST(&want->jobs);
    if (job == NULL ||
        CmTime_DiffMs(now, job->arrived) < CM_SLOT_DRAIN_WAIT_MS) {
        return;
    }
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        const struct cm_slot *slot = &scheduler->slots[i];
        if (slot->draining || slot->state != CM_SLOT_READY) {
            return; // one slot at a time, and one is on its way already
        }
    }
    struct cm_slot *slot = CmSlots_FindCheapest(scheduler, true, now);
    if (slot != NULL) {
        slot->draining = true;
    }
}

/// @return the next step towards loading `want`.
static struct cm_action
bring_in(struct cm_scheduler *scheduler, struct cm_adapter_queue *want,
         struct timespec now)
{
    struct cm_slot *slot = CmSlots_FindEmpty(scheduler);
    if (slot != NULL) {
        return load_into(scheduler, slot, want);
    }
    if (TAILQ_EMPTY(&want->jobs)) {
        return no_action(); // a prefetch never evicts
    }
    slot = CmSlots_FindCheapest(scheduler, false, now);
    if (slot != NULL) {
        return evict_for(slot, want);
    }
    close_a_slot(scheduler, want, now);
    return no_action();
}

static bool
may_load(const struct cm_scheduler *scheduler)
{
    size_t reserved = 0;
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        reserved += scheduler->slots[i].reserved_for != NULL;
    }
    return scheduler->permits > reserved &&
           scheduler->loading + reserved < CM_CONCURRENT_LOADS_MAX;
}

/// Gives a cleared slot to the adapter it was cleared for.
static struct cm_action
load_reserved(struct cm_scheduler *scheduler)
{
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        struct cm_slot *slot = &scheduler->slots[i];
        if (slot->state != CM_SLOT_EMPTY || slot->reserved_for == NULL) {
            continue;
        }
        struct cm_adapter_queue *want = slot->reserved_for;
        if (!TAILQ_EMPTY(&want->jobs)) {
            return load_into(scheduler, slot, want);
        }
        slot->reserved_for = NULL; // its callers have gone meanwhile
        CmAdapterQueue_FreeIfUnused(scheduler, want);
    }
    return no_action();
}

/// Lets closed slots take jobs again once no load waits for a slot.
static void
reopen_slots(struct cm_scheduler *scheduler)
{
    if (g_sequence_get_length(scheduler->pending_loads) > 0) {
        return;
    }
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        scheduler->slots[i].draining = false;
    }
}

/// No slot is empty for it: somebody who waits got there first.
static void
give_up_prefetch(struct cm_scheduler *scheduler, struct cm_adapter_queue *want)
{
    want->prefetch = false;
    CmAdapterQueue_UpdatePendingLoad(scheduler, want);
    CmAdapterQueue_FreeIfUnused(scheduler, want);
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
        struct cm_adapter_queue *want = g_sequence_get(iter);
        iter = g_sequence_iter_next(iter);
        if (TAILQ_EMPTY(&want->jobs) && CmSlots_FindEmpty(scheduler) == NULL) {
            give_up_prefetch(scheduler, want);
            continue;
        }
        if (want->failures >= CM_LOAD_FAILURES_MAX &&
            !TAILQ_EMPTY(&want->jobs)) {
            return (struct cm_action){.kind = CM_ACTION_REFUSE_LOAD,
                                      .job = TAILQ_FIRST(&want->jobs)};
        }
        if (!may_load(scheduler)) {
            return no_action();
        }
        bool ready = !CmTime_Before(now, want->retry_at);
        if (ready && !has_reserved_slot(scheduler, want)) {
            // Where this one finds no slot, no later one does either.
            return bring_in(scheduler, want, now);
        }
    }
    return no_action();
}

struct cm_action
CmScheduler_NextAction(struct cm_scheduler *scheduler, struct timespec now)
{
    struct cm_action action = expire_jobs(scheduler, now);
    if (action.kind != CM_ACTION_NONE || scheduler->stopped) {
        return action;
    }
    reopen_slots(scheduler);
    if (scheduler->running < scheduler->capacity) {
        struct cm_job *job = startable_job(scheduler);
        if (job != NULL) {
            return start_job(scheduler, job, now);
        }
    }
    return next_load(scheduler, now);
}

void
CmSlot_Clear(struct cm_scheduler *scheduler, struct cm_slot *slot)
{
    struct cm_adapter_queue *want = slot->queue;
    slot->state = CM_SLOT_EMPTY;
    slot->queue = NULL;
    slot->epoch++;
    slot->pins = 0;
    slot->untracked_runs = false;
    slot->draining = false;
    if (want != NULL) {
        want->slot = NULL;
        CmAdapterQueue_UpdatePendingLoad(scheduler, want);
        CmAdapterQueue_FreeIfUnused(scheduler, want);
    }
}

void
CmScheduler_FinishLoad(struct cm_scheduler *scheduler, struct cm_slot *slot,
                       bool ok, struct timespec now)
{
    struct cm_adapter_queue *want = slot->queue;
    scheduler->loading--;
    if (ok) {
        slot->state = CM_SLOT_READY;
        slot->last_used = now;
        slot->loaded_at = now;
        slot->load_stall_ms = want->stall_started.tv_sec != 0
                                  ? CmTime_DiffMs(now, want->stall_started)
                                  : 0;
        want->stall_started = (struct timespec){0};
        want->failures = 0;
        want->prefetch = false;
        return;
    }
    want->failures++;
    want->retry_at = CmTime_AddMs(now, CM_LOAD_RETRY_MS * want->failures);
    if (want->failures >= CM_LOAD_FAILURES_MAX) {
        want->prefetch = false;
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
