/// @file unacked_loads.c
/// Load orders that the engine has not answered and may still execute.

#include "residency/unacked_loads.h"

#include <stdbool.h>

#include "base/clock.h"

void
CmUnackedLoads_Add(struct cm_unacked_loads *loads, int64_t expected_orders,
                   struct timespec now)
{
    loads->loads[loads->count++ % CM_UNACKED_LOADS_MAX] =
        (struct cm_unacked_load){expected_orders, now};
}

/// @return whether a load that was meant for a former incarnation, and may
/// still be carried out, takes effect once the engine has accepted `orders`
/// orders.
static bool
takes_effect_at(const struct cm_unacked_loads *loads, int64_t orders,
                struct timespec restarted, struct timespec now)
{
    size_t n = loads->count < CM_UNACKED_LOADS_MAX ? loads->count
                                                   : CM_UNACKED_LOADS_MAX;
    for (size_t i = 0; i < n; i++) {
        const struct cm_unacked_load *load = &loads->loads[i];
        if (load->expected_orders == orders &&
            CmTime_Before(load->ordered_at, restarted) &&
            CmTime_DiffMs(now, load->ordered_at) < CM_UNACKED_LOAD_MS) {
            return true;
        }
    }
    return false;
}

int64_t
CmUnackedLoads_ReservedSlots(const struct cm_unacked_loads *loads,
                             int64_t orders, struct timespec restarted,
                             struct timespec now)
{
    int64_t reserved = 0;
    // `distance`: orders that the engine accepts before the first load of a
    // sequence. Beyond the maximum, the unloads free as many slots as the
    // longest sequence takes.
    for (int64_t distance = 0; distance <= CM_UNACKED_LOADS_MAX; distance++) {
        int64_t length = 0;
        while (length < CM_UNACKED_LOADS_MAX &&
               takes_effect_at(loads, orders + distance + length, restarted,
                               now)) {
            length++;
        }
        // The first of these orders is the one being decided now, possibly a
        // load. Each of the others can be an unload, which frees a slot.
        int64_t unloads = distance > 1 ? distance - 1 : 0;
        if (length - unloads > reserved) {
            reserved = length - unloads;
        }
    }
    return reserved;
}
