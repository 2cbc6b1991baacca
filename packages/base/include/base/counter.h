/// @file counter.h
/// Metric counters, written in the Prometheus text format.

#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <glib.h>
#include <stdbool.h>
#include <inttypes.h>

#include "base/list.h"

/// One named value. The owner keeps the memory and the name alive.
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

/// Prepares an empty set.
void
CmCounters_Init(struct cm_counters *counters);

/// Adds a counter that only grows.
void
CmCounters_Add(struct cm_counters *counters, struct cm_counter *counter,
               const char *name, const char *help);

/// Adds a gauge, which goes up and down.
void
CmCounters_AddGauge(struct cm_counters *counters, struct cm_counter *counter,
                    const char *name, const char *help);

/// Appends one value that is kept elsewhere.
void
CmCounters_WriteValue(GString *out, const char *name, const char *help,
                      bool gauge, int64_t value);

/// Appends all values to `out` in the Prometheus text format, version 0.0.4.
void
CmCounters_Write(const struct cm_counters *counters, GString *out);

#endif
