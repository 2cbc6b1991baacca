/// @file notices.h
/// What targets say of themselves in their responses, and whether a target may
/// get work.

#ifndef DISPATCH_NOTICES_H
#define DISPATCH_NOTICES_H

#include "dispatch/targets.h"

/// Initializes the notices of a table, and frees them.
void
CmNotices_Init(struct cm_targets *targets);
void
CmNotices_Finish(struct cm_targets *targets);

/// Gives a new entry what its incarnation has said before.
void
CmNotices_Attach(const struct cm_targets *targets,
                 struct cm_live_target *target);

/// Releases the notice of an entry that is being freed.
void
CmNotices_Detach(struct cm_live_target *target);

/// Records that a target says that it leaves. It holds for the incarnation,
/// also after its entry in the platform's list is gone or written again.
/// @return whether that is new.
bool
CmNotices_AddLeaving(struct cm_targets *targets, struct cm_live_target *target,
                     struct timespec now);

/// The same for a target of which only the id is known, as it may not be
/// listed yet. Then the next entry of that id gets the notice.
/// @return whether that is new.
bool
CmNotices_AddLeavingById(struct cm_targets *targets, const char *id,
                         struct timespec now);

/// Records that a target wants no requests for a while. Of several pauses the
/// one that ends last counts.
/// @param draw random number from 0 to 1, so that gateways don't all return at
/// the same moment.
/// @return whether a pause begins.
bool
CmNotices_AddPause(struct cm_targets *targets, struct cm_live_target *target,
                   int64_t pause_ms, double draw, struct timespec now);

/// @return time in ms until the first of a service's targets ends its pause,
/// or 0 if one of them may get work.
/// @param needs_model leave out targets whose base model is not loaded.
int64_t
CmNotices_PauseLeftMs(const struct cm_targets *targets, const char *service,
                      bool needs_model, struct timespec now);

/// @return whether the target leaves, by the platform's list or its own word.
bool
CmTarget_IsLeaving(const struct cm_live_target *target);

/// Decides for all work whether a target may get it: it is listed, does not
/// leave and has not asked for a pause.
bool
CmTarget_MayGetWork(const struct cm_live_target *target, struct timespec now);

/// Calls `visit` for each incarnation that has said something, until it is
/// forgotten.
/// @param target its entry in the table, NULL if there is none.
void
CmNotices_ForEach(struct cm_targets *targets,
                  void (*visit)(void *context, struct cm_notice *notice,
                                struct cm_live_target *target),
                  void *context);

/// Forgets incarnations without an entry that were last heard long ago.
void
CmNotices_Expire(struct cm_targets *targets, struct timespec now);

#endif
