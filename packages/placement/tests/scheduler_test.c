/// @file scheduler_test.c
/// An agent's scheduler: pins, loads, evictions, deadlines, restarts.

#include "placement/scheduler.h"

#include <string.h>

#include "base/clock.h"
#include "cm_test.h"

#define JOBS_MAX 16

/// A scheduler with its clock and jobs.
struct bench {
    struct cm_scheduler scheduler;
    struct cm_manual_clock clock;
    struct cm_job jobs[JOBS_MAX];
    size_t n_jobs;
};

static void
bench_init(struct bench *bench, const char *policy, size_t slots,
           size_t capacity)
{
    memset(bench, 0, sizeof(*bench));
    CmManualClock_Init(&bench->clock);
    CmScheduler_Init(&bench->scheduler, CmEviction_Find(policy), slots,
                     capacity);
    bench->scheduler.permits = 100;
}

static struct cm_job *
add_job(struct bench *bench, const char *adapter, int64_t priority,
        int64_t deadline_ms)
{
    struct cm_job *job = &bench->jobs[bench->n_jobs++];
    job->priority = priority;
    job->arrived = bench->clock.now;
    job->deadline = CmTime_AddMs(bench->clock.now, deadline_ms);
    CmScheduler_Add(&bench->scheduler, job, adapter, bench->clock.now);
    return job;
}

static struct cm_action
next(struct bench *bench)
{
    return CmScheduler_NextAction(&bench->scheduler, bench->clock.now);
}

/// Loads an adapter that a job waits for and starts that job.
static struct cm_job *
run_job(struct bench *bench, const char *adapter)
{
    struct cm_job *job = add_job(bench, adapter, 0, 60000);
    struct cm_action action = next(bench);
    while (action.kind == CM_ACTION_LOAD || action.kind == CM_ACTION_EVICT) {
        if (action.kind == CM_ACTION_LOAD) {
            CmScheduler_FinishLoad(&bench->scheduler, action.slot, true,
                                   bench->clock.now);
        }
        else {
            CmScheduler_FinishEviction(&bench->scheduler, action.slot, true,
                                       bench->clock.now);
        }
        action = next(bench);
    }
    CU_ASSERT_EQUAL(action.kind, CM_ACTION_START);
    CU_ASSERT_PTR_EQUAL(action.job, job);
    return job;
}

static void
end_job(struct bench *bench, struct cm_job *job)
{
    CmScheduler_Remove(&bench->scheduler, job, bench->clock.now);
}

static void
test_load_then_start(void)
{
    struct bench bench;
    bench_init(&bench, "lru", 2, 4);
    struct cm_job *job = add_job(&bench, "a@1", 0, 1000);
    struct cm_action action = next(&bench);
    CU_ASSERT_EQUAL(action.kind, CM_ACTION_LOAD);
    CU_ASSERT_STRING_EQUAL(action.slot->queue->adapter, "a@1");
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
    CmScheduler_FinishLoad(&bench.scheduler, action.slot, true,
                           bench.clock.now);
    action = next(&bench);
    CU_ASSERT_EQUAL(action.kind, CM_ACTION_START);
    CU_ASSERT_PTR_EQUAL(action.job, job);
    CU_ASSERT_EQUAL(job->slot->pins, 1);
    end_job(&bench, job);
    CU_ASSERT_EQUAL(bench.scheduler.slots[0].pins, 0);
    CmScheduler_Finish(&bench.scheduler);
}

/// A slot that serves, or may serve, a request is never chosen.
static void
test_no_eviction_while_serving(void)
{
    static const char *const policies[] = {"lru", "value"};
    for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
        struct bench bench;
        bench_init(&bench, policies[i], 1, 4);
        struct cm_job *job = run_job(&bench, "a@1");
        add_job(&bench, "b@1", 0, 60000);
        CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
        CmManualClock_Advance(&bench.clock, 10000);
        CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
        CmScheduler_MarkUntracked(&bench.scheduler, "a@1");
        end_job(&bench, job);
        CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
        CmScheduler_ClearUntracked(&bench.scheduler);
        CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_EVICT);
        CmScheduler_Finish(&bench.scheduler);
    }
}

