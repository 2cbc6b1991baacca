/// @file gossip_test.c
/// Messages between gateways by tables of malformed ones, and a seeded
/// simulation of gateways whose messages are lost, repeated and late.

#include "quarantine/gossip.h"

#include <string.h>

#include "cm_test.h"
#include "simulated_gateways.h"

/// Bounds of the platform: a content that has crashed three targets may be
/// sent three times more once this time has passed.
#define CONTACT_MS 3000
#define LATE_SENDS_MAX 3

#define STEP_MS 10

/// One simulated system.
struct scenario {
    const char *what;
    int gateways;
    struct sim_links links;
    int64_t send_ms;    ///< interval at which the crashing content arrives
    int64_t restart_ms; ///< interval at which a gateway restarts empty; 0
};

struct simulation {
    const struct scenario *scenario;
    struct sim_fleet *fleet;
    GArray *crashes; ///< of int64_t, times of the content's crashes
    int bystanders;
};

static void
observe(struct simulation *simulation, int at, const char *target,
        const char *content, int64_t ran_ms)
{
    struct cm_crash_run run = {.ran_ms = ran_ms};
    g_strlcpy(run.content, content, sizeof(run.content));
    SimFleet_Observe(simulation->fleet, at, target, &run);
}

/// Sends the crashing content at a random gateway. Unless it is refused there,
/// a target ends, and three gateways each lose another request with it.
static void
send_content(struct simulation *simulation)
{
    struct sim_fleet *fleet = simulation->fleet;
    int n = fleet->n_gateways;
    int at = g_rand_int_range(fleet->random, 0, n);
    if (CmQuarantine_IsRefused(&fleet->gateways[at].quarantine, "p")) {
        return;
    }
    int64_t now = SimFleet_NowMs(fleet);
    g_array_append_val(simulation->crashes, now);
    char target[CM_CRASH_NAME_SIZE];
    g_snprintf(target, sizeof(target), "t%u", simulation->crashes->len);
    observe(simulation, at, target, "p", 1);
    for (int i = 0; i < 3; i++) {
        char other[CM_CONTENT_SIZE];
        g_snprintf(other, sizeof(other), "b%d", simulation->bystanders++);
        observe(simulation, (at + i) % n, target, other, 20);
    }
}

static void
check_end(struct simulation *simulation)
{
    struct sim_fleet *fleet = simulation->fleet;
    int late = 0;
    int64_t third = simulation->crashes->len >= SIM_CRASHES
                        ? g_array_index(simulation->crashes, int64_t, 2)
                        : INT64_MAX;
    for (guint i = 0; i < simulation->crashes->len; i++) {
        late += g_array_index(simulation->crashes, int64_t, i) - CONTACT_MS >
                third;
    }
    CU_ASSERT_TRUE(late <= LATE_SENDS_MAX);
    const struct cm_quarantine *first = &fleet->gateways[0].quarantine;
    for (int i = 0; i < fleet->n_gateways; i++) {
        const struct cm_quarantine *quarantine =
            &fleet->gateways[i].quarantine;
        CU_ASSERT_EQUAL(quarantine->digest, first->digest);
        CU_ASSERT_TRUE(CmQuarantine_IsRefused(quarantine, "p"));
        CU_ASSERT_EQUAL(quarantine->n_refused, 1);
    }
    double per_gateway_s =
        fleet->n_gateways * (double)SimFleet_NowMs(fleet) / 1000;
    printf("\n    %s: %u crashes, %d late; %.0f messages and %.0f bytes per "
           "gateway and s ",
           simulation->scenario->what, simulation->crashes->len, late,
           (double)fleet->messages / per_gateway_s,
           (double)fleet->bytes / per_gateway_s);
}

#define RUN_MS 20000
#define FIRST_SEND_MS 1000
#define START_S 1000
/// Time at the end without new crashes and losses.
#define SETTLE_MS 8000

static void
simulate(const struct scenario *scenario, guint32 seed)
{
    struct sim_fleet *fleet =
        SimFleet_New(&scenario->links, scenario->gateways, seed);
    struct simulation simulation = {
        .scenario = scenario,
        .fleet = fleet,
        .crashes = g_array_new(FALSE, FALSE, sizeof(int64_t)),
    };
    for (int64_t t = 0; t < RUN_MS + SETTLE_MS; t += STEP_MS) {
        SimFleet_Deliver(fleet);
        if (t >= FIRST_SEND_MS && t < RUN_MS && t % scenario->send_ms == 0) {
            send_content(&simulation);
        }
        if (scenario->restart_ms > 0 && t > 0 && t < RUN_MS &&
            t % scenario->restart_ms == 0) {
            SimFleet_Restart(
                fleet, g_rand_int_range(fleet->random, 0, fleet->n_gateways));
        }
        SimFleet_Step(fleet, STEP_MS);
    }
    check_end(&simulation);
    g_array_free(simulation.crashes, TRUE);
    SimFleet_Free(fleet);
}

