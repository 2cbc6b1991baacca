/// @file traffic.h
/// Traffic counters as metrics.

#ifndef LINK_TRAFFIC_H
#define LINK_TRAFFIC_H

#include <glib.h>

#include "link/socket.h"

/// Appends the counters to `out` in the Prometheus text format.
void
CmLinkTraffic_WriteMetrics(const struct cm_link_traffic *traffic,
                           GString *out);

#endif
