/// @file histogram.c
/// Latency histograms in the Prometheus text format.

#include "base/histogram.h"

#include <inttypes.h>
#include <string.h>

#define MS_PER_S 1000.0

/// Upper bounds in ms; the last bucket has none.
static const int64_t upper_bounds_ms[CM_HISTOGRAM_BUCKETS - 1] = {
    5, 10, 25, 50, 100, 200, 400, 800, 1000, 1500, 3000, 6000, 15000};

void
CmHistogram_Init(struct cm_histogram *histogram, const char *name,
                 const char *help, const char *label)
{
    *histogram =
        (struct cm_histogram){.name = name, .help = help, .label = label};
}

void
CmHistogram_Add(struct cm_histogram *histogram, int64_t ms)
{
    if (ms < 0) {
        return;
    }
    size_t i = 0;
    while (i < CM_HISTOGRAM_BUCKETS - 1 && ms > upper_bounds_ms[i]) {
        i++;
    }
    histogram->buckets[i]++;
    histogram->count++;
    histogram->sum_ms += (double)ms;
}

static void
write_buckets(const struct cm_histogram *histogram, GString *out)
{
    const char *label = histogram->label != NULL ? histogram->label : "";
    const char *comma = histogram->label != NULL ? "," : "";
    uint64_t cumulative = 0;
    for (size_t i = 0; i < CM_HISTOGRAM_BUCKETS; i++) {
        cumulative += histogram->buckets[i];
        g_string_append_printf(out, "%s_bucket{%s%sle=\"", histogram->name,
                               label, comma);
        if (i < CM_HISTOGRAM_BUCKETS - 1) {
            g_string_append_printf(out, "%g",
                                   (double)upper_bounds_ms[i] / MS_PER_S);
        }
        else {
            g_string_append(out, "+Inf");
        }
        g_string_append_printf(out, "\"} %" PRIu64 "\n", cumulative);
    }
    const char *open = histogram->label != NULL ? "{" : "";
    const char *close = histogram->label != NULL ? "}" : "";
    g_string_append_printf(out, "%s_sum%s%s%s %g\n", histogram->name, open,
                           label, close, histogram->sum_ms / MS_PER_S);
    g_string_append_printf(out, "%s_count%s%s%s %" PRIu64 "\n",
                           histogram->name, open, label, close,
                           histogram->count);
}

void
CmHistogram_Write(const struct cm_histogram *histograms, size_t n,
                  GString *out)
{
    for (size_t i = 0; i < n; i++) {
        if (i == 0 ||
            strcmp(histograms[i].name, histograms[i - 1].name) != 0) {
            g_string_append_printf(out, "# HELP %s %s\n# TYPE %s histogram\n",
                                   histograms[i].name, histograms[i].help,
                                   histograms[i].name);
        }
        write_buckets(&histograms[i], out);
    }
}
