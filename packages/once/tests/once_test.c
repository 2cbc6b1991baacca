/// @file once_test.c
/// At-most-once records over an object API that loses answers.

#include "once/once.h"

#include <string.h>

#include "base/clock.h"
#include "cm_test.h"
#include "fake_objects.h"

#define CLIENTS 2
#define WINDOW_MS 3600000
#define ROUNDS_MAX 12

struct told {
    int count;
    enum cm_once_result result;
    bool present;
    enum cm_once_state state;
    char request[32];
};

struct bench {
    struct event_base *base;
    struct cm_manual_clock clock;
    struct fake_store store;
    struct fake_objects objects[CLIENTS];
    struct cm_once once[CLIENTS];
};

static void
bench_init(struct bench *bench)
{
    bench->base = event_base_new();
    CmManualClock_Init(&bench->clock);
    FakeStore_Init(&bench->store);
    for (int i = 0; i < CLIENTS; i++) {
        FakeObjects_Init(&bench->objects[i], &bench->store);
        CmOnce_Init(&bench->once[i], &bench->objects[i].base, bench->base,
                    &bench->clock.base, WINDOW_MS);
    }
}

static void
bench_finish(struct bench *bench)
{
    for (int i = 0; i < CLIENTS; i++) {
        CmOnce_Finish(&bench->once[i]);
        FakeObjects_Finish(&bench->objects[i]);
    }
    FakeStore_Finish(&bench->store);
    event_base_free(bench->base);
}

/// Lets calls and retries go on until nothing is left to do.
static void
settle(struct bench *bench)
{
    for (int round = 0; round < ROUNDS_MAX; round++) {
        event_base_dispatch(bench->base); // until no retry is pending
        bool more = true;
        while (more) {
            more = false;
            for (int i = 0; i < CLIENTS; i++) {
                more |= FakeObjects_CompleteNext(&bench->objects[i]);
            }
        }
    }
}

static void
on_done(void *context, enum cm_once_result result,
        const struct cm_once_record *present)
{
    struct told *told = context;
    told->count++;
    told->result = result;
    told->present = present != NULL;
    if (present != NULL) {
        told->state = present->state;
        g_strlcpy(told->request, present->attempt_id, sizeof(told->request));
    }
}

static struct cm_once_record
record_of(enum cm_once_state state, const char *request)
{
    return (struct cm_once_record){.state = state,
                                   .digest = "d",
                                   .attempt_id = request,
                                   .target = "t",
                                   .incarnation = 1,
                                   .status = 200,
                                   .headers = "",
                                   .body = "answer"};
}

static void
start(struct bench *bench, int client, struct cm_once_op *op,
      enum cm_once_kind kind, const char *key, const char *expected,
      enum cm_once_state state, const char *request, struct told *told)
{
    char hashed[CM_ONCE_KEY_SIZE];
    CmOnce_HashKey("s", key, hashed);
    struct cm_once_record record = record_of(state, request);
    CmOnce_Start(&bench->once[client], op, kind, hashed, expected,
                 kind == CM_ONCE_REMOVE ? NULL : &record, on_done, told);
}

/// One claim under each fault of its first calls.
static void
test_claim_under_faults(void)
{
    static const enum fake_fault faults[] = {FAKE_NO_FAULT, FAKE_RESPONSE_LOST,
                                             FAKE_REQUEST_LOST,
                                             FAKE_CONNECTION_REFUSED};
    for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
        for (int faulty = 1; faulty <= 3; faulty++) {
            struct bench bench;
            bench_init(&bench);
            bench.objects[0].fault = faults[i];
            bench.objects[0].faults_left = faulty;
            struct cm_once_op op;
            struct told told = {0};
            start(&bench, 0, &op, CM_ONCE_CLAIM, "k", NULL, CM_ONCE_CLAIMED,
                  "r1", &told);
            settle(&bench);
            CU_ASSERT_EQUAL(told.count, 1);
            CU_ASSERT_EQUAL(told.result, CM_ONCE_APPLIED);
            bench_finish(&bench);
        }
    }
}

