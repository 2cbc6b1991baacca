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
    {"a target that is no longer listed", test_removed},
};

CM_TEST_MAIN("notices", tests)
