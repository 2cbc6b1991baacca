/// @file crash_watch.h
/// Finds out whether a target crashed when it cut off requests, and records
/// which contents it was running, with which parts of prompts.

#ifndef GATEWAY_CRASH_WATCH_H
#define GATEWAY_CRASH_WATCH_H

#include "request_defs.h"

void
CrashWatch_Init(struct gateway *gateway);

void
CrashWatch_Finish(struct gateway *gateway);

/// Counts an attempt that its target cut off before it completed.
void
CrashWatch_CountCutOff(struct request *request);

/// Counts an attempt that this gateway gave up on, as its target was silent.
void
CrashWatch_CountSilent(struct request *request);

/// Counts an attempt that its target ran to the end, which shows that its
/// content crashes no targets.
void
CrashWatch_CountCompleted(struct request *request);

/// Drops parts of prompts from what is not recorded yet.
void
CrashWatch_ForgetParts(struct gateway *gateway,
                       const struct prompt_parts *parts);

/// @return whether the target, as far as known, has crashed since then, or may
/// have.
bool
CrashWatch_HasCrashed(const struct gateway *gateway,
                      const struct cm_live_target *target,
                      struct timespec since);

/// Counts a response of the attempt's target. If the attempt was sent after
/// the target was suspected, the target has not crashed.
void
CrashWatch_CountResponse(struct request *request);

/// Counts the start of a target: what ran at its address before has ended.
void
CrashWatch_CountStart(struct gateway *gateway,
                      const struct cm_live_target *target);

/// @return what is held against the request's content, or against a part of
/// its prompt, which goes before; NULL for nothing.
const struct cm_suspect *
CrashWatch_Suspect(struct request *request);

/// @return whether the request's content, or a part of its prompt, has crashed
/// so many targets that it is refused. Logs the decision.
bool
CrashWatch_Refuses(struct request *request);

/// @return the reason given to a caller whose request is refused.
const char *
CrashWatch_Reason(struct request *request);

/// Lifts the verdict on a content, or a part of prompts, at all gateways.
/// @return whether it was refused or on trial.
bool
CrashWatch_Lift(struct gateway *gateway, const char *content);

#endif
