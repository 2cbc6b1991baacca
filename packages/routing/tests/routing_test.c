/// @file routing_test.c
/// Routing: policies, outcome, budget, quarantine, admission.

#include "routing/router.h"

#include <string.h>

#include "base/clock.h"
#include "cm_test.h"
#include "routing/admission.h"
#include "routing/outcome.h"
#include "routing/quarantine.h"

#define TARGETS 6

struct bench {
    struct cm_router router;
    struct cm_manual_clock clock;
    GRand *random;
    struct cm_route_service *service;
    struct cm_route_target *targets[TARGETS];
};

static void
bench_init(struct bench *bench, const char *policy)
{
    CmManualClock_Init(&bench->clock);
    bench->random = g_rand_new_with_seed(1);
    CmRouter_Init(&bench->router, CmPolicy_Find(policy), bench->random);
    bench->service = CmRouter_FindOrAddService(&bench->router, "s", true);
    for (int i = 0; i < TARGETS; i++) {
        char name[8];
        g_snprintf(name, sizeof(name), "t%d", i);
        struct cm_route_target *target = CmRouter_FindOrAddTarget(
            &bench->router, bench->service, name, false);
        target->capacity = 10;
        CmRouter_SetUsable(&bench->router, target, true, bench->clock.now);
        bench->targets[i] = target;
    }
    CmManualClock_Advance(&bench->clock, CM_SLOW_START_MS);
}

static void
bench_finish(struct bench *bench)
{
    CmRouter_Finish(&bench->router);
    g_rand_free(bench->random);
}

static struct cm_route_decision
pick(struct bench *bench, const char *adapter, int64_t left_ms, bool suspect)
{
    struct cm_route_request request = {
        .id = "r", .adapter = adapter, .left_ms = left_ms, .suspect = suspect};
    struct cm_route_decision decision;
    CmRouter_Pick(&bench->router, bench->service, &request, bench->clock.now,
                  &decision);
    return decision;
}

static const char *const policies[] = {"expected-wait", "random",
                                       "least-loaded", "rendezvous"};

/// Every policy keeps to targets that may get work.
static void
test_unusable_targets(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
        struct bench bench;
        bench_init(&bench, policies[i]);
        for (int j = 1; j < TARGETS; j++) {
            CmRouter_SetUsable(&bench.router, bench.targets[j], false,
                               bench.clock.now);
        }
        for (int j = 0; j < 50; j++) {
            struct cm_route_decision decision =
                pick(&bench, "a@1", 10000, false);
            CU_ASSERT_EQUAL(decision.result, CM_ROUTE_PICKED);
            CU_ASSERT_PTR_EQUAL(decision.target, bench.targets[0]);
        }
        CmRouter_SetUsable(&bench.router, bench.targets[0], false,
                           bench.clock.now);
        CU_ASSERT_EQUAL(pick(&bench, "a@1", 10000, false).result,
                        CM_ROUTE_NO_TARGET);
        bench_finish(&bench);
    }
}

static void
test_tried_targets(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
        struct bench bench;
        bench_init(&bench, policies[i]);
        static const char *const tried[] = {"t0", "t1", "t2", "t3", "t4"};
        struct cm_route_request request = {.id = "r",
                                           .adapter = "a@1",
                                           .left_ms = 10000,
                                           .excluded = tried,
                                           .n_excluded = G_N_ELEMENTS(tried)};
        struct cm_route_decision decision;
        CmRouter_Pick(&bench.router, bench.service, &request, bench.clock.now,
                      &decision);
        CU_ASSERT_EQUAL(decision.result, CM_ROUTE_PICKED);
        CU_ASSERT_STRING_EQUAL(decision.target->name, "t5");
        bench_finish(&bench);
    }
}

static void
test_goes_where_adapter_is(void)
{
    struct bench bench;
    bench_init(&bench, "expected-wait");
    CmRouter_AddCopy(bench.targets[3], "a@1", true);
    CU_ASSERT_PTR_EQUAL(pick(&bench, "a@1", 10000, false).target,
                        bench.targets[3]);
    // Its queue is worse than a load elsewhere.
    bench.targets[3]->waiting = 500;
    CU_ASSERT_PTR_NOT_EQUAL(pick(&bench, "a@1", 60000, false).target,
                            bench.targets[3]);
    CmRouter_ClearCopies(bench.targets[3]);
    CU_ASSERT_FALSE(CmRouter_IsResident(bench.service, "a@1"));
    bench_finish(&bench);
}

