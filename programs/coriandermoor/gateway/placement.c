/// @file placement.c
/// Finds the target of a request: asks agents for its adapter, best engine
/// first, or takes the best plain target.

#include "placement.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "lease.h"
#include "request.h"

/// Longest wait for an adapter at one agent: a load from the store under
/// contention; another engine is quicker after that.
#define LEASE_WAIT_MS 2000
/// Added for the agent's answer to arrive.
#define LEASE_GRACE_MS 100
/// Time from a grant to the first event at an engine that is not busy.
#define BEGIN_MS 150
/// Longest wait for engines that are starting, and the time between looks:
/// a model comes from its engine's disk within one or two seconds.
#define PARK_MAX_MS 1500
#define PARK_STEP_MS 100
/// Time from an engine's entry in the list until it has its model from its
/// own copies: up to a second until its agent is asked, and up to two.
#define STARTING_MAX_MS 3000

static bool
agent_is_down(const struct request *request,
              const struct cm_live_target *target)
{
    return CmTime_Before(Gateway_Now(request->gateway),
                         target->agent_down_until);
}

/// One line for the engine that is asked, with what decided.
static void
log_choice(const struct request *request, const struct cm_pick *pick)
{
    struct timespec now = Gateway_Now(request->gateway);
    const struct cm_live_target *target = pick->target;
    CmLog_Event(G_LOG_LEVEL_INFO, "place", request->asked.id,
                "asks %s at %s for %s: cost %.0f ms, %s, backlog %.0f ms "
                "told %" PRId64 " ms ago, %zu candidates",
                target->id, target->address, request->asked.adapter,
                pick->cost_ms, pick->resident ? "holds it" : "has to load it",
                CmTarget_BacklogMs(target, now),
                target->agent_report.received_at.tv_sec != 0
                    ? CmTime_DiffMs(now, target->agent_report.received_at)
                    : -1,
                pick->candidates);
}

/// Counted from the caller's last event, or from the request's arrival while
/// there is none.
static struct cm_time_left
time_left(const struct request *request)
{
    const struct cm_route *route = request->route;
    bool began = request->first_event.tv_sec != 0;
    int64_t since_ms =
        CmTime_DiffMs(Gateway_Now(request->gateway),
                      began ? request->last_event : request->arrived);
    int64_t target_ms =
        began ? route->target_gap_ms : route->target_latency_ms;
    int64_t patience_ms = CmRoute_ClientIdleTimeoutMs(route) - since_ms;
    struct cm_time_left left = {
        .on_time_ms = target_ms - since_ms - BEGIN_MS,
        .client_timeout_ms =
            MIN(Request_LeftMs(request), patience_ms) - BEGIN_MS,
    };
    // Who waited for engines to start is not turned away for being late.
    if (request->parked) {
        left.on_time_ms = left.client_timeout_ms;
    }
    return left;
}

/// Asks for the adapter at the best engine.
/// @return false if there is no engine left to ask.
static bool
place_adapter(struct request *request, const struct cm_pick_request *wanted)
{
    struct cm_pick_request next = *wanted;
    struct cm_pick pick;
    while (next.n_excluded < CM_EXCLUDED_MAX) {
        CmPick_Engine(&request->gateway->targets, &next,
                      Gateway_Now(request->gateway), &pick);
        if (pick.target == NULL) {
            return false;
        }
        if (agent_is_down(request, pick.target)) {
            if (pick.resident) {
                Request_SendTo(request, pick.target);
                return true;
            }
        }
        else {
            log_choice(request, &pick);
            struct cm_time_left left = time_left(request);
            struct lease_limits limits = {
                .wait_ms = MIN(LEASE_WAIT_MS, MAX(left.client_timeout_ms, 1)),
                .ahead_max_ms = CmWaitLimit_MaxQueueWaitMs(&request->asking,
                                                           pick.target, &left),
                .on_time_ms = left.on_time_ms,
            };
            request->phase = REQUEST_LEASING;
            request->last_ask =
                CmWaitLimit_IsFinal(&request->asking, pick.target);
            if (Lease_Ask(request, pick.target, &limits)) {
                Request_SetTimer(request, limits.wait_ms + LEASE_GRACE_MS);
                return true;
            }
        }
        Request_AddTried(request, pick.target);
        next.n_excluded = request->n_tried;
    }
    return false;
}

