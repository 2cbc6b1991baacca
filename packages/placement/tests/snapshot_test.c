/// @file snapshot_test.c
/// Snapshots of popularity: round trip, order, damage.

#include "placement/snapshot.h"

#include <math.h>

#include "base/clock.h"
#include "cm_test.h"

static void
test_round_trip(void)
{
    struct cm_manual_clock clock;
    CmManualClock_Init(&clock);
    struct cm_popularity before;
    struct cm_popularity after;
    CmPopularity_Init(&before);
    CmPopularity_Init(&after);
    CmPopularity_Set(&before, "rare@1", 0.5, clock.now);
    CmPopularity_Set(&before, "hot@1", 20, clock.now);
    CmPopularity_Set(&before, "idle@1", 0.00001, clock.now);
    json_t *json = CmSnapshot_Encode(&before, clock.now, 3);
    CU_ASSERT_EQUAL(json_array_size(json), 2);
    CU_ASSERT_STRING_EQUAL(
        json_string_value(json_array_get(json_array_get(json, 0), 0)),
        "hot@1");
    CU_ASSERT_EQUAL(CmSnapshot_Decode(json, &after, clock.now, 1.0 / 3),
                    CM_SNAPSHOT_RESTORED);
    CU_ASSERT_TRUE(fabs(CmPopularity_Rate(&after, "hot@1", clock.now) - 20) <
                   0.001);
    CU_ASSERT_EQUAL(CmPopularity_Rate(&after, "idle@1", clock.now), 0);
    json_decref(json);
    CmPopularity_Finish(&before);
    CmPopularity_Finish(&after);
}

static void
test_damage(void)
{
    static const char *const damaged[] = {
        "{}",
        "[[\"a@1\", 1], [\"b@1\"]]",
        "[[\"a@1\", 1], [\"b@1\", \"2\"]]",
        "[[\"a@1\", 1], [\"b@1\", -1]]",
        "[[\"a@1\", 1], [\"b@1\", 1e300]]",
        "[[\"a@1\", 1], [2, 2]]",
        "[[\"a@1\", 1], 7]",
    };
    struct timespec now = {.tv_sec = 100};
    for (size_t i = 0; i < G_N_ELEMENTS(damaged); i++) {
        struct cm_popularity popularity;
        CmPopularity_Init(&popularity);
        json_t *json = json_loads(damaged[i], 0, NULL);
        CU_ASSERT_PTR_NOT_NULL(json);
        CU_ASSERT_EQUAL(CmSnapshot_Decode(json, &popularity, now, 1),
                        CM_SNAPSHOT_MALFORMED);
        CU_ASSERT_EQUAL(CmPopularity_Rate(&popularity, "a@1", now), 0);
        json_decref(json);
        CmPopularity_Finish(&popularity);
    }
}

static const struct cm_test tests[] = {
    {"round trip", test_round_trip},
    {"damage", test_damage},
};

CM_TEST_MAIN("snapshot", tests)
