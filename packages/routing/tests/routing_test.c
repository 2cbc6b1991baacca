/// @file routing_test.c
/// Tests routing policies, outlier ejection, outcomes, the retry budget and
/// admission.

#include "routing/router.h"

#include <string.h>

#include "base/clock.h"
#include "cm_test.h"
#include "routing/admission.h"
#include "routing/outcome.h"

#define TARGETS 6

struct fixture {
    struct cm_router router;
    struct cm_manual_clock clock;
    GRand *random;
    struct cm_route_service *service;
    struct cm_route_target *targets[TARGETS];
};

static void
fixture_init(struct fixture *fixture, const char *policy)
{
    CmManualClock_Init(&fixture->clock);
    fixture->random = g_rand_new_with_seed(1);
    CmRouter_Init(&fixture->router, CmPolicy_Find(policy), fixture->random);
    fixture->service = CmRouter_FindOrAddService(&fixture->router, "s", true);
    for (int i = 0; i < TARGETS; i++) {
        char name[8];
        g_snprintf(name, sizeof(name), "t%d", i);
        struct cm_route_target *target = CmRouter_FindOrAddTarget(
            &fixture->router, fixture->service, name, false);
        target->capacity = 10;
        CmRouter_SetUsable(&fixture->router, target, true, fixture->clock.now);
        fixture->targets[i] = target;
    }
    CmManualClock_Advance(&fixture->clock, CM_SLOW_START_MS);
}

static void
fixture_finish(struct fixture *fixture)
{
    CmRouter_Finish(&fixture->router);
    g_rand_free(fixture->random);
}

static struct cm_route_decision
pick(struct fixture *fixture, const char *adapter, int64_t left_ms,
     bool suspect)
{
    struct cm_route_request request = {
        .id = "r", .adapter = adapter, .left_ms = left_ms, .suspect = suspect};
    struct cm_route_decision decision;
    CmRouter_Pick(&fixture->router, fixture->service, &request,
                  fixture->clock.now, &decision);
    return decision;
}

static const char *const policies[] = {"expected-wait", "random",
                                       "least-loaded", "rendezvous"};

/// No policy picks a target that is not usable.
static void
test_unusable_targets(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
        struct fixture fixture;
        fixture_init(&fixture, policies[i]);
        for (int j = 1; j < TARGETS; j++) {
            CmRouter_SetUsable(&fixture.router, fixture.targets[j], false,
                               fixture.clock.now);
        }
        for (int j = 0; j < 50; j++) {
            struct cm_route_decision decision =
                pick(&fixture, "a@1", 10000, false);
            CU_ASSERT_EQUAL(decision.result, CM_ROUTE_PICKED);
            CU_ASSERT_PTR_EQUAL(decision.target, fixture.targets[0]);
        }
        CmRouter_SetUsable(&fixture.router, fixture.targets[0], false,
                           fixture.clock.now);
        CU_ASSERT_EQUAL(pick(&fixture, "a@1", 10000, false).result,
                        CM_ROUTE_NO_TARGET);
        fixture_finish(&fixture);
    }
}

static void
test_excluded_targets(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
        struct fixture fixture;
        fixture_init(&fixture, policies[i]);
        static const char *const excluded[] = {"t0", "t1", "t2", "t3", "t4"};
        struct cm_route_request request = {.id = "r",
                                           .adapter = "a@1",
                                           .left_ms = 10000,
                                           .excluded = excluded,
                                           .n_excluded =
                                               G_N_ELEMENTS(excluded)};
        struct cm_route_decision decision;
        CmRouter_Pick(&fixture.router, fixture.service, &request,
                      fixture.clock.now, &decision);
        CU_ASSERT_EQUAL(decision.result, CM_ROUTE_PICKED);
        CU_ASSERT_STRING_EQUAL(decision.target->name, "t5");
        fixture_finish(&fixture);
    }
}

static void
test_prefers_resident_adapter(void)
{
    struct fixture fixture;
    fixture_init(&fixture, "expected-wait");
    CmRouter_AddCopy(fixture.targets[3], "a@1", true);
    CU_ASSERT_PTR_EQUAL(pick(&fixture, "a@1", 10000, false).target,
                        fixture.targets[3]);
    // Its queue wait exceeds a load at another target.
    fixture.targets[3]->waiting = 500;
    CU_ASSERT_PTR_NOT_EQUAL(pick(&fixture, "a@1", 60000, false).target,
                            fixture.targets[3]);
    CmRouter_ClearCopies(fixture.targets[3]);
    CU_ASSERT_FALSE(CmRouter_HasCopy(fixture.service, "a@1"));
    fixture_finish(&fixture);
}

/// Requests for one adapter wait for its first load, and start no second one
/// at another target.
static void
test_requests_share_load(void)
{
    struct fixture fixture;
    fixture_init(&fixture, "expected-wait");
    struct cm_route_decision first = pick(&fixture, "a@1", 10000, false);
    CU_ASSERT_TRUE(first.needs_load);
    CmRouter_RecordSend(first.target, "a@1", true, false, fixture.clock.now);
    for (int i = 0; i < 5; i++) {
        struct cm_route_decision next = pick(&fixture, "a@1", 10000, false);
        CU_ASSERT_PTR_EQUAL(next.target, first.target);
        CU_ASSERT_FALSE(next.needs_load);
        CmRouter_RecordSend(next.target, "a@1", false, false,
                            fixture.clock.now);
    }
    fixture_finish(&fixture);
}

