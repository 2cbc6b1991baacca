/// @file request.h
/// Lifecycle of a caller's request: deadline, attempts, retries and failover.

#ifndef GATEWAY_REQUEST_H
#define GATEWAY_REQUEST_H

#include "request_defs.h"

/// Serves the request that was read from `caller`.
void
Request_Start(struct caller_conn *caller);

/// Ends the request at once, as the shutdown's time limit has passed.
void
Request_EndForShutdown(struct request *request);

/// Cancels all work for a request whose caller has disconnected.
void
Request_Abandon(struct request *request);

/// @return ms until the request's deadline; negative if it has passed.
int64_t
Request_LeftMs(const struct request *request);

/// @return ms from the request's arrival to `then`, -1 if `then` is unset.
int64_t
Request_SinceArrivalMs(const struct request *request, struct timespec then);

/// Adds the time since the request's arrival to a histogram.
void
Request_CountLatency(const struct request *request,
                     enum gateway_latency latency);

/// @return the name of what identifies a request that comes again under a new
/// id: host, path with query, and body. Computed on first use.
const char *
Request_Content(struct request *request);

/// @return the size of that content.
size_t
Request_ContentSize(const struct request *request);

/// Excludes a target from further attempts of this request.
void
Request_ExcludeTarget(struct request *request, struct cm_live_target *target);

/// Makes all excluded targets eligible again.
void
Request_ClearExcluded(struct request *request);

/// (Re)starts the request's timer, with at least 1 ms.
void
Request_SetTimer(struct request *request, int64_t ms);

/// Sends the request to `target`. Ends the request instead if this is a retry
/// that exceeds the retry budget, or if no connection can be opened.
void
Request_SendTo(struct request *request, struct cm_live_target *target);

/// Ends the request because no further attempt is possible.
void
Request_GiveUp(struct request *request, const char *reason);

/// Releases the request's lease, cancels its attempt and frees it.
void
Request_Free(struct request *request);

#endif
