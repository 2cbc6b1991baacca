/// @file lease_server.h
/// Calls of gateways: leases on adapters.

#ifndef SLOTS_LEASE_SERVER_H
#define SLOTS_LEASE_SERVER_H

#include "slots.h"

/// Starts to listen for gateways and for metrics.
gboolean
LeaseServer_Listen(struct slots *slots, GError **error);

/// Closes all connections.
void
LeaseServer_Finish(struct slots *slots);

/// A report of the engine has been read: measures what its runs have yet to
/// read.
void
LeaseServer_UpdateBacklog(struct slots *slots);

/// Ends claims whose gateway has not ended them in time.
void
LeaseServer_ExpireLeases(struct slots *slots);

#endif
