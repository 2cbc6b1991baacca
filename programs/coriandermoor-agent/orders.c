/// @file orders.c
/// Orders to the engine and permits for loads.

#include "orders.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "peers.h"

/// Silence of the permits' holder after which the agent asks again.
#define ASK_AGAIN_MS 1000
/// Time without any answer after which the agent paces itself.
#define OWN_PACE_AFTER_MS 1500
#define LOAD_START_MS 250
/// Oldest that an engine's load report can be.
#define REPORT_LAG_MAX_MS 1000
#define AVERAGE_WEIGHT 0.3

static void
on_slot_order(void *context, enum cm_order_end end,
              const struct cm_order_response *answer);
static void
on_list(void *context, enum cm_order_end end,
        const struct cm_order_response *answer);
static void
on_report(void *context, enum cm_order_end end,
          const struct cm_order_response *answer);

void
Orders_Init(struct agent *agent)
{
    size_t n = agent->scheduler.n_slots;
    agent->slot_orders = g_new0(struct slot_order, n + 1);
    for (size_t i = 0; i < n; i++) {
        struct slot_order *slot_order = &agent->slot_orders[i];
        slot_order->agent = agent;
        slot_order->slot = &agent->scheduler.slots[i];
        CmOrder_Init(&slot_order->order, on_slot_order, slot_order);
    }
    CmOrder_Init(&agent->list_order, on_list, agent);
    CmOrder_Init(&agent->report_order, on_report, agent);
    CmLoadPace_Init(&agent->pace);
    agent->load_ms = LOAD_START_MS;
    agent->next_permit = 1;
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
order_of(struct agent *agent, const struct cm_slot *slot)
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
use_permit(struct agent *agent, struct cm_slot *slot)
{
    for (size_t i = 0; i < CM_CONCURRENT_LOADS_MAX; i++) {
        struct permit_slot *permit = &agent->permits[i];
        if (permit->state == PERMIT_GRANTED) {
            permit->state = PERMIT_USED;
            permit->slot = slot;
            return;
        }
    }
}

static void
send_permit(struct agent *agent, const struct permit_slot *permit, bool done)
{
    struct timespec deadline = {0};
    size_t wanted =
        CmScheduler_CountPendingLoads(&agent->scheduler, &deadline);
    int64_t left_ms = CmTime_DiffMs(deadline, Agent_Now(agent));
    struct cm_message message = {.type = CM_MSG_PERMIT};
    message.permit.number = permit->number;
    message.permit.release = done;
    message.permit.deadline_ms = left_ms > 0 ? (uint64_t)left_ms : 0;
    message.permit.waiters = deadline.tv_sec != 0 ? wanted : 0;
    CmLink_Send(&agent->link, &permit->holder, &message);
}

static void
return_permit(struct agent *agent, struct permit_slot *permit)
{
    if (!permit->own) {
        send_permit(agent, permit, true);
    }
    permit->state = PERMIT_IDLE;
    permit->slot = NULL;
}

static void
return_permit_of(struct agent *agent, const struct cm_slot *slot)
{
    for (size_t i = 0; i < CM_CONCURRENT_LOADS_MAX; i++) {
        struct permit_slot *permit = &agent->permits[i];
        if (permit->state == PERMIT_USED && permit->slot == slot) {
            return_permit(agent, permit);
        }
    }
}

void
Orders_Load(struct agent *agent, struct cm_slot *slot, const char *reason)
{
    struct slot_order *slot_order = order_of(agent, slot);
    slot_order->started = Agent_Now(agent);
    slot_order->evicting = false;
    agent->orders_given++;
    agent->slots_version++;
    agent->count.loads.value++;
    use_permit(agent, slot);
    log_order(agent, "load", slot, reason);
    agent->engine.ops->load(&agent->engine, &slot_order->order,
                            slot->queue->adapter);
    Agent_ReportSoon(agent);
}

void
Orders_Evict(struct agent *agent, struct cm_slot *slot, const char *reason)
{
    struct slot_order *slot_order = order_of(agent, slot);
    slot_order->evicting = true;
    agent->orders_given++;
    agent->slots_version++;
    agent->count.evictions.value++;
    log_order(agent, "evict", slot, reason);
    agent->engine.ops->unload(&agent->engine, &slot_order->order,
                              slot->queue->adapter);
    Agent_ReportSoon(agent);
}

/// A newer agent gives orders on this engine: this one must not go on.
static void
exit_fenced(const struct agent *agent)
{
    CmLog_Event(G_LOG_LEVEL_CRITICAL, "orders", NULL,
                "target %s takes orders from a newer agent; this one ends",
                agent->settings.target);
    exit(EXIT_FAILURE);
}

static void
observe_load(struct agent *agent, const struct slot_order *slot_order)
{
    double ms =
        CmTime_DiffS(Agent_Now(agent), slot_order->started) * CM_MS_PER_S;
    // What callers see includes the wait for a permit and for a slot.
    double stalled_ms = (double)slot_order->slot->load_stall_ms;
    double seen_ms = stalled_ms > ms ? stalled_ms : ms;
    agent->load_ms += (seen_ms - agent->load_ms) * AVERAGE_WEIGHT;
    CmLoadPace_RecordLoad(&agent->pace, ms);
}

static void
on_slot_order(void *context, enum cm_order_end end,
              const struct cm_order_response *answer)
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
        // Where no answer came, the list below tells what the engine holds.
        CmScheduler_FinishEviction(&agent->scheduler, slot_order->slot, true,
                                   now);
    }
    else {
        return_permit_of(agent, slot_order->slot);
        CmScheduler_FinishLoad(&agent->scheduler, slot_order->slot, ok, now);
        if (ok) {
            observe_load(agent, slot_order);
        }
        else {
            agent->count.load_failures.value++;
        }
    }
    if (!ok) {
        Orders_Reconcile(agent);
    }
    Agent_ReportSoon(agent);
    Agent_Turn(agent);
}