static void
test_gateways_reach_one_verdict(void)
{
    static const struct scenario scenarios[] = {
        {"calm links", 5, {0, 0, 5, 0}, 200, 0},
        {"lost, repeated and late messages", 5, {30, 30, 300, 0}, 200, 0},
        {"a content at once everywhere", 30, {0, 0, 5, 0}, 10, 0},
        {"60 gateways, bad links", 60, {20, 20, 100, 0}, 50, 0},
        {"a third of the gateways cut off and back",
         30,
         {5, 5, 20, 9000},
         200,
         0},
        {"420 gateways, a content ten times a second",
         SIM_GATEWAYS_MAX,
         {1, 0, 20, 0},
         100,
         0},
        {"gateways restart", 9, {5, 5, 20, 0}, 200, 1500},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        guint32 seeds = scenarios[i].gateways == SIM_GATEWAYS_MAX ? 1 : 5;
        for (guint32 seed = 1; seed <= seeds; seed++) {
            simulate(&scenarios[i], seed);
        }
    }
}

#define STORM_MS 8000
#define STORM_GATEWAYS 20
/// Bytes that a gateway may send in a second.
#define BYTES_PER_S_MAX 29000

/// A crash that cuts off a request with a popular part of a prompt, or another
/// request that clears the part.
static void
add_storm_record(struct sim_fleet *fleet, int number)
{
    struct sim_gateway *gateway =
        &fleet
             ->gateways[g_rand_int_range(fleet->random, 0, fleet->n_gateways)];
    bool clears = number % 2 == 1;
    char target[CM_CRASH_NAME_SIZE];
    g_snprintf(target, sizeof(target), "t%d", number);
    struct cm_crash_record *record = CmCrashRecord_New(
        clears ? CM_CRASH_RECORD_COMPLETED : CM_CRASH_RECORD_CRASH,
        (uint64_t)g_rand_int(fleet->random) << 32 | (uint64_t)number, target,
        gateway->address, fleet->clock.now);
    for (int i = 0; !clears && i < 4; i++) {
        struct cm_crash_run run = {.ran_ms = 20};
        g_snprintf(run.content, sizeof(run.content), "c%d-%d", number, i);
        CmCrashRecord_AddRun(record, &run);
    }
    struct cm_crash_run part = {.position = 1, .ran_ms = 20};
    g_snprintf(part.content, sizeof(part.content), "part-%d", number / 2 % 10);
    CmCrashRecord_AddRun(record, &part);
    CmGossip_Observe(&gateway->gossip, record, fleet->clock.now);
}

/// A record whose pushes are all lost reaches half of the gateways by polls in
/// time, although their sets are full and differ.
static void
check_lost_push(struct sim_fleet *fleet)
{
    struct cm_crash_run run = {.content = "new", .ran_ms = 1};
    SimFleet_Observe(fleet, 0, "new target", &run);
    g_array_set_size(fleet->gateways[0].gossip.pending, 0);
    int64_t start_ms = SimFleet_NowMs(fleet);
    int n = 0;
    while (n < fleet->n_gateways / 2 &&
           SimFleet_NowMs(fleet) - start_ms < CONTACT_MS) {
        SimFleet_Deliver(fleet);
        SimFleet_Step(fleet, STEP_MS);
        n = 0;
        for (int i = 0; i < fleet->n_gateways; i++) {
            n += g_hash_table_contains(fleet->gateways[i].quarantine.counts,
                                       "new");
        }
    }
    CU_ASSERT_TRUE(n >= fleet->n_gateways / 2);
    printf("lost push: %d ms ", (int)(SimFleet_NowMs(fleet) - start_ms));
}

/// After more records than a set holds, gateways don't go on sending each
/// other what the other one has dropped.
static void
test_full_sets_settle(void)
{
    static const struct sim_links links = {0, 0, 5, 0};
    struct sim_fleet *fleet = SimFleet_New(&links, STORM_GATEWAYS, 1);
    int records = 0;
    size_t bytes = 0;
    for (int64_t t = 0; t < STORM_MS + 2 * SETTLE_MS; t += STEP_MS) {
        SimFleet_Deliver(fleet);
        for (int i = 0; t < STORM_MS && i < 2; i++) {
            add_storm_record(fleet, records++);
        }
        if (t == STORM_MS + SETTLE_MS) {
            printf("\n    storm: %.0f bytes per gateway and s",
                   (double)fleet->bytes / STORM_GATEWAYS /
                       ((STORM_MS + SETTLE_MS) / 1000.0));
            bytes = fleet->bytes;
        }
        SimFleet_Step(fleet, STEP_MS);
    }
    CU_ASSERT_TRUE(records > 2 * CM_QUARANTINE_RECORDS_MAX);
    double sent_per_s =
        (double)(fleet->bytes - bytes) / STORM_GATEWAYS / (SETTLE_MS / 1000.0);
    CU_ASSERT_TRUE(sent_per_s <= BYTES_PER_S_MAX);
    printf(", later %.0f ", sent_per_s);
    check_lost_push(fleet);
    SimFleet_Free(fleet);
}

