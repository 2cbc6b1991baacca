/// @file members_test.c
/// Member states from instance lists, heartbeats and their absence.

#include "membership/members.h"

#include "base/clock.h"
#include "cm_test.h"

enum step_kind {
    STEP_LISTED,
    STEP_UNLISTED,
    STEP_LISTED_DRAINING,
    STEP_HEARTBEAT,
    STEP_WAIT,
    STEP_LISTED_ELSEWHERE
};

struct step {
    enum step_kind kind;
    int64_t value; ///< incarnation, or milliseconds
};

/// Events of one member, and the state and usability that follow from them.
static const struct {
    const char *name;
    struct step steps[6];
    size_t n;
    bool usable;
    enum cm_member_state state;
} cases[] = {
    {"listed only", {{STEP_LISTED, 0}}, 1, false, CM_MEMBER_UNKNOWN},
    {"heartbeat",
     {{STEP_LISTED, 0}, {STEP_HEARTBEAT, 1}},
     2,
     true,
     CM_MEMBER_LIVE},
    {"no heartbeat until suspect",
     {{STEP_LISTED, 0},
      {STEP_HEARTBEAT, 1},
      {STEP_WAIT, CM_MEMBER_SUSPECT_MS}},
     3,
     false,
     CM_MEMBER_SUSPECT},
    {"no heartbeat until dead",
     {{STEP_LISTED, 0}, {STEP_HEARTBEAT, 1}, {STEP_WAIT, CM_MEMBER_DEAD_MS}},
     3,
     false,
     CM_MEMBER_DEAD},
    {"heartbeat of a dead member",
     {{STEP_LISTED, 0},
      {STEP_HEARTBEAT, 1},
      {STEP_WAIT, CM_MEMBER_DEAD_MS},
      {STEP_HEARTBEAT, 1}},
     4,
     true,
     CM_MEMBER_LIVE},
    {"heartbeat of an old incarnation of a dead member",
     {{STEP_LISTED, 0},
      {STEP_HEARTBEAT, 5},
      {STEP_WAIT, CM_MEMBER_DEAD_MS},
      {STEP_HEARTBEAT, 4}},
     4,
     false,
     CM_MEMBER_DEAD},
    {"listed as draining",
     {{STEP_LISTED, 0}, {STEP_HEARTBEAT, 1}, {STEP_LISTED_DRAINING, 0}},
     3,
     false,
     CM_MEMBER_LIVE},
    {"no longer listed, heartbeat",
     {{STEP_LISTED, 0},
      {STEP_HEARTBEAT, 1},
      {STEP_UNLISTED, 0},
      {STEP_HEARTBEAT, 1}},
     4,
     true,
     CM_MEMBER_LIVE},
    {"replaced at another endpoint",
     {{STEP_LISTED, 0}, {STEP_HEARTBEAT, 9}, {STEP_LISTED_ELSEWHERE, 0}},
     3,
     false,
     CM_MEMBER_UNKNOWN},
    {"replaced by an instance whose clock is behind",
     {{STEP_LISTED, 0},
      {STEP_HEARTBEAT, 9},
      {STEP_LISTED_ELSEWHERE, 0},
      {STEP_HEARTBEAT, 3}},
     4,
     true,
     CM_MEMBER_LIVE},
};

static void
apply_step(struct cm_members *members, const struct step *step,
           struct cm_manual_clock *clock)
{
    struct cm_member *member = CmMembers_Find(members, "t");
    switch (step->kind) {
    case STEP_LISTED:
    case STEP_LISTED_DRAINING:
    case STEP_LISTED_ELSEWHERE:
        CmMembers_BeginList(members);
        CmMembers_UpdateListed(
            members, "t",
            step->kind == STEP_LISTED_ELSEWHERE ? "1.1.1.1:2" : "1.1.1.1:1",
            "z", step->kind == STEP_LISTED_DRAINING);
        CmMembers_EndList(members);
        break;
    case STEP_UNLISTED:
        CmMembers_BeginList(members);
        CmMembers_EndList(members);
        break;
    case STEP_HEARTBEAT:
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
test_member_events(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_members members;
        struct cm_manual_clock clock;
        CmMembers_Init(&members);
        CmManualClock_Init(&clock);
        for (size_t j = 0; j < cases[i].n; j++) {
            apply_step(&members, &cases[i].steps[j], &clock);
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
        enum cm_heartbeat_result result;
    } heartbeats[] = {{5, CM_HEARTBEAT_NEW_INCARNATION},
                      {5, CM_HEARTBEAT_SAME_INCARNATION},
                      {6, CM_HEARTBEAT_NEW_INCARNATION},
                      {5, CM_HEARTBEAT_OUTDATED}};
    for (size_t i = 0; i < G_N_ELEMENTS(heartbeats); i++) {
        CU_ASSERT_EQUAL(CmMembers_RecordHeartbeat(&members, member,
                                                  heartbeats[i].incarnation,
                                                  false, clock.now),
                        heartbeats[i].result);
    }
    CU_ASSERT_TRUE(members.epoch > epoch);
    CmMembers_Finish(&members);
}

/// With many links, an entry lengthens its heartbeat interval. `slack_ms`
/// extends the timeouts by the difference, so that a live member does not
/// become suspect between two heartbeats.
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
    {"member events", test_member_events},
    {"new incarnation", test_new_incarnation},
    {"slow heartbeats", test_slow_heartbeats},
};

CM_TEST_MAIN("members", tests)
