/// @file targets.h
/// Table of targets, filled from the platform's list.

#ifndef DISPATCH_TARGETS_H
#define DISPATCH_TARGETS_H

#include "dispatch/target_defs.h"

/// Prepares an empty table.
void
CmTargets_Init(struct cm_targets *targets, const char *zone, int agent_port);

/// Frees the table; attempts may still hold targets.
void
CmTargets_Finish(struct cm_targets *targets);

/// The list names a target, new or known.
/// @return the target, or NULL if a later one has taken its address.
struct cm_live_target *
CmTargets_Update(struct cm_targets *targets,
                 const struct cm_target_info *info);

/// The list no longer names a target.
void
CmTargets_Remove(struct cm_targets *targets, const char *id);

/// A whole list follows: CmTargets_Update() for each, then
/// CmTargets_EndList(), which removes the others.
void
CmTargets_BeginList(struct cm_targets *targets);

/// @return how many targets were removed.
size_t
CmTargets_EndList(struct cm_targets *targets);

/// @return the target called `id`, or NULL.
struct cm_live_target *
CmTargets_Find(const struct cm_targets *targets, const char *id);

/// Takes a reference for an attempt.
struct cm_live_target *
CmTarget_Ref(struct cm_live_target *target);

/// Returns it.
void
CmTarget_Unref(struct cm_live_target *target);

/// Notes that `target` was seen to hold an adapter, or not to hold it.
void
CmTarget_SetResident(struct cm_live_target *target, const char *adapter,
                     bool holds, struct timespec now);

/// The platform's list tells all adapters of a target: Begin, Listed for
/// each, End. What is not listed counts as a copy outside the slots.
void
CmTarget_BeginAdapterList(struct cm_live_target *target);
void
CmTarget_ListAdapter(struct cm_live_target *target, const char *adapter,
                     struct timespec now);
void
CmTarget_EndAdapterList(struct cm_live_target *target, struct timespec now);

/// @return the copy of `adapter` at `target`, or NULL.
const struct cm_adapter_copy *
CmTarget_AdapterCopy(const struct cm_live_target *target, const char *adapter);

/// Notes an announced version of an adapter; lower ones are ignored.
void
CmTargets_SetVersion(struct cm_targets *targets, const char *adapter,
                     int64_t version);

/// @return the newest announced version of an adapter, 0 if there is none.
int64_t
CmTargets_Version(const struct cm_targets *targets, const char *adapter);

/// A target's response told how many requests it has.
void
CmTarget_SetReportedLoad(struct cm_live_target *target, int64_t running,
                         int64_t waiting, struct timespec now);

/// @return requests believed to run or wait there.
double
CmTarget_Load(const struct cm_live_target *target, struct timespec now);

/// A prompt of `tokens` was sent to an engine.
void
CmTarget_AddPrompt(struct cm_live_target *target, int64_t tokens,
                   struct timespec now);

/// @return time that the prompts ahead take to be read, in ms.
double
CmTarget_BacklogMs(const struct cm_live_target *target, struct timespec now);

/// An attempt ended well, or by a failure that the target answers.
void
CmTarget_CountAnswer(struct cm_live_target *target, bool failed,
                     struct timespec now);

/// An attempt was lost by the target's fault, or never reached it.
void
CmTarget_CountLost(struct cm_live_target *target, struct timespec now);

/// @return share of its recent answers that were failures; it fades while
/// nothing is sent there.
double
CmTarget_FailureRatio(const struct cm_live_target *target,
                      struct timespec now);

#endif
