/// @file intake_test.c
/// Which connection makes room for a new one, and how requests take memory.

#include "memory/intake.h"

#include <stddef.h>
#include <stdio.h>

#include "cm_test.h"

#define CLIENTS 3
#define MIB ((size_t)1024 * 1024)

/// One client of a crowd, as it is when another one connects.
struct state {
    enum cm_intake_client_phase phase;
    bool has_requested;
    int64_t still_ms;
};

struct crowd {
    struct cm_manual_clock clock;
    struct cm_memory_budget budget;
    struct cm_intake intake;
    struct cm_intake_client clients[CLIENTS];
    bool ended[CLIENTS];
};

static struct crowd crowd;

static void
end(struct cm_intake_client *client, enum cm_intake_client_end why)
{
    crowd.ended[client - crowd.clients] = true;
    CmIntakeClient_Finish(client);
}

static void
crowd_init(int64_t max)
{
    crowd = (struct crowd){0};
    CmManualClock_Init(&crowd.clock);
    CmMemoryBudget_Init(&crowd.budget, &crowd.clock.base,
                        CM_MEMORY_CLASSES * MIB);
    CmIntake_Init(&crowd.intake, &crowd.budget, &crowd.clock.base, max);
    for (size_t i = 0; i < CLIENTS; i++) {
        CmIntakeClient_Init(&crowd.clients[i], &crowd.intake, end);
    }
}

static void
test_room(void)
{
    static const struct {
        const char *text;
        int64_t max;
        int64_t others;
        struct state states[CLIENTS];
        int ended; ///< -1 for none
        bool has_room;
    } cases[] = {
        {"below the limit", 4, 0, {{0}}, -1, true},
        {"with others at the limit",
         4,
         1,
         {{CM_INTAKE_IDLE, true, 5},
          {CM_INTAKE_IDLE, true, 9},
          {CM_INTAKE_IDLE, true, 7}},
         1,
         true},
        {"a half request after the time for a first one",
         3,
         0,
         {{CM_INTAKE_IDLE, true, 9000},
          {CM_INTAKE_ARRIVING, false, 1500},
          {CM_INTAKE_IDLE, false, 500}},
         1,
         true},
        {"new connections have time for a request",
         3,
         0,
         {{CM_INTAKE_IDLE, false, 900},
          {CM_INTAKE_IDLE, true, 2000},
          {CM_INTAKE_IDLE, false, 800}},
         1,
         true},
        {"requests in progress stay",
         3,
         0,
         {{CM_INTAKE_BUSY, true, 9000},
          {CM_INTAKE_BUSY, true, 8000},
          {CM_INTAKE_IDLE, true, 1}},
         2,
         true},
        {"all of them are in progress",
         3,
         0,
         {{CM_INTAKE_BUSY, true, 1},
          {CM_INTAKE_BUSY, true, 1},
          {CM_INTAKE_BUSY, true, 1}},
         -1,
         false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        crowd_init(cases[i].max);
        struct timespec now = CmClock_Now(&crowd.clock.base);
        for (size_t j = 0; j < CLIENTS; j++) {
            const struct state *state = &cases[i].states[j];
            crowd.clients[j].phase = state->phase;
            crowd.clients[j].has_requested = state->has_requested;
            crowd.clients[j].since = CmTime_AddMs(now, -state->still_ms);
        }
        bool has_room = CmIntake_MakeRoom(&crowd.intake, cases[i].others);
        int ended = -1;
        for (int j = 0; j < CLIENTS; j++) {
            ended = crowd.ended[j] ? j : ended;
        }
        if (has_room != cases[i].has_room || ended != cases[i].ended) {
            printf("%s: ended %d\n", cases[i].text, ended);
            CU_FAIL("room");
        }
        CU_ASSERT_EQUAL(crowd.intake.evicted, ended >= 0);
    }
}

static void
test_memory(void)
{
    crowd_init(CLIENTS);
    CU_ASSERT(CmIntakeClient_Arriving(&crowd.clients[0], MIB / 2));
    CU_ASSERT(CmIntakeClient_Arriving(&crowd.clients[1], MIB / 4));
    // The largest goes, not the one that brings the class over its limit.
    CU_ASSERT(CmIntakeClient_Arriving(&crowd.clients[2], MIB / 3));
    CU_ASSERT(crowd.ended[0] && !crowd.ended[1] && !crowd.ended[2]);
    // A request in progress no longer counts as arriving.
    CU_ASSERT(CmIntakeClient_Begin(&crowd.clients[1], MIB / 2));
    CU_ASSERT_EQUAL(crowd.budget.classes[CM_MEMORY_ARRIVING].bytes, MIB / 3);
    CU_ASSERT_EQUAL(crowd.budget.classes[CM_MEMORY_REQUESTS].bytes, MIB / 2);
    CU_ASSERT(!CmIntakeClient_Begin(&crowd.clients[2], MIB / 2));
    CU_ASSERT_EQUAL(crowd.budget.classes[CM_MEMORY_ARRIVING].bytes, 0);
    CmIntakeClient_BecomeIdle(&crowd.clients[1], 10);
    CU_ASSERT_EQUAL(crowd.budget.classes[CM_MEMORY_REQUESTS].bytes, 0);
    CU_ASSERT_EQUAL(CmMemoryBudget_Total(&crowd.budget), 10);
    // A client that ends itself is told so.
    CU_ASSERT(!CmIntakeClient_Arriving(&crowd.clients[2], 2 * MIB));
    CU_ASSERT(crowd.ended[2]);
}

static const struct cm_test tests[] = {
    {"room for new connections", test_room},
    {"memory of requests", test_memory},
};

CM_TEST_MAIN("intake", tests)
