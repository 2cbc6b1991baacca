/// @file orders.c
/// Adapter loads and evictions, load permits, and reconciliation with the
/// engine's adapter list.

#include "orders.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "peers.h"

/// Time without a grant after which a permit request is sent again.
#define PERMIT_RETRY_INTERVAL_MS 1000
/// Load time that is assumed before the first load.
#define INITIAL_LOAD_MS 250
/// Longest time by which an engine's load report lags behind its state.
#define LOAD_REPORT_LAG_MAX_MS 1000
/// Weight of the newest value in a moving average.
#define AVERAGE_WEIGHT 0.3

static void
on_slot_order_end(void *context, enum cm_order_end end,
                  const struct cm_order_response *response);
static void
on_adapter_list(void *context, enum cm_order_end end,
                const struct cm_order_response *response);
static void
on_load_report(void *context, enum cm_order_end end,
               const struct cm_order_response *response);

void
Orders_Init(struct agent *agent)
{
    size_t n = agent->scheduler.n_slots;
    agent->slot_orders = g_new0(struct slot_order, n + 1);
    for (size_t i = 0; i < n; i++) {
        struct slot_order *slot_order = &agent->slot_orders[i];
        slot_order->agent = agent;
        slot_order->slot = &agent->scheduler.slots[i];
        CmOrder_Init(&slot_order->order, on_slot_order_end, slot_order);
    }
    CmOrder_Init(&agent->list_order, on_adapter_list, agent);
    CmOrder_Init(&agent->report_order, on_load_report, agent);
    CmLoadPace_Init(&agent->load_pace);
    agent->mean_load_ms = INITIAL_LOAD_MS;
    agent->next_permit_number = 1;
}

void
Orders_Finish(struct agent *agent)
{
    for (size_t i = 0; i < agent->scheduler.n_slots; i++) {
        CmOrder_Finish(&agent->slot_orders[i].order);
    }
    CmOrder_Finish(&agent->list_order);
    CmOrder_Finish(&agent->report_order);
    g_free(agent->slot_orders);
}

static struct slot_order *
order_for(struct agent *agent, const struct cm_slot *slot)
{
    return &agent->slot_orders[slot - agent->scheduler.slots];
}

static void
log_order(struct agent *agent, const char *what, const struct cm_slot *slot,
          const char *reason)
{
    char candidates[64];
    g_snprintf(candidates, sizeof(candidates), "slots=%zu waiting=%zu",
               agent->scheduler.n_slots, agent->scheduler.waiting_jobs);
    char choice[32];
    g_snprintf(choice, sizeof(choice), "slot %td",
               slot - agent->scheduler.slots);
    char *subject = g_strdup_printf("%s %s", what, slot->queue->adapter);
    CmLog_Decision("placement", NULL, subject, choice, candidates, reason);
    g_free(subject);
}

static void
assign_permit(struct agent *agent, struct cm_slot *slot)
{
    for (size_t i = 0; i < CM_CONCURRENT_LOADS_MAX; i++) {
        struct load_permit *permit = &agent->permits[i];
        if (permit->state == PERMIT_GRANTED) {
            permit->state = PERMIT_USED;
            permit->slot = slot;
            return;
        }
    }
}

static void
send_permit_message(struct agent *agent, const struct load_permit *permit,
                    bool release)
{
    struct timespec deadline = {0};
    size_t pending =
        CmScheduler_CountPendingLoads(&agent->scheduler, &deadline);
    int64_t left_ms = CmTime_DiffMs(deadline, Agent_Now(agent));
    struct cm_message message = {.type = CM_MSG_PERMIT};
    message.permit.number = permit->number;
    message.permit.release = release;
    message.permit.deadline_ms = left_ms > 0 ? (uint64_t)left_ms : 0;
    message.permit.waiters = deadline.tv_sec != 0 ? pending : 0;
    CmLink_Send(&agent->link, &permit->issuer, &message);
}

static void
release_permit(struct agent *agent, struct load_permit *permit)
{
    if (!permit->self_paced) {
        send_permit_message(agent, permit, true);
    }
    permit->state = PERMIT_IDLE;
    permit->slot = NULL;
}

static void
release_permit_of(struct agent *agent, const struct cm_slot *slot)
{
    for (size_t i = 0; i < CM_CONCURRENT_LOADS_MAX; i++) {
        struct load_permit *permit = &agent->permits[i];
        if (permit->state == PERMIT_USED && permit->slot == slot) {
            release_permit(agent, permit);
        }
    }
}

void
Orders_Load(struct agent *agent, struct cm_slot *slot, const char *reason)
{
    struct slot_order *slot_order = order_for(agent, slot);
    slot_order->started_at = Agent_Now(agent);
    slot_order->evicting = false;
    agent->orders_sent++;
    agent->slots_version++;
    agent->count.loads.value++;
    assign_permit(agent, slot);
    log_order(agent, "load", slot, reason);
    agent->engine.ops->load(&agent->engine, &slot_order->order,
                            slot->queue->adapter);
    Agent_ScheduleReport(agent);
}

