/// @file eviction.c
/// Eviction policies.

#include <string.h>

#include "base/clock.h"
#include "placement/scheduler.h"

/// Weight of recency beside the expected number of uses.
#define RECENCY_WEIGHT 0.5

/// Least recently used.
static double
lru_worth(const struct cm_scheduler *scheduler, const struct cm_slot *slot,
          struct timespec now)
{
    return -CmTime_DiffS(now, slot->last_used);
}

/// Expected uses within the next half-life; recency decides between
/// adapters that were asked for equally rarely.
static double
value_worth(const struct cm_scheduler *scheduler, const struct cm_slot *slot,
            struct timespec now)
{
    double rate =
        CmPopularity_Rate(&scheduler->popularity, slot->queue->adapter, now);
    double idle_s = CmTime_DiffS(now, slot->last_used);
    return rate * CM_POPULARITY_HALF_LIFE_S + RECENCY_WEIGHT / (1 + idle_s);
}

static const struct cm_eviction_ops policies[] = {
    {"lru", lru_worth},
    {"value", value_worth},
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
