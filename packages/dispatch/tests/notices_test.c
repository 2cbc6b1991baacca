/// @file notices_test.c
/// What targets say of themselves binds their incarnation, whatever becomes of
/// its entry in the platform's list.

#include "dispatch/notices.h"

#include <stdio.h>

#include "cm_test.h"
#include "base/clock.h"

static struct timespec
at_ms(int64_t ms)
{
    return CmTime_AddMs((struct timespec){.tv_sec = 1000}, ms);
}

static const struct cm_target_info first = {.id = "e0",
                                            .service = "s",
                                            .address = "10.0.0.1:80",
                                            .zone = "a",
                                            .max_requests = 1,
                                            .started_ms = 5};

enum change {
    NO_CHANGE,
    WRITTEN_AGAIN,
    REMOVED_AND_BACK,
    UNLISTED_AND_BACK,
    RESTARTED,       ///< under the same id
    RESTARTED_AS_E1, ///< under another id at the same address
};

/// Applies a change of the list.
/// @return the target at the address then.
static struct cm_live_target *
apply(struct cm_targets *targets, enum change change)
{
    struct cm_target_info info = first;
    switch (change) {
    case REMOVED_AND_BACK:
        CmTargets_Remove(targets, info.id);
        break;
    case UNLISTED_AND_BACK:
        CmTargets_BeginList(targets);
        CmTargets_EndList(targets);
        break;
    case RESTARTED:
        info.started_ms++;
        break;
    case RESTARTED_AS_E1:
        info.started_ms++;
        info.id = "e1";
        break;
    default:
        break;
    }
    return change == NO_CHANGE ? CmTargets_Find(targets, info.id)
                               : CmTargets_Update(targets, &info);
}