/// Two entries race for one key, with every fault on either side: exactly one
/// gets the claim, the other one sees the winner's record.
static void
test_race(void)
{
    for (int fault = FAKE_NO_FAULT; fault <= FAKE_CONNECTION_REFUSED;
         fault++) {
        for (int faulty = 0; faulty < 4; faulty++) {
            struct bench bench;
            bench_init(&bench);
            bench.objects[0].fault = (enum fake_fault)fault;
            bench.objects[0].faults_left = faulty;
            bench.objects[1].fault = FAKE_RESPONSE_LOST;
            bench.objects[1].faults_left = faulty % 2;
            struct cm_once_op ops[CLIENTS];
            struct told told[CLIENTS] = {{0}};
            start(&bench, 0, &ops[0], CM_ONCE_CLAIM, "k", NULL,
                  CM_ONCE_CLAIMED, "r0", &told[0]);
            start(&bench, 1, &ops[1], CM_ONCE_CLAIM, "k", NULL,
                  CM_ONCE_CLAIMED, "r1", &told[1]);
            settle(&bench);
            CU_ASSERT_EQUAL(told[0].count, 1);
            CU_ASSERT_EQUAL(told[1].count, 1);
            int granted = (told[0].result == CM_ONCE_APPLIED) +
                          (told[1].result == CM_ONCE_APPLIED);
            CU_ASSERT_EQUAL(granted, 1);
            int loser = told[0].result == CM_ONCE_APPLIED ? 1 : 0;
            CU_ASSERT_TRUE(told[loser].present);
            CU_ASSERT_STRING_EQUAL(told[loser].request,
                                   loser == 1 ? "r0" : "r1");
            bench_finish(&bench);
        }
    }
}

static void
test_group_commit(void)
{
    struct bench bench;
    bench_init(&bench);
    enum { N = 64 };
    struct cm_once_op ops[N];
    struct told told[N] = {{0}};
    for (int i = 0; i < N; i++) {
        // Keys that fall into one shard, found by trying.
        char key[16];
        char hashed[CM_ONCE_KEY_SIZE];
        static int number;
        do {
            g_snprintf(key, sizeof(key), "k%d", number++);
            CmOnce_HashKey("s", key, hashed);
        } while (strncmp(hashed, "00", 2) != 0);
        start(&bench, 0, &ops[i], CM_ONCE_CLAIM, key, NULL, CM_ONCE_CLAIMED,
              key, &told[i]);
    }
    settle(&bench);
    for (int i = 0; i < N; i++) {
        CU_ASSERT_EQUAL(told[i].result, CM_ONCE_APPLIED);
    }
    CU_ASSERT_EQUAL(bench.store.writes, 1);
    bench_finish(&bench);
}

/// Which operation may follow which record.
static const struct {
    const char *what;
    enum cm_once_kind kind;
    const char *expected;
    enum cm_once_state state;
    const char *request;
    enum cm_once_result result;
} follow_ups[] = {
    {"claim again", CM_ONCE_CLAIM, NULL, CM_ONCE_CLAIMED, "r2",
     CM_ONCE_CONFLICT},
    {"own claim again", CM_ONCE_CLAIM, NULL, CM_ONCE_CLAIMED, "r1",
     CM_ONCE_APPLIED},
    {"take over", CM_ONCE_REPLACE, "r1", CM_ONCE_CLAIMED, "r2",
     CM_ONCE_APPLIED},
    {"take over from another", CM_ONCE_REPLACE, "r0", CM_ONCE_CLAIMED, "r2",
     CM_ONCE_CONFLICT},
    {"done", CM_ONCE_REPLACE, "r1", CM_ONCE_DONE, "r1", CM_ONCE_APPLIED},
    {"done by another", CM_ONCE_REPLACE, "r2", CM_ONCE_DONE, "r2",
     CM_ONCE_CONFLICT},
    {"remove", CM_ONCE_REMOVE, "r1", CM_ONCE_CLAIMED, "r1", CM_ONCE_APPLIED},
    {"remove another's", CM_ONCE_REMOVE, "r0", CM_ONCE_CLAIMED, "r0",
     CM_ONCE_CONFLICT},
};

static void
test_follow_ups(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(follow_ups); i++) {
        struct bench bench;
        bench_init(&bench);
        struct cm_once_op op;
        struct told told = {0};
        start(&bench, 0, &op, CM_ONCE_CLAIM, "k", NULL, CM_ONCE_CLAIMED, "r1",
              &told);
        settle(&bench);
        struct told second = {0};
        start(&bench, 1, &op, follow_ups[i].kind, "k", follow_ups[i].expected,
              follow_ups[i].state, follow_ups[i].request, &second);
        settle(&bench);
        CU_ASSERT_EQUAL(second.result, follow_ups[i].result);
        bench_finish(&bench);
    }
}

