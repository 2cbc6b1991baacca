/// @file histogram.h
/// Latency histograms with fixed buckets, written in the Prometheus text
/// format beside the counters.

#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/// Buckets, the last one without a bound.
#define CM_HISTOGRAM_BUCKETS 14

/// One series; durations in ms.
struct cm_histogram {
    const char *name; ///< of the metric, without its suffixes
    const char *help;
    const char *label; ///< `name="value"`, or NULL
    uint64_t buckets[CM_HISTOGRAM_BUCKETS];
    uint64_t count;
    double sum_ms;
};

/// Prepares an empty series. The texts have to outlive it.
void
CmHistogram_Init(struct cm_histogram *histogram, const char *name,
                 const char *help, const char *label);

/// Counts one duration; negative ones are left out.
void
CmHistogram_Add(struct cm_histogram *histogram, int64_t ms);

/// Appends `n` series to `out`; series of one metric stand together.
void
CmHistogram_Write(const struct cm_histogram *histograms, size_t n,
                  GString *out);

#endif
