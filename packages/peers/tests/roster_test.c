/// @file roster_test.c
/// What a gateway knows of others after messages, failures and interruptions.

#include "peers/roster.h"

#include <string.h>

#include "cm_test.h"
#include "peers/introduction.h"

#define START_MS 1000000
#define OLD_MS 60000

struct roster_fixture {
    struct cm_manual_clock clock;
    GRand *random;
    struct cm_roster roster;
};

static void
fixture_init(struct roster_fixture *fixture)
{
    CmManualClock_Init(&fixture->clock);
    CmManualClock_Advance(&fixture->clock, START_MS);
    fixture->random = g_rand_new_with_seed(1);
    CmRoster_Init(&fixture->roster, &fixture->clock.base, "self",
                  fixture->random);
}

static void
fixture_finish(struct roster_fixture *fixture)
{
    CmRoster_Finish(&fixture->roster);
    g_rand_free(fixture->random);
}

static const struct cm_roster_peer *
find(const struct roster_fixture *fixture, const char *address)
{
    for (guint i = 0; i < fixture->roster.peers->len; i++) {
        const struct cm_roster_peer *peer =
            CmRoster_PeerAt(&fixture->roster, i);
        if (strcmp(peer->address, address) == 0) {
            return peer;
        }
    }
    return NULL;
}

/// @return the age of a time by the fixture's clock.
static int64_t
age_ms(const struct roster_fixture *fixture, struct timespec time)
{
    return CmTime_DiffMs(fixture->clock.now, time);
}

static void
test_news(void)
{
    static const struct {
        const char *what;
        bool direct[2];
        struct cm_peer_news news[2];
        int64_t candidate_ms;
        int64_t steady_ms;
    } cases[] = {
        {"a start that others tell later",
         {true, false},
         {{"a", 9000, 9000, 0}, {"a", 9000, 9300, 0}},
         9000,
         9000},
        {"a later start that others tell",
         {true, false},
         {{"a", 9000, 9000, 0}, {"a", 9000, 500, 0}},
         9000,
         500},
        {"an earlier start that others tell",
         {true, false},
         {{"a", 9000, 500, 0}, {"a", 9000, 9000, 0}},
         9000,
         500},
        {"an earlier start that it tells itself",
         {false, true},
         {{"a", 9000, 500, 0}, {"a", 9000, 9000, 0}},
         9000,
         9000},
        {"the earliest candidacy",
         {true, false},
         {{"a", 100, 9000, 0}, {"a", 9000, 9000, 0}},
         9000,
         9000},
        {"a candidacy that one does not know of",
         {false, true},
         {{"a", 9000, 9000, 0}, {"a", CM_PEER_NEVER, 9000, 0}},
         9000,
         9000},
        {"one that nobody has heard for long",
         {true, false},
         {{"a", CM_PEER_NEVER, 700, 0}, {"a", 9000, 9000, 61000}},
         CM_PEER_NEVER,
         700},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct roster_fixture fixture;
        fixture_init(&fixture);
        for (int n = 0; n < 2; n++) {
            if (cases[i].direct[n]) {
                CmRoster_LearnSender(&fixture.roster, "a", &cases[i].news[n]);
                CmRoster_CountCall(&fixture.roster, "a", true);
            }
            else {
                CmRoster_LearnOther(&fixture.roster, &cases[i].news[n]);
            }
        }
        const struct cm_roster_peer *peer = find(&fixture, "a");
        CU_ASSERT_EQUAL(CmRoster_CandidateMs(&fixture.roster, "a"),
                        cases[i].candidate_ms);
        CU_ASSERT_TRUE(peer != NULL && age_ms(&fixture, peer->steady_since) ==
                                           cases[i].steady_ms);
        fixture_finish(&fixture);
    }
}

