/// @file unacked_loads.c
/// Loads that were ordered and got no answer.

#include "residency/unacked_loads.h"

#include <stdbool.h>

#include "base/clock.h"

void
CmUnackedLoads_Add(struct cm_unacked_loads *late, int64_t expect,
                   struct timespec now)
{
    late->loads[late->count++ % CM_UNACKED_LOADS_MAX] =
        (struct cm_unacked_load){expect, now};
}

/// @return whether a load of a former incarnation expects `orders`.
static bool
is_expected(const struct cm_unacked_loads *late, int64_t orders,
            struct timespec restarted, struct timespec now)
{
    size_t n = late->count < CM_UNACKED_LOADS_MAX ? late->count
                                                  : CM_UNACKED_LOADS_MAX;
    for (size_t i = 0; i < n; i++) {
        const struct cm_unacked_load *load = &late->loads[i];
        if (load->expected_orders == orders &&
            CmTime_Before(load->ordered_at, restarted) &&
            CmTime_DiffMs(now, load->ordered_at) < CM_UNACKED_LOAD_MS) {
            return true;
        }
    }
    return false;
}

int64_t
CmUnackedLoads_ReservedSlots(const struct cm_unacked_loads *late,
                             int64_t orders, struct timespec restarted,
                             struct timespec now)
{
    int64_t reserve = 0;
    for (int64_t ahead = 0; ahead <= CM_UNACKED_LOADS_MAX; ahead++) {
        int64_t length = 0;
        while (length < CM_UNACKED_LOADS_MAX &&
               is_expected(late, orders + ahead + length, restarted, now)) {
            length++;
        }
        // The next order is given now; each further one may be an unload.
        int64_t unloads = ahead > 1 ? ahead - 1 : 0;
        if (length - unloads > reserve) {
            reserve = length - unloads;
        }
    }
    return reserve;
}
