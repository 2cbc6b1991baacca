/// @file scheduler_internal.h
/// Adapter queue and slot functions that scheduler.c and slots.c share.

#ifndef SCHEDULER_INTERNAL_H
#define SCHEDULER_INTERNAL_H

#include "placement/scheduler.h"

/// @return the queue of an adapter, added if there is none; for a plain target
///         always its only queue.
struct cm_adapter_queue *
CmAdapterQueue_FindOrAdd(struct cm_scheduler *scheduler, const char *adapter);

/// Inserts the queue into the pending loads, or moves or removes it, after its
/// jobs, slot or prefetch flag changed.
void
CmAdapterQueue_UpdatePendingLoad(struct cm_scheduler *scheduler,
                                 struct cm_adapter_queue *queue);

/// Frees the queue if it has no jobs, slot, pending load or reserved slot.
void
CmAdapterQueue_FreeIfUnused(struct cm_scheduler *scheduler,
                            struct cm_adapter_queue *queue);

/// Empties a slot. Its adapter becomes a pending load if it has waiting jobs.
void
CmSlot_Clear(struct cm_scheduler *scheduler, struct cm_slot *slot);

/// @return an empty slot that is not reserved, or NULL.
struct cm_slot *
CmSlots_FindEmpty(const struct cm_scheduler *scheduler);

/// @param busy consider only slots that run requests or have waiting jobs,
///        instead of only idle slots.
/// @return the ready slot of the lowest retention value, or NULL.
struct cm_slot *
CmSlots_FindCheapest(const struct cm_scheduler *scheduler, bool busy,
                     struct timespec now);

#endif
