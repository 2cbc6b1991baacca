/// @file summary.h
/// Figures of a run: CSV of all requests and a summary.

#ifndef SUMMARY_H
#define SUMMARY_H

#include "sender.h"

/// Figures of the targets and the weight store at one moment.
struct server_stats {
    double batch_sum;
    double steps;
    double evicted_in_use;
    double loads;
    double in_transit_peak;
};

/// Writes one line a request.
bool
Summary_WriteCsv(const GArray *results, const char *path, GError **error);

/// Prints the summary and writes it as JSON to `path`. Loads and batches are
/// counted from `before`, the end of the warm-up.
void
Summary_Write(const GArray *results, const struct experiment *experiment,
              const struct server_stats *at_start,
              const struct server_stats *at_warmup_end,
              const struct server_stats *at_end, int capacity,
              const char *path);

/// @return the p-th part (0 to 1) of sorted numbers.
double
Summary_Quantile(const GArray *sorted, double p);

/// Sorts numbers.
void
Summary_Sort(GArray *numbers);

#endif
