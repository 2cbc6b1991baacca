/// @file trace.c
/// Trace generator: Poisson arrivals and Zipf adapter popularity with an
/// optional sudden shift and gradual churn.

#include "trace.h"

#include <math.h>

/// Cumulative Zipf weights by rank, and the adapter of each rank.
struct popularity {
    double *cumulative;
    int *adapter_of_rank;
    int n;
};

static void
popularity_init(struct popularity *popularity, int n, double exponent,
                GRand *random)
{
    popularity->n = n;
    popularity->cumulative = g_new0(double, n);
    popularity->adapter_of_rank = g_new0(int, n);
    double sum = 0;
    for (int i = 0; i < n; i++) {
        sum += 1 / pow(i + 1, exponent);
        popularity->cumulative[i] = sum;
        popularity->adapter_of_rank[i] = i;
    }
    for (int i = n - 1; i > 0; i--) {
        int j = g_rand_int_range(random, 0, i + 1);
        int swapped = popularity->adapter_of_rank[i];
        popularity->adapter_of_rank[i] = popularity->adapter_of_rank[j];
        popularity->adapter_of_rank[j] = swapped;
    }
}

static void
popularity_finish(struct popularity *popularity)
{
    g_free(popularity->cumulative);
    g_free(popularity->adapter_of_rank);
}

static int
draw_adapter(const struct popularity *popularity, GRand *random)
{
    double point =
        g_rand_double(random) * popularity->cumulative[popularity->n - 1];
    int low = 0;
    int high = popularity->n - 1;
    while (low < high) {
        int middle = (low + high) / 2;
        if (popularity->cumulative[middle] < point) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return popularity->adapter_of_rank[low];
}

/// Swaps the popularity ranks of two random adapters.
static void
swap_random_ranks(struct popularity *popularity, GRand *random)
{
    int i = g_rand_int_range(random, 0, popularity->n);
    int j = g_rand_int_range(random, 0, popularity->n);
    int swapped = popularity->adapter_of_rank[i];
    popularity->adapter_of_rank[i] = popularity->adapter_of_rank[j];
    popularity->adapter_of_rank[j] = swapped;
}

static enum trace_kind
draw_kind(const struct experiment *experiment, GRand *random)
{
    double point = g_rand_double(random);
    if (point < experiment->lookup_share) {
        return TRACE_LOOKUP;
    }
    point -= experiment->lookup_share;
    if (point < experiment->ledger_share) {
        return TRACE_LEDGER;
    }
    return g_rand_double(random) < experiment->stream_share ? TRACE_STREAM
                                                            : TRACE_COMPLETION;
}

static struct trace_request
draw_request(const struct experiment *experiment,
             const struct popularity *popularity, double arrival_s,
             GRand *random)
{
    struct trace_request request = {.arrival_s = arrival_s};
    request.kind = draw_kind(experiment, random);
    request.adapter = draw_adapter(popularity, random);
    request.tokens = g_rand_int_range(random, (gint32)experiment->tokens_min,
                                      (gint32)experiment->tokens_max + 1);
    request.prefix = g_rand_int_range(random, 0, (gint32)experiment->prefixes);
    request.resend = g_rand_double(random) < experiment->resend_share;
    bool shifted =
        experiment->shift_at_s > 0 && arrival_s >= experiment->shift_at_s;
    if (shifted && g_rand_double(random) < experiment->shift_share) {
        // The rarest adapter becomes a hot one.
        request.adapter = popularity->adapter_of_rank[popularity->n - 1];
    }
    return request;
}

void
Trace_Init(struct trace *trace, const struct experiment *experiment)
{
    GRand *random = g_rand_new_with_seed((guint32)experiment->seed);
    struct popularity popularity;
    popularity_init(&popularity, (int)experiment->adapters, experiment->zipf,
                    random);
    trace->requests = g_array_new(FALSE, TRUE, sizeof(struct trace_request));
    // Each swap changes the rank of two adapters.
    double swaps_per_s =
        experiment->churn_share * (double)experiment->adapters / 60 / 2;
    double pending_swaps = 0;
    double arrival_s = 0;
    while (true) {
        double gap_s = -log(1 - g_rand_double(random)) / experiment->rate;
        arrival_s += gap_s;
        if (arrival_s >= experiment->duration_s) {
            break;
        }
        for (pending_swaps += gap_s * swaps_per_s; pending_swaps >= 1;
             pending_swaps--) {
            swap_random_ranks(&popularity, random);
        }
        struct trace_request request =
            draw_request(experiment, &popularity, arrival_s, random);
        g_array_append_val(trace->requests, request);
    }
    popularity_finish(&popularity);
    g_rand_free(random);
}

void
Trace_Finish(struct trace *trace)
{
    g_array_free(trace->requests, TRUE);
}
