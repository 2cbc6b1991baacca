/// @file health.c
/// Health checks of the target, and crash reports to all entries.

#include "health.h"

#include "base/clock.h"
#include "base/log.h"
#include "jobs.h"
#include "orders.h"

static void
clear_suspects(struct agent *agent)
{
    g_ptr_array_set_size(agent->suspects, 0);
}

/// Sends all entries the fingerprints of the requests that were running when
/// the target went down.
static void
report_crash(struct agent *agent)
{
    size_t n = agent->suspects->len;
    struct cm_msg_suspect *suspects = g_new0(struct cm_msg_suspect, n + 1);
    for (size_t i = 0; i < n; i++) {
        suspects[i].fingerprint =
            CmBytes_FromText(g_ptr_array_index(agent->suspects, i));
    }
    struct cm_message message = {.type = CM_MSG_CRASH};
    message.crash.target = CmBytes_FromText(agent->settings.target);
    message.crash.incarnation = agent->incarnation;
    message.crash.crash_number = agent->crashes;
    message.crash.suspects = suspects;
    message.crash.n_suspects = n;
    const struct peer *peer;
    CmList_FOREACH (peer, &agent->peers, link) {
        CmLink_Send(&agent->link, &peer->address, &message);
    }
    g_free(suspects);
}

static void
mark_target_down(struct agent *agent)
{
    if (!agent->healthy) {
        return;
    }
    agent->healthy = false;
    agent->scheduler.stopped = true;
    agent->crashes++;
    agent->count.crashes.value++;
    CmLog_Event(G_LOG_LEVEL_WARNING, "health", NULL,
                "target %s is down; %u requests were running",
                agent->settings.target, agent->suspects->len);
    report_crash(agent);
    clear_suspects(agent);
    CmScheduler_ClearSlots(&agent->scheduler);
    agent->slots_version++;
    Jobs_RefuseWaiting(agent, CM_REASON_UNREACHABLE);
    Agent_ScheduleReport(agent);
}

static void
mark_target_up(struct agent *agent)
{
    clear_suspects(agent);
    if (agent->healthy) {
        return;
    }
    agent->healthy = true;
    agent->scheduler.stopped = false;
    CmLog_Event(G_LOG_LEVEL_INFO, "health", NULL, "target %s is up",
                agent->settings.target);
    Orders_Reconcile(agent);
    Agent_ScheduleReport(agent);
    Agent_WakeScheduler(agent);
}

/// Ends the jobs whose runs were lost before this check ended.
static void
end_jobs_awaiting_check(struct agent *agent)
{
    struct job *job;
    struct job *next;
    CmTailq_FOREACH_SAFE (job, &agent->all_jobs, link, next) {
        if (job->awaits_health_check && job->state == JOB_RUNNING) {
            job->awaits_health_check = false;
            Job_End(job, CM_OUTCOME_UNKNOWN, CM_REASON_TARGET_LOST);
        }
    }
}

static void
on_health_check(void *context, enum cm_order_end end,
                const struct cm_order_response *response)
{
    struct agent *agent = context;
    // An error response also shows that the target is running.
    if (end == CM_ORDER_DONE || end == CM_ORDER_FAILED) {
        mark_target_up(agent);
    }
    else {
        mark_target_down(agent);
    }
    end_jobs_awaiting_check(agent);
}

void
Health_Init(struct agent *agent)
{
    agent->suspects = g_ptr_array_new_with_free_func(g_free);
    CmOrder_Init(&agent->health_order, on_health_check, agent);
    agent->healthy = false;
    agent->scheduler.stopped = true;
}

void
Health_Finish(struct agent *agent)
{
    CmOrder_Finish(&agent->health_order);
    g_ptr_array_free(agent->suspects, TRUE);
}

static void
record_suspects(struct agent *agent)
{
    if (agent->suspects->len > 0) {
        return; // recorded when the first run was lost
    }
    const struct job *job;
    CmTailq_FOREACH (job, &agent->all_jobs, link) {
        if (job->state == JOB_RUNNING) {
            g_ptr_array_add(agent->suspects, g_strdup(job->fingerprint));
        }
    }
}

void
Health_SuspectTarget(struct agent *agent)
{
    if (agent->healthy) {
        record_suspects(agent);
    }
    Health_Check(agent);
}

void
Health_Check(struct agent *agent)
{
    if (!CmOrder_Active(&agent->health_order)) {
        agent->engine.ops->health(&agent->engine, &agent->health_order);
    }
}
