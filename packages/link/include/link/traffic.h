/// @file traffic.h
/// Link traffic as metrics.

#ifndef LINK_TRAFFIC_H
#define LINK_TRAFFIC_H

#include <glib.h>

#include "link/socket.h"

/// Appends the traffic to `out` in the Prometheus text format.
void
CmLinkTraffic_WriteMetrics(const struct cm_link_traffic *traffic,
                           GString *out);

#endif
