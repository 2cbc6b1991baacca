/// @file scheduler_internal.h
/// What scheduler.c and slots.c share.

#ifndef SCHEDULER_INTERNAL_H
#define SCHEDULER_INTERNAL_H

#include "placement/scheduler.h"

/// Finds the want of an adapter, or adds it.
struct cm_adapter_queue *
CmAdapterQueue_FindOrAdd(struct cm_scheduler *scheduler, const char *adapter);

/// Keeps the want's place among those that need a load.
void
CmAdapterQueue_UpdatePendingLoad(struct cm_scheduler *scheduler,
                                 struct cm_adapter_queue *want);

/// Frees a want that nothing refers to any more.
void
CmAdapterQueue_FreeIfUnused(struct cm_scheduler *scheduler,
                            struct cm_adapter_queue *want);

/// Empties a slot and lets its adapter wait again where it is still wanted.
void
CmSlot_Clear(struct cm_scheduler *scheduler, struct cm_slot *slot);

/// @return an empty slot that is reserved for nobody, or NULL.
struct cm_slot *
CmSlots_FindEmpty(const struct cm_scheduler *scheduler);

/// @return the ready slot of least worth among those that are idle (or, with
///         `busy`, among those still serving), or NULL.
struct cm_slot *
CmSlots_FindCheapest(const struct cm_scheduler *scheduler, bool busy,
                     struct timespec now);

#endif
