/// @file targets.h
/// Table of the targets in the platform's list, with their load, failures and
/// adapters as this gateway knows them.

#ifndef DISPATCH_TARGETS_H
#define DISPATCH_TARGETS_H

#include "dispatch/target_defs.h"

/// Initializes an empty table.
/// @param zone       of this gateway, borrowed.
/// @param agent_port port of the agent on each target's instance.
void
CmTargets_Init(struct cm_targets *targets, const char *zone, int agent_port);

/// Frees the table; attempts may still hold references to targets.
void
CmTargets_Finish(struct cm_targets *targets);

/// Adds or updates a target that the platform's list contains. A target that
/// has started again under its id is added as a new one.
/// @return the target, or NULL if a newer one has taken its address.
struct cm_live_target *
CmTargets_Update(struct cm_targets *targets,
                 const struct cm_target_info *info);

/// Removes a target that the platform's list no longer contains.
void
CmTargets_Remove(struct cm_targets *targets, const char *id);

/// Starts reading a complete list: call CmTargets_Update() for each target,
/// then CmTargets_EndList(), which removes all others.
void
CmTargets_BeginList(struct cm_targets *targets);

/// @return number of targets removed.
size_t
CmTargets_EndList(struct cm_targets *targets);

/// @return the target called `id`, or NULL.
struct cm_live_target *
CmTargets_Find(const struct cm_targets *targets, const char *id);

/// Takes a reference for an attempt.
/// @return `target`.
struct cm_live_target *
CmTarget_Ref(struct cm_live_target *target);

/// Releases a reference.
void
CmTarget_Unref(struct cm_live_target *target);

/// Writes the name of the target's incarnation: an id alone may be used again.
void
CmTarget_WriteIncarnation(const struct cm_live_target *target, char *name,
                          size_t size);

/// Records whether an adapter is in one of the target's slots.
void
CmTarget_SetResident(struct cm_live_target *target, const char *adapter,
                     bool resident, struct timespec now);

/// Replaces the target's resident adapters by those in the platform's list:
/// Begin, List for each, End. An adapter that is not listed counts as a copy
/// outside the slots.
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

/// Records an announced version of an adapter; lower ones are ignored.
void
CmTargets_SetVersion(struct cm_targets *targets, const char *adapter,
                     int64_t version);

/// @return the newest announced version of an adapter, 0 if there is none.
int64_t
CmTargets_Version(const struct cm_targets *targets, const char *adapter);

/// Records the numbers of requests that the target reports with a response, or
/// its agent with a lease reply.
void
CmTarget_SetReportedLoad(struct cm_live_target *target, int64_t running,
                         int64_t waiting, struct timespec now);

/// @return estimated number of requests that run or wait at the target.
double
CmTarget_Load(const struct cm_live_target *target, struct timespec now);

/// @return number of targets that say that work takes clearly longer there
/// than usual.
size_t
CmTargets_CountSlow(const struct cm_targets *targets, struct timespec now);

/// Adds a prompt of `tokens` tokens to the engine's estimated prefill backlog.
void
CmTarget_AddPrompt(struct cm_live_target *target, int64_t tokens,
                   struct timespec now);

/// @return estimated time for the prefill of all queued prompts, in ms.
double
CmTarget_BacklogMs(const struct cm_live_target *target, struct timespec now);

/// Counts an answer of the target in its failure ratio.
/// @param failed the answer was an error.
void
CmTarget_CountAnswer(struct cm_live_target *target, bool failed,
                     struct timespec now);

/// Counts an attempt that the target lost or that did not reach it, and ejects
/// the target after several in a row.
void
CmTarget_CountLost(struct cm_live_target *target, struct timespec now);

/// Ejects a target at whose address another incarnation has answered.
void
CmTarget_CountAbsent(struct cm_live_target *target, struct timespec now);

/// @return moving average of failures among the target's recent outcomes. The
/// average decays while no outcome is counted.
double
CmTarget_FailureRatio(const struct cm_live_target *target,
                      struct timespec now);

#endif
