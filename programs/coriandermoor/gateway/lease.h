/// @file lease.h
/// Adapter leases: an agent keeps the adapter in a slot of its engine until
/// the request ends.

#ifndef GATEWAY_LEASE_H
#define GATEWAY_LEASE_H

#include "request_defs.h"

/// Time limits of a lease request, in ms.
struct lease_limits {
    int64_t wait_ms; ///< until the adapter must be in a slot
    /// Queue wait beyond which the agent replies busy.
    int64_t max_queue_wait_ms;
    /// Time by which the adapter's load must have begun; 0 for any.
    int64_t slot_wait_max_ms;
    int64_t on_time_ms; ///< latest grant that meets the target latency
};

/// Requests a lease from the agent of `target`. Request_LeaseGranted() or
/// Request_LeaseDenied() is called later, never from within this function.
/// @return false if no connection to the agent could be started.
bool
Lease_Acquire(struct request *request, struct cm_live_target *target,
              const struct lease_limits *limits);

/// Sends no lease requests to this agent for a while, as it did not reply.
void
Lease_MarkAgentDown(struct request *request);

/// Cancels a lease request in progress, or releases a granted lease that no
/// attempt holds yet.
void
Lease_Release(struct request *request);

/// @return whether a version of the adapter was announced since the lease was
/// requested. Its engine would reject the request.
bool
Lease_IsOutdated(const struct request *request);

/// Hands a granted lease to the attempt that was sent to its target.
void
Lease_HandOver(struct request *request);

/// Releases the lease that the attempt holds, if any.
void
Lease_ReleaseAttempt(struct request *request);

/// Asks the agent of `target` to load the base model, unless such a call is in
/// progress, and marks the target usable once the agent confirms.
void
Lease_LoadBaseModel(struct gateway *gateway, struct cm_live_target *target,
                    const char *model);

/// Cancels all release and model load calls.
void
Lease_CancelCalls(struct gateway *gateway);

/// Implemented by placement.c: sends the request to the target of the lease.
void
Request_LeaseGranted(struct request *request);
/// Implemented by placement.c: picks another engine, waits for engines that
/// are starting, or gives up.
void
Request_LeaseDenied(struct request *request, const char *why);

#endif
