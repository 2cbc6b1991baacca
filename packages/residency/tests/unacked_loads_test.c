/// @file unacked_loads_test.c
/// Number of slots to keep free for loads of a former incarnation, and a
/// simulation in which such loads are carried out at an engine that must not
/// exceed its slots.

#include "residency/unacked_loads.h"

#include <stdio.h>

#include "cm_test.h"
#include "base/clock.h"

static struct timespec
at(int64_t ms)
{
    return CmTime_AddMs((struct timespec){.tv_sec = 1000}, ms);
}

#define LOADS_MAX 3

static void
test_reserved_slots(void)
{
    static const struct {
        const char *pattern;
        int64_t expected_orders[LOADS_MAX]; ///< -1 for none
        int64_t ordered_ms;
        int64_t orders;
        int64_t restarted_ms;
        int64_t now_ms;
        int64_t reserved;
    } cases[] = {
        {"takes effect at the next order", {2, -1, -1}, 0, 2, 100, 200, 1},
        {"takes effect one order later", {3, -1, -1}, 0, 2, 100, 200, 1},
        {"three orders ahead", {5, -1, -1}, 0, 2, 100, 200, 0},
        {"its number has passed", {1, -1, -1}, 0, 2, 100, 200, 0},
        {"ordered in this incarnation", {2, -1, -1}, 150, 2, 100, 200, 0},
        {"expired", {2, -1, -1}, 0, 2, 100, CM_UNACKED_LOAD_MS, 0},
        {"two consecutive", {2, 3, -1}, 0, 2, 100, 200, 2},
        {"three consecutive, from one order ahead",
         {5, 3, 4},
         0,
         2,
         100,
         200,
         3},
        {"two consecutive, an unload before", {4, 5, -1}, 0, 2, 100, 200, 1},
        {"two with the same number", {2, 2, -1}, 0, 2, 100, 200, 1},
        {"two apart", {2, 4, -1}, 0, 2, 100, 200, 1},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct cm_unacked_loads loads = {0};
        for (size_t e = 0; e < LOADS_MAX; e++) {
            if (cases[i].expected_orders[e] >= 0) {
                CmUnackedLoads_Add(&loads, cases[i].expected_orders[e],
                                   at(cases[i].ordered_ms));
            }
        }
        int64_t reserved = CmUnackedLoads_ReservedSlots(
            &loads, cases[i].orders, at(cases[i].restarted_ms),
            at(cases[i].now_ms));
        if (reserved != cases[i].reserved) {
            printf("\n%s: %d\n", cases[i].pattern, (int)reserved);
        }
        CU_ASSERT_EQUAL(reserved, cases[i].reserved);
    }
}

/// Two consecutive loads stay without an answer, the engine restarts under the
/// same id, and both are carried out when the agent has just filled all slots
/// that are not reserved. The engine must not exceed its slots.
static void
test_slots_never_exceeded(void)
{
    enum { SLOTS = 4, UNACKED = 2, ORDERS = 12 };
    for (int64_t first = 1; first < ORDERS - UNACKED; first++) {
        struct cm_unacked_loads loads = {0};
        for (int64_t i = 0; i < UNACKED; i++) {
            CmUnackedLoads_Add(&loads, first + i, at(0));
        }
        int64_t used_slots = 0;
        int64_t orders = 0;
        while (orders < ORDERS) {
            int64_t reserved =
                CmUnackedLoads_ReservedSlots(&loads, orders, at(10), at(20));
            // The agent's own order: a load, or an unload if no slot is free.
            used_slots += used_slots < SLOTS - reserved ? 1 : -1;
            orders++;
            if (orders == first) {
                used_slots += UNACKED;
                orders += UNACKED;
            }
            CU_ASSERT(used_slots <= SLOTS);
        }
    }
}

static const struct cm_test tests[] = {
    {"reserved slots", test_reserved_slots},
    {"slots never exceeded", test_slots_never_exceeded},
};

CM_TEST_MAIN("unacknowledged loads", tests)
