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

/// Aborts the request of a caller that leaves too much unread. Its connection
/// is closed.
void
Request_EndUnread(struct request *request);

/// Cancels all work for a request whose caller gets no response any more.
/// @param reason for the log.
void
Request_Abandon(struct request *request, const char *reason);

/// @return ms until the request's deadline; negative if it has passed.
int64_t
Request_LeftMs(const struct request *request);

/// @return ms until the attempt ends at the deadline; streams get some time
/// more.
int64_t
Request_AttemptLeftMs(const struct request *request);

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

/// Excludes a target from further attempts of this request, unless it is
/// excluded already.
void
Request_ExcludeTarget(struct request *request, struct cm_live_target *target);

/// Makes all excluded targets but the first `n_kept` eligible again.
void
Request_TruncateExcluded(struct request *request, size_t n_kept);

/// (Re)starts the timer of the present placement phase, with at least 1 ms.
void
Request_SetPlacementTimer(struct request *request, int64_t ms);

/// (Re)starts the attempt's timer, with at least 1 ms.
void
Request_SetAttemptTimer(struct request *request, int64_t ms);

/// Sends the request to `target`, in place of a stalled attempt if there is
/// one. Gives up instead if this is a retry that exceeds the retry budget, or
/// if no connection can be opened.
void
Request_SendTo(struct request *request, struct cm_live_target *target);

/// Counts how the attempt ended, and excludes its target from further ones.
void
Request_CountAttemptEnd(struct request *request, enum cm_attempt_end end);

/// Ends the request because no further attempt is possible. If its present
/// attempt goes on, only the search for a successor ends.
void
Request_GiveUp(struct request *request, const char *reason);

/// Does the same because no further attempt is possible now. A stream that may
/// go on later waits instead.
void
Request_GiveUpForNow(struct request *request, const char *reason);

/// Releases the request's leases, cancels its attempt and frees it.
void
Request_Free(struct request *request);

/// Serves or denies a request that waited for its quota.
void
Request_EndQuotaWait(struct request *request);

#endif
