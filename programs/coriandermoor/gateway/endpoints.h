/// @file endpoints.h
/// The balancer's question whether this gateway is ready, and its metrics.

#ifndef GATEWAY_ENDPOINTS_H
#define GATEWAY_ENDPOINTS_H

#include "gateway.h"

/// Registers the counters.
void
Endpoints_InitCounters(struct gateway *gateway);

/// Starts to listen on the addresses for both.
gboolean
Endpoints_Listen(struct gateway *gateway, GError **error);

/// Stops listening.
void
Endpoints_Finish(struct gateway *gateway);

#endif
