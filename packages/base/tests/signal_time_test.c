/// @file signal_time_test.c
/// Earliest time of a signal around pauses of the process.

#include "base/signal_time.h"

#include <glib.h>
#include <stdio.h>

#include "cm_test.h"

#define TICKS_MAX 8

static void
test_earliest(void)
{
    static const struct {
        const char *text;
        int64_t ticks_ms[TICKS_MAX]; ///< from the start; 0 after the last one
        int64_t sent_ms; ///< when a signal can have been sent at the earliest
    } cases[] = {
        {"no tick yet", {0}, 0},
        {"ticks in time", {200, 400, 600}, 400},
        {"a pause before a tick, which runs before the handler",
         {200, 400, 1500},
         400},
        {"a pause inside a pass: the next tick is due at once",
         {200, 400, 1500, 1501},
         400},
        {"several ticks after a pause", {200, 400, 1500, 1501, 1502}, 400},
        {"long after a pause", {200, 400, 1500, 1600, 1800, 2000}, 1800},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct timespec start = {1000, 0};
        struct cm_signal_time time;
        CmSignalTime_Init(&time, start);
        for (size_t j = 0; j < TICKS_MAX && cases[i].ticks_ms[j] > 0; j++) {
            CmSignalTime_Tick(&time,
                              CmTime_AddMs(start, cases[i].ticks_ms[j]));
        }
        int64_t earliest_ms =
            CmTime_DiffMs(CmSignalTime_Earliest(&time), start);
        if (earliest_ms != cases[i].sent_ms) {
            printf("%s: %d ms\n", cases[i].text, (int)earliest_ms);
        }
        CU_ASSERT_EQUAL(earliest_ms, cases[i].sent_ms);
    }
}

static const struct cm_test tests[] = {
    {"earliest time of a signal", test_earliest},
};

CM_TEST_MAIN("signal time", tests)