/// If all preferred targets are busy, a non-preferred one gets the request.
static void
test_overflow(void)
{
    struct fixture fixture;
    fixture_init(&fixture, "expected-wait");
    pick(&fixture, "a@1", 60000, false);
    struct cm_route_adapter *adapter =
        CmRouter_FindOrAddAdapter(fixture.service, "a@1");
    CU_ASSERT_TRUE(adapter->n_preferred < TARGETS);
    for (size_t i = 0; i < adapter->n_preferred; i++) {
        adapter->preferred[i]->waiting = 1000;
        CmRouter_AddCopy(adapter->preferred[i], "a@1", true);
    }
    struct cm_route_decision decision = pick(&fixture, "a@1", 60000, false);
    CU_ASSERT_EQUAL(decision.result, CM_ROUTE_PICKED);
    CU_ASSERT_EQUAL(decision.target->waiting, 0);
    CU_ASSERT_TRUE(decision.needs_load);
    fixture_finish(&fixture);
}

static void
test_too_late(void)
{
    struct fixture fixture;
    fixture_init(&fixture, "expected-wait");
    for (int i = 0; i < TARGETS; i++) {
        fixture.targets[i]->load_ms = 2000;
    }
    struct cm_route_decision decision = pick(&fixture, "a@1", 500, false);
    CU_ASSERT_EQUAL(decision.result, CM_ROUTE_TOO_LATE);
    CU_ASSERT_TRUE(decision.wait_ms > 500);
    fixture_finish(&fixture);
}

static void
test_one_suspect_per_target(void)
{
    struct fixture fixture;
    fixture_init(&fixture, "expected-wait");
    for (int i = 0; i < TARGETS; i++) {
        struct cm_route_decision decision = pick(&fixture, "a@1", 60000, true);
        CU_ASSERT_EQUAL(decision.result, CM_ROUTE_PICKED);
        CU_ASSERT_EQUAL(decision.target->suspects, 0);
        CmRouter_RecordSend(decision.target, "a@1", false, true,
                            fixture.clock.now);
    }
    CU_ASSERT_EQUAL(pick(&fixture, "a@1", 60000, true).result,
                    CM_ROUTE_NO_TARGET);
    CU_ASSERT_EQUAL(pick(&fixture, "a@1", 60000, false).result,
                    CM_ROUTE_PICKED);
    fixture_finish(&fixture);
}

static void
test_ejection_is_bounded(void)
{
    struct fixture fixture;
    fixture_init(&fixture, "least-loaded");
    for (int i = 0; i < TARGETS; i++) {
        for (int j = 0; j < CM_EJECT_FAILURES; j++) {
            CmRouter_RecordEnd(&fixture.router, fixture.targets[i], true,
                               false, fixture.clock.now);
        }
    }
    int ejected = 0;
    for (int i = 0; i < TARGETS; i++) {
        ejected += CmTime_Before(fixture.clock.now,
                                 fixture.targets[i]->ejected_until);
    }
    CU_ASSERT_EQUAL(ejected, TARGETS * CM_EJECT_MAX_PERCENT / 100);
    CmManualClock_Advance(&fixture.clock, CM_EJECT_MS);
    CU_ASSERT_EQUAL(pick(&fixture, "a@1", 1000, false).result,
                    CM_ROUTE_PICKED);
    fixture_finish(&fixture);
}

/// A target that becomes unusable moves only the adapters that preferred it.
static void
test_preferred_are_stable(void)
{
    struct fixture fixture;
    fixture_init(&fixture, "rendezvous");
    struct cm_route_target *before[200];
    char name[16];
    for (int i = 0; i < 200; i++) {
        g_snprintf(name, sizeof(name), "a%d@1", i);
        before[i] = pick(&fixture, name, 1000, false).target;
    }
    CmRouter_SetUsable(&fixture.router, fixture.targets[2], false,
                       fixture.clock.now);
    for (int i = 0; i < 200; i++) {
        g_snprintf(name, sizeof(name), "a%d@1", i);
        struct cm_route_target *after =
            pick(&fixture, name, 1000, false).target;
        CU_ASSERT_TRUE(before[i] == fixture.targets[2] || after == before[i]);
        CU_ASSERT_PTR_NOT_EQUAL(after, fixture.targets[2]);
    }
    fixture_finish(&fixture);
}

/// "not-run" is answered only if the request certainly did not run. A retry
/// requires that certainty or an idempotent request.
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
    {"unusable targets are not picked", test_unusable_targets},
    {"excluded targets are not picked", test_excluded_targets},
    {"prefers targets with the adapter", test_prefers_resident_adapter},
    {"requests share one load", test_requests_share_load},
    {"overflow to non-preferred targets", test_overflow},
    {"deadline before the expected start", test_too_late},
    {"one suspect per target", test_one_suspect_per_target},
    {"ejection is bounded", test_ejection_is_bounded},
    {"preferred targets are stable", test_preferred_are_stable},
    {"outcomes", test_outcomes},
    {"retry budget", test_retry_budget},
    {"admission", test_admission},
};

CM_TEST_MAIN("routing", tests)
