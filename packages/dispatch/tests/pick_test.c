/// @file pick_test.c
/// Placing: each case is one load pattern.

#include "dispatch/wait_limit.h"
#include "dispatch/pick.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cm_test.h"
#include "base/clock.h"

#define ENGINES 6

/// What one engine looks like to the entry.
struct engine_state {
    bool held;        ///< the adapter is in a slot
    bool warm;        ///< it has lately been in one
    int in_flight;    ///< requests of this entry
    int slot_wait_ms; ///< until a load could start there
    bool draining;
    bool no_model;
    bool ejected;
};

static struct timespec
now(void)
{
    return (struct timespec){.tv_sec = 1000};
}

static struct cm_live_target *
add_engine(struct cm_targets *targets, int i, const struct engine_state *state)
{
    char id[16];
    char address[32];
    snprintf(id, sizeof(id), "e%d", i);
    snprintf(address, sizeof(address), "10.0.0.%d:80", i + 1);
    struct cm_target_info info = {
        .id = id,
        .service = "s",
        .address = address,
        .zone = "a",
        .slots = 64,
        .draining = state->draining,
        .has_model = !state->no_model,
    };
    struct cm_live_target *target = CmTargets_Update(targets, &info);
    if (state->held || state->warm) {
        CmTarget_SetResident(target, "m/x", true, now());
        CmTarget_SetResident(target, "m/x", state->held, now());
    }
    target->in_flight = state->in_flight;
    target->agent_report.slot_wait_ms = state->slot_wait_ms;
    target->agent_report.received_at = now();
    if (state->ejected) {
        target->ejected_until = CmTime_AddMs(now(), 1000);
    }
    return target;
}

/// @return number of the engine picked, or -1.
static int
pick_among(const struct engine_state *states, size_t n, const char *adapter)
{
    struct cm_targets targets;
    CmTargets_Init(&targets, "a", 7000);
    for (size_t i = 0; i < n; i++) {
        add_engine(&targets, (int)i, &states[i]);
    }
    struct cm_pick_request request = {
        .service = "s", .adapter = adapter, .needs_model = true};
    struct cm_pick pick;
    CmPick_Engine(&targets, &request, now(), &pick);
    int picked = pick.target != NULL ? pick.target->id[1] - '0' : -1;
    CmTargets_Finish(&targets);
    return picked;
}

