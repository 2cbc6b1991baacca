/// @file trial_test.c
/// Trials of suspects: decisions by tables, and a seeded simulation of copies
/// of a crashing content over all timings, beside a content that racks end.

#include "quarantine/trial.h"

#include <string.h>

#include "cm_test.h"
#include "simulated_gateways.h"

#define CONTACT_MS 3000
#define LATE_SENDS_MAX 3

/// Records of one content: 'x' a crash, 't' a trial, 'u' one that was not
/// used, 'f' a crash in a trial, 'F' the same while another target crashes,
/// 'g' one late in a trial, 'c' a completed run, 'l' lifted by an operator;
/// one each second. Crashes overlap, unless they are in trials.
static const struct {
    const char *records;
    int64_t later_ms; ///< time of the decision, from the last record
    enum cm_trial_step step;
    bool grants;
} decisions[] = {
    {"", 0, CM_TRIAL_NOT_NEEDED, false},
    {"xx", 0, CM_TRIAL_NOT_NEEDED, false},
    {"xxx", 0, CM_TRIAL_CLAIM, true},
    {"xxxxxx", 0, CM_TRIAL_CLAIM, true},
    {"xxxt", 0, CM_TRIAL_CLAIM, false},
    {"xxxt", CM_TRIAL_TIMEOUT_MS, CM_TRIAL_CLAIM, true},
    {"xxxtf", 0, CM_TRIAL_REFUSE, false},
    {"xxxtc", 0, CM_TRIAL_NOT_NEEDED, false},
    {"xxxtt", CM_TRIAL_TIMEOUT_MS - 1, CM_TRIAL_CLAIM, false},
    {"xxxtt", CM_TRIAL_TIMEOUT_MS, CM_TRIAL_REFUSE, false},
    {"xxxtu", 0, CM_TRIAL_CLAIM, true},
    {"xxxtutu", 0, CM_TRIAL_CLAIM, true},
    {"xxxttu", CM_TRIAL_TIMEOUT_MS, CM_TRIAL_CLAIM, true},
    {"xxxttl", CM_TRIAL_TIMEOUT_MS, CM_TRIAL_NOT_NEEDED, false},
    {"xxxttlxxx", 0, CM_TRIAL_CLAIM, true},
    {"xxxtcxx", 0, CM_TRIAL_NOT_NEEDED, false},
    {"xxxtcxxx", 0, CM_TRIAL_CLAIM, true},
    {"xxxtfl", 0, CM_TRIAL_NOT_NEEDED, false},
    {"xxxtF", 0, CM_TRIAL_CLAIM, true},
    {"xxxtFt", 0, CM_TRIAL_CLAIM, false},
    {"xxxtFtF", 0, CM_TRIAL_REFUSE, false},
    {"xxxtFtf", 0, CM_TRIAL_REFUSE, false},
    {"xxxtg", 0, CM_TRIAL_CLAIM, true},
    {"xxxtgt", 0, CM_TRIAL_CLAIM, false},
    {"xxxtgtg", 0, CM_TRIAL_REFUSE, false},
    {"xxxtgtf", 0, CM_TRIAL_REFUSE, false},
    {"xxxtgtc", 0, CM_TRIAL_NOT_NEEDED, false},
};

static struct cm_crash_record *
make_record(char letter, int number, struct timespec at)
{
    static const struct {
        char letter;
        enum cm_crash_record_kind kind;
    } kinds[] = {
        {'x', CM_CRASH_RECORD_CRASH},     {'f', CM_CRASH_RECORD_CRASH},
        {'F', CM_CRASH_RECORD_CRASH},     {'t', CM_CRASH_RECORD_TRIAL},
        {'g', CM_CRASH_RECORD_CRASH},     {'u', CM_CRASH_RECORD_UNUSED},
        {'c', CM_CRASH_RECORD_COMPLETED}, {'l', CM_CRASH_RECORD_LIFTED}};
    size_t kind = 0;
    while (kinds[kind].letter != letter) {
        kind++;
    }
    char target[CM_CRASH_NAME_SIZE];
    g_snprintf(target, sizeof(target), "t%d", number);
    struct cm_crash_record *record = CmCrashRecord_New(
        kinds[kind].kind, (uint64_t)number + 1, target, "gateway", at);
    struct cm_crash_run run = {.content = "p", .ran_ms = 100000};
    if (kinds[kind].kind == CM_CRASH_RECORD_CRASH && letter != 'x') {
        run.trial = true;
        run.late = letter == 'g';
        run.ran_ms = run.late ? 1000 : 100;
    }
    CmCrashRecord_AddRun(record, &run);
    return record;
}