/// Requests for one adapter gather behind its first load.
static void
test_waiters_gather(void)
{
    struct bench bench;
    bench_init(&bench, "expected-wait");
    struct cm_route_decision first = pick(&bench, "a@1", 10000, false);
    CU_ASSERT_TRUE(first.needs_load);
    CmRouter_RecordSend(first.target, "a@1", true, false, bench.clock.now);
    for (int i = 0; i < 5; i++) {
        struct cm_route_decision next = pick(&bench, "a@1", 10000, false);
        CU_ASSERT_PTR_EQUAL(next.target, first.target);
        CU_ASSERT_FALSE(next.needs_load);
        CmRouter_RecordSend(next.target, "a@1", false, false, bench.clock.now);
    }
    bench_finish(&bench);
}

/// Where all homes are busy, a target that is no home takes the request.
static void
test_spills_beyond_homes(void)
{
    struct bench bench;
    bench_init(&bench, "expected-wait");
    pick(&bench, "a@1", 60000, false);
    struct cm_route_adapter *adapter =
        CmRouter_FindOrAddAdapter(bench.service, "a@1");
    CU_ASSERT_TRUE(adapter->n_preferred < TARGETS);
    for (size_t i = 0; i < adapter->n_preferred; i++) {
        adapter->preferred[i]->waiting = 1000;
        CmRouter_AddCopy(adapter->preferred[i], "a@1", true);
    }
    struct cm_route_decision decision = pick(&bench, "a@1", 60000, false);
    CU_ASSERT_EQUAL(decision.result, CM_ROUTE_PICKED);
    CU_ASSERT_EQUAL(decision.target->waiting, 0);
    CU_ASSERT_TRUE(decision.needs_load);
    bench_finish(&bench);
}

static void
test_too_late(void)
{
    struct bench bench;
    bench_init(&bench, "expected-wait");
    for (int i = 0; i < TARGETS; i++) {
        bench.targets[i]->load_ms = 2000;
    }
    struct cm_route_decision decision = pick(&bench, "a@1", 500, false);
    CU_ASSERT_EQUAL(decision.result, CM_ROUTE_TOO_LATE);
    CU_ASSERT_TRUE(decision.wait_ms > 500);
    bench_finish(&bench);
}

static void
test_suspects_keep_apart(void)
{
    struct bench bench;
    bench_init(&bench, "expected-wait");
    for (int i = 0; i < TARGETS; i++) {
        struct cm_route_decision decision = pick(&bench, "a@1", 60000, true);
        CU_ASSERT_EQUAL(decision.result, CM_ROUTE_PICKED);
        CU_ASSERT_EQUAL(decision.target->suspects, 0);
        CmRouter_RecordSend(decision.target, "a@1", false, true,
                            bench.clock.now);
    }
    CU_ASSERT_EQUAL(pick(&bench, "a@1", 60000, true).result,
                    CM_ROUTE_NO_TARGET);
    CU_ASSERT_EQUAL(pick(&bench, "a@1", 60000, false).result, CM_ROUTE_PICKED);
    bench_finish(&bench);
}

static void
test_ejection_is_bounded(void)
{
    struct bench bench;
    bench_init(&bench, "least-loaded");
    for (int i = 0; i < TARGETS; i++) {
        for (int j = 0; j < CM_EJECT_FAILURES; j++) {
            CmRouter_RecordEnd(&bench.router, bench.targets[i], true, false,
                               bench.clock.now);
        }
    }
    int ejected = 0;
    for (int i = 0; i < TARGETS; i++) {
        ejected +=
            CmTime_Before(bench.clock.now, bench.targets[i]->ejected_until);
    }
    CU_ASSERT_EQUAL(ejected, TARGETS * CM_EJECT_MAX_PERCENT / 100);
    CmManualClock_Advance(&bench.clock, CM_EJECT_MS);
    CU_ASSERT_EQUAL(pick(&bench, "a@1", 1000, false).result, CM_ROUTE_PICKED);
    bench_finish(&bench);
}

