/// @file eviction.c
/// Eviction policies: least recently used, and expected use by popularity.

#include <string.h>

#include "base/clock.h"
#include "placement/scheduler.h"

/// Expected uses added for an adapter that was just used; the addition decays
/// with its idle time.
#define RECENCY_WEIGHT 0.5

/// The least recently used adapter has the lowest value. Positive, as agents
/// report values without a sign.
static double
lru_retention_value(const struct cm_scheduler *scheduler,
                    const struct cm_slot *slot, struct timespec now)
{
    return 1 / (1 + CmTime_DiffS(now, slot->last_used));
}

/// Expected uses within the next half-life of popularity. Recency decides
/// between adapters that are requested equally rarely.
static double
expected_use_retention_value(const struct cm_scheduler *scheduler,
                             const struct cm_slot *slot, struct timespec now)
{
    double rate =
        CmPopularity_Rate(&scheduler->popularity, slot->queue->adapter, now);
    double idle_s = CmTime_DiffS(now, slot->last_used);
    return rate * CM_POPULARITY_HALF_LIFE_S + RECENCY_WEIGHT / (1 + idle_s);
}

static const struct cm_eviction_ops policies[] = {
    {"lru", lru_retention_value},
    {"value", expected_use_retention_value},
};

const struct cm_eviction_ops *
CmEviction_Find(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
        if (strcmp(policies[i].name, name) == 0) {
            return &policies[i];
        }
    }
    return NULL;
}