/// A record that says "done" is never claimed or changed again.
static void
test_done_stays(void)
{
    struct bench bench;
    bench_init(&bench);
    struct cm_once_op op;
    struct told told = {0};
    start(&bench, 0, &op, CM_ONCE_CLAIM, "k", NULL, CM_ONCE_CLAIMED, "r1",
          &told);
    settle(&bench);
    start(&bench, 0, &op, CM_ONCE_REPLACE, "k", "r1", CM_ONCE_DONE, "r1",
          &told);
    settle(&bench);
    static const enum cm_once_kind kinds[] = {CM_ONCE_CLAIM, CM_ONCE_REPLACE,
                                              CM_ONCE_REMOVE};
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        struct told later = {0};
        start(&bench, 1, &op, kinds[i], "k", "r1", CM_ONCE_CLAIMED, "r9",
              &later);
        settle(&bench);
        CU_ASSERT_EQUAL(later.result, CM_ONCE_CONFLICT);
        CU_ASSERT_EQUAL(later.state, CM_ONCE_DONE);
    }
    bench_finish(&bench);
}

static void
test_window(void)
{
    struct bench bench;
    bench_init(&bench);
    struct cm_once_op op;
    struct told told = {0};
    start(&bench, 0, &op, CM_ONCE_CLAIM, "k", NULL, CM_ONCE_CLAIMED, "r1",
          &told);
    settle(&bench);
    CmManualClock_Advance(&bench.clock, WINDOW_MS + 1);
    // Another key of the shard is written: the old record goes.
    start(&bench, 0, &op, CM_ONCE_CLAIM, "k", NULL, CM_ONCE_CLAIMED, "r2",
          &told);
    settle(&bench);
    CU_ASSERT_EQUAL(told.count, 2);
    bench_finish(&bench);
}

static void
test_full_shard_refuses(void)
{
    struct bench bench;
    bench_init(&bench);
    char *large = g_strnfill(CM_ONCE_SHARD_MAX / 8, 'x');
    int granted = 0;
    int full = 0;
    for (int i = 0, number = 0; i < 12; i++) {
        char key[16];
        char hashed[CM_ONCE_KEY_SIZE];
        do {
            g_snprintf(key, sizeof(key), "k%d", number++);
            CmOnce_HashKey("s", key, hashed);
        } while (strncmp(hashed, "00", 2) != 0);
        struct cm_once_record record = record_of(CM_ONCE_CLAIMED, key);
        record.target = large;
        struct cm_once_op op;
        struct told told = {0};
        CmOnce_Start(&bench.once[0], &op, CM_ONCE_CLAIM, hashed, NULL, &record,
                     on_done, &told);
        settle(&bench);
        CU_ASSERT_EQUAL(told.count, 1);
        granted += told.result == CM_ONCE_APPLIED;
        full += told.result == CM_ONCE_SHARD_FULL;
    }
    CU_ASSERT_EQUAL(granted, 7);
    CU_ASSERT_EQUAL(full, 5);
    g_free(large);
    bench_finish(&bench);
}

/// Out of reach: no result, and a cancel ends the wait without one.
static void
test_outage(void)
{
    struct bench bench;
    bench_init(&bench);
    bench.objects[0].fault = FAKE_CONNECTION_REFUSED;
    bench.objects[0].faults_left = 1000;
    struct cm_once_op op;
    struct told told = {0};
    start(&bench, 0, &op, CM_ONCE_CLAIM, "k", NULL, CM_ONCE_CLAIMED, "r1",
          &told);
    settle(&bench);
    CU_ASSERT_EQUAL(told.count, 0);
    CU_ASSERT_TRUE(CmOnce_IsActive(&op));
    CmOnce_Cancel(&op);
    CU_ASSERT_FALSE(CmOnce_IsActive(&op));
    bench.objects[0].faults_left = 0;
    settle(&bench);
    CU_ASSERT_EQUAL(told.count, 0);
    bench_finish(&bench);
}

static const struct cm_test tests[] = {
    {"claim under faults", test_claim_under_faults},
    {"race of two entries", test_race},
    {"group commit", test_group_commit},
    {"what may follow a record", test_follow_ups},
    {"done stays", test_done_stays},
    {"window", test_window},
    {"a full shard refuses", test_full_shard_refuses},
    {"outage", test_outage},
};

CM_TEST_MAIN("once", tests)
