/// @file lease.h
/// A request's claim on an adapter.

#ifndef GATEWAY_LEASE_H
#define GATEWAY_LEASE_H

#include "request_defs.h"

/// Times that bound a claim, in ms.
struct lease_limits {
    int64_t wait_ms; ///< for the adapter to be in its slot
    int64_t
        max_queue_wait_ms; ///< wait at the engine beyond which it says busy
    int64_t on_time_ms;    ///< an answer is on time if granted within this
};

/// Asks the agent of `target` for the request's adapter.
/// Request_LeaseGranted() or Request_LeaseDenied() follows, not from inside
/// this function.
/// @return false if the agent can't be asked.
bool
Lease_Acquire(struct request *request, struct cm_live_target *target,
              const struct lease_limits *limits);

/// The agent that was asked did not answer: leaves it alone for a while.
void
Lease_MarkAgentDown(struct request *request);

/// Ends the claim, asked for or held.
void
Lease_Release(struct request *request);

/// Has the base model loaded where it is missing, and learns when it is there.
void
Lease_LoadBaseModel(struct gateway *gateway, struct cm_live_target *target,
                    const char *model);

/// Ends all calls to agents that belong to no request.
void
Lease_CancelCalls(struct gateway *gateway);

/// Implemented by placing.c.
void
Request_LeaseGranted(struct request *request);
void
Request_LeaseDenied(struct request *request, const char *why);

#endif
