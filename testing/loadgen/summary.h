/// @file summary.h
/// Results of a run: a CSV file of all requests and a JSON summary.

#ifndef SUMMARY_H
#define SUMMARY_H

#include "sender.h"

/// Counters of the stand-in targets and the weight store at one moment.
struct server_stats {
    double batch_sum; ///< batch sizes summed over all steps
    double steps;
    double evicted_in_use;  ///< evictions of adapters in use
    double loads;           ///< adapter loads from the weight store
    double in_transit_peak; ///< most concurrent transfers
};

/// Writes a CSV file with one line per request, resends included.
bool
Summary_WriteCsv(const GArray *results, const char *path, GError **error);

/// Prints the summary and writes it as JSON to `path`. Latencies, batch fill,
/// evictions and "loads_counted" cover the time after the warm-up; "loads" and
/// the outcome counts cover the whole run.
/// @param capacity largest batch of one engine
void
Summary_Write(const GArray *results, const struct experiment *experiment,
              const struct server_stats *at_start,
              const struct server_stats *at_warmup_end,
              const struct server_stats *at_end, int capacity,
              const char *path);

/// @return the `p`-quantile (0 to 1) of sorted numbers, 0 without numbers.
double
Summary_Quantile(const GArray *sorted, double p);

/// Sorts an array of double in ascending order.
void
Summary_Sort(GArray *numbers);

#endif
