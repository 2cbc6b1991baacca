/// @file arbiter_test.c
/// Tables of rosters and of the gateways that are chosen from them.

#include "peers/arbiter.h"

#include <string.h>

#include "cm_test.h"

#define OLD_MS 60000
#define KEYS 40

/// What a roster knows of a gateway.
struct member {
    const char *address;
    int64_t candidate_ms; ///< CM_PEER_NEVER for none
    int64_t steady_ms;
    int failures;
};

struct roster_fixture {
    struct cm_manual_clock clock;
    GRand *random;
    struct cm_roster roster;
};

static void
fixture_init(struct roster_fixture *fixture, const struct member *self)
{
    CmManualClock_Init(&fixture->clock);
    CmManualClock_Advance(&fixture->clock, OLD_MS);
    fixture->random = g_rand_new_with_seed(1);
    CmRoster_Init(&fixture->roster, &fixture->clock.base, self->address,
                  fixture->random);
    CmManualClock_Advance(&fixture->clock, self->steady_ms);
    // It has been in contact with others all the while.
    fixture->roster.contact_at = fixture->clock.now;
    if (self->candidate_ms >= 0) {
        CmRoster_LearnSelf(&fixture->roster, "", self->candidate_ms);
    }
}

static void
fixture_finish(struct roster_fixture *fixture)
{
    CmRoster_Finish(&fixture->roster);
    g_rand_free(fixture->random);
}

static void
add_member(struct roster_fixture *fixture, const struct member *member)
{
    struct cm_roster *roster = &fixture->roster;
    struct cm_peer_news news = {.candidate_ms = member->candidate_ms,
                                .steady_ms = member->steady_ms};
    CmRoster_LearnSender(roster, member->address, &news);
    CmRoster_CountCall(roster, member->address, true);
    for (int i = 0; i < member->failures; i++) {
        CmRoster_CountCall(roster, member->address, false);
    }
}

/// @return the address of the arbiter.
static const char *
arbiter_of(const struct cm_roster *roster, const char *key)
{
    const char *chosen = CmArbiter_Choose(roster, key);
    return chosen != NULL ? chosen : roster->self.address;
}

#define NEW_MS 3000
#define CANDIDATE(name, ms, failed)                                           \
    {                                                                         \
        name, ms, ms, failed                                                  \
    }
#define OTHER(name, ms)                                                       \
    {                                                                         \
        name, CM_PEER_NEVER, ms, 0                                            \
    }

