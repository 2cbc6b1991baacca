/// @file endpoints.h
/// The balancer's question whether this gateway is ready, and its metrics.

#ifndef GATEWAY_PROBES_H
#define GATEWAY_PROBES_H

#include "gateway.h"

/// Registers the counters.
void
Probes_InitCounters(struct gateway *gateway);

/// Starts to listen on the addresses for both.
gboolean
Probes_Listen(struct gateway *gateway, GError **error);

/// Stops listening.
void
Probes_Finish(struct gateway *gateway);

#endif
