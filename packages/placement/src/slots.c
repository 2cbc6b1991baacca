/// @file slots.c
/// Synchronizes the scheduler's slots with the engine's state, and reports
/// pending loads and eviction cost.

#include <float.h>

#include "scheduler_internal.h"

void
CmScheduler_InvalidateAdapter(struct cm_scheduler *scheduler,
                              const char *adapter)
{
    struct cm_adapter_queue *queue =
        g_hash_table_lookup(scheduler->queues, adapter);
    if (queue == NULL || queue->slot == NULL ||
        queue->slot->state != CM_SLOT_READY) {
        return;
    }
    if (queue->slot->pins == 0) {
        CmSlot_Clear(scheduler, queue->slot);
    }
    else {
        queue->slot->invalid = true;
    }
}

bool
CmScheduler_HasAdapter(const struct cm_scheduler *scheduler,
                       const char *adapter)
{
    const struct cm_adapter_queue *queue =
        g_hash_table_lookup(scheduler->queues, adapter);
    return queue != NULL && queue->slot != NULL;
}

bool
CmScheduler_Adopt(struct cm_scheduler *scheduler, const char *adapter,
                  struct timespec now)
{
    struct cm_slot *slot = CmSlots_FindEmpty(scheduler);
    struct cm_adapter_queue *queue =
        CmAdapterQueue_FindOrAdd(scheduler, adapter);
    if (slot == NULL || queue->slot != NULL) {
        bool has_slot = queue->slot != NULL;
        CmAdapterQueue_FreeIfUnused(scheduler, queue);
        return has_slot;
    }
    slot->state = CM_SLOT_READY;
    slot->queue = queue;
    slot->last_used = now;
    slot->loaded_at = now;
    queue->slot = slot;
    CmAdapterQueue_UpdatePendingLoad(scheduler, queue);
    return true;
}

void
CmScheduler_MarkUntracked(struct cm_scheduler *scheduler, const char *adapter)
{
    struct cm_adapter_queue *queue =
        g_hash_table_lookup(scheduler->queues, adapter);
    if (queue != NULL && queue->slot != NULL) {
        queue->slot->untracked_runs = true;
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
        // Loads and evictions in progress end by their own result.
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
        return; // a plain target has no adapters
    }
    struct cm_adapter_queue *queue =
        CmAdapterQueue_FindOrAdd(scheduler, adapter);
    if (queue->slot == NULL) {
        queue->prefetch = true;
        CmAdapterQueue_UpdatePendingLoad(scheduler, queue);
    }
}

double
CmScheduler_EvictionCost(const struct cm_scheduler *scheduler,
                         struct timespec now)
{
    if (CmSlots_FindEmpty(scheduler) != NULL) {
        return 0;
    }
    // Only an idle slot can be evicted at once.
    const struct cm_slot *slot = CmSlots_FindCheapest(scheduler, false, now);
    return slot != NULL
               ? scheduler->eviction->retention_value(scheduler, slot, now)
               : DBL_MAX;
}

/// @return whether the load may start: a prefetch needs an empty slot, as it
///         evicts nothing.
static bool
is_load_possible(const struct cm_scheduler *scheduler,
                 const struct cm_adapter_queue *queue)
{
    return !TAILQ_EMPTY(&queue->jobs) || CmSlots_FindEmpty(scheduler) != NULL;
}

size_t
CmScheduler_CountPendingLoads(const struct cm_scheduler *scheduler,
                              struct timespec *deadline)
{
    size_t count = 0;
    GSequenceIter *iter = g_sequence_get_begin_iter(scheduler->pending_loads);
    while (!g_sequence_iter_is_end(iter) && count < CM_CONCURRENT_LOADS_MAX) {
        const struct cm_adapter_queue *queue = g_sequence_get(iter);
        if (!is_load_possible(scheduler, queue)) {
            break; // a prefetch: those after it are prefetches too
        }
        if (count++ == 0) {
            const struct cm_job *job = TAILQ_FIRST(&queue->jobs);
            *deadline = job != NULL ? job->deadline : (struct timespec){0};
        }
        iter = g_sequence_iter_next(iter);
    }
    return count;
}
