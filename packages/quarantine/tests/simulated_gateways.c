/// @file simulated_gateways.c
/// Messages of simulated gateways.

#include "simulated_gateways.h"

#include <stdlib.h>
#include <string.h>

#include "cm_test.h"

#define ADDRESS_PREFIX "10.0.0."
#define SEEDS 3
#define PUSH_MS 50
#define POLL_MS 1000
/// Interval of polls until the first response.
#define FIRST_POLL_MS 200
#define START_MS 1000000
#define PERCENT 100

/// A message on its way.
struct sim_transit {
    TAILQ_ENTRY(sim_transit) link;
    int64_t due_ms;
    int from;
    int to;
    char *text;
    bool is_response;
    uint64_t claim_id; ///< of a claim and its answer; 0 for other messages
};

int64_t
SimFleet_NowMs(const struct sim_fleet *fleet)
{
    return CmTime_DiffMs(fleet->clock.now, fleet->start);
}

static void
write_address(char address[CM_CRASH_NAME_SIZE], int i)
{
    g_snprintf(address, CM_CRASH_NAME_SIZE, ADDRESS_PREFIX "%d:1", i);
}

static int
index_of(const char *address)
{
    return atoi(address + strlen(ADDRESS_PREFIX));
}

void
SimFleet_SetSeeds(struct sim_fleet *fleet, int i, const int seeds[], size_t n)
{
    char addresses[SEEDS][CM_CRASH_NAME_SIZE];
    const char *texts[SEEDS];
    for (size_t seed = 0; seed < n; seed++) {
        write_address(addresses[seed], seeds[seed]);
        texts[seed] = addresses[seed];
    }
    CmRoster_SetSeeds(&fleet->gateways[i].gossip.roster, texts, n);
}

static void
start_gateway(struct sim_fleet *fleet, int i)
{
    static const int seeds[SEEDS] = {0, 1, 2};
    struct sim_gateway *gateway = &fleet->gateways[i];
    write_address(gateway->address, i);
    gateway->random = g_rand_new_with_seed(g_rand_int(fleet->random));
    CmQuarantine_Init(&gateway->quarantine, SIM_CRASHES, NULL, NULL);
    CmGossip_Init(&gateway->gossip, &gateway->quarantine, &fleet->clock.base,
                  gateway->address, gateway->random);
    SimFleet_SetSeeds(fleet, i, seeds, (size_t)MIN(SEEDS, fleet->n_gateways));
    gateway->next_poll_ms = SimFleet_NowMs(fleet);
    gateway->next_introduction_ms = SimFleet_NowMs(fleet);
    gateway->started_ms = SimFleet_NowMs(fleet);
}

static void
stop_gateway(struct sim_fleet *fleet, int i)
{
    struct sim_gateway *gateway = &fleet->gateways[i];
    CmGossip_Finish(&gateway->gossip);
    CmQuarantine_Finish(&gateway->quarantine);
    g_rand_free(gateway->random);
}

void
SimFleet_Restart(struct sim_fleet *fleet, int i)
{
    stop_gateway(fleet, i);
    start_gateway(fleet, i);
}

struct sim_gateway *
SimFleet_Find(struct sim_fleet *fleet, const char *address)
{
    return &fleet->gateways[index_of(address)];
}

void
SimFleet_Stop(struct sim_fleet *fleet, int i)
{
    fleet->gateways[i].down = true;
}

void
SimFleet_Start(struct sim_fleet *fleet, int i, const int seeds[], size_t n)
{
    SimFleet_Restart(fleet, i);
    CmRoster_Finish(&fleet->gateways[i].gossip.roster);
    CmRoster_Init(&fleet->gateways[i].gossip.roster, &fleet->clock.base,
                  fleet->gateways[i].address, fleet->gateways[i].random);
    SimFleet_SetSeeds(fleet, i, seeds, n);
    fleet->gateways[i].down = false;
}