static void
test_one_of_two(void)
{
    static const struct {
        const char *pattern;
        struct engine_state states[2];
        int picked;
    } cases[] = {
        {"where the adapter is", {{.held = true}, {0}}, 0},
        {"where it lately was", {{0}, {.warm = true}}, 1},
        {"a busy holder before a load from the store",
         {{.held = true, .in_flight = 5}, {0}},
         0},
        {"a very busy holder is relieved",
         {{.held = true, .in_flight = 31}, {0}},
         1},
        {"a copy that waits for a slot before a load from the store",
         {{.warm = true, .slot_wait_ms = 200}, {0}},
         0},
        {"a copy behind a queue of loads is passed over",
         {{.warm = true, .slot_wait_ms = 800}, {.warm = true, .in_flight = 3}},
         1},
        {"a leaving engine gets nothing",
         {{.held = true, .draining = true}, {0}},
         1},
        {"an engine without its model gets nothing",
         {{.held = true, .no_model = true}, {0}},
         1},
        {"an ejected engine gets nothing",
         {{.held = true, .ejected = true}, {0}},
         1},
        {"unless all are ejected",
         {{.held = true, .ejected = true}, {.ejected = true}},
         0},
        {"none is left", {{.draining = true}, {.draining = true}}, -1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        int picked = pick_among(cases[i].states, 2, "m/x");
        if (picked != cases[i].picked) {
            printf("\n%s: %d\n", cases[i].pattern, picked);
        }
        CU_ASSERT_EQUAL(picked, cases[i].picked);
    }
}

/// All entries agree on an adapter's first engine, and adapters spread.
static void
test_homes(void)
{
    static const struct engine_state idle[ENGINES] = {{0}};
    int homes[ENGINES] = {0};
    for (int i = 0; i < 600; i++) {
        char adapter[16];
        snprintf(adapter, sizeof(adapter), "m/a%d", i);
        int first = pick_among(idle, ENGINES, adapter);
        CU_ASSERT_EQUAL(pick_among(idle, ENGINES, adapter), first);
        homes[first]++;
    }
    for (int i = 0; i < ENGINES; i++) {
        CU_ASSERT(homes[i] > 60);
        CU_ASSERT(homes[i] < 140);
    }
}

/// An adapter is held by all engines: its requests keep to the first of its
/// order until that one is busier by more than a shared prompt's read, so that
/// the slots of the others come free.
static void
test_holders_are_filled_in_order(void)
{
    static const struct {
        const char *pattern;
        int in_flight; ///< at the first, where the others are idle
        bool first;
    } cases[] = {
        {"idle", 0, true}, {"a few runs", 2, true}, {"many runs", 20, false}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct engine_state none[ENGINES] = {{0}};
        int first = pick_among(none, ENGINES, "m/x");
        struct engine_state states[ENGINES] = {{0}};
        for (int e = 0; e < ENGINES; e++) {
            states[e].held = true;
        }
        states[first].in_flight = cases[i].in_flight;
        int picked = pick_among(states, ENGINES, "m/x");
        CU_ASSERT_EQUAL(picked == first, cases[i].first);
    }
}

/// From one agent to the next longer waits are accepted, never beyond what can
/// be on time, or beyond what begins at once if it is late already, or beyond
/// what its caller bears.
static void
test_asking(void)
{
    static const struct {
        const char *pattern;
        int busy;       ///< agents that said so
        bool last_busy; ///< the one that is asked now was the last of them
        struct cm_time_left left;
        int64_t ahead_max_ms;
    } cases[] = {
        {"the first", 0, false, {650, 3000}, 150},
        {"the second", 1, false, {650, 3000}, 300},
        {"the last", 3, false, {650, 3000}, 650},
        {"the best although busy", 1, true, {650, 3000}, 650},
        {"hardly on time", 3, false, {200, 2500}, 200},
        {"late already", 3, false, {-700, 1700}, 150},
        {"its caller is nearly gone", 3, false, {-2900, 40}, 40},
        {"too late", 0, false, {-3100, -100}, -100},
    };
    struct cm_live_target target;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_wait_limit asking = {0};
        for (int b = 0; b < cases[i].busy; b++) {
            CmWaitLimit_CountBusy(&asking,
                                  cases[i].last_busy ? &target : NULL);
        }
        int64_t most =
            CmWaitLimit_MaxQueueWaitMs(&asking, &target, &cases[i].left);
        if (most != cases[i].ahead_max_ms) {
            printf("\n%s: %d\n", cases[i].pattern, (int)most);
        }
        CU_ASSERT_EQUAL(most, cases[i].ahead_max_ms);
    }
}

/// Thousands of engines: a pick weighs a bounded number, finds the holder
/// wherever it is, and the first engines of adapters spread.
static void
test_many_engines(void)
{
    enum { MANY = 5400, ADAPTERS = 6000 };
    static int homes[MANY];
    struct cm_targets targets;
    CmTargets_Init(&targets, "a", 7000);
    for (int i = 0; i < MANY; i++) {
        char id[16];
        char address[32];
        snprintf(id, sizeof(id), "e%d", i);
        snprintf(address, sizeof(address), "10.%d.%d.%d:80", i / 65536,
                 i / 256 % 256, i % 256);
        struct cm_target_info info = {.id = id,
                                      .service = "s",
                                      .address = address,
                                      .zone = "a",
                                      .slots = 64,
                                      .has_model = true};
        CmTargets_Update(&targets, &info);
    }
    memset(homes, 0, sizeof(homes));
    size_t used = 0;
    for (int i = 0; i < ADAPTERS; i++) {
        char adapter[16];
        snprintf(adapter, sizeof(adapter), "m/a%d", i);
        struct cm_pick_request request = {
            .service = "s", .adapter = adapter, .needs_model = true};
        struct cm_pick pick;
        CmPick_Engine(&targets, &request, now(), &pick);
        CU_ASSERT_PTR_NOT_NULL_FATAL(pick.target);
        CU_ASSERT(pick.candidates <= CM_PICK_WINDOW);
        int home = atoi(pick.target->id + 1);
        used += homes[home]++ == 0;
        CU_ASSERT(homes[home] <= 12);
        // Another one that holds it is found outside the window.
        struct cm_live_target *holder = CmTargets_Find(&targets, "e77");
        CmTarget_SetResident(holder, adapter, true, now());
        CmPick_Engine(&targets, &request, now(), &pick);
        CU_ASSERT_PTR_EQUAL(pick.target, holder);
        CmTarget_SetResident(holder, adapter, false, now());
    }
    // With as many adapters as engines 63 % have one if they spread evenly.
    CU_ASSERT(used > MANY / 2);
    CmTargets_Finish(&targets);
}

