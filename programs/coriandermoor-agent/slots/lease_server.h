/// @file lease_server.h
/// HTTP server for gateways and metrics: grants leases on adapters, one for
/// each request that a gateway sends to the engine.

#ifndef SLOTS_LEASE_SERVER_H
#define SLOTS_LEASE_SERVER_H

#include "slots.h"

/// Starts to listen on the gateways' address and on the admin address.
/// @return whether both listen; sets `error` otherwise.
gboolean
LeaseServer_Listen(struct slots *slots, GError **error);

/// Closes the listeners and all connections, and frees all leases.
void
LeaseServer_Finish(struct slots *slots);

/// Computes the prefill backlog from the runs in the engine's last report and
/// the leases granted since.
void
LeaseServer_UpdateBacklog(struct slots *slots);

/// Takes the memory, the runs and the ended runs in the engine's last report.
void
LeaseServer_UpdateRoom(struct slots *slots);

/// Grants the leases that wait for room in the engine's memory and fit now.
void
LeaseServer_GrantHeldBack(struct slots *slots);

/// Ends leases that their gateways have not released in time, and removes
/// gateways that have sent no lease request for a while.
void
LeaseServer_ExpireLeases(struct slots *slots);

/// Describes the engine's load for reports.
/// @return false if it serves no requests now.
bool
LeaseServer_DescribeLoad(struct slots *slots, struct cm_load_report *report);

#endif