struct sim_fleet *
SimFleet_New(const struct sim_links *links, int n_gateways, guint32 seed)
{
    struct sim_fleet *fleet = g_new0(struct sim_fleet, 1);
    fleet->links = links;
    fleet->n_gateways = n_gateways;
    fleet->random = g_rand_new_with_seed(seed);
    TAILQ_INIT(&fleet->transits);
    CmManualClock_Init(&fleet->clock);
    CmManualClock_Advance(&fleet->clock, START_MS);
    fleet->start = fleet->clock.now;
    CmIntroducer_Init(&fleet->introducer, &fleet->clock.base);
    for (int i = 0; i < n_gateways; i++) {
        start_gateway(fleet, i);
        fleet->gateways[i].cut = i % 3 == 0;
    }
    return fleet;
}

static void
transit_free(struct sim_fleet *fleet, struct sim_transit *transit)
{
    TAILQ_REMOVE(&fleet->transits, transit, link);
    g_free(transit->text);
    g_free(transit);
}

void
SimFleet_Free(struct sim_fleet *fleet)
{
    struct sim_transit *transit;
    while ((transit = TAILQ_FIRST(&fleet->transits)) != NULL) {
        transit_free(fleet, transit);
    }
    for (int i = 0; i < fleet->n_gateways; i++) {
        stop_gateway(fleet, i);
    }
    CmIntroducer_Finish(&fleet->introducer);
    g_rand_free(fleet->random);
    g_free(fleet);
}

static bool
draw(struct sim_fleet *fleet, int percent)
{
    return g_rand_int_range(fleet->random, 0, PERCENT) < percent;
}

static void
post(struct sim_fleet *fleet, const struct sim_transit *message,
     const struct cm_exchange *exchange)
{
    const struct sim_links *links = fleet->links;
    if (fleet->gateways[message->to].down) {
        CmRoster_CountCall(&fleet->gateways[message->from].gossip.roster,
                           fleet->gateways[message->to].address, false);
        return;
    }
    char *text = CmExchange_Encode(exchange, fleet->clock.now);
    fleet->messages++;
    fleet->bytes += strlen(text);
    bool cut =
        SimFleet_NowMs(fleet) < links->cut_until_ms &&
        fleet->gateways[message->from].cut != fleet->gateways[message->to].cut;
    int copies = 1 + draw(fleet, links->repeat_percent);
    for (int i = 0; i < copies && !cut; i++) {
        if (draw(fleet, links->loss_percent)) {
            continue;
        }
        struct sim_transit *transit = g_new0(struct sim_transit, 1);
        *transit = *message;
        transit->due_ms = SimFleet_NowMs(fleet) +
                          g_rand_int_range(fleet->random, 1,
                                           (gint32)links->delay_max_ms + 1);
        transit->text = g_strdup(text);
        TAILQ_INSERT_TAIL(&fleet->transits, transit, link);
    }
    free(text);
}

static void
deliver(struct sim_fleet *fleet, const struct sim_transit *transit)
{
    struct sim_gateway *gateway = &fleet->gateways[transit->to];
    struct timespec now = fleet->clock.now;
    if (gateway->down) {
        return;
    }
    struct sim_transit answer = {.from = transit->to,
                                 .to = transit->from,
                                 .claim_id = transit->claim_id};
    struct cm_exchange received;
    struct cm_exchange out;
    CmExchange_Init(&received, "", 0);
    CmExchange_Init(&out, gateway->address, 0);
    CU_ASSERT_TRUE_FATAL(CmExchange_Decode(&received, transit->text,
                                           strlen(transit->text), now));
    if (!transit->is_response) {
        CmGossip_Answer(&gateway->gossip, &received, now, &out);
        answer.is_response = true;
        post(fleet, &answer, &out);
    }
    else {
        bool granted = received.granted;
        if (CmGossip_HandleResponse(&gateway->gossip, &received, now, &out)) {
            answer.claim_id = 0;
            post(fleet, &answer, &out);
        }
        if (transit->claim_id != 0) {
            fleet->answered(fleet->context, transit->claim_id, granted);
        }
    }
    CmExchange_Finish(&received);
    CmExchange_Finish(&out);
}

void
SimFleet_Deliver(struct sim_fleet *fleet)
{
    struct sim_transit *transit;
    struct sim_transit *next;
    CmTailq_FOREACH_SAFE (transit, &fleet->transits, link, next) {
        if (transit->due_ms <= SimFleet_NowMs(fleet)) {
            deliver(fleet, transit);
            transit_free(fleet, transit);
        }
    }
}

