/// @file budget_test.c
/// Which holds are released, and which are admitted, while a class of memory
/// is full.

#include "memory/budget.h"

#include <stdio.h>

#include "cm_test.h"

#define HOLDS_MAX 4
/// Limit of the class under test.
#define CLASS_MAX_BYTES 1000
#define KIB ((size_t)1024)

/// One peer: what it holds, and when it last sent or read something.
struct peer {
    size_t bytes;
    int64_t idle_ms;
    int64_t age_ms; ///< since its message began; 0: as long as it is idle
};

static void
release(struct cm_memory_hold *hold)
{
    CmMemoryHold_Finish(hold);
}

static void
test_release_order(void)
{
    static const struct {
        const char *text;
        enum cm_memory_class class;
        struct peer peers[HOLDS_MAX];
        bool released[HOLDS_MAX];
    } cases[] = {
        {"within the limit",
         CM_MEMORY_ARRIVING,
         {{400 * KIB, 9000, 0}, {600 * KIB, 0, 0}},
         {false, false}},
        {"the largest first",
         CM_MEMORY_ARRIVING,
         {{100 * KIB, 0, 0}, {800 * KIB, 0, 0}, {200 * KIB, 0, 0}},
         {false, true, false}},
        {"a stalled message before one that still arrives",
         CM_MEMORY_ARRIVING,
         {{500 * KIB, 0, 0}, {400 * KIB, 5000, 0}, {200 * KIB, 0, 0}},
         {false, true, false}},
        {"a short message stays although it has stalled",
         CM_MEMORY_ARRIVING,
         {{10 * KIB, 3000, 0}, {900 * KIB, 0, 0}, {100 * KIB, 0, 0}},
         {false, true, false}},
        {"a slow message before a larger one that arrives fast",
         CM_MEMORY_ARRIVING,
         {{200 * KIB, 0, 9000}, {900 * KIB, 0, 900}},
         {true, false}},
        {"a short message is not slow",
         CM_MEMORY_ARRIVING,
         {{8 * KIB, 0, 9000}, {900 * KIB, 0, 900}, {100 * KIB, 0, 100}},
         {false, true, false}},
        {"as many as needed",
         CM_MEMORY_ARRIVING,
         {{900 * KIB, 0, 0},
          {800 * KIB, 0, 0},
          {700 * KIB, 0, 0},
          {200 * KIB, 0, 0}},
         {true, true, false, false}},
        {"the largest response",
         CM_MEMORY_RESPONSES,
         {{300 * KIB, 9000, 0}, {800 * KIB, 0, 0}},
         {false, true}},
        {"output that has been unread for the longest time",
         CM_MEMORY_OUTPUT,
         {{900 * KIB, 100, 0}, {200 * KIB, 2000, 0}},
         {false, true}},
        {"of the same age, the larger output",
         CM_MEMORY_OUTPUT,
         {{900 * KIB, 100, 0}, {200 * KIB, 100, 0}},
         {true, false}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_manual_clock clock;
        CmManualClock_Init(&clock);
        struct cm_memory_budget budget;
        CmMemoryBudget_Init(&budget, &clock.base,
                            CLASS_MAX_BYTES * KIB * CM_MEMORY_CLASSES);
        struct cm_memory_hold holds[HOLDS_MAX];
        for (size_t j = 0; j < HOLDS_MAX; j++) {
            CmMemoryHold_Init(&holds[j], &budget, cases[i].class, release);
            CmMemoryHold_Set(&holds[j], cases[i].peers[j].bytes);
            const struct peer *peer = &cases[i].peers[j];
            holds[j].progress_at =
                CmTime_AddMs(CmClock_Now(&clock.base), -peer->idle_ms);
            holds[j].begun_at = CmTime_AddMs(
                CmClock_Now(&clock.base), -MAX(peer->age_ms, peer->idle_ms));
        }
        CmMemoryBudget_Enforce(&budget, cases[i].class);
        for (size_t j = 0; j < HOLDS_MAX; j++) {
            bool released = cases[i].peers[j].bytes > 0 && holds[j].bytes == 0;
            if (released != cases[i].released[j]) {
                printf("%s: hold %zu\n", cases[i].text, j);
            }
            CU_ASSERT_EQUAL(released, cases[i].released[j]);
        }
        CU_ASSERT(CmMemoryBudget_Total(&budget) <= CLASS_MAX_BYTES * KIB);
    }
}

/// Holds that may go beyond the limit of their class alone.
static void
test_large_messages(void)
{
    static const struct {
        const char *text;
        struct peer peers[2]; ///< the first one goes alone before
        bool released[2];
    } cases[] = {
        {"one alone", {{3000 * KIB, 9000, 0}, {0, 0, 0}}, {false, false}},
        {"one beside small ones",
         {{3000 * KIB, 9000, 0}, {900 * KIB, 0, 0}},
         {false, false}},
        {"the second one while the first one arrives",
         {{3000 * KIB, 100, 0}, {1100 * KIB, 0, 0}},
         {false, true}},
        {"the first one if it stands still",
         {{3000 * KIB, 9000, 0}, {1100 * KIB, 0, 0}},
         {true, false}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_manual_clock clock;
        CmManualClock_Init(&clock);
        struct cm_memory_budget budget;
        CmMemoryBudget_Init(&budget, &clock.base,
                            CLASS_MAX_BYTES * KIB * CM_MEMORY_CLASSES);
        struct cm_memory_hold holds[2];
        for (size_t j = 0; j < 2; j++) {
            CmMemoryHold_Init(&holds[j], &budget, CM_MEMORY_ARRIVING, release);
            holds[j].may_go_alone = true;
            CmMemoryHold_Set(&holds[j], cases[i].peers[j].bytes);
            holds[j].progress_at = CmTime_AddMs(CmClock_Now(&clock.base),
                                                -cases[i].peers[j].idle_ms);
            CmMemoryBudget_Enforce(&budget, CM_MEMORY_ARRIVING);
        }
        for (size_t j = 0; j < 2; j++) {
            bool released = cases[i].peers[j].bytes > 0 && holds[j].bytes == 0;
            if (released != cases[i].released[j]) {
                printf("%s: hold %zu\n", cases[i].text, j);
            }
            CU_ASSERT_EQUAL(released, cases[i].released[j]);
        }
    }
}

static void
test_admission(void)
{
    static const struct {
        const char *text;
        size_t used;
        size_t bytes;
        bool admitted;
    } cases[] = {
        {"all of an empty class", 0, 1000, true},
        {"more than that", 0, 1001, false},
        {"up to seven eighths of the class", 200, 675, true},
        {"more than that, and than half of what is left", 200, 676, false},
        {"a small one beside large ones", 900, 50, true},
        {"a larger one beside them", 900, 51, false},
        {"a full class", 1000, 0, false},
        {"one that is over its limit", 1200, 1, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_manual_clock clock;
        CmManualClock_Init(&clock);
        struct cm_memory_budget budget;
        CmMemoryBudget_Init(&budget, &clock.base,
                            (size_t)CLASS_MAX_BYTES * CM_MEMORY_CLASSES);
        struct cm_memory_hold used;
        CmMemoryHold_Init(&used, &budget, CM_MEMORY_REQUESTS, NULL);
        CmMemoryHold_Set(&used, cases[i].used);
        if (CmMemoryBudget_Admit(&budget, CM_MEMORY_REQUESTS,
                                 cases[i].bytes) != cases[i].admitted) {
            printf("%s\n", cases[i].text);
            CU_FAIL("admission");
        }
        CU_ASSERT_EQUAL(budget.classes[CM_MEMORY_REQUESTS].denied,
                        !cases[i].admitted);
    }
}

static void
test_holds_that_stay(void)
{
    struct cm_manual_clock clock;
    CmManualClock_Init(&clock);
    struct cm_memory_budget budget;
    CmMemoryBudget_Init(&budget, &clock.base, CLASS_MAX_BYTES);
    struct cm_memory_hold hold;
    CmMemoryHold_Init(&hold, &budget, CM_MEMORY_ARRIVING, NULL);
    CmMemoryHold_Set(&hold, CLASS_MAX_BYTES);
    // Nothing can be released, and nothing loops.
    CmMemoryBudget_Enforce(&budget, CM_MEMORY_ARRIVING);
    CU_ASSERT_EQUAL(CmMemoryBudget_Total(&budget), CLASS_MAX_BYTES);
    CmMemoryHold_Move(&hold, CM_MEMORY_REQUESTS);
    CU_ASSERT_EQUAL(budget.classes[CM_MEMORY_ARRIVING].bytes, 0);
    CU_ASSERT_EQUAL(budget.classes[CM_MEMORY_REQUESTS].bytes, CLASS_MAX_BYTES);
    CmMemoryHold_Finish(&hold);
    CmMemoryHold_Finish(&hold);
    CU_ASSERT_EQUAL(CmMemoryBudget_Total(&budget), 0);
}

static const struct cm_test tests[] = {
    {"order of releases", test_release_order},
    {"large messages", test_large_messages},
    {"admission", test_admission},
    {"holds that stay", test_holds_that_stay},
};

CM_TEST_MAIN("memory budget", tests)
