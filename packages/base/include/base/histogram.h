/// @file histogram.h
/// Latency histograms with fixed buckets, written in the Prometheus text
/// format.

#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/// Number of buckets; the last one has no upper bound.
#define CM_HISTOGRAM_BUCKETS 14

/// One time series of durations in ms.
struct cm_histogram {
    const char *name; ///< metric name without _bucket, _sum and _count
    const char *help;
    const char *label; ///< `name="value"`, or NULL
    uint64_t buckets[CM_HISTOGRAM_BUCKETS];
    uint64_t count;
    double sum_ms;
};

/// Initializes an empty series. The strings have to outlive it.
void
CmHistogram_Init(struct cm_histogram *histogram, const char *name,
                 const char *help, const char *label);

/// Counts one duration; negative durations are ignored.
void
CmHistogram_Add(struct cm_histogram *histogram, int64_t ms);

/// Appends `n` series to `out`. Series of one metric have to be adjacent, as
/// HELP and TYPE are written once for each run of equal names.
void
CmHistogram_Write(const struct cm_histogram *histograms, size_t n,
                  GString *out);

#endif
