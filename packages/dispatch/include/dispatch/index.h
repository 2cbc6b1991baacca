/// @file index.h
/// Indexes of the target table by id, address, service and adapter, so that
/// no lookup scans all targets.

#ifndef DISPATCH_INDEX_H
#define DISPATCH_INDEX_H

#include <glib.h>
#include <stdint.h>

struct cm_live_target;

struct cm_target_index {
    GHashTable *by_id;      ///< id to target
    GHashTable *by_address; ///< address to GPtrArray of targets
    GHashTable *by_service; ///< name to GPtrArray of targets, sorted by hash
    GPtrArray *engines;     ///< targets with an agent, sorted by hash
    GHashTable
        *by_adapter; ///< adapter key to GPtrArray of targets with a copy
};

void
CmTargetIndex_Init(struct cm_target_index *index);

void
CmTargetIndex_Finish(struct cm_target_index *index);

/// Adds a target under its id, address and service.
void
CmTargetIndex_Add(struct cm_target_index *index,
                  struct cm_live_target *target);

/// Removes a target from all indexes, also those of its adapters.
void
CmTargetIndex_Remove(struct cm_target_index *index,
                     struct cm_live_target *target);

/// Adds a target to the index of an adapter, or removes it from there.
void
CmTargetIndex_AddCopy(struct cm_target_index *index, const char *adapter,
                      struct cm_live_target *target);
void
CmTargetIndex_RemoveCopy(struct cm_target_index *index, const char *adapter,
                         struct cm_live_target *target);

/// @return the target called `id`, or NULL.
struct cm_live_target *
CmTargetIndex_Find(const struct cm_target_index *index, const char *id);

/// @return the targets under a key as an array of struct cm_live_target, or
/// NULL if there is none. The index owns the array.
const GPtrArray *
CmTargetIndex_AtAddress(const struct cm_target_index *index,
                        const char *address);
const GPtrArray *
CmTargetIndex_OfService(const struct cm_target_index *index,
                        const char *service);
const GPtrArray *
CmTargetIndex_WithCopy(const struct cm_target_index *index,
                       const char *adapter);

/// @param service array that CmTargetIndex_OfService() returned, or `engines`.
/// @return position in it of the first target whose hash is not below `hash`.
size_t
CmTargetIndex_LowerBound(const GPtrArray *service, uint64_t hash);

#endif
