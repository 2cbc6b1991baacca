/// @file members_test.c
/// Members: list, heartbeats, suspicion, incarnations.

#include "membership/members.h"

#include "base/clock.h"
#include "cm_test.h"

enum step_kind {
    STEP_LIST,
    STEP_UNLIST,
    STEP_LEAVE,
    STEP_HEARD,
    STEP_WAIT,
    STEP_MOVED
};

struct step {
    enum step_kind kind;
    int64_t value; ///< incarnation, or milliseconds
};

/// A history of one member, and whether it may get work after it.
static const struct {
    const char *what;
    struct step steps[6];
    size_t n;
    bool usable;
    enum cm_member_state state;
} cases[] = {
    {"listed only", {{STEP_LIST, 0}}, 1, false, CM_MEMBER_UNKNOWN},
    {"heard", {{STEP_LIST, 0}, {STEP_HEARD, 1}}, 2, true, CM_MEMBER_LIVE},
    {"silent for a while",
     {{STEP_LIST, 0}, {STEP_HEARD, 1}, {STEP_WAIT, CM_MEMBER_SUSPECT_MS}},
     3,
     false,
     CM_MEMBER_SUSPECT},
    {"silent for long",
     {{STEP_LIST, 0}, {STEP_HEARD, 1}, {STEP_WAIT, CM_MEMBER_DEAD_MS}},
     3,
     false,
     CM_MEMBER_DEAD},
    {"back after silence",
     {{STEP_LIST, 0},
      {STEP_HEARD, 1},
      {STEP_WAIT, CM_MEMBER_DEAD_MS},
      {STEP_HEARD, 1}},
     4,
     true,
     CM_MEMBER_LIVE},
    {"an old incarnation does not bring it back",
     {{STEP_LIST, 0},
      {STEP_HEARD, 5},
      {STEP_WAIT, CM_MEMBER_DEAD_MS},
      {STEP_HEARD, 4}},
     4,
     false,
     CM_MEMBER_DEAD},
    {"leaves by the list",
     {{STEP_LIST, 0}, {STEP_HEARD, 1}, {STEP_LEAVE, 0}},
     3,
     false,
     CM_MEMBER_LIVE},
    {"not listed any more, yet heard",
     {{STEP_LIST, 0}, {STEP_HEARD, 1}, {STEP_UNLIST, 0}, {STEP_HEARD, 1}},
     4,
     true,
     CM_MEMBER_LIVE},
    {"replaced at another address",
     {{STEP_LIST, 0}, {STEP_HEARD, 9}, {STEP_MOVED, 0}},
     3,
     false,
     CM_MEMBER_UNKNOWN},
    {"replaced, and its clock is behind",
     {{STEP_LIST, 0}, {STEP_HEARD, 9}, {STEP_MOVED, 0}, {STEP_HEARD, 3}},
     4,
     true,
     CM_MEMBER_LIVE},
};

static void
take_step(struct cm_members *members, const struct step *step,
          struct cm_manual_clock *clock)
{
    struct cm_member *member = CmMembers_Find(members, "t");
    switch (step->kind) {
    case STEP_LIST:
    case STEP_LEAVE:
    case STEP_MOVED:
        CmMembers_BeginList(members);
        CmMembers_UpdateListed(
            members, "t", step->kind == STEP_MOVED ? "1.1.1.1:2" : "1.1.1.1:1",
            "z", step->kind == STEP_LEAVE);
        CmMembers_EndList(members);
        break;
    case STEP_UNLIST:
        CmMembers_BeginList(members);
        CmMembers_EndList(members);
        break;
    case STEP_HEARD:
        CmMembers_RecordHeartbeat(members, member, (uint64_t)step->value,
                                  false, clock->now);
        break;
    case STEP_WAIT:
        CmManualClock_Advance(clock, step->value);
        CmMembers_UpdateStates(members, clock->now);
        break;
    }
}

static void
test_histories(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_members members;
        struct cm_manual_clock clock;
        CmMembers_Init(&members);
        CmManualClock_Init(&clock);
        for (size_t j = 0; j < cases[i].n; j++) {
            take_step(&members, &cases[i].steps[j], &clock);
        }
        const struct cm_member *member = CmMembers_Find(&members, "t");
        CU_ASSERT_EQUAL(CmMember_IsUsable(member), cases[i].usable);
        CU_ASSERT_EQUAL(member->state, cases[i].state);
        CmMembers_Finish(&members);
    }
}

static void
test_new_incarnation(void)
{
    struct cm_members members;
    struct cm_manual_clock clock;
    CmMembers_Init(&members);
    CmManualClock_Init(&clock);
    struct cm_member *member =
        CmMembers_UpdateListed(&members, "t", "1.1.1.1:1", "z", false);
    uint64_t epoch = members.epoch;
    static const struct {
        uint64_t incarnation;
        enum cm_heartbeat_result heard;
    } beats[] = {{5, CM_HEARTBEAT_NEW_INCARNATION},
                 {5, CM_HEARTBEAT_SAME_INCARNATION},
                 {6, CM_HEARTBEAT_NEW_INCARNATION},
                 {5, CM_HEARTBEAT_OUTDATED}};
    for (size_t i = 0; i < G_N_ELEMENTS(beats); i++) {
        CU_ASSERT_EQUAL(CmMembers_RecordHeartbeat(&members, member,
                                                  beats[i].incarnation, false,
                                                  clock.now),
                        beats[i].heard);
    }
    CU_ASSERT_TRUE(members.epoch > epoch);
    CmMembers_Finish(&members);
}

/// With many links heartbeats come more slowly: that is no silence.
static void
test_slow_heartbeats(void)
{
    struct cm_members members;
    struct cm_manual_clock clock;
    CmMembers_Init(&members);
    CmManualClock_Init(&clock);
    members.slack_ms = 3000;
    struct cm_member *member =
        CmMembers_UpdateListed(&members, "t", "1.1.1.1:1", "z", false);
    CmMembers_RecordHeartbeat(&members, member, 1, false, clock.now);
    CmManualClock_Advance(&clock, CM_MEMBER_SUSPECT_MS + 2999);
    CmMembers_UpdateStates(&members, clock.now);
    CU_ASSERT_EQUAL(member->state, CM_MEMBER_LIVE);
    CmManualClock_Advance(&clock, 1);
    CmMembers_UpdateStates(&members, clock.now);
    CU_ASSERT_EQUAL(member->state, CM_MEMBER_SUSPECT);
    CmMembers_Finish(&members);
}

static const struct cm_test tests[] = {
    {"histories", test_histories},
    {"new incarnation", test_new_incarnation},
    {"slow heartbeats", test_slow_heartbeats},
};

CM_TEST_MAIN("members", tests)
