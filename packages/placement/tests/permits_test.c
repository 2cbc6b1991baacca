/// @file permits_test.c
/// The weight store's budget and the decayed rates.

#include "placement/permits.h"

#include <math.h>

#include "base/clock.h"
#include "cm_test.h"
#include "placement/popularity.h"

/// Requests at ten a second until a rate has settled: ten half-lives.
#define DECAY_REQUESTS ((int)(CM_POPULARITY_HALF_LIFE_S * 100))

static void
test_rate_and_concurrency(void)
{
    struct cm_manual_clock clock;
    CmManualClock_Init(&clock);
    struct cm_permits permits;
    CmPermits_Init(&permits, clock.now);
    CmPermits_SetLimits(&permits, 10, 3);
    struct timespec deadline = CmTime_AddMs(clock.now, 100000);
    for (uint64_t i = 0; i < 50; i++) {
        CmPermits_Request(&permits, "t", i, true, deadline, clock.now);
    }
    size_t granted = 0;
    for (int ms = 0; ms < 1000; ms += 10) {
        while (CmPermits_Grant(&permits, clock.now) != NULL) {
            granted++;
        }
        CmManualClock_Advance(&clock, 10);
    }
    CU_ASSERT_EQUAL(granted, 3); // held and not returned
    CmPermits_Release(&permits, "t", 0);
    CU_ASSERT_PTR_NOT_NULL(CmPermits_Grant(&permits, clock.now));
    CU_ASSERT_PTR_NULL(CmPermits_Grant(&permits, clock.now));
    CmPermits_Finish(&permits);
}

static void
test_order(void)
{
    struct cm_manual_clock clock;
    CmManualClock_Init(&clock);
    struct cm_permits permits;
    CmPermits_Init(&permits, clock.now);
    CmPermits_SetLimits(&permits, 1000, 100);
    CmManualClock_Advance(&clock, 1000);
    static const struct {
        uint64_t number;
        bool waiter;
        int64_t deadline_ms;
    } asked[] = {{1, false, 10}, {2, true, 9000}, {3, true, 100}};
    static const uint64_t order[] = {3, 2, 1};
    for (size_t i = 0; i < G_N_ELEMENTS(asked); i++) {
        CmPermits_Request(&permits, "t", asked[i].number, asked[i].waiter,
                          CmTime_AddMs(clock.now, asked[i].deadline_ms),
                          clock.now);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
        const struct cm_permit *permit = CmPermits_Grant(&permits, clock.now);
        CU_ASSERT_TRUE(permit != NULL && permit->number == order[i]);
    }
    CmPermits_Finish(&permits);
}

/// Holders that died do not keep their permits.
static void
test_lease(void)
{
    struct cm_manual_clock clock;
    CmManualClock_Init(&clock);
    struct cm_permits permits;
    CmPermits_Init(&permits, clock.now);
    CmPermits_SetLimits(&permits, 1000, 1);
    CmManualClock_Advance(&clock, 1000);
    struct timespec deadline = CmTime_AddMs(clock.now, 60000);
    CmPermits_Request(&permits, "dead", 1, true, deadline, clock.now);
    CU_ASSERT_PTR_NOT_NULL(CmPermits_Grant(&permits, clock.now));
    CmManualClock_Advance(&clock, CM_PERMIT_EXPIRY_MS - 1);
    CmPermits_Request(&permits, "live", 1, true, deadline, clock.now);
    CU_ASSERT_PTR_NULL(CmPermits_Grant(&permits, clock.now));
    CmManualClock_Advance(&clock, 1);
    CU_ASSERT_PTR_NOT_NULL(CmPermits_Grant(&permits, clock.now));
    CmPermits_Finish(&permits);
}

static void
test_pace(void)
{
    struct cm_load_pace pace;
    CmLoadPace_Init(&pace);
    double start_ms = pace.interval_ms;
    CmLoadPace_RecordLoad(&pace, 250);
    CmLoadPace_RecordLoad(&pace, 260);
    CU_ASSERT_TRUE(pace.interval_ms < start_ms);
    double quick_ms = pace.interval_ms;
    CmLoadPace_RecordLoad(&pace, 1000);
    CU_ASSERT_TRUE(pace.interval_ms >= 2 * quick_ms - 1);
    struct cm_manual_clock clock;
    CmManualClock_Init(&clock);
    CU_ASSERT_TRUE(CmLoadPace_TryStart(&pace, clock.now));
    CU_ASSERT_FALSE(CmLoadPace_TryStart(&pace, clock.now));
    CmManualClock_Advance(&clock, (int64_t)pace.interval_ms + 1);
    CU_ASSERT_TRUE(CmLoadPace_TryStart(&pace, clock.now));
}

static void
test_popularity_decay(void)
{
    struct cm_popularity popularity;
    struct cm_manual_clock clock;
    CmManualClock_Init(&clock);
    CmPopularity_Init(&popularity);
    for (int i = 0; i < DECAY_REQUESTS; i++) {
        CmPopularity_RecordRequest(&popularity, "a", clock.now);
        CmManualClock_Advance(&clock, 100);
    }
    double rate = CmPopularity_Rate(&popularity, "a", clock.now);
    CU_ASSERT_TRUE(fabs(rate - 10) < 0.5);
    CmManualClock_Advance(&clock,
                          (int64_t)(CM_POPULARITY_HALF_LIFE_S * CM_MS_PER_S));
    CU_ASSERT_TRUE(fabs(CmPopularity_Rate(&popularity, "a", clock.now) -
                        rate / 2) < 0.01);
    CU_ASSERT_EQUAL(CmPopularity_Rate(&popularity, "b", clock.now), 0);
    CmPopularity_Set(&popularity, "b", 3, clock.now);
    CU_ASSERT_TRUE(fabs(CmPopularity_Rate(&popularity, "b", clock.now) - 3) <
                   0.001);
    CmPopularity_Finish(&popularity);
}

static const struct cm_test tests[] = {
    {"rate and concurrency", test_rate_and_concurrency},
    {"order", test_order},
    {"lease", test_lease},
    {"own pace", test_pace},
    {"popularity decays", test_popularity_decay},
};

CM_TEST_MAIN("permits", tests)