/// A lost target moves only the adapters that had it as a home.
static void
test_homes_are_stable(void)
{
    struct bench bench;
    bench_init(&bench, "rendezvous");
    struct cm_route_target *before[200];
    char name[16];
    for (int i = 0; i < 200; i++) {
        g_snprintf(name, sizeof(name), "a%d@1", i);
        before[i] = pick(&bench, name, 1000, false).target;
    }
    CmRouter_SetUsable(&bench.router, bench.targets[2], false,
                       bench.clock.now);
    for (int i = 0; i < 200; i++) {
        g_snprintf(name, sizeof(name), "a%d@1", i);
        struct cm_route_target *after = pick(&bench, name, 1000, false).target;
        CU_ASSERT_TRUE(before[i] == bench.targets[2] || after == before[i]);
        CU_ASSERT_PTR_NOT_EQUAL(after, bench.targets[2]);
    }
    bench_finish(&bench);
}

/// "not-run" needs certainty; a second run needs permission or certainty.
static void
test_outcomes(void)
{
    for (int phase = CM_ATTEMPT_UNSENT; phase <= CM_ATTEMPT_STARTED; phase++) {
        for (int event = CM_ATTEMPT_NOT_RUN; event <= CM_ATTEMPT_DEADLINE;
             event++) {
            for (int bits = 0; bits < 4; bits++) {
                struct cm_attempt_state state = {
                    .phase = (enum cm_attempt_phase)phase,
                    .idempotent = bits & 1,
                    .retry_allowed = bits & 2};
                enum cm_next_step step =
                    CmOutcome_NextStep(&state, (enum cm_attempt_event)event);
                bool certain =
                    event == CM_ATTEMPT_NOT_RUN || phase == CM_ATTEMPT_UNSENT;
                CU_ASSERT_EQUAL(step == CM_NEXT_ANSWER_NOT_RUN,
                                certain && step != CM_NEXT_RETRY);
                if (step == CM_NEXT_RETRY) {
                    CU_ASSERT_TRUE(certain || state.idempotent);
                    CU_ASSERT_TRUE(state.retry_allowed);
                    CU_ASSERT_NOT_EQUAL(event, CM_ATTEMPT_DEADLINE);
                }
            }
        }
    }
}

static void
test_retry_budget(void)
{
    struct cm_retry_budget budget;
    CmRetryBudget_Init(&budget);
    int spent = 0;
    for (int i = 0; i < 1000; i++) {
        CmRetryBudget_Deposit(&budget);
        spent += CmRetryBudget_TryWithdraw(&budget);
    }
    CU_ASSERT_TRUE(spent <=
                   1000 * CM_RETRY_BUDGET_RATIO + CM_RETRY_BUDGET_TOKENS_MAX);
    CU_ASSERT_TRUE(spent >= 1000 * CM_RETRY_BUDGET_RATIO - 1);
}

/// Crashes with the contents that ran, and which contents are refused after.
static const struct {
    const char *what;
    struct {
        const char *crash;
        const char *contents[4];
    } crashes[4];
    const char *refused; ///< one letter a content
} quarantine_cases[] = {
    {"one crash", {{"c1", {"a", "b"}}}, ""},
    {"same content twice", {{"c1", {"a", "b"}}, {"c2", {"a", "x"}}}, "a"},
    {"one crash heard twice", {{"c1", {"a"}}, {"c1", {"a"}}}, ""},
    {"two suspects together cannot be told apart",
     {{"c1", {"a", "b"}}, {"c2", {"a", "b"}}},
     ""},
    {"until one of them comes back alone",
     {{"c1", {"a", "b"}}, {"c2", {"a", "b"}}, {"c3", {"a", "z"}}},
     "a"},
    {"bystanders of both are not held against",
     {{"c1", {"a", "b"}}, {"c2", {"a", "c"}}},
     "a"},
};

