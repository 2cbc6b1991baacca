/// @file endpoints.h
/// HTTP endpoints for the load balancer's readiness probe, metrics, and
/// snapshots for peer gateways.

#ifndef GATEWAY_ENDPOINTS_H
#define GATEWAY_ENDPOINTS_H

#include "gateway.h"

/// Registers the metrics.
void
Endpoints_InitCounters(struct gateway *gateway);

/// Starts to listen on the ready and admin addresses, and on the control
/// address if there is one.
gboolean
Endpoints_Listen(struct gateway *gateway, GError **error);

/// Stops listening and closes all connections.
void
Endpoints_Finish(struct gateway *gateway);

#endif