/// Two services serve the same model: an engine of the other one is never
/// chosen, although it holds the adapter.
static void
test_service_with_the_same_adapter(void)
{
    struct cm_targets targets;
    CmTargets_Init(&targets, "a", 7000);
    struct cm_target_info other = {.id = "other",
                                   .service = "t",
                                   .address = "10.9.9.9:80",
                                   .zone = "a",
                                   .slots = 64,
                                   .has_model = true};
    struct cm_live_target *holder = CmTargets_Update(&targets, &other);
    CmTarget_SetResident(holder, "m/x", true, now());
    struct cm_pick_request request = {
        .service = "s", .adapter = "m/x", .needs_model = true};
    struct cm_pick pick;
    CmPick_Engine(&targets, &request, now(), &pick);
    CU_ASSERT_PTR_NULL(pick.target);
    struct engine_state idle = {0};
    struct cm_live_target *engine = add_engine(&targets, 0, &idle);
    CmPick_Engine(&targets, &request, now(), &pick);
    CU_ASSERT_PTR_EQUAL(pick.target, engine);
    CmTargets_Finish(&targets);
}

/// Gateways that know of different holders agree on an adapter's first engine:
/// holders elsewhere are not taken for it.
static void
test_homes_do_not_follow_holders(void)
{
    enum { ALL = 3 * CM_PICK_WINDOW, ADAPTERS = 40, BUSY = 200 };
    for (int a = 0; a < ADAPTERS; a++) {
        char adapter[16];
        snprintf(adapter, sizeof(adapter), "m/a%d", a);
        struct cm_targets targets;
        CmTargets_Init(&targets, "a", 7000);
        for (int i = 0; i < ALL; i++) {
            struct engine_state idle = {0};
            add_engine(&targets, i, &idle);
        }
        struct cm_pick_request request = {
            .service = "s", .adapter = adapter, .needs_model = true};
        struct cm_pick before;
        CmPick_Engine(&targets, &request, now(), &before);
        // Every third one holds it, and is too busy to be taken.
        for (int i = 0; i < ALL; i += 3) {
            char id[16];
            snprintf(id, sizeof(id), "e%d", i);
            struct cm_live_target *holder = CmTargets_Find(&targets, id);
            if (holder != before.target) {
                CmTarget_SetResident(holder, adapter, true, now());
                holder->in_flight = BUSY;
            }
        }
        struct cm_pick after;
        CmPick_Engine(&targets, &request, now(), &after);
        CU_ASSERT_PTR_EQUAL(after.target, before.target);
        CmTargets_Finish(&targets);
    }
}

/// Nothing usable near the adapter's place: the others are found.
static void
test_window_moves_on(void)
{
    enum { ALL = 3 * CM_PICK_WINDOW };
    struct cm_targets targets;
    CmTargets_Init(&targets, "a", 7000);
    for (int i = 0; i < ALL; i++) {
        struct engine_state state = {.no_model = i != 7};
        add_engine(&targets, i, &state);
    }
    struct cm_pick_request request = {
        .service = "s", .adapter = "m/x", .needs_model = true};
    struct cm_pick pick;
    CmPick_Engine(&targets, &request, now(), &pick);
    CU_ASSERT_PTR_NOT_NULL_FATAL(pick.target);
    CU_ASSERT_STRING_EQUAL(pick.target->id, "e7");
    CmTargets_Finish(&targets);
}