void
Orders_Evict(struct agent *agent, struct cm_slot *slot, const char *reason)
{
    struct slot_order *slot_order = order_for(agent, slot);
    slot_order->evicting = true;
    agent->orders_sent++;
    agent->slots_version++;
    agent->count.evictions.value++;
    log_order(agent, "evict", slot, reason);
    agent->engine.ops->unload(&agent->engine, &slot_order->order,
                              slot->queue->adapter);
    Agent_ScheduleReport(agent);
}

/// Ends the process, as a newer agent controls the engine.
static void
exit_fenced(const struct agent *agent)
{
    CmLog_Event(G_LOG_LEVEL_CRITICAL, "orders", NULL,
                "target %s rejected the fencing token, as a newer agent "
                "controls it; exiting",
                agent->settings.target);
    exit(EXIT_FAILURE);
}

static void
record_load_time(struct agent *agent, const struct slot_order *slot_order)
{
    double ms =
        CmTime_DiffS(Agent_Now(agent), slot_order->started_at) * CM_MS_PER_S;
    // Callers also wait for a permit and for a slot.
    double stall_ms = (double)slot_order->slot->load_stall_ms;
    double observed_ms = stall_ms > ms ? stall_ms : ms;
    agent->mean_load_ms +=
        (observed_ms - agent->mean_load_ms) * AVERAGE_WEIGHT;
    CmLoadPace_RecordLoad(&agent->load_pace, ms);
}

static void
on_slot_order_end(void *context, enum cm_order_end end,
                  const struct cm_order_response *response)
{
    struct slot_order *slot_order = context;
    struct agent *agent = slot_order->agent;
    struct timespec now = Agent_Now(agent);
    bool ok = end == CM_ORDER_DONE;
    if (end == CM_ORDER_FENCED) {
        exit_fenced(agent);
    }
    agent->slots_version++;
    if (slot_order->evicting) {
        // After an order without a response, the adapter list below shows
        // whether the adapter is still loaded.
        CmScheduler_FinishEviction(&agent->scheduler, slot_order->slot, true,
                                   now);
    }
    else {
        release_permit_of(agent, slot_order->slot);
        CmScheduler_FinishLoad(&agent->scheduler, slot_order->slot, ok, now);
        if (ok) {
            record_load_time(agent, slot_order);
        }
        else {
            agent->count.load_failures.value++;
        }
    }
    if (!ok) {
        Orders_Reconcile(agent);
    }
    Agent_ScheduleReport(agent);
    Agent_WakeScheduler(agent);
}

void
Orders_Reconcile(struct agent *agent)
{
    if (!agent->settings.engine || CmOrder_Active(&agent->list_order)) {
        return;
    }
    agent->list_orders_sent = agent->orders_sent;
    agent->engine.ops->list(&agent->engine, &agent->list_order);
}

static bool
is_listed(char **adapters, const char *adapter)
{
    return g_strv_contains((const gchar *const *)adapters, adapter);
}

static bool
has_active_orders(const struct agent *agent)
{
    for (size_t i = 0; i < agent->scheduler.n_slots; i++) {
        if (CmOrder_Active(&agent->slot_orders[i].order)) {
            return true;
        }
    }
    return false;
}

/// Logs a loaded adapter for which no slot is free. The adapter stays loaded.
static void
warn_unplaced_adapter(struct agent *agent, const char *adapter)
{
    for (size_t i = 0; i < agent->scheduler.n_slots; i++) {
        struct cm_slot *slot = &agent->scheduler.slots[i];
        if (slot->state == CM_SLOT_EMPTY && slot->reserved_for == NULL) {
            return; // a slot is free
        }
    }
    CmLog_Event(
        G_LOG_LEVEL_WARNING, "orders", NULL,
        "adapter %s is loaded but no slot is free for it; it stays loaded",
        adapter);
}

/// Assigns a free slot to an adapter that is loaded already. Runs of an
/// earlier agent may still use the adapter.
static void
adopt_adapter(struct agent *agent, const char *adapter)
{
    struct cm_scheduler *scheduler = &agent->scheduler;
    if (CmScheduler_HasAdapter(scheduler, adapter)) {
        return;
    }
    if (CmScheduler_Adopt(scheduler, adapter, Agent_Now(agent))) {
        Orders_MarkUntracked(agent, adapter);
        agent->slots_version++;
    }
    else {
        warn_unplaced_adapter(agent, adapter);
    }
}

void
Orders_MarkUntracked(struct agent *agent, const char *adapter)
{
    CmScheduler_MarkUntracked(&agent->scheduler, adapter);
    agent->untracked_since = Agent_Now(agent);
}

/// Clears the marks of untracked runs. That needs a report late enough to
/// include all runs that began before the mark, with no more requests than
/// this agent had running at any time since the last report.
static void
on_load_report(void *context, enum cm_order_end end,
               const struct cm_order_response *response)
{
    struct agent *agent = context;
    int64_t since_ms = CmTime_DiffMs(Agent_Now(agent), agent->untracked_since);
    if (end == CM_ORDER_DONE && since_ms >= LOAD_REPORT_LAG_MAX_MS &&
        response->busy <= (int64_t)agent->min_running) {
        CmScheduler_ClearUntracked(&agent->scheduler);
        Agent_WakeScheduler(agent);
    }
    agent->min_running = agent->scheduler.running;
}