/// While many targets crash at once, pushes stay within their rate.
static void
test_pushes_are_bounded(void)
{
    static const struct sim_links links = {0};
    struct sim_fleet *fleet = SimFleet_New(&links, 1, 1);
    struct cm_gossip *gossip = &fleet->gateways[0].gossip;
    for (int i = 0; i < CM_QUARANTINE_RECORDS_MAX; i++) {
        char target[CM_CRASH_NAME_SIZE];
        g_snprintf(target, sizeof(target), "t%d", i);
        struct cm_crash_run run = {.content = "c"};
        SimFleet_Observe(fleet, 0, target, &run);
    }
    const int64_t seconds = 4;
    double pushed = 0;
    for (int64_t t = 0; t < seconds * 1000; t += 50) {
        struct cm_exchange push;
        CmExchange_Init(&push, gossip->roster.self.address, 0);
        CmGossip_ComposePush(gossip, fleet->clock.now, &push);
        const struct cm_crash_record *record;
        CmTailq_FOREACH (record, &push.records, link) {
            pushed += 1 + (double)record->n_runs / CM_GOSSIP_RUNS_PER_RECORD;
        }
        CmExchange_Finish(&push);
        CmManualClock_Advance(&fleet->clock, 50);
    }
    CU_ASSERT_TRUE(pushed <= CM_EXCHANGE_RECORDS_MAX + 2 +
                                 seconds * CM_GOSSIP_RECORDS_PER_S);
    CU_ASSERT_TRUE(pushed >= seconds * CM_GOSSIP_RECORDS_PER_S);
    SimFleet_Free(fleet);
}

static void
test_malformed_messages(void)
{
    static const char *const cases[] = {
        "",
        "{",
        "[]",
        "{\"from\":\"a\"}",
        "{\"from\":1,\"digest\":\"0000000000000000\",\"peers\":[],"
        "\"records\":[]}",
        "{\"from\":\"a\",\"digest\":\"xyz\",\"peers\":[],\"records\":[]}",
        "{\"from\":\"a\",\"digest\":\"0000000000000000\",\"peers\":[1],"
        "\"records\":[]}",
        "{\"from\":\"a\",\"digest\":\"0000000000000000\",\"peers\":[],"
        "\"records\":[{}]}",
        "{\"from\":\"a\",\"digest\":\"0000000000000000\",\"peers\":[],"
        "\"ids\":[7],\"records\":[]}",
        "{\"from\":\"a\",\"digest\":\"0000000000000000\",\"peers\":[],"
        "\"records\":[{\"id\":\"0000000000000001\",\"kind\":\"crash\","
        "\"age_ms\":-1,\"target\":\"t\",\"observer\":\"o\",\"runs\":[]}]}",
        "{\"from\":\"a\",\"digest\":\"0000000000000000\",\"peers\":[],"
        "\"records\":[{\"id\":\"0000000000000001\",\"kind\":\"other\","
        "\"age_ms\":1,\"target\":\"t\",\"observer\":\"o\",\"runs\":[]}]}",
        "{\"from\":\"a\",\"digest\":\"0000000000000000\",\"peers\":[],"
        "\"records\":[{\"id\":\"0000000000000001\",\"kind\":\"crash\","
        "\"age_ms\":1,\"target\":\"t\",\"observer\":\"o\","
        "\"runs\":[[\"c\",1]]}]}",
        "{\"from\":\"a\",\"digest\":\"0000000000000000\",\"peers\":[],"
        "\"records\":[],\"horizon_ms\":\"1\"}",
        "{\"from\":\"a\",\"digest\":\"0000000000000000\",\"peers\":[],"
        "\"records\":[],\"horizon_ms\":-1}",
    };
    struct timespec now = {.tv_sec = START_S};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_exchange exchange;
        CmExchange_Init(&exchange, "", 0);
        CU_ASSERT_FALSE(
            CmExchange_Decode(&exchange, cases[i], strlen(cases[i]), now));
        CmExchange_Finish(&exchange);
    }
}

static const struct cm_test tests[] = {
    {"gateways reach one verdict", test_gateways_reach_one_verdict},
    {"full sets settle", test_full_sets_settle},
    {"pushes are bounded", test_pushes_are_bounded},
    {"malformed messages", test_malformed_messages},
};

CM_TEST_MAIN("gossip", tests)