static void
test_plain(void)
{
    static const struct {
        const char *pattern;
        const char *zones[2];
        int in_flight[2];
        bool ejected[2];
        int picked;
        int failures[2]; ///< answered, of the last eight
    } cases[] = {
        {"its own zone among equals",
         {"b", "a"},
         {0, 0},
         {false, false},
         1,
         {0, 0}},
        {"the less loaded one", {"b", "a"}, {0, 5}, {false, false}, 0, {0, 0}},
        {"one that fails is left out",
         {"b", "a"},
         {3, 0},
         {false, true},
         0,
         {0, 0}},
        {"unless both fail", {"b", "a"}, {0, 0}, {true, true}, 1, {0, 0}},
        {"one that fails half of its requests, its health good",
         {"b", "a"},
         {1, 0},
         {false, false},
         0,
         {0, 4}},
        {"errors that lie in the requests weigh on both alike",
         {"b", "a"},
         {0, 0},
         {false, false},
         1,
         {1, 1}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_targets targets;
        CmTargets_Init(&targets, "a", 7000);
        for (int t = 0; t < 2; t++) {
            char id[8];
            snprintf(id, sizeof(id), "e%d", t);
            struct cm_target_info info = {.id = id,
                                          .service = "s",
                                          .address = "10.0.0.1:80",
                                          .zone = cases[i].zones[t],
                                          .slots = 6};
            struct cm_live_target *target = CmTargets_Update(&targets, &info);
            target->in_flight = cases[i].in_flight[t];
            for (int a = 0; a < 8; a++) {
                CmTarget_CountAnswer(target, a >= 8 - cases[i].failures[t],
                                     now());
            }
            if (cases[i].ejected[t]) {
                target->ejected_until = CmTime_AddMs(now(), 1000);
            }
        }
        struct cm_pick_request request = {.service = "s"};
        struct cm_pick pick;
        CmPick_Plain(&targets, &request, now(), &pick);
        CU_ASSERT_PTR_NOT_NULL_FATAL(pick.target);
        CU_ASSERT_EQUAL(pick.target->id[1] - '0', cases[i].picked);
        CmTargets_Finish(&targets);
    }
}

/// The list is complete: who is missing is gone, who has another start or
/// address is another target.
static void
test_list(void)
{
    struct cm_targets targets;
    CmTargets_Init(&targets, "a", 7000);
    struct cm_target_info info = {.id = "e0",
                                  .service = "s",
                                  .address = "10.0.0.1:80",
                                  .zone = "a",
                                  .slots = 1,
                                  .started_ms = 5};
    struct cm_live_target *first = CmTargets_Update(&targets, &info);
    CU_ASSERT_STRING_EQUAL(first->agent_address, "10.0.0.1:7000");
    CmTarget_Ref(first);
    info.started_ms = 6;
    struct cm_live_target *second = CmTargets_Update(&targets, &info);
    CU_ASSERT_PTR_NOT_EQUAL(first, second);
    CU_ASSERT(first->removed);
    CmTarget_Unref(first);
    info.id = "e1";
    info.address = "10.0.0.2:80";
    CmTargets_Update(&targets, &info);
    CmTargets_BeginList(&targets);
    CmTargets_Update(&targets, &info);
    CU_ASSERT_EQUAL(CmTargets_EndList(&targets), 1);
    CU_ASSERT_PTR_NULL(CmTargets_Find(&targets, "e0"));
    // Started again under another id at the same address: the entry of the
    // former one says nothing any more.
    struct cm_target_info again = info;
    again.id = "e2";
    again.started_ms = 9;
    struct cm_live_target *successor = CmTargets_Update(&targets, &again);
    CU_ASSERT_PTR_NULL(CmTargets_Find(&targets, "e1"));
    CU_ASSERT_PTR_NULL(CmTargets_Update(&targets, &info));
    CU_ASSERT_PTR_EQUAL(CmTargets_Update(&targets, &again), successor);
    info = again;
    info.draining = true;
    CmTargets_Update(&targets, &info);
    info.draining = false;
    CU_ASSERT(CmTargets_Update(&targets, &info)->draining);
    CmTargets_Finish(&targets);
}

static const struct cm_test tests[] = {
    {"one agent after the other", test_asking},
    {"holders are filled in order", test_holders_are_filled_in_order},
    {"one of two engines", test_one_of_two},
    {"first engines", test_homes},
    {"many engines", test_many_engines},
    {"another service with the adapter", test_service_with_the_same_adapter},
    {"first engines, whoever holds", test_homes_do_not_follow_holders},
    {"a window without use", test_window_moves_on},
    {"plain services", test_plain},
    {"the platform's list", test_list},
};

CM_TEST_MAIN("pick", tests)
