/// @file popularity.c
/// Exponentially decayed rates. Each request weighs exp(-age * ln 2 /
/// half-life); the sum of weights is stored with the time of its last update.

#include "placement/popularity.h"

#include <math.h>

#include "base/clock.h"

struct rate {
    double sum;
    struct timespec updated_at;
};

#define DECAY_PER_S (M_LN2 / CM_POPULARITY_HALF_LIFE_S)
/// Sum below which an adapter is dropped once the table has CM_POPULARITY_MAX
/// adapters.
#define NEGLIGIBLE_SUM 0.01

void
CmPopularity_Init(struct cm_popularity *popularity)
{
    popularity->rates =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
CmPopularity_Finish(struct cm_popularity *popularity)
{
    g_hash_table_destroy(popularity->rates);
}

static double
decayed_sum(const struct rate *rate, struct timespec now)
{
    double age_s = CmTime_DiffS(now, rate->updated_at);
    return age_s > 0 ? rate->sum * exp(-age_s * DECAY_PER_S) : rate->sum;
}

static gboolean
is_negligible(gpointer key, gpointer value, gpointer context)
{
    const struct timespec *now = context;
    return decayed_sum(value, *now) < NEGLIGIBLE_SUM;
}

static struct rate *
find_or_add(struct cm_popularity *popularity, const char *adapter,
            struct timespec now)
{
    struct rate *rate = g_hash_table_lookup(popularity->rates, adapter);
    if (rate == NULL) {
        if (g_hash_table_size(popularity->rates) >= CM_POPULARITY_MAX) {
            g_hash_table_foreach_remove(popularity->rates, is_negligible,
                                        &now);
        }
        rate = g_new0(struct rate, 1);
        rate->updated_at = now;
        g_hash_table_insert(popularity->rates, g_strdup(adapter), rate);
    }
    return rate;
}

void
CmPopularity_RecordRequest(struct cm_popularity *popularity,
                           const char *adapter, struct timespec now)
{
    struct rate *rate = find_or_add(popularity, adapter, now);
    rate->sum = decayed_sum(rate, now) + 1;
    rate->updated_at = now;
}

double
CmPopularity_Rate(const struct cm_popularity *popularity, const char *adapter,
                  struct timespec now)
{
    const struct rate *rate = g_hash_table_lookup(popularity->rates, adapter);
    // At a steady rate r the sum converges to r / DECAY_PER_S.
    return rate != NULL ? decayed_sum(rate, now) * DECAY_PER_S : 0;
}

void
CmPopularity_Set(struct cm_popularity *popularity, const char *adapter,
                 double rate_per_s, struct timespec now)
{
    struct rate *rate = find_or_add(popularity, adapter, now);
    rate->sum = rate_per_s / DECAY_PER_S;
    rate->updated_at = now;
}

void
CmPopularity_ForEach(const struct cm_popularity *popularity,
                     struct timespec now, double minimum,
                     void (*each)(void *context, const char *adapter,
                                  double rate),
                     void *context)
{
    GHashTableIter iter;
    gpointer adapter;
    gpointer rate;
    g_hash_table_iter_init(&iter, popularity->rates);
    while (g_hash_table_iter_next(&iter, &adapter, &rate)) {
        double value = decayed_sum(rate, now) * DECAY_PER_S;
        if (value >= minimum) {
            each(context, adapter, value);
        }
    }
}
