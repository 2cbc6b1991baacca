/// @file unacked_loads_test.c
/// When a slot must stay free for a load of a former incarnation; and a run
/// in which such loads are carried out, against an engine that must not be
/// overfilled.

#include "residency/unacked_loads.h"

#include <stdio.h>

#include "cm_test.h"
#include "base/clock.h"

static struct timespec
at(int64_t ms)
{
    return CmTime_AddMs((struct timespec){.tv_sec = 1000}, ms);
}

#define EXPECTS 3

static void
test_reserve(void)
{
    static const struct {
        const char *pattern;
        int64_t expects[EXPECTS]; ///< -1 for none
        int64_t noted_ms;
        int64_t orders;
        int64_t restarted_ms;
        int64_t now_ms;
        int64_t reserve;
    } cases[] = {
        {"it could act now", {2, -1, -1}, 0, 2, 100, 200, 1},
        {"after one more order", {3, -1, -1}, 0, 2, 100, 200, 1},
        {"not yet", {5, -1, -1}, 0, 2, 100, 200, 0},
        {"its number has passed", {1, -1, -1}, 0, 2, 100, 200, 0},
        {"of this incarnation", {2, -1, -1}, 150, 2, 100, 200, 0},
        {"too old", {2, -1, -1}, 0, 2, 100, CM_UNACKED_LOAD_MS, 0},
        {"two in a row", {2, 3, -1}, 0, 2, 100, 200, 2},
        {"three in a row, from the next on", {5, 3, 4}, 0, 2, 100, 200, 3},
        {"two in a row, an unload before", {4, 5, -1}, 0, 2, 100, 200, 1},
        {"two with the same number", {2, 2, -1}, 0, 2, 100, 200, 1},
        {"two apart", {2, 4, -1}, 0, 2, 100, 200, 1},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct cm_unacked_loads late = {0};
        for (size_t e = 0; e < EXPECTS; e++) {
            if (cases[i].expects[e] >= 0) {
                CmUnackedLoads_Add(&late, cases[i].expects[e],
                                   at(cases[i].noted_ms));
            }
        }
        int64_t reserve = CmUnackedLoads_ReservedSlots(
            &late, cases[i].orders, at(cases[i].restarted_ms),
            at(cases[i].now_ms));
        if (reserve != cases[i].reserve) {
            printf("\n%s: %d\n", cases[i].pattern, (int)reserve);
        }
        CU_ASSERT_EQUAL(reserve, cases[i].reserve);
    }
}

/// Two loads in a row stay without an answer, the engine restarts under the
/// same id, and both are carried out at the worst moment: when their numbers
/// come up, right after an order of the agent, which fills all it may.
static void
test_never_overfilled(void)
{
    enum { SLOTS = 4, LATE = 2, ORDERS = 12 };
    for (int64_t first = 1; first < ORDERS - LATE; first++) {
        struct cm_unacked_loads late = {0};
        for (int64_t i = 0; i < LATE; i++) {
            CmUnackedLoads_Add(&late, first + i, at(0));
        }
        int64_t held = 0;
        int64_t orders = 0;
        while (orders < ORDERS) {
            int64_t reserve =
                CmUnackedLoads_ReservedSlots(&late, orders, at(10), at(20));
            // The agent's own order: a load, or an unload to make room.
            held += held < SLOTS - reserve ? 1 : -1;
            orders++;
            if (orders == first) {
                held += LATE;
                orders += LATE;
            }
            CU_ASSERT(held <= SLOTS);
        }
    }
}

static const struct cm_test tests[] = {
    {"slots stay free", test_reserve},
    {"never overfilled", test_never_overfilled},
};

CM_TEST_MAIN("late loads", tests)