static void
test_quarantine(void)
{
    struct cm_manual_clock clock;
    CmManualClock_Init(&clock);
    for (size_t i = 0; i < G_N_ELEMENTS(quarantine_cases); i++) {
        struct cm_quarantine quarantine;
        CmQuarantine_Init(&quarantine);
        for (size_t j = 0; quarantine_cases[i].crashes[j].crash != NULL; j++) {
            const char *const *contents =
                quarantine_cases[i].crashes[j].contents;
            size_t n = 0;
            while (contents[n] != NULL) {
                n++;
            }
            CmQuarantine_RecordCrash(&quarantine,
                                     quarantine_cases[i].crashes[j].crash,
                                     contents, n, clock.now);
        }
        for (int letter = 'a'; letter <= 'z'; letter++) {
            char content[2] = {(char)letter, '\0'};
            bool expected =
                strchr(quarantine_cases[i].refused, letter) != NULL;
            CU_ASSERT_EQUAL(
                CmQuarantine_IsRefused(&quarantine, content, clock.now),
                expected);
        }
        CmQuarantine_Finish(&quarantine);
    }
}

static void
test_quarantine_ends(void)
{
    struct cm_manual_clock clock;
    CmManualClock_Init(&clock);
    struct cm_quarantine quarantine;
    CmQuarantine_Init(&quarantine);
    const char *content[] = {"a"};
    CmQuarantine_RecordCrash(&quarantine, "c1", content, 1, clock.now);
    CU_ASSERT_TRUE(CmQuarantine_IsSuspect(&quarantine, "a", clock.now));
    CmQuarantine_ClearSuspect(&quarantine, "a");
    CU_ASSERT_FALSE(CmQuarantine_IsSuspect(&quarantine, "a", clock.now));
    CmQuarantine_RecordCrash(&quarantine, "c2", content, 1, clock.now);
    CmQuarantine_RecordCrash(&quarantine, "c3", content, 1, clock.now);
    CmQuarantine_ClearSuspect(&quarantine, "a");
    CU_ASSERT_TRUE(CmQuarantine_IsRefused(&quarantine, "a", clock.now));
    CmManualClock_Advance(&clock, CM_QUARANTINE_EXPIRY_MS);
    CU_ASSERT_FALSE(CmQuarantine_IsRefused(&quarantine, "a", clock.now));
    CmQuarantine_Finish(&quarantine);
}

static void
test_admission(void)
{
    struct cm_admission admission;
    CmAdmission_Init(&admission, 100, 50);
    int greedy = 0;
    while (CmAdmission_Acquire(&admission, "greedy") == CM_ADMITTED) {
        greedy++;
    }
    CU_ASSERT_EQUAL(greedy, 50);
    int modest = 0;
    while (CmAdmission_Acquire(&admission, "modest") == CM_ADMITTED) {
        modest++;
    }
    CU_ASSERT_EQUAL(modest, 50);
    CU_ASSERT_EQUAL(CmAdmission_Acquire(&admission, "third"),
                    CM_ADMISSION_FULL);
    for (int i = 0; i < greedy; i++) {
        CmAdmission_Release(&admission, "greedy");
    }
    CU_ASSERT_EQUAL(CmAdmission_Acquire(&admission, "modest"),
                    CM_ADMISSION_OVER_SHARE);
    CU_ASSERT_EQUAL(CmAdmission_Acquire(&admission, "third"), CM_ADMITTED);
    CmAdmission_Finish(&admission);
}

static const struct cm_test tests[] = {
    {"unusable targets", test_unusable_targets},
    {"tried targets", test_tried_targets},
    {"goes where the adapter is", test_goes_where_adapter_is},
    {"waiters gather", test_waiters_gather},
    {"spills beyond homes", test_spills_beyond_homes},
    {"too late", test_too_late},
    {"suspects keep apart", test_suspects_keep_apart},
    {"ejection is bounded", test_ejection_is_bounded},
    {"homes are stable", test_homes_are_stable},
    {"outcomes", test_outcomes},
    {"retry budget", test_retry_budget},
    {"quarantine", test_quarantine},
    {"quarantine ends", test_quarantine_ends},
    {"admission", test_admission},
};

CM_TEST_MAIN("routing", tests)
