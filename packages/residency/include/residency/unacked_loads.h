/// @file unacked_loads.h
/// Loads that were ordered without an answer. An engine may carry one out
/// seconds later, even in its next incarnation if that has the same id. Each
/// order takes effect only when the engine's number of accepted orders equals
/// the number in the order; a new incarnation counts from 0 again, so that it
/// may reach the number of a load meant for the former one. Pure functions.

#ifndef RESIDENCY_UNACKED_LOADS_H
#define RESIDENCY_UNACKED_LOADS_H

#include <stddef.h>
#include <stdint.h>
#include <time.h>

/// Loads that are remembered: far more than stay without an answer within
/// CM_UNACKED_LOAD_MS.
#define CM_UNACKED_LOADS_MAX 16
/// Time for which an order without an answer may still be carried out.
#define CM_UNACKED_LOAD_MS 15000

struct cm_unacked_load {
    int64_t expected_orders; ///< accepted orders at which it takes effect
    struct timespec ordered_at;
};

struct cm_unacked_loads {
    struct cm_unacked_load loads[CM_UNACKED_LOADS_MAX]; ///< ring buffer
    size_t count;                                       ///< loads ever added
};

/// Records a load without an answer, which takes effect once the engine has
/// accepted `expected_orders` orders. Replaces the oldest one if there are too
/// many.
void
CmUnackedLoads_Add(struct cm_unacked_loads *loads, int64_t expected_orders,
                   struct timespec now);

/// @param orders    accepted by the present incarnation.
/// @param restarted time at which the present incarnation was detected. Loads
/// ordered later need no slot: newer orders of the same incarnation have
/// passed their numbers.
/// @return slots to keep free for loads that were meant for a former
/// incarnation. Loads with consecutive numbers take effect one after the
/// other and need a slot each. A sequence that starts further ahead needs
/// fewer slots, as each order until then can be an unload (model:
/// testing/model/orders.pml).
int64_t
CmUnackedLoads_ReservedSlots(const struct cm_unacked_loads *loads,
                             int64_t orders, struct timespec restarted,
                             struct timespec now);

#endif
