/// @file slots.c
/// What an agent learns of its engine's slots, and what it tells of them.

#include <float.h>

#include "scheduler_internal.h"

void
CmScheduler_InvalidateAdapter(struct cm_scheduler *scheduler,
                              const char *adapter)
{
    struct cm_adapter_queue *want =
        g_hash_table_lookup(scheduler->queues, adapter);
    if (want == NULL || want->slot == NULL ||
        want->slot->state != CM_SLOT_READY) {
        return;
    }
    if (want->slot->pins == 0) {
        CmSlot_Clear(scheduler, want->slot);
    }
    else {
        want->slot->draining = true;
    }
}

bool
CmScheduler_HasAdapter(const struct cm_scheduler *scheduler,
                       const char *adapter)
{
    const struct cm_adapter_queue *want =
        g_hash_table_lookup(scheduler->queues, adapter);
    return want != NULL && want->slot != NULL;
}

bool
CmScheduler_Adopt(struct cm_scheduler *scheduler, const char *adapter,
                  struct timespec now)
{
    struct cm_slot *slot = CmSlots_FindEmpty(scheduler);
    struct cm_adapter_queue *want =
        CmAdapterQueue_FindOrAdd(scheduler, adapter);
    if (slot == NULL || want->slot != NULL) {
        bool held = want->slot != NULL;
        CmAdapterQueue_FreeIfUnused(scheduler, want);
        return held;
    }
    slot->state = CM_SLOT_READY;
    slot->queue = want;
    slot->last_used = now;
    slot->loaded_at = now;
    want->slot = slot;
    CmAdapterQueue_UpdatePendingLoad(scheduler, want);
    return true;
}

void
CmScheduler_MarkUntracked(struct cm_scheduler *scheduler, const char *adapter)
{
    struct cm_adapter_queue *want =
        g_hash_table_lookup(scheduler->queues, adapter);
    if (want != NULL && want->slot != NULL) {
        want->slot->untracked_runs = true;
    }
}

void
CmScheduler_ClearUntracked(struct cm_scheduler *scheduler)
{
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        scheduler->slots[i].untracked_runs = false;
    }
}

bool
CmScheduler_AnyUntracked(const struct cm_scheduler *scheduler)
{
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        if (scheduler->slots[i].untracked_runs) {
            return true;
        }
    }
    return false;
}

void
CmScheduler_ClearSlots(struct cm_scheduler *scheduler)
{
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        struct cm_slot *slot = &scheduler->slots[i];
        // Loads and evictions under way end by their own answers.
        if (slot->state == CM_SLOT_READY) {
            CmSlot_Clear(scheduler, slot);
        }
    }
}

void
CmScheduler_Prefetch(struct cm_scheduler *scheduler, const char *adapter,
                     struct timespec now)
{
    if (scheduler->plain_queue != NULL) {
        return;
    }
    struct cm_adapter_queue *want =
        CmAdapterQueue_FindOrAdd(scheduler, adapter);
    if (want->slot == NULL) {
        want->prefetch = true;
        CmAdapterQueue_UpdatePendingLoad(scheduler, want);
    }
}

double
CmScheduler_EvictionCost(const struct cm_scheduler *scheduler,
                         struct timespec now)
{
    if (CmSlots_FindEmpty(scheduler) != NULL) {
        return 0;
    }
    const struct cm_slot *slot = CmSlots_FindCheapest(scheduler, false, now);
    return slot != NULL
               ? scheduler->eviction->retention_value(scheduler, slot, now)
               : DBL_MAX;
}

/// @return whether the next step towards `want` can be made: a prefetch takes
///         an empty slot or nothing.
static bool
is_wanted_now(const struct cm_scheduler *scheduler,
              const struct cm_adapter_queue *want)
{
    return !TAILQ_EMPTY(&want->jobs) || CmSlots_FindEmpty(scheduler) != NULL;
}

size_t
CmScheduler_CountPendingLoads(const struct cm_scheduler *scheduler,
                              struct timespec *deadline)
{
    size_t count = 0;
    GSequenceIter *iter = g_sequence_get_begin_iter(scheduler->pending_loads);
    while (!g_sequence_iter_is_end(iter) && count < CM_CONCURRENT_LOADS_MAX) {
        const struct cm_adapter_queue *want = g_sequence_get(iter);
        if (!is_wanted_now(scheduler, want)) {
            break; // prefetches stand last
        }
        if (count++ == 0) {
            const struct cm_job *job = TAILQ_FIRST(&want->jobs);
            *deadline = job != NULL ? job->deadline : (struct timespec){0};
        }
        iter = g_sequence_iter_next(iter);
    }
    return count;
}