/// Who may be chosen, by what the first gateway of each case knows.
static void
test_choice(void)
{
    static const struct {
        const char *what;
        const char *chosen; ///< the gateways that are chosen for some key
        struct member members[5];
    } cases[] = {
        {"alone", "a", {OTHER("a", OLD_MS)}},
        {"candidates before others",
         "bc",
         {OTHER("a", OLD_MS), CANDIDATE("b", OLD_MS, 0),
          CANDIDATE("c", OLD_MS, 0), OTHER("d", OLD_MS)}},
        {"this gateway is one of them",
         "ab",
         {CANDIDATE("a", OLD_MS, 0), CANDIDATE("b", OLD_MS, 0),
          OTHER("c", OLD_MS)}},
        {"one does not respond",
         "b",
         {OTHER("a", OLD_MS), CANDIDATE("b", OLD_MS, 1),
          CANDIDATE("c", OLD_MS, 2)}},
        {"one is new",
         "b",
         {OTHER("a", OLD_MS), CANDIDATE("b", OLD_MS, 0),
          CANDIDATE("c", NEW_MS, 0)}},
        {"one was named a short time ago",
         "b",
         {OTHER("a", OLD_MS),
          CANDIDATE("b", OLD_MS, 0),
          {"c", NEW_MS, OLD_MS, 0}}},
        {"one has started again",
         "b",
         {OTHER("a", OLD_MS),
          CANDIDATE("b", OLD_MS, 0),
          {"c", OLD_MS, NEW_MS, 0}}},
        {"all are lost: a gateway that is not new",
         "ab",
         {OTHER("a", OLD_MS), OTHER("b", OLD_MS), OTHER("c", NEW_MS),
          CANDIDATE("d", OLD_MS, 2), CANDIDATE("e", OLD_MS, 2)}},
        {"all are replaced by new ones",
         "a",
         {OTHER("a", OLD_MS), CANDIDATE("b", NEW_MS, 0),
          CANDIDATE("c", NEW_MS, 0), CANDIDATE("d", OLD_MS, 2)}},
        {"all have started together",
         "bc",
         {OTHER("a", NEW_MS), CANDIDATE("b", NEW_MS + 900, 0),
          CANDIDATE("c", NEW_MS - 900, 0), OTHER("d", NEW_MS)}},
        {"this one is new",
         "bc",
         {CANDIDATE("a", NEW_MS, 0), CANDIDATE("b", OLD_MS, 0),
          CANDIDATE("c", OLD_MS, 0)}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct roster_fixture fixture;
        const struct member *members = cases[i].members;
        char chosen[8] = "";
        size_t n_chosen = 0;
        fixture_init(&fixture, &members[0]);
        for (size_t m = 1; m < 5 && members[m].address != NULL; m++) {
            add_member(&fixture, &members[m]);
        }
        for (const char *name = "abcde"; *name != '\0'; name++) {
            for (int key = 0; key < KEYS; key++) {
                char text[8];
                g_snprintf(text, sizeof(text), "k%d", key);
                if (arbiter_of(&fixture.roster, text)[0] == *name) {
                    chosen[n_chosen++] = *name;
                    break;
                }
            }
        }
        if (strcmp(chosen, cases[i].chosen) != 0) {
            printf("\n    %s: %s ", cases[i].what, chosen);
        }
        CU_ASSERT_STRING_EQUAL(chosen, cases[i].chosen);
        fixture_finish(&fixture);
    }
}

/// A gateway that steps in for one that has just stopped responding knows that
/// both may decide.
static void
test_contested(void)
{
    static const struct {
        int failures;
        int64_t silent_ms;
        bool contested;
    } cases[] = {
        {0, 0, true},
        {2, 0, true},
        {2, CM_ROSTER_INTERRUPTION_MS - 1, true},
        {2, CM_ROSTER_INTERRUPTION_MS, false},
    };
    static const struct member self = OTHER("a", OLD_MS);
    static const struct member candidate = CANDIDATE("b", OLD_MS, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct roster_fixture fixture;
        fixture_init(&fixture, &self);
        add_member(&fixture, &candidate);
        CmManualClock_Advance(&fixture.clock, cases[i].silent_ms);
        for (int f = 0; f < cases[i].failures; f++) {
            CmRoster_CountCall(&fixture.roster, "b", false);
        }
        CU_ASSERT_EQUAL(CmArbiter_IsContested(&fixture.roster, "k"),
                        cases[i].contested);
        fixture_finish(&fixture);
    }
}

static bool
is_not_b(void *context, const char *address)
{
    return strcmp(address, "b") != 0;
}

static bool
is_nobody(void *context, const char *address)
{
    return false;
}

static void
test_exclusion(void)
{
    static const struct member self = OTHER("a", OLD_MS);
    static const struct member candidate = CANDIDATE("b", OLD_MS, 0);
    struct roster_fixture fixture;
    fixture_init(&fixture, &self);
    add_member(&fixture, &candidate);
    CU_ASSERT_PTR_NULL(
        CmArbiter_ChooseAmong(&fixture.roster, "k", is_not_b, NULL));
    CU_ASSERT_STRING_EQUAL(
        CmArbiter_ChooseAmong(&fixture.roster, "k", is_nobody, NULL), "b");
    fixture_finish(&fixture);
}

static const struct cm_test tests[] = {
    {"choice", test_choice},
    {"contested", test_contested},
    {"exclusion", test_exclusion},
};

CM_TEST_MAIN("arbiter", tests)
