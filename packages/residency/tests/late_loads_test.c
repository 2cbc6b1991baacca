/// @file late_loads_test.c
/// When a slot must stay free for a load of a former incarnation; and a run
/// in which such loads are carried out, against an engine that must not be
/// overfilled.

#include "residency/late_loads.h"

#include <stdio.h>

#include "cm_test.h"
#include "base/clock.h"

static struct timespec
at(int64_t ms)
{
    return CmTime_AddMs((struct timespec){.tv_sec = 1000}, ms);
}

static void
test_due(void)
{
    static const struct {
        const char *pattern;
        int64_t expect;
        int64_t noted_ms;
        int64_t orders;
        int64_t restarted_ms;
        int64_t now_ms;
        bool due;
    } cases[] = {
        {"it could act now", 2, 0, 2, 100, 200, true},
        {"it could act after one more order", 3, 0, 2, 100, 200, true},
        {"not yet", 5, 0, 2, 100, 200, false},
        {"its number has passed", 1, 0, 2, 100, 200, false},
        {"of this incarnation", 2, 150, 2, 100, 200, false},
        {"too old", 2, 0, 2, 100, CM_LATE_LOAD_MS, false},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct cm_late_loads late = {0};
        CmLateLoads_Note(&late, cases[i].expect, at(cases[i].noted_ms));
        bool due =
            CmLateLoads_Due(&late, cases[i].orders, at(cases[i].restarted_ms),
                            at(cases[i].now_ms));
        if (due != cases[i].due) {
            printf("\n%s: %d\n", cases[i].pattern, due);
        }
        CU_ASSERT_EQUAL(due, cases[i].due);
    }
}

/// Many loads stay without an answer, the engine restarts under the same id,
/// and each late load is carried out at the worst moment: right when its
/// number comes up and the agent has filled all slots it may.
static void
test_never_overfilled(void)
{
    enum { SLOTS = 4 };
    for (int64_t first = 0; first < 6; first++) {
        struct cm_late_loads late = {0};
        CmLateLoads_Note(&late, first, at(0));
        int64_t orders = 0;
        int64_t held = 0;
        bool carried_out = false;
        while (orders < 8) {
            bool due = CmLateLoads_Due(&late, orders, at(10), at(20));
            // The agent's own order: a load, or an unload to make room.
            held += held < SLOTS - (due ? 1 : 0) ? 1 : -1;
            orders++;
            if (orders == first && !carried_out) {
                held++; // The late one, right after.
                orders++;
                carried_out = true;
            }
            CU_ASSERT(held <= SLOTS);
        }
    }
}

static const struct cm_test tests[] = {
    {"a slot stays free", test_due},
    {"never overfilled", test_never_overfilled},
};

CM_TEST_MAIN("late loads", tests)
