/// @file retry_budget_test.c
/// The retry budget over all gateways in every position of the window, by
/// tables of load patterns and failures; messages; and permits.

#include <string.h>

#include "base/clock.h"
#include "cm_test.h"
#include "ratelimit/retry_message.h"
#include "simulated_retries.h"

/// Positions of windows are multiples of a step, so that a sum may exceed what
/// is allowed by a rounding error only.
#define ROUNDING 1e-6

struct pattern_case {
    struct sim_retries pattern;
    double used_min; ///< share of the budget under constant refusals
};

static void
check_pattern(const struct pattern_case *pattern_case)
{
    static struct sim_counts counts;
    double used;
    SimRetries_Run(&pattern_case->pattern, &counts);
    double excess =
        SimCounts_WorstExcess(&counts, &pattern_case->pattern, &used);
    printf("\n    %s: worst window %.1f, %.2f of the budget used",
           pattern_case->pattern.name, excess, used);
    if (excess > ROUNDING) {
        CU_FAIL("more retries than the budget allows");
    }
    if (used < pattern_case->used_min) {
        CU_FAIL("less of the budget is used");
    }
}

static void
check_patterns(const struct pattern_case *cases, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        check_pattern(&cases[i]);
    }
}

/// Guards against retries that a window counts for less than its length: its
/// first bucket was as good as over when the refusals began.
static void
test_retries_forgotten_before_the_window_ends(void)
{
#define ONE_GATEWAY .n_gateways = 1, .n_seeds = 1, .length_ms = 60000
    static const struct pattern_case cases[] = {
        {{"begins with a second", ONE_GATEWAY, .requests_per_s = 11,
          .reserve = 3.7, .start_ms = 1000000, .refused_from_ms = 15000,
          .refused_until_ms = 45000},
         0.75},
        {{"begins late in a second", ONE_GATEWAY, .requests_per_s = 11,
          .reserve = 3.7, .start_ms = 1000900, .refused_from_ms = 15000,
          .refused_until_ms = 45000},
         0.75},
        {{"many requests", ONE_GATEWAY, .requests_per_s = 240, .reserve = 82,
          .start_ms = 1000700, .refused_from_ms = 15000,
          .refused_until_ms = 45000},
         0.85},
        {{"refused again after a pause", ONE_GATEWAY, .requests_per_s = 11,
          .reserve = 3.7, .start_ms = 1000950, .refused_from_ms = 15000,
          .refused_until_ms = 17000, .refused_every_ms = 9300},
         0},
        {{"few requests, no ratio to speak of", ONE_GATEWAY,
          .requests_per_s = 0.5, .reserve = 3, .start_ms = 1000950,
          .refused_from_ms = 15000, .refused_until_ms = 45000},
         0.5},
        {{"30 requests a second", ONE_GATEWAY, .requests_per_s = 30,
          .reserve = 9, .start_ms = 100000, .refused_from_ms = 0,
          .refused_until_ms = 40000},
         0.6},
        {{"5 requests a second", ONE_GATEWAY, .requests_per_s = 5,
          .reserve = 9, .start_ms = 100000, .refused_from_ms = 0,
          .refused_until_ms = 40000},
         0.5},
        {{"no reserve", ONE_GATEWAY, .requests_per_s = 100, .reserve = 0,
          .start_ms = 1000300, .refused_from_ms = 15000,
          .refused_until_ms = 45000},
         0.85},
    };
    check_patterns(cases, G_N_ELEMENTS(cases));
}