static void
test_eviction_choice(void)
{
    // a was asked for often and long ago, b once and lately.
    static const struct {
        const char *policy;
        const char *victim;
    } cases[] = {{"lru", "a@1"}, {"value", "b@1"}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct bench bench;
        bench_init(&bench, cases[i].policy, 2, 4);
        for (int j = 0; j < 5; j++) {
            end_job(&bench, run_job(&bench, "a@1"));
        }
        CmManualClock_Advance(&bench.clock, 3000);
        end_job(&bench, run_job(&bench, "b@1"));
        CmManualClock_Advance(&bench.clock, 1000);
        add_job(&bench, "c@1", 0, 60000);
        struct cm_action action = next(&bench);
        CU_ASSERT_EQUAL(action.kind, CM_ACTION_EVICT);
        CU_ASSERT_STRING_EQUAL(action.slot->queue->adapter, cases[i].victim);
        CmScheduler_Finish(&bench.scheduler);
    }
}

/// A stream of hot requests does not hold all slots for ever.
static void
test_waiter_closes_a_slot(void)
{
    struct bench bench;
    bench_init(&bench, "value", 1, 4);
    struct cm_job *running = run_job(&bench, "hot@1");
    add_job(&bench, "rare@1", 0, 60000);
    CmManualClock_Advance(&bench.clock, CM_SLOT_DRAIN_WAIT_MS);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
    add_job(&bench, "hot@1", 0, 60000);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
    end_job(&bench, running);
    struct cm_action action = next(&bench);
    CU_ASSERT_EQUAL(action.kind, CM_ACTION_EVICT);
    CmScheduler_FinishEviction(&bench.scheduler, action.slot, true,
                               bench.clock.now);
    action = next(&bench);
    CU_ASSERT_EQUAL(action.kind, CM_ACTION_LOAD);
    CU_ASSERT_STRING_EQUAL(action.slot->queue->adapter, "rare@1");
    CmScheduler_Finish(&bench.scheduler);
}

static void
test_urgent_loads_first(void)
{
    struct bench bench;
    bench_init(&bench, "lru", 4, 4);
    CmScheduler_Prefetch(&bench.scheduler, "prefetched@1", bench.clock.now);
    add_job(&bench, "late@1", 1, 9000);
    add_job(&bench, "soon@1", 1, 1000);
    add_job(&bench, "urgent@1", 0, 5000);
    static const char *const order[] = {"urgent@1", "soon@1", "late@1",
                                        "prefetched@1"};
    for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
        struct cm_action action = next(&bench);
        while (action.kind == CM_ACTION_START) {
            action = next(&bench);
        }
        CU_ASSERT_EQUAL_FATAL(action.kind, CM_ACTION_LOAD);
        CU_ASSERT_STRING_EQUAL(action.slot->queue->adapter, order[i]);
        CmScheduler_FinishLoad(&bench.scheduler, action.slot, true,
                               bench.clock.now);
    }
    CmScheduler_Finish(&bench.scheduler);
}

static void
test_prefetch_evicts_nothing(void)
{
    struct bench bench;
    bench_init(&bench, "lru", 1, 4);
    end_job(&bench, run_job(&bench, "a@1"));
    CmScheduler_Prefetch(&bench.scheduler, "b@1", bench.clock.now);
    // No permit is asked for, and none is kept from others.
    struct timespec deadline;
    CU_ASSERT_EQUAL(CmScheduler_CountPendingLoads(&bench.scheduler, &deadline),
                    0);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
    CU_ASSERT_FALSE(CmScheduler_HasAdapter(&bench.scheduler, "b@1"));
    CmScheduler_Finish(&bench.scheduler);
}

static void
test_permits_bound_loads(void)
{
    struct bench bench;
    bench_init(&bench, "lru", 4, 4);
    bench.scheduler.permits = 0;
    add_job(&bench, "a@1", 0, 1000);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
    bench.scheduler.permits = 1;
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_LOAD);
    add_job(&bench, "b@1", 0, 1000);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
    CmScheduler_Finish(&bench.scheduler);
}

static void
test_deadline(void)
{
    struct bench bench;
    bench_init(&bench, "lru", 1, 1);
    bench.scheduler.permits = 0;
    struct cm_job *late = add_job(&bench, "a@1", 0, 500);
    add_job(&bench, "a@1", 0, 900);
    CmManualClock_Advance(&bench.clock, 499);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
    CmManualClock_Advance(&bench.clock, 1);
    struct cm_action action = next(&bench);
    CU_ASSERT_EQUAL(action.kind, CM_ACTION_REFUSE_DEADLINE);
    CU_ASSERT_PTR_EQUAL(action.job, late);
    end_job(&bench, late);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
    CmScheduler_Finish(&bench.scheduler);
}