static void
send_to(struct sim_fleet *fleet, int from, const char *const peers[], size_t n,
        const struct cm_exchange *exchange)
{
    for (size_t i = 0; i < n; i++) {
        struct sim_transit message = {.from = from, .to = index_of(peers[i])};
        post(fleet, &message, exchange);
    }
}

/// Introduces a gateway to the others.
static void
introduce(struct sim_fleet *fleet, struct sim_gateway *gateway)
{
    int64_t now = SimFleet_NowMs(fleet);
    if (now < gateway->next_introduction_ms) {
        return;
    }
    struct cm_roster *roster = &gateway->gossip.roster;
    gateway->next_introduction_ms =
        now + CmIntroduction_IntervalMs(now - gateway->started_ms,
                                        roster->peers->len + 1);
    struct cm_introduction introduction = {.n = 1};
    struct cm_introduction answer;
    g_strlcpy(introduction.gateways[0], gateway->address,
              sizeof(introduction.gateways[0]));
    CmIntroducer_Answer(&fleet->introducer, &introduction, &answer);
    for (size_t i = 0; i < answer.n; i++) {
        CmRoster_Add(roster, answer.gateways[i]);
    }
}

static void
run_gateway(struct sim_fleet *fleet, int i)
{
    struct sim_gateway *gateway = &fleet->gateways[i];
    struct cm_exchange exchange;
    const char *peers[CM_GOSSIP_FANOUT];
    if (gateway->down) {
        return;
    }
    CmRoster_Tick(&gateway->gossip.roster);
    introduce(fleet, gateway);
    CmExchange_Init(&exchange, gateway->address, 0);
    if (SimFleet_NowMs(fleet) % PUSH_MS == 0 &&
        CmGossip_ComposePush(&gateway->gossip, fleet->clock.now, &exchange)) {
        size_t n = CmRoster_ChoosePeers(&gateway->gossip.roster,
                                        CM_GOSSIP_FANOUT, peers);
        send_to(fleet, i, peers, n, &exchange);
    }
    CmExchange_Finish(&exchange);
    if (SimFleet_NowMs(fleet) < gateway->next_poll_ms) {
        return;
    }
    bool synced = gateway->gossip.synced;
    gateway->next_poll_ms =
        SimFleet_NowMs(fleet) + (synced ? POLL_MS : FIRST_POLL_MS);
    CmExchange_Init(&exchange, gateway->address, 0);
    CmGossip_ComposePoll(&gateway->gossip, fleet->clock.now, &exchange);
    size_t n = synced ? CmRoster_ChooseForPoll(&gateway->gossip.roster, peers)
                      : CmRoster_ChoosePeers(&gateway->gossip.roster,
                                             CM_GOSSIP_FANOUT, peers);
    send_to(fleet, i, peers, n, &exchange);
    CmExchange_Finish(&exchange);
}

void
SimFleet_Step(struct sim_fleet *fleet, int64_t step_ms)
{
    for (int i = 0; i < fleet->n_gateways; i++) {
        run_gateway(fleet, i);
    }
    CmManualClock_Advance(&fleet->clock, step_ms);
}

void
SimFleet_Observe(struct sim_fleet *fleet, int at, const char *target,
                 const struct cm_crash_run *run)
{
    struct sim_gateway *gateway = &fleet->gateways[at];
    uint64_t id = ((uint64_t)g_rand_int(fleet->random) << 32) |
                  g_rand_int(fleet->random);
    struct cm_crash_record *record = CmCrashRecord_New(
        CM_CRASH_RECORD_CRASH, id, target, gateway->address, fleet->clock.now);
    CmCrashRecord_AddRun(record, run);
    CmGossip_Observe(&gateway->gossip, record, fleet->clock.now);
}

void
SimFleet_Claim(struct sim_fleet *fleet, int from, const char *arbiter,
               const char *content, uint64_t claim_id)
{
    struct sim_gateway *gateway = &fleet->gateways[from];
    struct sim_transit message = {
        .from = from, .to = index_of(arbiter), .claim_id = claim_id};
    struct cm_exchange claim;
    CmExchange_Init(&claim, gateway->address, 0);
    CmTrial_ComposeClaim(&gateway->gossip, content, claim_id, fleet->clock.now,
                         &claim);
    post(fleet, &message, &claim);
    CmExchange_Finish(&claim);
}
