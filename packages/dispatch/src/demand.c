/// @file demand.c
/// Counts requests for each adapter with exponential decay.
///
/// Load pattern: thousands of adapters of which most are requested once in a
/// while, and a few many times a second. Only for the latter a copy at a
/// further engine is used again before it is evicted.

#include "dispatch/demand.h"

#include <math.h>

#include "base/clock.h"

/// Half-life of a request's weight, and the weight below which an adapter is
/// dropped from the table.
#define HALF_LIFE_MS 5000.0
#define DROP_BELOW 0.01
/// Least number of adapters at which the table is searched for old ones.
#define SWEEP_MIN 256
/// Adapters that are counted: twice those of the largest deployment. Callers
/// may name others.
#define ADAPTERS_MAX 50000

struct demand_count {
    double weight; ///< as of `counted_at`
    struct timespec counted_at;
};

void
CmDemand_Init(struct cm_demand *demand)
{
    demand->counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    demand->sweep_at = SWEEP_MIN;
}

void
CmDemand_Finish(struct cm_demand *demand)
{
    g_hash_table_destroy(demand->counts);
}

static double
weight_at(const struct demand_count *count, struct timespec now)
{
    double age_ms = (double)CmTime_DiffMs(now, count->counted_at);
    return count->weight * exp2(-age_ms / HALF_LIFE_MS);
}

static gboolean
is_old(void *adapter, void *count, void *now)
{
    return weight_at(count, *(const struct timespec *)now) < DROP_BELOW;
}

/// Drops old entries whenever the table has doubled, so that a count costs
/// about the same at any size.
static void
sweep(struct cm_demand *demand, struct timespec now)
{
    if (g_hash_table_size(demand->counts) < demand->sweep_at) {
        return;
    }
    g_hash_table_foreach_remove(demand->counts, is_old, &now);
    demand->sweep_at =
        MAX(SWEEP_MIN, 2 * (size_t)g_hash_table_size(demand->counts));
}

void
CmDemand_Count(struct cm_demand *demand, const char *adapter,
               struct timespec now)
{
    struct demand_count *count = g_hash_table_lookup(demand->counts, adapter);
    if (count == NULL) {
        sweep(demand, now);
        if (g_hash_table_size(demand->counts) >= ADAPTERS_MAX) {
            return;
        }
        count = g_new0(struct demand_count, 1);
        count->counted_at = now;
        g_hash_table_insert(demand->counts, g_strdup(adapter), count);
    }
    count->weight = weight_at(count, now) + 1;
    count->counted_at = now;
}

double
CmDemand_Of(const struct cm_demand *demand, const char *adapter,
            struct timespec now)
{
    const struct demand_count *count =
        g_hash_table_lookup(demand->counts, adapter);
    return count != NULL ? weight_at(count, now) : 0;
}
