/// @file backoff_test.c
/// Times that double with each failure.

#include "cm_test.h"
#include "base/backoff.h"

static void
test_doubles_between_bounds(void)
{
    static const struct {
        int64_t min_ms;
        int64_t max_ms;
        int failures;
        int64_t ms;
    } cases[] = {{100, 600, 0, 100}, {100, 600, 1, 200},  {100, 600, 2, 400},
                 {100, 600, 3, 600}, {100, 600, 20, 600}, {400, 400, 3, 400}};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct cm_backoff backoff = {cases[i].min_ms, cases[i].max_ms, 0};
        for (int f = 0; f < cases[i].failures; f++) {
            CmBackoff_Increase(&backoff);
        }
        CU_ASSERT_EQUAL(CmBackoff_DelayMs(&backoff), cases[i].ms);
        CmBackoff_Reset(&backoff);
        CU_ASSERT_EQUAL(CmBackoff_DelayMs(&backoff), cases[i].min_ms);
    }
}

static const struct cm_test tests[] = {
    {"doubles between bounds", test_doubles_between_bounds}};

CM_TEST_MAIN("backoff", tests)