void
Orders_Reconcile(struct agent *agent)
{
    if (!agent->settings.engine || CmOrder_Active(&agent->list_order)) {
        return;
    }
    agent->list_orders_given = agent->orders_given;
    agent->engine.ops->list(&agent->engine, &agent->list_order);
}

static bool
is_listed(char **adapters, const char *adapter)
{
    return g_strv_contains((const gchar *const *)adapters, adapter);
}

static bool
orders_under_way(const struct agent *agent)
{
    for (size_t i = 0; i < agent->scheduler.n_slots; i++) {
        if (CmOrder_Active(&agent->slot_orders[i].order)) {
            return true;
        }
    }
    return false;
}

/// Takes out an adapter that the engine holds and no slot has room for.
static void
unload_stray(struct agent *agent, const char *adapter)
{
    for (size_t i = 0; i < agent->scheduler.n_slots; i++) {
        struct cm_slot *slot = &agent->scheduler.slots[i];
        if (slot->state == CM_SLOT_EMPTY && slot->reserved_for == NULL) {
            return; // it was adopted
        }
    }
    CmLog_Event(G_LOG_LEVEL_WARNING, "orders", NULL,
                "the engine holds %s, for which no slot is free", adapter);
}

/// Takes over an adapter that the engine holds already. Runs of an earlier
/// agent may still use it.
static void
adopt(struct agent *agent, const char *adapter)
{
    struct cm_scheduler *scheduler = &agent->scheduler;
    if (CmScheduler_HasAdapter(scheduler, adapter)) {
        return;
    }
    if (CmScheduler_Adopt(scheduler, adapter, Agent_Now(agent))) {
        Orders_MarkForeign(agent, adapter);
        agent->slots_version++;
    }
    else {
        unload_stray(agent, adapter);
    }
}

void
Orders_MarkForeign(struct agent *agent, const char *adapter)
{
    CmScheduler_MarkUntracked(&agent->scheduler, adapter);
    agent->foreign_since = Agent_Now(agent);
}

/// A report old enough to show all runs that began before the mark, with no
/// more requests than this agent's own: nothing foreign is left.
static void
on_report(void *context, enum cm_order_end end,
          const struct cm_order_response *answer)
{
    struct agent *agent = context;
    int64_t since_ms = CmTime_DiffMs(Agent_Now(agent), agent->foreign_since);
    if (end == CM_ORDER_DONE && since_ms >= REPORT_LAG_MAX_MS &&
        answer->busy <= (int64_t)agent->least_running) {
        CmScheduler_ClearUntracked(&agent->scheduler);
        Agent_Turn(agent);
    }
    agent->least_running = agent->scheduler.running;
}

