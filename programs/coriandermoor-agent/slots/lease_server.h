/// @file lease_server.h
/// Calls of gateways: leases on adapters.

#ifndef SLOTS_GATEWAYS_H
#define SLOTS_GATEWAYS_H

#include "slots.h"

/// Starts to listen for gateways and for metrics.
gboolean
Gateways_Listen(struct slots *slots, GError **error);

/// Closes all connections.
void
Gateways_Finish(struct slots *slots);

/// A report of the engine has been read: measures what its runs have yet to
/// read.
void
Gateways_Measure(struct slots *slots);

/// Ends claims whose gateway has not ended them in time.
void
Gateways_Sweep(struct slots *slots);

#endif