/// Has the first gateway observe records, one each second.
static void
observe_records(struct sim_fleet *fleet, const char *records)
{
    struct cm_gossip *gossip = &fleet->gateways[0].gossip;
    for (int i = 0; records[i] != '\0'; i++) {
        CmManualClock_Advance(&fleet->clock, 1000);
        if (records[i] == 'F') {
            struct cm_crash_run other = {.content = "b"};
            SimFleet_Observe(fleet, 0, "another target", &other);
        }
        CmGossip_Observe(gossip, make_record(records[i], i, fleet->clock.now),
                         fleet->clock.now);
    }
}

static void
test_decisions(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(decisions); i++) {
        struct sim_links links = {0};
        struct sim_fleet *fleet = SimFleet_New(&links, 1, 1);
        struct cm_gossip *gossip = &fleet->gateways[0].gossip;
        observe_records(fleet, decisions[i].records);
        CmManualClock_Advance(&fleet->clock, decisions[i].later_ms);
        struct timespec now = fleet->clock.now;
        enum cm_trial_step step =
            CmTrial_NextStep(CmQuarantine_Find(gossip->quarantine, "p"), now);
        bool grants = CmTrial_Grant(gossip, "p", "10.0.0.9:1", 99, now);
        if (step != decisions[i].step || grants != decisions[i].grants) {
            CU_FAIL();
            printf("\n    %s after %d ms\n", decisions[i].records,
                   (int)decisions[i].later_ms);
        }
        CU_ASSERT_EQUAL(CmTrial_Grant(gossip, "p", "10.0.0.9:1", 99, now),
                        grants);
        CU_ASSERT_FALSE(CmTrial_Grant(gossip, "p", "10.0.0.9:1", 98, now));
        SimFleet_Free(fleet);
    }
}

