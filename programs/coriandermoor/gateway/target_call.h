/// @file target_call.h
/// One send of a request to a target.

#ifndef GATEWAY_TARGET_CALL_H
#define GATEWAY_TARGET_CALL_H

#include "request_defs.h"

/// Sends the request to `target`.
/// @return false if no connection could be tried.
bool
TargetCall_Send(struct request *request, struct cm_live_target *target);

/// Gives the attempt up; its connection is closed, which ends the run.
void
TargetCall_Cancel(struct request *request);

/// Frees what an attempt has gathered.
void
TargetCall_Finish(struct request *request);

/// Implemented by request.c: a part of a stream has arrived.
void
Request_Events(struct request *request, const void *data, size_t size);

/// Implemented by request.c: the attempt is over.
void
Request_AttemptEnded(struct request *request, enum cm_h1_call_result end);

#endif