static void
test_failed_loads(void)
{
    struct bench bench;
    bench_init(&bench, "lru", 1, 1);
    struct cm_job *job = add_job(&bench, "a@1", 0, 60000);
    for (int i = 0; i < CM_LOAD_FAILURES_MAX; i++) {
        struct cm_action action = next(&bench);
        CU_ASSERT_EQUAL_FATAL(action.kind, CM_ACTION_LOAD);
        CmScheduler_FinishLoad(&bench.scheduler, action.slot, false,
                               bench.clock.now);
        CmManualClock_Advance(&bench.clock,
                              (int64_t)CM_LOAD_RETRY_MS * (i + 1));
    }
    struct cm_action action = next(&bench);
    CU_ASSERT_EQUAL(action.kind, CM_ACTION_REFUSE_LOAD);
    CU_ASSERT_PTR_EQUAL(action.job, job);
    end_job(&bench, job);
    CmScheduler_Finish(&bench.scheduler);
}

/// The engine restarts while a job runs: the job's later end must not take a
/// pin of a job that runs in the slot by then.
static void
test_restart_under_running_job(void)
{
    struct bench bench;
    bench_init(&bench, "lru", 1, 4);
    struct cm_job *old = run_job(&bench, "a@1");
    CmScheduler_ClearSlots(&bench.scheduler);
    struct cm_job *fresh = run_job(&bench, "a@1");
    end_job(&bench, old);
    CU_ASSERT_EQUAL(fresh->slot->pins, 1);
    add_job(&bench, "b@1", 0, 60000);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
    end_job(&bench, fresh);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_EVICT);
    CmScheduler_Finish(&bench.scheduler);
}

static void
test_requeue_of_lost_adapter(void)
{
    struct bench bench;
    bench_init(&bench, "lru", 1, 4);
    struct cm_job *job = run_job(&bench, "a@1");
    CmScheduler_Requeue(&bench.scheduler, job, bench.clock.now);
    CmScheduler_InvalidateAdapter(&bench.scheduler, "a@1");
    struct cm_action action = next(&bench);
    CU_ASSERT_EQUAL(action.kind, CM_ACTION_LOAD);
    CmScheduler_FinishLoad(&bench.scheduler, action.slot, true,
                           bench.clock.now);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_START);
    CmScheduler_Finish(&bench.scheduler);
}

static void
test_capacity_and_priority(void)
{
    struct bench bench;
    bench_init(&bench, "lru", 1, 1);
    struct cm_job *running = run_job(&bench, "a@1");
    add_job(&bench, "a@1", 5, 1000);
    struct cm_job *urgent = add_job(&bench, "a@1", 0, 9000);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
    end_job(&bench, running);
    struct cm_action action = next(&bench);
    CU_ASSERT_EQUAL(action.kind, CM_ACTION_START);
    CU_ASSERT_PTR_EQUAL(action.job, urgent);
    CmScheduler_Finish(&bench.scheduler);
}

static void
test_plain_target(void)
{
    struct bench bench;
    bench_init(&bench, "lru", 0, 2);
    add_job(&bench, "", 0, 1000);
    add_job(&bench, "", 0, 1000);
    add_job(&bench, "", 0, 1000);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_START);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_START);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
    bench.scheduler.stopped = true;
    end_job(&bench, &bench.jobs[0]);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_NONE);
    CmScheduler_Finish(&bench.scheduler);
}

static void
test_adopt(void)
{
    struct bench bench;
    bench_init(&bench, "lru", 1, 1);
    CU_ASSERT_TRUE(
        CmScheduler_Adopt(&bench.scheduler, "a@1", bench.clock.now));
    CU_ASSERT_TRUE(CmScheduler_HasAdapter(&bench.scheduler, "a@1"));
    CU_ASSERT_FALSE(
        CmScheduler_Adopt(&bench.scheduler, "b@1", bench.clock.now));
    add_job(&bench, "a@1", 0, 1000);
    CU_ASSERT_EQUAL(next(&bench).kind, CM_ACTION_START);
    CmScheduler_Finish(&bench.scheduler);
}

static const struct cm_test tests[] = {
    {"load, then start", test_load_then_start},
    {"no eviction while serving", test_no_eviction_while_serving},
    {"eviction choice", test_eviction_choice},
    {"a waiter closes a slot", test_waiter_closes_a_slot},
    {"urgent loads first", test_urgent_loads_first},
    {"a prefetch evicts nothing", test_prefetch_evicts_nothing},
    {"permits bound loads", test_permits_bound_loads},
    {"deadline", test_deadline},
    {"failed loads", test_failed_loads},
    {"restart under a running job", test_restart_under_running_job},
    {"requeue of a lost adapter", test_requeue_of_lost_adapter},
    {"capacity and priority", test_capacity_and_priority},
    {"plain target", test_plain_target},
    {"adopt", test_adopt},
};

CM_TEST_MAIN("scheduler", tests)