/// Whether a trial that its target rejected may be replaced.
static void
test_rejected(void)
{
    static const struct {
        const char *records;
        bool replaceable;
    } cases[] = {
        {"", false},
        {"xxxt", true},
        {"xxxtut", true},
        {"xxxtutut", false},
        {"xxxtututut", false},
        {"xxxtututxt", true},
        {"xxxtututcxxxt", true},
        {"xxxtututl", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct sim_links links = {0};
        struct sim_fleet *fleet = SimFleet_New(&links, 1, 1);
        struct cm_gossip *gossip = &fleet->gateways[0].gossip;
        observe_records(fleet, cases[i].records);
        CU_ASSERT_EQUAL(
            CmTrial_IsReplaceable(CmQuarantine_Find(gossip->quarantine, "p")),
            cases[i].replaceable);
        SimFleet_Free(fleet);
    }
}

/// All gateways choose the same arbiter, a seed; another one if it fails.
static void
test_arbiter(void)
{
    struct sim_links links = {.delay_max_ms = 5};
    struct sim_fleet *fleet = SimFleet_New(&links, 9, 1);
    for (int i = 0; i < 200; i++) {
        SimFleet_Deliver(fleet);
        SimFleet_Step(fleet, 10);
    }
    const char *chosen[9];
    for (int i = 0; i < 9; i++) {
        struct sim_gateway *gateway = &fleet->gateways[i];
        const char *arbiter = CmArbiter_Choose(&gateway->gossip.roster, "p");
        chosen[i] = arbiter != NULL ? arbiter : gateway->address;
        CU_ASSERT_STRING_EQUAL(chosen[i], chosen[0]);
    }
    CU_ASSERT_TRUE(strcmp(chosen[0], fleet->gateways[0].address) == 0 ||
                   strcmp(chosen[0], fleet->gateways[1].address) == 0 ||
                   strcmp(chosen[0], fleet->gateways[2].address) == 0);
    char failing[CM_CRASH_NAME_SIZE];
    g_strlcpy(failing, chosen[0], sizeof(failing));
    struct cm_gossip *gossip = &fleet->gateways[8].gossip;
    for (int i = 0; i < 2; i++) {
        CmRoster_CountCall(&gossip->roster, failing, false);
    }
    CU_ASSERT_STRING_NOT_EQUAL(CmArbiter_Choose(&gossip->roster, "p"),
                               failing);
    SimFleet_Free(fleet);
}

#define TARGETS 8
#define RESTART_MS 1000
#define STEP_MS 5
#define RUN_MS 16000
/// Longest time until a gateway learns that a target has crashed.
#define DETECT_MAX_MS 30
#define CLAIM_TIMEOUT_MS 200

/// A content whose copies come at once, in bursts.
struct timing {
    int copies;
    int gateways;
    int64_t run_ms;      ///< until a copy ends its target, or completes
    int64_t interval_ms; ///< between two bursts
    int64_t offset_ms;   ///< between two copies of a burst
};

enum copy_state { COPY_WAITING, COPY_RUNNING, COPY_LOST, COPY_ENDED };

/// One request of the content.
struct copy {
    enum copy_state state;
    int gateway;
    int target;
    int64_t at_ms; ///< start of the run, or when its crash is recorded
    int64_t ran_ms;
    int64_t give_up_at_ms;
    int64_t claimed_at_ms; ///< -1 without a claim under way
    char arbiter[CM_CRASH_NAME_SIZE];
    uint64_t claim_id;
    bool granted;
    bool trial;
    bool served;
};

struct trial_sim {
    const struct timing *timing;
    struct sim_fleet *fleet;
    bool crashing;  ///< the content ends its targets; else racks end
    GArray *copies; ///< of struct copy
    int64_t up_at_ms[TARGETS];
    int incarnation[TARGETS];
    GArray *sends; ///< of int64_t
    GArray *ends;  ///< of int64_t, targets that the content ended
};

static struct copy *
copy_at(const struct trial_sim *sim, guint i)
{
    return &g_array_index(sim->copies, struct copy, i);
}

static void
on_answer(void *context, uint64_t claim_id, bool granted)
{
    struct copy *copy = copy_at(context, (guint)claim_id - 1);
    copy->claimed_at_ms = -1;
    copy->granted = copy->granted || granted;
}

static int
pick_target(struct trial_sim *sim)
{
    int64_t now = SimFleet_NowMs(sim->fleet);
    int first = g_rand_int_range(sim->fleet->random, 0, TARGETS);
    for (int i = 0; i < TARGETS; i++) {
        int target = (first + i) % TARGETS;
        if (sim->up_at_ms[target] <= now) {
            return target;
        }
    }
    return -1;
}

static void
start_run(struct trial_sim *sim, struct copy *copy, bool trial)
{
    int64_t now = SimFleet_NowMs(sim->fleet);
    copy->target = pick_target(sim);
    copy->trial = trial;
    copy->state = copy->target < 0 ? COPY_ENDED : COPY_RUNNING;
    if (trial && copy->target < 0) {
        CmTrial_GiveBack(&sim->fleet->gateways[copy->gateway].gossip, "p",
                         sim->fleet->clock.now);
    }
    if (copy->state == COPY_RUNNING) {
        copy->at_ms = now;
        g_array_append_val(sim->sends, now);
    }
}

/// Claims the copy's trial, as a gateway does.
/// @return whether it is granted at once.
static bool
claim(struct trial_sim *sim, struct copy *copy)
{
    struct sim_fleet *fleet = sim->fleet;
    struct cm_gossip *gossip = &fleet->gateways[copy->gateway].gossip;
    int64_t now = SimFleet_NowMs(fleet);
    if (copy->claimed_at_ms >= 0) {
        if (now - copy->claimed_at_ms >= CLAIM_TIMEOUT_MS) {
            CmRoster_CountCall(&gossip->roster, copy->arbiter, false);
            copy->claimed_at_ms = -1;
        }
        return false;
    }
    if (now % CM_TRIAL_CLAIM_INTERVAL_MS != 0) {
        return false;
    }
    const char *arbiter = CmArbiter_Choose(&gossip->roster, "p");
    if (arbiter == NULL) {
        return CmTrial_Grant(gossip, "p", gossip->roster.self.address,
                             copy->claim_id, fleet->clock.now);
    }
    g_strlcpy(copy->arbiter, arbiter, sizeof(copy->arbiter));
    copy->claimed_at_ms = now;
    SimFleet_Claim(fleet, copy->gateway, copy->arbiter, "p", copy->claim_id);
    return false;
}

static void
advance_waiting(struct trial_sim *sim, struct copy *copy)
{
    struct sim_fleet *fleet = sim->fleet;
    const struct cm_quarantine *quarantine =
        &fleet->gateways[copy->gateway].quarantine;
    switch (CmTrial_NextStep(CmQuarantine_Find(quarantine, "p"),
                             fleet->clock.now)) {
    case CM_TRIAL_NOT_NEEDED:
        start_run(sim, copy, false);
        break;
    case CM_TRIAL_REFUSE:
        copy->state = COPY_ENDED;
        break;
    case CM_TRIAL_CLAIM:
        if (copy->granted || claim(sim, copy)) {
            start_run(sim, copy, true);
        }
        else if (SimFleet_NowMs(fleet) >= copy->give_up_at_ms) {
            copy->state = COPY_ENDED;
        }
        break;
    }
}

/// Ends a target with all its runs.
static void
end_target(struct trial_sim *sim, int target)
{
    int64_t now = SimFleet_NowMs(sim->fleet);
    for (guint i = 0; i < sim->copies->len; i++) {
        struct copy *copy = copy_at(sim, i);
        if (copy->state == COPY_RUNNING && copy->target == target) {
            copy->state = COPY_LOST;
            copy->ran_ms = now - copy->at_ms;
            copy->at_ms =
                now + g_rand_int_range(sim->fleet->random, 1, DETECT_MAX_MS);
        }
    }
    sim->up_at_ms[target] = now + RESTART_MS;
    sim->incarnation[target]++;
}

static void
advance_running(struct trial_sim *sim, struct copy *copy)
{
    struct sim_fleet *fleet = sim->fleet;
    int64_t now = SimFleet_NowMs(fleet);
    if (now - copy->at_ms < sim->timing->run_ms) {
        return;
    }
    if (sim->crashing) {
        g_array_append_val(sim->ends, now);
        end_target(sim, copy->target);
        return;
    }
    copy->state = COPY_ENDED;
    copy->served = true;
    struct cm_gossip *gossip = &fleet->gateways[copy->gateway].gossip;
    if (CmQuarantine_Find(gossip->quarantine, "p") != NULL) {
        uint64_t id = ((uint64_t)g_rand_int(fleet->random) << 32) | 1;
        struct cm_crash_record *record =
            CmCrashRecord_New(CM_CRASH_RECORD_COMPLETED, id, "",
                              gossip->roster.self.address, fleet->clock.now);
        CmCrashRecord_AddContent(record, "p");
        CmGossip_Observe(gossip, record, fleet->clock.now);
    }
}

static void
record_loss(struct trial_sim *sim, struct copy *copy)
{
    if (SimFleet_NowMs(sim->fleet) < copy->at_ms) {
        return;
    }
    copy->state = COPY_ENDED;
    char target[CM_CRASH_NAME_SIZE];
    g_snprintf(target, sizeof(target), "t%d/%d", copy->target,
               sim->incarnation[copy->target]);
    // A late crash, which counts half, as the harder case.
    struct cm_crash_run run = {.content = "p",
                               .ran_ms = copy->ran_ms,
                               .late = sim->timing->run_ms > 50,
                               .trial = copy->trial};
    SimFleet_Observe(sim->fleet, copy->gateway, target, &run);
}

static void
add_copy(struct trial_sim *sim, int gateway)
{
    struct copy copy = {
        .gateway = gateway,
        .claimed_at_ms = -1,
        .claim_id = sim->copies->len + 1,
        .give_up_at_ms = SimFleet_NowMs(sim->fleet) + CM_TRIAL_WAIT_MAX_MS,
    };
    g_array_append_val(sim->copies, copy);
}

static void
advance(struct trial_sim *sim)
{
    SimFleet_Deliver(sim->fleet);
    for (guint i = 0; i < sim->copies->len; i++) {
        struct copy *copy = copy_at(sim, i);
        switch (copy->state) {
        case COPY_WAITING:
            advance_waiting(sim, copy);
            break;
        case COPY_RUNNING:
            advance_running(sim, copy);
            break;
        case COPY_LOST:
            record_loss(sim, copy);
            break;
        case COPY_ENDED:
            break;
        }
    }
    SimFleet_Step(sim->fleet, STEP_MS);
}

static void
trial_sim_init(struct trial_sim *sim, const struct timing *timing,
               const struct sim_links *links, guint32 seed)
{
    *sim = (struct trial_sim){
        .timing = timing,
        .fleet = SimFleet_New(links, timing->gateways, seed),
        .copies = g_array_new(FALSE, FALSE, sizeof(struct copy)),
        .sends = g_array_new(FALSE, FALSE, sizeof(int64_t)),
        .ends = g_array_new(FALSE, FALSE, sizeof(int64_t)),
    };
    sim->fleet->answered = on_answer;
    sim->fleet->context = sim;
}

static void
trial_sim_finish(struct trial_sim *sim)
{
    SimFleet_Free(sim->fleet);
    g_array_free(sim->copies, TRUE);
    g_array_free(sim->sends, TRUE);
    g_array_free(sim->ends, TRUE);
}

/// @return the sends later than CONTACT_MS after the content's third end.
static int
count_late_sends(const struct trial_sim *sim)
{
    if (sim->ends->len < SIM_CRASHES) {
        return 0;
    }
    int64_t third = g_array_index(sim->ends, int64_t, SIM_CRASHES - 1);
    int late = 0;
    for (guint i = 0; i < sim->sends->len; i++) {
        late += g_array_index(sim->sends, int64_t, i) > third + CONTACT_MS;
    }
    return late;
}

/// @return late sends of a crashing content.
static int
play_crashing(const struct timing *timing, const struct sim_links *links,
              guint32 seed)
{
    struct trial_sim sim;
    trial_sim_init(&sim, timing, links, seed);
    sim.crashing = true;
    while (SimFleet_NowMs(sim.fleet) < RUN_MS) {
        int64_t since_burst = SimFleet_NowMs(sim.fleet) % timing->interval_ms;
        for (int i = 0; i < timing->copies; i++) {
            if (since_burst == i * timing->offset_ms) {
                add_copy(&sim, g_rand_int_range(sim.fleet->random, 0,
                                                timing->gateways));
            }
        }
        advance(&sim);
    }
    CU_ASSERT_TRUE(sim.ends->len >= SIM_CRASHES);
    int late = count_late_sends(&sim);
    trial_sim_finish(&sim);
    return late;
}

static void
test_copies_at_once(void)
{
    static const struct sim_links links[] = {{0, 0, 5, 0}, {30, 30, 300, 0}};
    static const int64_t runs_ms[] = {10, 90, 300};
    static const int64_t intervals_ms[] = {500, 1500, 4000};
    static const int64_t offsets_ms[] = {0, 5, 60, 400};
    int played = 0;
    int most = 0;
    for (size_t a = 0; a < G_N_ELEMENTS(links); a++) {
        for (size_t b = 0; b < G_N_ELEMENTS(runs_ms); b++) {
            for (size_t c = 0; c < G_N_ELEMENTS(intervals_ms); c++) {
                for (size_t d = 0; d < G_N_ELEMENTS(offsets_ms); d++) {
                    for (int e = 0; e < 6; e++) {
                        struct timing timing = {2 + e / 3, 2 + e % 3,
                                                runs_ms[b], intervals_ms[c],
                                                offsets_ms[d]};
                        int late = play_crashing(&timing, &links[a],
                                                 (guint32)played++);
                        most = MAX(most, late);
                        if (late > LATE_SENDS_MAX) {
                            CU_FAIL();
                            printf("\n    %d copies, %d gateways, run %d ms, "
                                   "every %d ms, offset %d ms, loss %d %%: "
                                   "%d late sends",
                                   timing.copies, timing.gateways,
                                   (int)timing.run_ms, (int)timing.interval_ms,
                                   (int)timing.offset_ms,
                                   links[a].loss_percent, late);
                        }
                    }
                }
            }
        }
    }
    printf("\n    %d timings, %d late sends at most ", played, most);
}

/// Ends all targets, each of which runs another content, too.
static void
end_rack(struct trial_sim *sim)
{
    for (int i = 0; i < TARGETS; i++) {
        end_target(sim, i);
        char target[CM_CRASH_NAME_SIZE];
        g_snprintf(target, sizeof(target), "t%d/%d", i, sim->incarnation[i]);
        struct cm_crash_run run = {.ran_ms = 40};
        g_snprintf(run.content, sizeof(run.content), "b%d", i);
        SimFleet_Observe(sim->fleet, i % sim->timing->gateways, target, &run);
    }
}

/// Racks end targets that run a sound content, twice, the second time also its
/// trial. Afterwards each gateway serves it.
static void
test_rack_ends_sound_content(void)
{
    static const struct sim_links links = {0, 0, 5, 0};
    for (int gateways = 2; gateways <= 4; gateways++) {
        struct timing timing = {6, gateways, 100, 2000, 0};
        struct trial_sim sim;
        trial_sim_init(&sim, &timing, &links, (guint32)gateways);
        for (int t = 0; t < 8000; t += STEP_MS) {
            bool in_racks = t < 4000;
            for (int i = 0; in_racks && t % 2000 == 0 && i < 6; i++) {
                add_copy(&sim, i % gateways);
            }
            if (!in_racks && t % 1000 == 0) {
                add_copy(&sim, t / 1000 % gateways);
            }
            advance(&sim);
            if (in_racks && t % 2000 == 50) {
                end_rack(&sim);
            }
        }
        for (guint i = 0; i < sim.copies->len; i++) {
            CU_ASSERT_EQUAL(copy_at(&sim, i)->served, i >= 12);
        }
        trial_sim_finish(&sim);
    }
}

static const struct cm_test tests[] = {
    {"decisions", test_decisions},
    {"rejected trials", test_rejected},
    {"arbiter", test_arbiter},
    {"copies at once", test_copies_at_once},
    {"rack ends a sound content", test_rack_ends_sound_content},
};

CM_TEST_MAIN("trial", tests)
