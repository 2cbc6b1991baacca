/// @file late_loads.c
/// Loads that were ordered and got no answer.

#include "residency/late_loads.h"

#include <stdbool.h>

#include "base/clock.h"

void
CmLateLoads_Note(struct cm_late_loads *late, int64_t expect,
                 struct timespec now)
{
    late->loads[late->count++ % CM_LATE_LOADS_MAX] =
        (struct cm_late_load){expect, now};
}

/// @return whether a load of a former incarnation expects `orders`.
static bool
is_expected(const struct cm_late_loads *late, int64_t orders,
            struct timespec restarted, struct timespec now)
{
    size_t n =
        late->count < CM_LATE_LOADS_MAX ? late->count : CM_LATE_LOADS_MAX;
    for (size_t i = 0; i < n; i++) {
        const struct cm_late_load *load = &late->loads[i];
        if (load->expect == orders && CmTime_Before(load->noted, restarted) &&
            CmTime_DiffMs(now, load->noted) < CM_LATE_LOAD_MS) {
            return true;
        }
    }
    return false;
}

int64_t
CmLateLoads_Reserve(const struct cm_late_loads *late, int64_t orders,
                    struct timespec restarted, struct timespec now)
{
    int64_t reserve = 0;
    for (int64_t ahead = 0; ahead <= CM_LATE_LOADS_MAX; ahead++) {
        int64_t length = 0;
        while (length < CM_LATE_LOADS_MAX &&
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
