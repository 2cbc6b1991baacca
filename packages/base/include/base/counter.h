/// @file counter.h
/// Counters and gauges, written in the Prometheus text format.

#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <glib.h>
#include <stdbool.h>
#include <inttypes.h>

#include "base/list.h"

/// One metric. Its memory, name and help text have to outlive the set that it
/// is added to.
struct cm_counter {
    TAILQ_ENTRY(cm_counter) link;
    const char *name;
    const char *help;
    bool gauge;
    int64_t value;
};

struct cm_counters {
    TAILQ_HEAD(, cm_counter) list;
};

/// Initializes an empty set.
void
CmCounters_Init(struct cm_counters *counters);

/// Adds a counter, whose value never decreases, and sets it to 0.
void
CmCounters_Add(struct cm_counters *counters, struct cm_counter *counter,
               const char *name, const char *help);

/// Adds a gauge, whose value may rise and fall, and sets it to 0.
void
CmCounters_AddGauge(struct cm_counters *counters, struct cm_counter *counter,
                    const char *name, const char *help);

/// Appends a metric that belongs to no set.
void
CmCounters_WriteValue(GString *out, const char *name, const char *help,
                      bool gauge, int64_t value);

/// Appends all metrics of a set to `out` in the Prometheus text format,
/// version 0.0.4.
void
CmCounters_Write(const struct cm_counters *counters, GString *out);

#endif
