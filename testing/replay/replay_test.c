/// @file replay_test.c
/// Gains that must not be lost: on each pattern, played for some seconds, the
/// gateways' way serves callers at least as well as the baselines, and
/// overload costs next to nothing of what is served at capacity.

#include <stdio.h>

#include "cm_test.h"
#include "replay.h"

/// Long enough for all that a pattern has in store.
#define PLAYED_S 9
/// Part of the goodput at capacity that is left at twice the load.
#define OVERLOAD_GOODPUT_SHARE 0.95

static struct replay_result
play_shortened(const struct pattern *pattern, const struct policy *policy)
{
    struct pattern shorter = *pattern;
    shorter.duration_s = PLAYED_S;
    // What happens in the middle happens in the middle.
    shorter.burst_from_s = pattern->burst_from_s > 1 ? 3 : 0;
    shorter.fail_at_s = pattern->fail_at_s > 0 ? 3 : 0;
    return Replay_Play(&shorter, policy);
}

static void
test_gateway_not_below_baselines(void)
{
    for (size_t p = 0; p < n_patterns; p++) {
        struct replay_result gateway =
            play_shortened(&patterns[p], &policies[0]);
        struct replay_result preferred =
            play_shortened(&patterns[p], &policies[1]);
        struct replay_result resident =
            play_shortened(&patterns[p], &policies[2]);
        double goodput_share = Replay_GoodputShare(&gateway);
        printf("\n%s: %.3f, home %.3f, holder %.3f", patterns[p].name,
               goodput_share, Replay_GoodputShare(&preferred),
               Replay_GoodputShare(&resident));
        CU_ASSERT(goodput_share >= Replay_GoodputShare(&preferred));
        CU_ASSERT(goodput_share >= Replay_GoodputShare(&resident));
    }
}

static void
test_goodput_under_overload(void)
{
    struct replay_result at_capacity =
        play_shortened(&patterns[0], &policies[0]);
    struct replay_result overload =
        play_shortened(&patterns[n_patterns - 1], &policies[0]);
    CU_ASSERT(Replay_Goodput(&overload) >=
              OVERLOAD_GOODPUT_SHARE * Replay_Goodput(&at_capacity));
}

static const struct cm_test tests[] = {
    {"against baselines", test_gateway_not_below_baselines},
    {"twice the load", test_goodput_under_overload},
};

CM_TEST_MAIN("replay", tests)