/// Settings are read again: former seeds stay candidates while they respond.
static void
test_seeds_are_replaced(void)
{
    static const char *const first[] = {"a", "b", "self"};
    static const char *const second[] = {"c", "b"};
    struct roster_fixture fixture;
    fixture_init(&fixture);
    CmRoster_SetSeeds(&fixture.roster, first, 3);
    CmRoster_CountCall(&fixture.roster, "a", true);
    CmManualClock_Advance(&fixture.clock, OLD_MS);
    CmRoster_SetSeeds(&fixture.roster, second, 2);
    CU_ASSERT_EQUAL(CmRoster_CountCandidates(&fixture.roster), 4);
    CU_ASSERT_FALSE(find(&fixture, "a")->seed);
    CU_ASSERT_EQUAL(CmRoster_CandidateMs(&fixture.roster, "a"), OLD_MS);
    CU_ASSERT_EQUAL(CmRoster_CandidateMs(&fixture.roster, "c"), 0);
    CmRoster_SetSeeds(&fixture.roster, second, 1);
    // Nobody has ever heard of "b".
    CU_ASSERT_PTR_NULL(find(&fixture, "b"));
    CmManualClock_Advance(&fixture.clock, 10 * OLD_MS);
    CmRoster_CountCall(&fixture.roster, "c", false);
    CU_ASSERT_PTR_NULL(find(&fixture, "a"));
    CU_ASSERT_PTR_NOT_NULL(find(&fixture, "c"));
    CU_ASSERT_EQUAL(CmRoster_CountCandidates(&fixture.roster), 2);
    fixture_finish(&fixture);
}

/// When all others count this gateway as a candidate.
static void
test_counted_since(void)
{
    static const char *const seeds[] = {"self", "a"};
    static const struct {
        const char *what;
        bool seed;
        int64_t known_ms; ///< what "a" knew of this gateway's candidacy
        int64_t steady_ms;
        int64_t waits_ms; ///< from the start on
    } cases[] = {
        {"all start together", true, CM_PEER_NEVER, 300, 0},
        {"starts again", true, OLD_MS, OLD_MS, 0},
        {"joins", true, CM_PEER_NEVER, OLD_MS, CM_ROSTER_SETTLE_MS + 1},
        {"named by others", false, 2000, OLD_MS, CM_ROSTER_SETTLE_MS - 1999},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct roster_fixture fixture;
        fixture_init(&fixture);
        struct timespec start = fixture.clock.now;
        CmManualClock_Advance(&fixture.clock, 1);
        if (cases[i].seed) {
            CmRoster_SetSeeds(&fixture.roster, seeds, 2);
        }
        struct cm_peer_news news = {"", CM_PEER_NEVER, cases[i].steady_ms, 0};
        CmRoster_LearnSender(&fixture.roster, "a", &news);
        CmRoster_CountCall(&fixture.roster, "a", true);
        CmRoster_LearnSelf(&fixture.roster, "a", cases[i].known_ms);
        CU_ASSERT_EQUAL(CmTime_DiffMs(fixture.roster.counted_since, start),
                        cases[i].waits_ms);
        fixture_finish(&fixture);
    }
}

