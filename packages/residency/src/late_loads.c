/// @file late_loads.c
/// Loads that were ordered and got no answer.

#include "residency/late_loads.h"

#include "base/clock.h"

void
CmLateLoads_Note(struct cm_late_loads *late, int64_t expect,
                 struct timespec now)
{
    late->loads[late->count++ % CM_LATE_LOADS_MAX] =
        (struct cm_late_load){expect, now};
}

bool
CmLateLoads_Due(const struct cm_late_loads *late, int64_t orders,
                struct timespec restarted, struct timespec now)
{
    size_t n =
        late->count < CM_LATE_LOADS_MAX ? late->count : CM_LATE_LOADS_MAX;
    for (size_t i = 0; i < n; i++) {
        const struct cm_late_load *load = &late->loads[i];
        int64_t ahead = load->expect - orders;
        if ((ahead == 0 || ahead == 1) &&
            CmTime_Before(load->noted, restarted) &&
            CmTime_DiffMs(now, load->noted) < CM_LATE_LOAD_MS) {
            return true;
        }
    }
    return false;
}