void
Orders_CheckUntracked(struct agent *agent)
{
    if (agent->scheduler.running < agent->min_running) {
        agent->min_running = agent->scheduler.running;
    }
    if (CmScheduler_AnyUntracked(&agent->scheduler) &&
        !CmOrder_Active(&agent->report_order)) {
        agent->engine.ops->report(&agent->engine, &agent->report_order);
    }
}

static void
on_adapter_list(void *context, enum cm_order_end end,
                const struct cm_order_response *response)
{
    struct agent *agent = context;
    char **adapters = response->adapters;
    if (end != CM_ORDER_DONE ||
        agent->orders_sent != agent->list_orders_sent ||
        has_active_orders(agent)) {
        return; // the list may predate an order
    }
    struct cm_scheduler *scheduler = &agent->scheduler;
    bool changed = false;
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        const struct cm_slot *slot = &scheduler->slots[i];
        if (slot->state == CM_SLOT_READY &&
            !is_listed(adapters, slot->queue->adapter)) {
            CmLog_Event(G_LOG_LEVEL_WARNING, "orders", NULL,
                        "adapter %s is no longer loaded; its slot is cleared",
                        slot->queue->adapter);
            CmScheduler_InvalidateAdapter(scheduler, slot->queue->adapter);
            changed = true;
        }
    }
    for (char **adapter = adapters; *adapter != NULL; adapter++) {
        adopt_adapter(agent, *adapter);
    }
    if (changed) {
        agent->slots_version++;
        Agent_ScheduleReport(agent);
    }
    Agent_WakeScheduler(agent);
}

static void
request_permit(struct agent *agent, struct load_permit *permit)
{
    struct timespec now = Agent_Now(agent);
    const struct peer *issuer = Peers_FindPermitIssuer(agent);
    if (issuer == NULL) {
        if (CmLoadPace_TryStart(&agent->load_pace, now)) {
            permit->state = PERMIT_GRANTED;
            permit->self_paced = true;
            agent->scheduler.permits++;
        }
        return;
    }
    permit->state = PERMIT_REQUESTED;
    permit->self_paced = false;
    permit->number = agent->next_permit_number++;
    permit->issuer = issuer->address;
    permit->requested_at = now;
    send_permit_message(agent, permit, false);
}

/// Resends an unanswered request, or drops it where another entry has become
/// the issuer.
static void
retry_permit_request(struct agent *agent, struct load_permit *permit)
{
    struct timespec now = Agent_Now(agent);
    if (CmTime_DiffMs(now, permit->requested_at) < PERMIT_RETRY_INTERVAL_MS) {
        return;
    }
    const struct peer *issuer = Peers_FindPermitIssuer(agent);
    if (issuer == NULL ||
        strcmp(issuer->address.name, permit->issuer.name) != 0) {
        permit->state = PERMIT_IDLE;
        return;
    }
    permit->requested_at = now;
    send_permit_message(agent, permit, false);
}

void
Orders_UpdatePermits(struct agent *agent)
{
    struct timespec deadline;
    size_t pending =
        CmScheduler_CountPendingLoads(&agent->scheduler, &deadline);
    for (size_t i = 0; i < CM_CONCURRENT_LOADS_MAX; i++) {
        struct load_permit *permit = &agent->permits[i];
        if (permit->state == PERMIT_USED) {
            continue;
        }
        bool needed = pending > 0 && !agent->scheduler.stopped;
        pending -= pending > 0;
        if (needed && permit->state == PERMIT_IDLE) {
            request_permit(agent, permit);
        }
        else if (needed && permit->state == PERMIT_REQUESTED) {
            retry_permit_request(agent, permit);
        }
        else if (!needed && permit->state != PERMIT_IDLE) {
            if (permit->state == PERMIT_GRANTED) {
                agent->scheduler.permits--;
            }
            release_permit(agent, permit);
        }
    }
}

void
Orders_AcceptGrant(struct agent *agent, const struct cm_link_peer *peer,
                   const struct cm_msg_grant *grant)
{
    if (grant->expiry_ms == 0) {
        return; // queued at the issuer, which grants it later
    }
    for (size_t i = 0; i < CM_CONCURRENT_LOADS_MAX; i++) {
        struct load_permit *permit = &agent->permits[i];
        if (permit->state == PERMIT_REQUESTED &&
            permit->number == grant->number &&
            strcmp(permit->issuer.name, peer->name) == 0) {
            permit->state = PERMIT_GRANTED;
            agent->scheduler.permits++;
            Agent_WakeScheduler(agent);
            return;
        }
    }
    // No load needs it any more.
    struct load_permit late = {.number = grant->number, .issuer = *peer};
    send_permit_message(agent, &late, true);
}
