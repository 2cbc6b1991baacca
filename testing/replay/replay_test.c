/// @file replay_test.c
/// Gains that must not be lost: on each pattern, played for some seconds, the
/// gateways' way serves callers at least as well as the baselines, and
/// overload costs next to nothing of what is served at capacity.

#include <stdio.h>

#include "cm_test.h"
#include "replay.h"

/// Long enough for all that a pattern has in store.
#define SECONDS 9
/// Part of the goodput at capacity that is left at twice the load.
#define OVERLOAD_SHARE 0.95

static struct replay_result
play(const struct pattern *pattern, const struct policy *policy)
{
    struct pattern shorter = *pattern;
    shorter.seconds = SECONDS;
    // What happens in the middle happens in the middle.
    shorter.burst_from_s = pattern->burst_from_s > 1 ? 3 : 0;
    shorter.lost_at_s = pattern->lost_at_s > 0 ? 3 : 0;
    return Replay_Play(&shorter, policy);
}

static void
test_against_baselines(void)
{
    for (size_t p = 0; p < n_patterns; p++) {
        struct replay_result ours = play(&patterns[p], &policies[0]);
        struct replay_result home = play(&patterns[p], &policies[1]);
        struct replay_result holder = play(&patterns[p], &policies[2]);
        double worth = Replay_Worth(&ours);
        printf("\n%s: %.3f, home %.3f, holder %.3f", patterns[p].name, worth,
               Replay_Worth(&home), Replay_Worth(&holder));
        CU_ASSERT(worth >= Replay_Worth(&home));
        CU_ASSERT(worth >= Replay_Worth(&holder));
    }
}

static void
test_overload(void)
{
    struct replay_result full = play(&patterns[0], &policies[0]);
    struct replay_result twice = play(&patterns[n_patterns - 1], &policies[0]);
    CU_ASSERT(Replay_Goodput(&twice) >=
              OVERLOAD_SHARE * Replay_Goodput(&full));
}

static const struct cm_test tests[] = {
    {"against baselines", test_against_baselines},
    {"twice the load", test_overload},
};

CM_TEST_MAIN("replay", tests)
