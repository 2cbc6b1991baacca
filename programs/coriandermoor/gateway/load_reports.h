/// @file load_reports.h
/// Applies the load of engines that agents report.

#ifndef GATEWAY_LOAD_REPORTS_H
#define GATEWAY_LOAD_REPORTS_H

#include "gateway.h"
#include "residency/load_report.h"

/// Applies a report; a malformed one, or one on an engine that is not listed,
/// changes nothing.
void
LoadReports_Apply(struct gateway *gateway, const char *data, size_t size);

#endif
