/// @file health.c
/// Health checks of the target and reports of its crashes.

#include "health.h"

#include "base/clock.h"
#include "base/log.h"
#include "jobs.h"
#include "orders.h"

static void
forget_suspects(struct agent *agent)
{
    g_ptr_array_set_size(agent->suspects, 0);
}

/// Tells all entries which contents ran when the target fell.
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
target_down(struct agent *agent)
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
    forget_suspects(agent);
    CmScheduler_ClearSlots(&agent->scheduler);
    agent->slots_version++;
    Jobs_RefuseWaiting(agent, CM_REASON_UNREACHABLE);
    Agent_ReportSoon(agent);
}

static void
target_up(struct agent *agent)
{
    forget_suspects(agent);
    if (agent->healthy) {
        return;
    }
    agent->healthy = true;
    agent->scheduler.stopped = false;
    CmLog_Event(G_LOG_LEVEL_INFO, "health", NULL, "target %s is up",
                agent->settings.target);
    Orders_Reconcile(agent);
    Agent_ReportSoon(agent);
    Agent_Turn(agent);
}

/// Ends the jobs that waited for this check.
static void
end_lost_jobs(struct agent *agent)
{
    struct job *job;
    struct job *next;
    CmTailq_FOREACH_SAFE (job, &agent->all_jobs, link, next) {
        if (job->lost && job->state == JOB_RUNNING) {
            job->lost = false;
            Job_End(job, CM_OUTCOME_UNKNOWN, CM_REASON_TARGET_LOST);
        }
    }
}

static void
on_health(void *context, enum cm_order_end end,
          const struct cm_order_response *answer)
{
    struct agent *agent = context;
    if (end == CM_ORDER_DONE || end == CM_ORDER_FAILED) {
        target_up(agent);
    }
    else {
        target_down(agent);
    }
    end_lost_jobs(agent);
}

void
Health_Init(struct agent *agent)
{
    agent->suspects = g_ptr_array_new_with_free_func(g_free);
    CmOrder_Init(&agent->health_order, on_health, agent);
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
note_suspects(struct agent *agent)
{
    if (agent->suspects->len > 0) {
        return; // noted when the first run broke off
    }
    const struct job *job;
    CmTailq_FOREACH (job, &agent->all_jobs, link) {
        if (job->state == JOB_RUNNING) {
            g_ptr_array_add(agent->suspects, g_strdup(job->fingerprint));
        }
    }
}

void
Health_Suspect(struct agent *agent)
{
    if (agent->healthy) {
        note_suspects(agent);
    }
    Health_Tick(agent);
}

void
Health_Tick(struct agent *agent)
{
    if (!CmOrder_Active(&agent->health_order)) {
        agent->engine.ops->health(&agent->engine, &agent->health_order);
    }
}