/// Guards against a reserve that each process, or each side of a cut, spends
/// anew.
static void
test_reserve_of_each_life_of_a_gateway(void)
{
#define REFUSED .refused_from_ms = 15000, .refused_until_ms = 45000
#define FLEET                                                                 \
    .n_gateways = 21, .n_seeds = 3, .requests_per_s = 11, .reserve = 82,      \
    .start_ms = 1000730, .length_ms = 60000
    static const struct pattern_case cases[] = {
        {{"constant refusals", FLEET, REFUSED}, 0.85},
        {{"permits used late", FLEET, REFUSED,
          .late_ms = CM_RETRY_PERMIT_VALID_MS - SIM_STEP_MS},
         0.8},
        {{"all killed every 2.5 s", FLEET, REFUSED, .kill_every_ms = 2500,
          .kills = 21, .down_ms = 500},
         0},
        {{"all killed after the refusals began", FLEET, REFUSED,
          .kill_every_ms = 15500, .kills = 21, .down_ms = 300},
         0},
        {{"one after the other restarted", FLEET, REFUSED,
          .kill_every_ms = 700, .kills = 1, .down_ms = 300},
         0},
        {{"half cut off", FLEET, REFUSED, .n_cut = 10}, 0.8},
        {{"half suspended", FLEET, REFUSED, .suspended = 10}, 0.4},
        {{"callers move", FLEET, REFUSED, .callers_move = true}, 0.5},
        {{"callers move, killed", FLEET, REFUSED, .callers_move = true,
          .kill_every_ms = 3300, .kills = 7, .down_ms = 600},
         0},
        {{"refused for two seconds now and then", FLEET,
          .refused_from_ms = 15000, .refused_until_ms = 17000,
          .refused_every_ms = 9300},
         0},
        {{"refused in the first seconds", FLEET, .refused_from_ms = 0,
          .refused_until_ms = 40000},
         0.5},
        {{"two gateways", .n_gateways = 2, .n_seeds = 2, .requests_per_s = 40,
          .reserve = 50, .start_ms = 1000010, .length_ms = 60000, REFUSED,
          .kill_every_ms = 4100, .kills = 1, .down_ms = 200},
         0},
        {{"two gateways, nothing killed", .n_gateways = 2, .n_seeds = 2,
          .requests_per_s = 40, .reserve = 50, .start_ms = 1000010,
          .length_ms = 60000, REFUSED},
         0.85},
        {{"420 gateways", .n_gateways = 420, .n_seeds = 3, .requests_per_s = 8,
          .reserve = 800, .start_ms = 1000090, .length_ms = 50000, REFUSED},
         0.75},
        {{"420 gateways, killed", .n_gateways = 420, .n_seeds = 3,
          .requests_per_s = 8, .reserve = 800, .start_ms = 1000090,
          .length_ms = 50000, REFUSED, .kill_every_ms = 3000, .kills = 420,
          .down_ms = 500},
         0},
        {{"420 gateways with few requests", .n_gateways = 420, .n_seeds = 3,
          .requests_per_s = 0.3, .reserve = 82, .start_ms = 1000090,
          .length_ms = 50000, REFUSED},
         0.1},
    };
    check_patterns(cases, G_N_ELEMENTS(cases));
}

static void
test_settings_that_differ(void)
{
    // Until all have read the new settings again, the larger reserve counts.
    struct pattern_case pattern_case = {
        {"seeds with other settings", FLEET, REFUSED, .other_settings = true},
        0.6};
    static struct sim_counts counts;
    SimRetries_Run(&pattern_case.pattern, &counts);
    double used;
    pattern_case.pattern.reserve *= 2;
    CU_ASSERT(SimCounts_WorstExcess(&counts, &pattern_case.pattern, &used) <=
              ROUNDING);
    CU_ASSERT(used >= pattern_case.used_min);
}

static const struct {
    const char *text;
    int wanted; ///< -1 for malformed
} claim_texts[] = {
    {"{\"service\":\"s\",\"wanted\":3}", 3},
    {"{\"service\":\"s\",\"wanted\":256}", 256},
    {"{\"service\":\"s\",\"wanted\":257}", -1},
    {"{\"service\":\"s\",\"wanted\":0}", -1},
    {"{\"service\":\"s\",\"wanted\":-1}", -1},
    {"{\"service\":\"\",\"wanted\":1}", -1},
    {"{\"service\":7,\"wanted\":1}", -1},
    {"{\"service\":\"s\"}", -1},
    {"[]", -1},
    {"", -1},
    {"{\"service\":\"s\",\"wanted\":1e99}", -1},
};

