/// @file target_call.h
/// Sends a request to a target and receives the response.

#ifndef GATEWAY_TARGET_CALL_H
#define GATEWAY_TARGET_CALL_H

#include "request_defs.h"

/// Initializes what TargetCall_Finish() frees.
void
TargetCall_Init(struct request *request);

/// Sends the request to `target`.
/// @return false if no connection could be started.
bool
TargetCall_Send(struct request *request, struct cm_live_target *target);

/// @return whether a request that is sent to `target` now would use an open
/// connection.
bool
TargetCall_HasConnection(const struct request *request,
                         const struct cm_live_target *target);

/// Cancels the attempt and releases its lease. Closing its connection makes
/// the target cancel the request.
void
TargetCall_Cancel(struct request *request);

/// Cancels the attempt and frees its buffers.
void
TargetCall_Finish(struct request *request);

/// Implemented by request.c: parses received stream data and forwards the
/// complete events to the caller.
void
Request_ForwardEvents(struct request *request, const void *data, size_t size);

/// Implemented by request.c: the attempt goes on, so that it needs no
/// successor.
void
Request_CountProgress(struct request *request);

/// Implemented by request.c: completes the request or retries it, by the
/// result of the attempt.
void
Request_FinishAttempt(struct request *request, enum cm_h1_call_result end);

#endif
