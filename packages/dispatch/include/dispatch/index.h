/// @file index.h
/// Finds targets by id, address, service and adapter without looking at all
/// of them.

#ifndef DISPATCH_INDEX_H
#define DISPATCH_INDEX_H

#include <glib.h>
#include <stdint.h>

struct cm_live_target;

struct cm_target_index {
    GHashTable *by_id;      ///< id to target
    GHashTable *by_address; ///< address to GPtrArray of targets
    GHashTable *by_service; ///< name to GPtrArray of targets, by their hash
    GHashTable *by_adapter; ///< adapter key to GPtrArray of those with a copy
};

void
CmTargetIndex_Init(struct cm_target_index *index);

void
CmTargetIndex_Finish(struct cm_target_index *index);

/// Enters a target under its id, address and service.
void
CmTargetIndex_Add(struct cm_target_index *index,
                  struct cm_live_target *target);

/// Takes a target out, also from its adapters.
void
CmTargetIndex_Remove(struct cm_target_index *index,
                     struct cm_live_target *target);

/// Enters a target's copy of an adapter, or takes it out.
void
CmTargetIndex_AddCopy(struct cm_target_index *index, const char *adapter,
                      struct cm_live_target *target);
void
CmTargetIndex_RemoveCopy(struct cm_target_index *index, const char *adapter,
                         struct cm_live_target *target);

/// @return the target called `id`, or NULL.
struct cm_live_target *
CmTargetIndex_Find(const struct cm_target_index *index, const char *id);

/// @return targets of a kind as an array of struct cm_live_target, or NULL
/// for none; borrowed.
const GPtrArray *
CmTargetIndex_AtAddress(const struct cm_target_index *index,
                        const char *address);
const GPtrArray *
CmTargetIndex_OfService(const struct cm_target_index *index,
                        const char *service);
const GPtrArray *
CmTargetIndex_WithCopy(const struct cm_target_index *index,
                       const char *adapter);

/// @return place of the first target of `service` whose hash is not below
/// `hash`, in the array CmTargetIndex_OfService() gives.
size_t
CmTargetIndex_LowerBound(const GPtrArray *service, uint64_t hash);

#endif
