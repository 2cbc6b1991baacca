/// @file request.h
/// One request of a caller, from its arrival to its final answer.

#ifndef GATEWAY_REQUEST_H
#define GATEWAY_REQUEST_H

#include "request_defs.h"

/// Starts to serve the request that `caller` has read.
void
Request_Start(struct caller_conn *caller);

/// The process stops: gives the final answer at once.
void
Request_EndForShutdown(struct request *request);

/// The caller has gone: ends all work for it.
void
Request_Abandon(struct request *request);

/// @return ms until the caller or the route's limit ends the request.
int64_t
Request_LeftMs(const struct request *request);

/// @return ms from the request's arrival to `then`, -1 if that never came.
int64_t
Request_SinceArrivalMs(const struct request *request, struct timespec then);

/// Counts the time since the arrival in a histogram.
void
Request_CountLatency(const struct request *request,
                     enum gateway_latency latency);

/// Leaves a target out from now on.
void
Request_ExcludeTarget(struct request *request, struct cm_live_target *target);

/// Lets all targets be tried again.
void
Request_ClearExcluded(struct request *request);

/// Wakes the request after `ms`.
void
Request_SetTimer(struct request *request, int64_t ms);

/// Sends the request to `target`, if the budget of repeats allows.
void
Request_SendTo(struct request *request, struct cm_live_target *target);

/// Ends the request as no further attempt can be made.
void
Request_GiveUp(struct request *request, const char *reason);

/// Frees the request and ends all that is under way for it.
void
Request_Free(struct request *request);

#endif