/// @return whether most engines of the service are there without their model:
/// a few that are starting relieve nobody.
static bool
engines_start(const struct request *request)
{
    struct timespec now = Gateway_Now(request->gateway);
    size_t starting = 0;
    size_t usable = 0;
    const struct cm_live_target *target;
    CmList_FOREACH (target, &request->gateway->targets.list, link) {
        if (!target->draining &&
            strcmp(target->service, request->service) == 0) {
            // One that takes longer has no copy of its model.
            starting += !target->has_model &&
                        CmTime_DiffMs(now, target->model_missing_since) <
                            STARTING_MAX_MS;
            usable += target->has_model;
        }
    }
    return starting > usable;
}

/// No engine can take the request: waits if some are starting, as their model
/// is there sooner than the caller would come back.
static void
park_or_give_up(struct request *request, const char *reason)
{
    struct timespec now = Gateway_Now(request->gateway);
    if (request->sends > 0 || !engines_start(request) ||
        Request_SinceArrivalMs(request, now) > PARK_MAX_MS ||
        Request_LeftMs(request) < PARK_STEP_MS) {
        Request_GiveUp(request, reason);
        return;
    }
    if (request->phase != REQUEST_PARKED) {
        CmLog_Event(G_LOG_LEVEL_INFO, "place", request->asked.id,
                    "waits: engines of %s are starting", request->service);
    }
    request->phase = REQUEST_PARKED;
    request->parked = true;
    // Those that were down may be back by then.
    Request_ForgetTried(request);
    Request_SetTimer(request, PARK_STEP_MS);
}

void
Request_Place(struct request *request)
{
    struct cm_pick_request wanted = {
        .service = request->service,
        .adapter = request->asked.adapter,
        .needs_model = request->asked.model != NULL,
        .excluded = request->tried,
        .n_excluded = request->n_tried,
    };
    if (wanted.adapter != NULL) {
        if (!place_adapter(request, &wanted)) {
            park_or_give_up(request, "no engine can take the adapter");
        }
        return;
    }
    struct cm_pick pick;
    struct timespec now = Gateway_Now(request->gateway);
    if (request->asked.model != NULL) {
        CmPick_Engine(&request->gateway->targets, &wanted, now, &pick);
    }
    else {
        CmPick_Plain(&request->gateway->targets, &wanted, now, &pick);
    }
    if (pick.target == NULL) {
        park_or_give_up(request, "no target can take the request");
        return;
    }
    Request_SendTo(request, pick.target);
}

void
Request_Leased(struct request *request)
{
    struct cm_live_target *target = request->lease.target;
    if (target->draining || target->removed) {
        Request_NotLeased(request, "the target is leaving");
        return;
    }
    Request_CountLatency(request, LATENCY_LEASE);
    Request_SendTo(request, target);
}

/// Remembers the least wait of the engines that were asked.
static void
note_ahead(struct request *request, const struct cm_live_target *target)
{
    int64_t ahead_ms =
        target->agent_report.slot_wait_ms +
        (int64_t)CmTarget_BacklogMs(target, Gateway_Now(request->gateway));
    if (request->ahead_told_ms == 0 || ahead_ms < request->ahead_told_ms) {
        request->ahead_told_ms = ahead_ms;
    }
}

void
Request_NotLeased(struct request *request, const char *why)
{
    struct cm_live_target *target = request->lease.target;
    note_ahead(request, target);
    if (request->lease.busy && !request->last_ask) {
        // Picks again, with what the agent has just told.
        request->lease.busy = false;
        CmWaitLimit_CountBusy(&request->asking, target);
        Lease_Release(request);
        Request_Place(request);
        return;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "lease", request->asked.id,
                "%s does not give %s: %s", target->id, request->asked.adapter,
                why);
    Request_AddTried(request, target);
    Lease_Release(request);
    if (Request_LeftMs(request) < CM_RETRY_MIN_LEFT_MS ||
        request->n_tried >= CM_EXCLUDED_MAX) {
        park_or_give_up(request, "no engine has room for the adapter");
        return;
    }
    Request_Place(request);
}