static const struct {
    const char *text;
    int wanted;
    bool valid;
} grant_texts[] = {
    {"{\"permits\":2,\"retry_ms\":10}", 2, true},
    {"{\"permits\":3,\"retry_ms\":10}", 2, false},
    {"{\"permits\":-1,\"retry_ms\":10}", 2, false},
    {"{\"permits\":1,\"retry_ms\":-10}", 2, false},
    {"{\"permits\":1}", 2, false},
    {"null", 2, false},
};

static void
test_messages(void)
{
    struct cm_retry_claim claim;
    for (size_t i = 0; i < G_N_ELEMENTS(claim_texts); i++) {
        const char *text = claim_texts[i].text;
        bool valid = CmRetryClaim_Decode(&claim, text, strlen(text));
        CU_ASSERT_EQUAL(valid ? claim.wanted : -1, claim_texts[i].wanted);
    }
    struct cm_retry_grant grant;
    for (size_t i = 0; i < G_N_ELEMENTS(grant_texts); i++) {
        const char *text = grant_texts[i].text;
        CU_ASSERT_EQUAL(CmRetryGrant_Decode(&grant, grant_texts[i].wanted,
                                            text, strlen(text)),
                        grant_texts[i].valid);
    }
    struct cm_retry_grant sent = {2, 1234};
    char *text = CmRetryGrant_Encode(&sent);
    CU_ASSERT_TRUE(CmRetryGrant_Decode(&grant, 2, text, strlen(text)));
    CU_ASSERT_EQUAL(grant.permits, 2);
    CU_ASSERT_EQUAL(grant.retry_ms, 1234);
    free(text);
}

static void
test_permits_given_back(void)
{
    struct timespec now = {.tv_sec = 1000};
    struct cm_retry_part whole = {10, 10000};
    static const struct cm_retry_holders holders = {2, {"a", "b"}};
    struct cm_retry_permits permits;
    struct cm_retry_permit permit = {0};
    CmRetryPermits_Init(&permits, 1, now);
    CU_ASSERT_EQUAL(
        CmRetryPermits_ChooseHolder(&permits, "s", &holders, &whole, now), 1);
    CmRetryPermits_Apply(&permits, "s", "b", &(struct cm_retry_grant){1, 3000},
                         &whole, now, now);
    CU_ASSERT_EQUAL(
        CmRetryPermits_ChooseHolder(&permits, "s", &holders, &whole, now), 0);
    CmRetryPermits_Apply(&permits, "s", "a", NULL, &whole, now, now);
    CU_ASSERT_EQUAL(
        CmRetryPermits_ChooseHolder(&permits, "s", &holders, &whole, now),
        CM_RETRY_NO_HOLDER);
    CU_ASSERT_TRUE(CmRetryPermits_Take(&permits, "s", &permit, now));
    struct cm_retry_permit other = {0};
    CU_ASSERT_FALSE(CmRetryPermits_Take(&permits, "s", &other, now));
    CmRetryPermits_GiveBack(&permits, "s", &permit, now);
    CU_ASSERT_FALSE(permit.held);
    CU_ASSERT_TRUE(CmRetryPermits_Take(&permits, "s", &other, now));
    now = CmTime_AddMs(now, CM_RETRY_PERMIT_VALID_MS);
    CU_ASSERT_FALSE(CmRetryPermit_IsValid(&other, now));
    CmRetryPermits_GiveBack(&permits, "s", &other, now);
    CU_ASSERT_FALSE(CmRetryPermits_Take(&permits, "s", &permit, now));
    CmRetryPermits_Expire(&permits, CmTime_AddMs(now, 60000));
    CU_ASSERT_EQUAL(g_hash_table_size(permits.services), 0);
    CmRetryPermits_Finish(&permits);
}

static const struct cm_test tests[] = {
    {"retries forgotten before the window ends",
     test_retries_forgotten_before_the_window_ends},
    {"reserve of each life of a gateway",
     test_reserve_of_each_life_of_a_gateway},
    {"settings that differ", test_settings_that_differ},
    {"messages", test_messages},
    {"permits given back", test_permits_given_back},
};

CM_TEST_MAIN("retry budget", tests)
