/// @file histogram_test.c
/// Bucket bounds and Prometheus text format of histograms.

#include "base/histogram.h"

#include <string.h>

#include "cm_test.h"

static void
test_prometheus_text(void)
{
    static const struct {
        int64_t ms;
        const char *line;
    } cases[] = {
        {-1, "h_count{k=\"v\"} 0\n"},
        {0, "h_bucket{k=\"v\",le=\"0.005\"} 1\n"},
        {5, "h_bucket{k=\"v\",le=\"0.005\"} 1\n"},
        {6, "h_bucket{k=\"v\",le=\"0.005\"} 0\n"},
        {800, "h_bucket{k=\"v\",le=\"0.8\"} 1\n"},
        {801, "h_bucket{k=\"v\",le=\"0.8\"} 0\n"},
        {90000, "h_bucket{k=\"v\",le=\"15\"} 0\n"},
        {90000, "h_bucket{k=\"v\",le=\"+Inf\"} 1\n"},
        {90000, "h_sum{k=\"v\"} 90\n"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_histogram histograms[2];
        CmHistogram_Init(&histograms[0], "h", "Help.", "k=\"v\"");
        CmHistogram_Init(&histograms[1], "h", "Help.", "k=\"w\"");
        CmHistogram_Add(&histograms[0], cases[i].ms);
        GString *out = g_string_new(NULL);
        CmHistogram_Write(histograms, 2, out);
        CU_ASSERT_PTR_NOT_NULL(strstr(out->str, cases[i].line));
        const char *help = strstr(out->str, "# HELP h Help.\n");
        CU_ASSERT_PTR_NOT_NULL(help);
        if (help != NULL) {
            CU_ASSERT_PTR_NULL(strstr(help + 1, "# HELP h"));
        }
        g_string_free(out, TRUE);
    }
}

static const struct cm_test tests[] = {
    {"Prometheus text format", test_prometheus_text}};

CM_TEST_MAIN("histogram", tests)
