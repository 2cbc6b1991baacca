/// @file summary.c
/// Statistics over the results of a run, and its CSV and JSON files.

#include "summary.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"

static const char *const kind_names[] = {"completion", "stream", "lookup",
                                         "ledger"};
static const char *const outcome_names[] = {"ran", "not-run", "unknown",
                                            "none"};

bool
Summary_WriteCsv(const GArray *results, const char *path, GError **error)
{
    FILE *out = fopen(path, "w");
    if (out == NULL) {
        g_set_error(error, CM_ERROR, CM_ERROR_IO, "%s: %s", path,
                    strerror(errno));
        return false;
    }
    fprintf(out,
            "index,resend,kind,adapter,tokens,at_s,first_ms,total_ms,status,"
            "outcome,wrong,cut,stall_ms,queue_ms\n");
    for (guint i = 0; i < results->len; i++) {
        const struct result *r = &g_array_index(results, struct result, i);
        fprintf(out, "%d,%d,%s,%d,%d,%.4f,%.3f,%.3f,%d,%s,%d,%d,%.0f,%.0f\n",
                r->index, r->is_resend, kind_names[r->kind], r->adapter,
                r->tokens, r->sent_s, r->first_ms, r->total_ms, r->status,
                outcome_names[r->outcome], r->wrong, r->truncated, r->stall_ms,
                r->queue_ms);
    }
    fclose(out);
    return true;
}

static int
compare_doubles(gconstpointer a, gconstpointer b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return left < right ? -1 : left > right;
}

void
Summary_Sort(GArray *numbers)
{
    g_array_sort(numbers, compare_doubles);
}

double
Summary_Quantile(const GArray *sorted, double p)
{
    if (sorted->len == 0) {
        return 0;
    }
    guint i = (guint)(p * (double)(sorted->len - 1) + 0.5);
    return g_array_index(sorted, double, i);
}

static double
mean(const GArray *numbers)
{
    double sum = 0;
    for (guint i = 0; i < numbers->len; i++) {
        sum += g_array_index(numbers, double, i);
    }
    return numbers->len > 0 ? sum / numbers->len : 0;
}

/// Adds mean, quantiles and maximum of `numbers` under `name`. Sorts them.
static void
add_distribution(json_t *json, const char *name, GArray *numbers)
{
    Summary_Sort(numbers);
    json_object_set_new(json, name,
                        json_pack("{s:f,s:f,s:f,s:f,s:f}", "mean",
                                  mean(numbers), "p50",
                                  Summary_Quantile(numbers, 0.5), "p95",
                                  Summary_Quantile(numbers, 0.95), "p99",
                                  Summary_Quantile(numbers, 0.99), "max",
                                  Summary_Quantile(numbers, 1)));
}

/// @return spread of tail latency between adapters: the 99th percentile of the
///         adapters' p99 times to the first byte, divided by their median.
static double
fairness(const GArray *results, double from_s)
{
    GHashTable *first_ms_by_adapter = g_hash_table_new_full(
        g_direct_hash, g_direct_equal, NULL, (GDestroyNotify)g_array_unref);
    for (guint i = 0; i < results->len; i++) {
        const struct result *r = &g_array_index(results, struct result, i);
        if (r->sent_s < from_s || r->kind > TRACE_STREAM ||
            r->outcome != RESULT_RAN) {
            continue;
        }
        gpointer key = GINT_TO_POINTER(r->adapter);
        GArray *list = g_hash_table_lookup(first_ms_by_adapter, key);
        if (list == NULL) {
            list = g_array_new(FALSE, FALSE, sizeof(double));
            g_hash_table_insert(first_ms_by_adapter, key, list);
        }
        g_array_append_val(list, r->first_ms);
    }
    GArray *p99s = g_array_new(FALSE, FALSE, sizeof(double));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, first_ms_by_adapter);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Summary_Sort(value);
        double p99 = Summary_Quantile(value, 0.99);
        g_array_append_val(p99s, p99);
    }
    Summary_Sort(p99s);
    double median = Summary_Quantile(p99s, 0.5);
    double worst = Summary_Quantile(p99s, 0.99);
    g_array_free(p99s, TRUE);
    g_hash_table_destroy(first_ms_by_adapter);
    return median > 0 ? worst / median : 0;
}

struct result_counts {
    int outcomes[4];
    int wrong;
    int truncated;
};

void
Summary_Write(const GArray *results, const struct experiment *experiment,
              const struct server_stats *at_start,
              const struct server_stats *at_warmup_end,
              const struct server_stats *at_end, int capacity,
              const char *path)
{
    GArray *stalls = g_array_new(FALSE, FALSE, sizeof(double));
    GArray *queues = g_array_new(FALSE, FALSE, sizeof(double));
    GArray *firsts = g_array_new(FALSE, FALSE, sizeof(double));
    GArray *totals = g_array_new(FALSE, FALSE, sizeof(double));
    struct result_counts result_counts = {0};
    for (guint i = 0; i < results->len; i++) {
        const struct result *r = &g_array_index(results, struct result, i);
        result_counts.outcomes[r->outcome]++;
        result_counts.wrong += r->wrong;
        result_counts.truncated += r->truncated;
        if (r->sent_s < experiment->warmup_s || r->outcome != RESULT_RAN) {
            continue;
        }
        g_array_append_val(totals, r->total_ms);
        if (r->kind <= TRACE_STREAM) {
            g_array_append_val(stalls, r->stall_ms);
            g_array_append_val(queues, r->queue_ms);
            g_array_append_val(firsts, r->first_ms);
        }
    }
    double steps = at_end->steps - at_warmup_end->steps;
    double fill = steps > 0 ? (at_end->batch_sum - at_warmup_end->batch_sum) /
                                  steps / capacity
                            : 0;
    json_t *json = json_pack(
        "{s:s,s:I,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:f,s:f,s:f,s:f,s:f,s:f}",
        "name", experiment->name, "seed", (json_int_t)experiment->seed,
        "requests", (int)results->len, "ran",
        result_counts.outcomes[RESULT_RAN], "not_run",
        result_counts.outcomes[RESULT_NOT_RUN], "unknown",
        result_counts.outcomes[RESULT_UNKNOWN], "none",
        result_counts.outcomes[RESULT_NO_RESPONSE], "wrong",
        result_counts.wrong, "cut", result_counts.truncated, "loads",
        at_end->loads - at_start->loads, "loads_counted",
        at_end->loads - at_warmup_end->loads, "batch_fill", fill,
        "evicted_in_use",
        at_end->evicted_in_use - at_warmup_end->evicted_in_use,
        "in_transit_peak", at_end->in_transit_peak, "fairness",
        fairness(results, experiment->warmup_s));
    add_distribution(json, "stall_ms", stalls);
    add_distribution(json, "queue_ms", queues);
    add_distribution(json, "first_ms", firsts);
    add_distribution(json, "total_ms", totals);
    json_dump_file(json, path, JSON_INDENT(1));
    json_dumpf(json, stdout, JSON_COMPACT | JSON_REAL_PRECISION(5));
    printf("\n");
    json_decref(json);
    g_array_free(stalls, TRUE);
    g_array_free(queues, TRUE);
    g_array_free(firsts, TRUE);
    g_array_free(totals, TRUE);
}