/// After a time without ticks or contact others may have taken over.
static void
test_interruptions(void)
{
    static const struct {
        int64_t tick_ms;
        int64_t contact_ms;
        bool interrupted;
    } cases[] = {
        {200, 1000, false},
        {200, CM_ROSTER_INTERRUPTION_MS, false},
        {200, CM_ROSTER_INTERRUPTION_MS + 200, true},
        {CM_ROSTER_STALL_MS, 1000, false},
        {CM_ROSTER_STALL_MS + 200, 200, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct roster_fixture fixture;
        fixture_init(&fixture);
        CmRoster_Add(&fixture.roster, "a");
        struct timespec start = fixture.clock.now;
        int64_t since_tick = 0;
        int64_t since_contact = 0;
        for (int64_t ms = 0; ms < 12000; ms += 200) {
            CmManualClock_Advance(&fixture.clock, 200);
            since_tick += 200;
            since_contact += 200;
            if (since_tick >= cases[i].tick_ms) {
                CmRoster_Tick(&fixture.roster);
                since_tick = 0;
            }
            if (since_contact >= cases[i].contact_ms) {
                CmRoster_CountCall(&fixture.roster, "a", true);
                since_contact = 0;
            }
        }
        CU_ASSERT_EQUAL(CmTime_Before(start, fixture.roster.self.steady_since),
                        cases[i].interrupted);
        fixture_finish(&fixture);
    }
}

/// A change is told before what has been known for long.
static void
test_changes_are_told_first(void)
{
    struct roster_fixture fixture;
    fixture_init(&fixture);
    for (int i = 0; i < 100; i++) {
        struct cm_peer_news news = {"", CM_PEER_NEVER, OLD_MS, 0};
        char address[CM_PEER_ADDRESS_SIZE];
        g_snprintf(address, sizeof(address), "old%d", i);
        CmRoster_LearnSender(&fixture.roster, address, &news);
        CmRoster_CountCall(&fixture.roster, address, true);
    }
    CmManualClock_Advance(&fixture.clock, OLD_MS / 2);
    struct cm_peer_news joined = {"new", 0, 0, 0};
    CmRoster_LearnOther(&fixture.roster, &joined);
    for (int i = 0; i < 20; i++) {
        struct cm_peer_news news[4];
        size_t n = CmRoster_ChooseNews(&fixture.roster, false, news, 4);
        CU_ASSERT_EQUAL_FATAL(n, 4);
        CU_ASSERT_STRING_EQUAL(news[0].address, "new");
        CU_ASSERT_EQUAL(news[0].candidate_ms, 0);
    }
    fixture_finish(&fixture);
}

/// Two gateways that know nobody else find each other.
static void
test_introductions(void)
{
    struct cm_manual_clock clock;
    CmManualClock_Init(&clock);
    struct cm_introducer introducer;
    CmIntroducer_Init(&introducer, &clock.base);
    struct cm_introduction answer;
    for (int i = 0; i < 600; i++) {
        struct cm_introduction introduction = {.n = 1};
        g_snprintf(introduction.gateways[0], CM_PEER_ADDRESS_SIZE, "10.0.%d:1",
                   i);
        char data[CM_INTRODUCTION_MAX];
        size_t size = CmIntroduction_Encode(&introduction, data);
        struct cm_introduction received;
        CU_ASSERT_TRUE(CmIntroduction_Decode(&received, data, size));
        CmIntroducer_Answer(&introducer, &received, &answer);
        CU_ASSERT_EQUAL(answer.n, MIN(i, CM_INTRODUCTION_GATEWAYS_MAX));
        size = CmIntroduction_Encode(&answer, data);
        CU_ASSERT_TRUE(CmIntroduction_Decode(&received, data, size));
        CU_ASSERT_TRUE(received.is_answer);
        CU_ASSERT_EQUAL(received.n, answer.n);
    }
    CU_ASSERT_STRING_EQUAL(answer.gateways[0], "10.0.598:1");
    CU_ASSERT_TRUE(g_hash_table_size(introducer.gateways) <= 512);
    CmManualClock_Advance(&clock, 600000);
    struct cm_introduction late = {.n = 1, .gateways = {"late"}};
    CmIntroducer_Answer(&introducer, &late, &answer);
    CU_ASSERT_EQUAL(g_hash_table_size(introducer.gateways), 1);
    CmIntroducer_Finish(&introducer);
}

static void
test_malformed_introductions(void)
{
    static const char *const cases[] = {
        "",
        "{",
        "{}",
        "[]",
        "{\"gateway\":1}",
        "{\"gateway\":\"\"}",
        "{\"gateways\":{}}",
        "{\"gateways\":[1]}",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_introduction introduction;
        CU_ASSERT_FALSE(
            CmIntroduction_Decode(&introduction, cases[i], strlen(cases[i])));
    }
}

static const struct cm_test tests[] = {
    {"news", test_news},
    {"seeds are replaced", test_seeds_are_replaced},
    {"counted since", test_counted_since},
    {"interruptions", test_interruptions},
    {"changes are told first", test_changes_are_told_first},
    {"introductions", test_introductions},
    {"malformed introductions", test_malformed_introductions},
};

CM_TEST_MAIN("roster", tests)