void
Orders_CheckForeign(struct agent *agent)
{
    if (agent->scheduler.running < agent->least_running) {
        agent->least_running = agent->scheduler.running;
    }
    if (CmScheduler_AnyUntracked(&agent->scheduler) &&
        !CmOrder_Active(&agent->report_order)) {
        agent->engine.ops->report(&agent->engine, &agent->report_order);
    }
}

static void
on_list(void *context, enum cm_order_end end,
        const struct cm_order_response *answer)
{
    struct agent *agent = context;
    char **adapters = answer->adapters;
    if (end != CM_ORDER_DONE ||
        agent->orders_given != agent->list_orders_given ||
        orders_under_way(agent)) {
        return; // the list may be older than an order
    }
    struct cm_scheduler *scheduler = &agent->scheduler;
    bool changed = false;
    for (size_t i = 0; i < scheduler->n_slots; i++) {
        const struct cm_slot *slot = &scheduler->slots[i];
        if (slot->state == CM_SLOT_READY &&
            !is_listed(adapters, slot->queue->adapter)) {
            CmLog_Event(G_LOG_LEVEL_WARNING, "orders", NULL,
                        "the engine has lost %s", slot->queue->adapter);
            CmScheduler_InvalidateAdapter(scheduler, slot->queue->adapter);
            changed = true;
        }
    }
    for (char **adapter = adapters; *adapter != NULL; adapter++) {
        adopt(agent, *adapter);
    }
    if (changed) {
        agent->slots_version++;
        Agent_ReportSoon(agent);
    }
    Agent_Turn(agent);
}

static void
ask(struct agent *agent, struct permit_slot *permit)
{
    struct timespec now = Agent_Now(agent);
    const struct peer *holder = Peers_PermitHolder(agent);
    if (holder == NULL) {
        if (CmLoadPace_TryStart(&agent->pace, now)) {
            permit->state = PERMIT_GRANTED;
            permit->own = true;
            agent->scheduler.permits++;
        }
        return;
    }
    permit->state = PERMIT_ASKED;
    permit->own = false;
    permit->number = agent->next_permit++;
    permit->holder = holder->address;
    permit->asked = now;
    send_permit(agent, permit, false);
}

/// The holder may be gone, or the question lost.
static void
ask_again(struct agent *agent, struct permit_slot *permit)
{
    struct timespec now = Agent_Now(agent);
    if (CmTime_DiffMs(now, permit->asked) < ASK_AGAIN_MS) {
        return;
    }
    const struct peer *holder = Peers_PermitHolder(agent);
    if (holder == NULL ||
        strcmp(holder->address.name, permit->holder.name) != 0) {
        permit->state = PERMIT_IDLE;
        return;
    }
    permit->asked = now;
    send_permit(agent, permit, false);
}

void
Orders_UpdatePermits(struct agent *agent)
{
    struct timespec deadline;
    size_t wanted =
        CmScheduler_CountPendingLoads(&agent->scheduler, &deadline);
    for (size_t i = 0; i < CM_CONCURRENT_LOADS_MAX; i++) {
        struct permit_slot *permit = &agent->permits[i];
        if (permit->state == PERMIT_USED) {
            continue;
        }
        bool needed = wanted > 0 && !agent->scheduler.stopped;
        wanted -= wanted > 0;
        if (needed && permit->state == PERMIT_IDLE) {
            ask(agent, permit);
        }
        else if (needed && permit->state == PERMIT_ASKED) {
            ask_again(agent, permit);
        }
        else if (!needed && permit->state != PERMIT_IDLE) {
            if (permit->state == PERMIT_GRANTED) {
                agent->scheduler.permits--;
            }
            return_permit(agent, permit);
        }
    }
}

void
Orders_Granted(struct agent *agent, const struct cm_link_peer *peer,
               const struct cm_msg_grant *grant)
{
    if (grant->expiry_ms == 0) {
        return; // heard, and to be waited for
    }
    for (size_t i = 0; i < CM_CONCURRENT_LOADS_MAX; i++) {
        struct permit_slot *permit = &agent->permits[i];
        if (permit->state == PERMIT_ASKED && permit->number == grant->number &&
            strcmp(permit->holder.name, peer->name) == 0) {
            permit->state = PERMIT_GRANTED;
            agent->scheduler.permits++;
            Agent_Turn(agent);
            return;
        }
    }
    // Nobody waits for it any more.
    struct permit_slot late = {.number = grant->number, .holder = *peer};
    send_permit(agent, &late, true);
}