static void
test_leaving(void)
{
    static const struct {
        const char *name;
        enum change before; ///< between the request and its response
        enum change after;
        int64_t age_ms; ///< of the notice
        bool leaving;
    } cases[] = {
        {"nothing changes", NO_CHANGE, NO_CHANGE, 1, true},
        {"written as ready", NO_CHANGE, WRITTEN_AGAIN, 1, true},
        {"removed and back", NO_CHANGE, REMOVED_AND_BACK, 1, true},
        {"missing in a list and back", NO_CHANGE, UNLISTED_AND_BACK, 1, true},
        {"said when its entry was back", REMOVED_AND_BACK, NO_CHANGE, 1, true},
        {"said before its entry was back", REMOVED_AND_BACK, REMOVED_AND_BACK,
         1, true},
        {"restarted", NO_CHANGE, RESTARTED, 1, false},
        {"restarted under another id", NO_CHANGE, RESTARTED_AS_E1, 1, false},
        {"restarted before it was heard", RESTARTED, NO_CHANGE, 1, false},
        {"long ago, with an entry", NO_CHANGE, NO_CHANGE, 4000000, true},
        {"an hour ago, removed", NO_CHANGE, REMOVED_AND_BACK, 3600000, true},
        {"long ago, removed", NO_CHANGE, REMOVED_AND_BACK, 4000000, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_targets targets;
        CmTargets_Init(&targets, "a", 7000);
        struct cm_live_target *asked =
            CmTarget_Ref(CmTargets_Update(&targets, &first));
        apply(&targets, cases[i].before);
        CU_ASSERT(CmNotices_AddLeaving(&targets, asked, at_ms(0)));
        CU_ASSERT_FALSE(CmNotices_AddLeaving(&targets, asked, at_ms(0)));
        bool removed = cases[i].after == REMOVED_AND_BACK;
        if (removed) {
            CmTargets_Remove(&targets, first.id);
        }
        CmNotices_Expire(&targets, at_ms(cases[i].age_ms));
        const struct cm_live_target *target = apply(&targets, cases[i].after);
        if (CmTarget_MayGetWork(target, at_ms(cases[i].age_ms)) ==
            cases[i].leaving) {
            printf("\n%s\n", cases[i].name);
            CU_FAIL("leaving");
        }
        CU_ASSERT_EQUAL(CmTarget_IsLeaving(target), cases[i].leaving);
        CmTarget_Unref(asked);
        CmTargets_Finish(&targets);
    }
}

static void
test_pause(void)
{
    static const struct {
        const char *name;
        int64_t pause_ms;
        int64_t second_ms; ///< of a response 100 ms later, -1 for none
        double draw;
        enum change change; ///< after the responses
        int64_t until_ms;   ///< first time at which it may get work
    } cases[] = {
        {"one pause", 1000, -1, 0, NO_CHANGE, 1000},
        {"no pause", 0, -1, 1, NO_CHANGE, 0},
        {"with its longest spread", 1000, -1, 1, NO_CHANGE, 1300},
        {"a short one with its longest spread", 50, -1, 1, NO_CHANGE, 100},
        {"a longer one follows", 1000, 2000, 0, NO_CHANGE, 2100},
        {"a shorter one follows", 1000, 200, 0, NO_CHANGE, 1000},
        {"nothing more is asked", 1000, 0, 0, NO_CHANGE, 1000},
        {"the entry vanishes and is back", 1000, -1, 0, REMOVED_AND_BACK,
         1000},
        {"restarted", 1000, -1, 0, RESTARTED, 0},
        {"restarted under another id", 1000, -1, 0, RESTARTED_AS_E1, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_targets targets;
        CmTargets_Init(&targets, "a", 7000);
        struct cm_live_target *target = CmTargets_Update(&targets, &first);
        CU_ASSERT_EQUAL(CmNotices_AddPause(&targets, target, cases[i].pause_ms,
                                           cases[i].draw, at_ms(0)),
                        cases[i].pause_ms > 0);
        if (cases[i].second_ms >= 0) {
            CU_ASSERT_FALSE(CmNotices_AddPause(&targets, target,
                                               cases[i].second_ms,
                                               cases[i].draw, at_ms(100)));
        }
        target = apply(&targets, cases[i].change);
        int64_t until_ms = cases[i].until_ms;
        bool as_expected = CmTarget_MayGetWork(target, at_ms(until_ms)) &&
                           (until_ms == 0 ||
                            !CmTarget_MayGetWork(target, at_ms(until_ms - 1)));
        if (!as_expected) {
            printf("\n%s\n", cases[i].name);
            CU_FAIL("pause");
        }
        CU_ASSERT_FALSE(CmTarget_IsLeaving(target));
        CU_ASSERT_EQUAL(CmTarget_FailureRatio(target, at_ms(0)), 0);
        CmTargets_Finish(&targets);
    }
}

/// While all targets that could run a request pause, the least time counts.
static void
test_pause_left(void)
{
    static const struct {
        const char *name;
        int64_t pause_ms[3]; ///< 0 for none, -1 for a target that leaves
        int no_model;        ///< index of a target without its model, or -1
        int64_t left_ms;
    } cases[] = {
        {"none pauses", {0, 0, 0}, -1, 0},
        {"one may get work", {900, 500, 0}, -1, 0},
        {"all pause", {900, 500, 700}, -1, 500},
        {"the others leave", {-1, 800, -1}, -1, 800},
        {"all leave", {-1, -1, -1}, -1, 0},
        {"the only one without a pause lacks its model",
         {900, 500, 0},
         2,
         500},
        {"the first one that returns lacks its model",
         {900, 500, 700},
         1,
         700},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_targets targets;
        CmTargets_Init(&targets, "a", 7000);
        for (int t = 0; t < 3; t++) {
            char id[8];
            char address[32];
            snprintf(id, sizeof(id), "e%d", t);
            snprintf(address, sizeof(address), "10.0.0.%d:80", t + 1);
            struct cm_target_info info = first;
            info.id = id;
            info.address = address;
            info.has_model = t != cases[i].no_model;
            struct cm_live_target *target = CmTargets_Update(&targets, &info);
            if (cases[i].pause_ms[t] < 0) {
                CmNotices_AddLeaving(&targets, target, at_ms(0));
            }
            CmNotices_AddPause(&targets, target, cases[i].pause_ms[t], 0,
                               at_ms(0));
        }
        int64_t left_ms = CmNotices_PauseLeftMs(&targets, "s", true, at_ms(0));
        if (left_ms != cases[i].left_ms) {
            printf("\n%s: %d\n", cases[i].name, (int)left_ms);
            CU_FAIL("time left");
        }
        CU_ASSERT_EQUAL(
            CmNotices_PauseLeftMs(&targets, "other", true, at_ms(0)), 0);
        CmTargets_Finish(&targets);
    }
}

/// A response of status 421 may come from an incarnation that isn't listed
/// yet. The next entry of its id is bound, a later start isn't.
static void
test_leaving_before_listed(void)
{
    struct cm_targets targets;
    CmTargets_Init(&targets, "a", 7000);
    CU_ASSERT(CmNotices_AddLeavingById(&targets, first.id, at_ms(0)));
    CU_ASSERT_FALSE(CmNotices_AddLeavingById(&targets, first.id, at_ms(1)));
    struct cm_live_target *target = CmTargets_Update(&targets, &first);
    CU_ASSERT_FALSE(CmTarget_MayGetWork(target, at_ms(2)));
    CU_ASSERT_FALSE(CmNotices_AddLeavingById(&targets, first.id, at_ms(3)));
    target = apply(&targets, REMOVED_AND_BACK);
    CU_ASSERT_FALSE(CmTarget_MayGetWork(target, at_ms(4)));
    target = apply(&targets, RESTARTED);
    CU_ASSERT(CmTarget_MayGetWork(target, at_ms(5)));
    CU_ASSERT(CmNotices_AddLeavingById(&targets, first.id, at_ms(6)));
    CU_ASSERT_FALSE(CmTarget_MayGetWork(target, at_ms(7)));
    CmNotices_AddLeavingById(&targets, "e9", at_ms(0));
    CmNotices_Expire(&targets, at_ms(4000000));
    CmTargets_Finish(&targets);
}

/// An entry that is gone gets no work, although the target has said nothing.
static void
test_removed(void)
{
    struct cm_targets targets;
    CmTargets_Init(&targets, "a", 7000);
    struct cm_live_target *target =
        CmTarget_Ref(CmTargets_Update(&targets, &first));
    CU_ASSERT(CmTarget_MayGetWork(target, at_ms(0)));
    CmTargets_Remove(&targets, first.id);
    CU_ASSERT_FALSE(CmTarget_MayGetWork(target, at_ms(0)));
    CU_ASSERT_FALSE(CmTarget_IsLeaving(target));
    CmTarget_Unref(target);
    CmTargets_Finish(&targets);
}

static const struct cm_test tests[] = {
    {"a target that says that it leaves", test_leaving},
    {"a target that leaves before it is listed", test_leaving_before_listed},
    {"a target that asks for a pause", test_pause},
    {"all targets pause", test_pause_left},
    {"a target that is no longer listed", test_removed},
};

CM_TEST_MAIN("notices", tests)
