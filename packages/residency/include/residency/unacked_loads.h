/// @file unacked_loads.h
/// Loads that were ordered and got no answer: an engine may carry one out
/// seconds later, in its next incarnation too if that has the same id. There
/// the number of orders counts anew, and the load acts when it comes up to
/// the number that the order expects. Pure.

#ifndef RESIDENCY_UNACKED_LOADS_H
#define RESIDENCY_UNACKED_LOADS_H

#include <stddef.h>
#include <stdint.h>
#include <time.h>

/// Loads that are remembered: far more than go without an answer in the time
/// within which they may still be carried out.
#define CM_UNACKED_LOADS_MAX 16
/// Time for which an order without an answer may still be carried out.
#define CM_UNACKED_LOAD_MS 15000

struct cm_unacked_load {
    int64_t expected_orders; ///< number of orders at which it acts
    struct timespec ordered_at;
};

struct cm_unacked_loads {
    struct cm_unacked_load
        loads[CM_UNACKED_LOADS_MAX]; ///< the oldest is replaced
    size_t count;                    ///< ever noted
};

/// A load that expects `expect` accepted orders got no answer.
void
CmUnackedLoads_Add(struct cm_unacked_loads *late, int64_t expect,
                   struct timespec now);

/// @param orders    that the present incarnation has accepted.
/// @param restarted when it was noticed. In the incarnation they were meant
/// for, loads act only at a number that newer orders have passed.
/// @return slots that must stay free for loads of a former incarnation. Those
/// that expect consecutive numbers act one after the other; what is further
/// ahead leaves time for an unload an order (testing/model/orders.pml).
int64_t
CmUnackedLoads_ReservedSlots(const struct cm_unacked_loads *late,
                             int64_t orders, struct timespec restarted,
                             struct timespec now);

#endif
