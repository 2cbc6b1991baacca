/// @file placement.c
/// Picks the target of a request. For a request with an adapter, requests
/// leases from engines in the order of their expected wait.

#include "placement.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "dispatch/notices.h"
#include "dispatch/refusal.h"
#include "lease.h"
#include "rate_limits.h"
#include "residency/residency_defs.h"
#include "request.h"
#include "retry_budget.h"
#include "stream_versions.h"
#include "target_notices.h"

/// Longest wait for a lease at one agent. Covers an adapter load from the
/// weight store under contention; beyond it another engine is faster.
#define LEASE_WAIT_MAX_MS 2000
/// Added to the lease wait for the transfer of the agent's reply.
#define LEASE_REPLY_MARGIN_MS 100
/// Time from the grant of a lease to the first event at an idle engine.
#define FIRST_EVENT_MS 150
/// Longest wait for starting engines, and the polling interval. An engine
/// loads its model from local disk within one or two seconds.
#define ENGINE_WAIT_MAX_MS 1500
#define ENGINE_POLL_MS 100
/// Time until a stream that can't be resumed now is placed again.
#define RESUME_PAUSE_MS 300
/// Longest time from an engine's registration until its model is loaded from
/// local disk: up to one second until the agent is asked to load it, and up
/// to two for the load.
#define MODEL_LOAD_MAX_MS 3000
#define MS_PER_S 1000
#define PERCENT 100.0

static bool
agent_is_down(const struct request *request,
              const struct cm_live_target *target)
{
    return CmTime_Before(Gateway_Now(request->gateway),
                         target->agent_down_until);
}

static void
log_choice(const struct request *request, const struct cm_pick *pick)
{
    struct timespec now = Gateway_Now(request->gateway);
    const struct cm_live_target *target = pick->target;
    CmLog_Event(
        G_LOG_LEVEL_INFO, "place", request->parsed.id,
        "requests a lease from %s at %s for %s: expected wait %.0f ms, %s, "
        "backlog %.0f ms reported %" PRId64 " ms ago, pace %.0f %%%s, %zu "
        "candidates",
        target->id, target->address, request->parsed.adapter, pick->cost_ms,
        pick->resident ? "adapter resident" : "adapter not resident",
        CmTarget_BacklogMs(target, now),
        target->agent_report.received_at.tv_sec != 0
            ? CmTime_DiffMs(now, target->agent_report.received_at)
            : -1,
        CmPace_Factor(&target->pace, now) * PERCENT,
        CmPace_IsKnown(&target->pace, now) ? "" : " (not named)",
        pick->candidates);
}

/// @return time left for the next event, counted from the last event sent to
/// the caller, or from the request's arrival before the first event.
static struct cm_time_left
time_left(const struct request *request)
{
    const struct cm_route *route = request->route;
    bool began = request->first_event_at.tv_sec != 0;
    int64_t since_ms =
        CmTime_DiffMs(Gateway_Now(request->gateway),
                      began ? request->last_event_at : request->arrived_at);
    int64_t target_ms =
        began ? route->target_gap_ms : route->target_latency_ms;
    int64_t idle_timeout_left_ms =
        CmRoute_ClientIdleTimeoutMs(route) - since_ms;
    struct cm_time_left left = {
        .on_time_ms = target_ms - since_ms - FIRST_EVENT_MS,
        .client_timeout_ms =
            MIN(Request_LeftMs(request), idle_timeout_left_ms) -
            FIRST_EVENT_MS,
    };
    // A caller that has not given up by now may still wait for a response.
    if (request->keeps_place) {
        left.client_timeout_ms = Request_LeftMs(request) - FIRST_EVENT_MS;
    }
    // A request that waited for starting engines, or that keeps its place, is
    // already late. It must not be refused for missing its target latency.
    if (request->waited) {
        left.on_time_ms = left.client_timeout_ms;
    }
    return left;
}

/// @param is_last whether no other engine is left to ask.
/// @return false if the call to the agent can't be started.
static bool
request_lease(struct request *request, struct cm_live_target *target,
              bool is_last)
{
    struct cm_time_left left = time_left(request);
    struct lease_limits limits = {
        .wait_ms = MIN(LEASE_WAIT_MAX_MS, MAX(left.client_timeout_ms, 1)),
        .max_queue_wait_ms =
            CmWaitLimit_MaxQueueWaitMs(&request->wait_limit, target, &left),
        .on_time_ms = left.on_time_ms,
        .slot_wait_max_ms = is_last ? 0 : CM_RESIDENCY_SLOT_WAIT_MAX_MS,
    };
    request->placement = PLACEMENT_LEASING;
    request->busy_is_final = CmWaitLimit_IsFinal(&request->wait_limit, target);
    if (!Lease_Acquire(request, target, &limits)) {
        return false;
    }
    Request_SetPlacementTimer(request, limits.wait_ms + LEASE_REPLY_MARGIN_MS);
    return true;
}

/// Requests a lease at the best engine. If its agent is down and the adapter
/// is expected to be resident, sends the request without a lease.
/// @return false if no engine is left.
static bool
place_adapter(struct request *request, const struct cm_pick_request *criteria)
{
    struct cm_pick_request next = *criteria;
    struct cm_pick pick;
    while (next.n_excluded < CM_EXCLUDED_MAX) {
        CmPick_Engine(&request->gateway->targets, &next,
                      Gateway_Now(request->gateway), &pick);
        if (pick.target == NULL) {
            return false;
        }
        switch (RateLimits_Admit(request, pick.target)) {
        case RATE_WAITS:
            return true;
        case RATE_DENIED:
            continue;
        case RATE_ADMITTED:
            break;
        }
        if (agent_is_down(request, pick.target)) {
            if (pick.resident) {
                Request_SendTo(request, pick.target);
                return true;
            }
        }
        else {
            log_choice(request, &pick);
            // The last engine that is left may take all the time.
            bool is_last = pick.candidates <= 1 ||
                           request->n_excluded + 1 >= CM_EXCLUDED_MAX;
            if (request_lease(request, pick.target, is_last)) {
                return true;
            }
        }
        Request_ExcludeTarget(request, pick.target);
        next.n_excluded = request->n_excluded;
    }
    return false;
}

/// @return whether more engines of the service are starting than usable. A
/// few starting engines would not relieve the others enough to wait for them.
static bool
most_engines_starting(const struct request *request)
{
    struct timespec now = Gateway_Now(request->gateway);
    size_t starting = 0;
    size_t usable = 0;
    const char *software = StreamVersions_Required(request);
    const struct cm_live_target *target;
    CmList_FOREACH (target, &request->gateway->targets.list, link) {
        if (!CmTarget_IsLeaving(target) &&
            (software == NULL || strcmp(target->software, software) == 0) &&
            strcmp(target->service, request->service) == 0) {
            // An engine that takes longer has no local copy of its model.
            starting += !target->has_model &&
                        CmTime_DiffMs(now, target->model_missing_since) <
                            MODEL_LOAD_MAX_MS;
            usable += target->has_model;
        }
    }
    return starting > usable;
}

/// Counts a request that is refused as targets are at their rate limits.
static void
count_limit_refusal(struct request *request)
{
    struct gateway *gateway = request->gateway;
    struct timespec now = Gateway_Now(gateway);
    if (CmTime_DiffMs(now, gateway->limit_refusals_since) >= MS_PER_S) {
        gateway->limit_refusals = 0;
        gateway->limit_refusals_since = now;
    }
    gateway->limit_refusals++;
    gateway->count.limit_refusals.value++;
}

bool
Request_MayResumeLater(struct request *request)
{
    request->retry.left_ms = Request_LeftMs(request);
    return request->first_event_at.tv_sec != 0 &&
           request->last_end != CM_ATTEMPT_FAILED &&
           CmRetry_NextStep(&request->retry, request->last_end) ==
               CM_RETRY_RESEND &&
           time_left(request).client_timeout_ms > 0;
}

/// Places the request again after a pause.
static void
wait_for_target(struct request *request, int64_t pause_ms)
{
    request->placement = PLACEMENT_WAITING;
    request->waited = true;
    // Targets that denied or rejected it may take it by then.
    Request_TruncateExcluded(request, 0);
    Request_SetPlacementTimer(request, pause_ms);
}

void
Request_ResumeLater(struct request *request, const char *reason)
{
    CmLog_Event(G_LOG_LEVEL_INFO, "place", request->parsed.id,
                "waits to resume its stream: %s", reason);
    Lease_Release(request);
    RateLimits_FinishRequest(request);
    wait_for_target(request, MIN(RESUME_PAUSE_MS, Request_LeftMs(request)));
}

/// @param unplaced receives the state of the decision.
/// @return whether the request is not to be refused any more.
static bool
keeps_place(struct request *request, const char *reason,
            struct cm_unplaced *unplaced)
{
    request->retry.left_ms = Request_LeftMs(request);
    *unplaced = (struct cm_unplaced){
        .waited_ms =
            Request_SinceArrivalMs(request, Gateway_Now(request->gateway)),
        .target_latency_ms = request->route->target_latency_ms,
        .client_timeout_ms = Request_LeftMs(request) - FIRST_EVENT_MS,
        .blocked_ms = MAX(request->at_limit_ms, request->pause_left_ms),
        .queue_wait_ms = request->min_queue_wait_ms,
    };
    if (request->search.active ||
        CmRetry_FinalStep(&request->retry, request->last_end) !=
            CM_RETRY_REFUSE ||
        !CmRefusal_KeepsPlace(unplaced)) {
        return false;
    }
    if (!request->keeps_place) {
        CmLog_Event(G_LOG_LEVEL_INFO, "place", request->parsed.id,
                    "keeps its place: %s", reason);
        request->gateway->count.places_kept.value++;
    }
    request->keeps_place = true;
    request->waited = true;
    return true;
}

bool
Request_KeepPlace(struct request *request, const char *reason)
{
    struct cm_unplaced unplaced;
    if (!keeps_place(request, reason, &unplaced)) {
        return false;
    }
    Lease_Release(request);
    RateLimits_FinishRequest(request);
    request->min_queue_wait_ms = 0;
    wait_for_target(request, CmRefusal_PauseMs(&unplaced));
    return true;
}

/// Requests a lease once more from the agent where the last one was not
/// granted in time: its load goes on, and another engine would begin a new
/// one.
/// @return false if the request is to be placed elsewhere or refused.
static bool
lease_again(struct request *request)
{
    struct cm_unplaced unplaced;
    if (!request->lease.late ||
        !CmTarget_MayGetWork(request->lease.target,
                             Gateway_Now(request->gateway)) ||
        !keeps_place(request, "its lease was not granted in time",
                     &unplaced)) {
        return false;
    }
    struct cm_live_target *target = CmTarget_Ref(request->lease.target);
    Lease_Release(request);
    if (!request_lease(request, target, true)) {
        RateLimits_FinishRequest(request);
        wait_for_target(request, CmRefusal_PauseMs(&unplaced));
    }
    CmTarget_Unref(target);
    return true;
}

/// Waits if most engines are starting, as they become usable before the
/// caller would retry, or if a stream may go on later. Otherwise ends the
/// request, or the search for a successor.
static void
wait_or_give_up(struct request *request, const char *reason)
{
    if (request->search.active) {
        Request_GiveUp(request, reason);
        return;
    }
    if (StreamVersions_IsGone(request)) {
        request->binding.gone = true;
        request->gateway->count.streams_gone.value++;
        Request_GiveUp(request, "no target of the software version that "
                                "began the stream is left");
        return;
    }
    if (Request_MayResumeLater(request)) {
        Request_ResumeLater(request, reason);
        return;
    }
    struct timespec now = Gateway_Now(request->gateway);
    if (request->sends > 0 || !most_engines_starting(request) ||
        Request_SinceArrivalMs(request, now) > ENGINE_WAIT_MAX_MS ||
        Request_LeftMs(request) < ENGINE_POLL_MS) {
        request->at_limit_ms = RateLimits_WaitMs(request);
        if (request->at_limit_ms > 0) {
            count_limit_refusal(request);
            reason = "targets are at the rate limits that they named";
        }
        request->pause_left_ms = TargetNotices_PauseLeftMs(request);
        if (request->pause_left_ms > 0) {
            request->gateway->count.pause_refusals.value++;
            reason = "all targets asked for a pause";
        }
        if (Request_KeepPlace(request, reason)) {
            return;
        }
        Request_GiveUp(request, reason);
        return;
    }
    if (request->placement != PLACEMENT_WAITING) {
        CmLog_Event(G_LOG_LEVEL_INFO, "place", request->parsed.id,
                    "waits for starting engines of service %s",
                    request->service);
    }
    wait_for_target(request, ENGINE_POLL_MS);
}

void
Request_Place(struct request *request)
{
    switch (RetryBudget_Admit(request)) {
    case RETRY_ADMITTED:
        break;
    case RETRY_WAITS:
        return;
    case RETRY_DENIED:
        RetryBudget_CountDenied(request);
        Request_GiveUpForNow(request, "the budget of repeats is spent");
        return;
    }
    struct cm_pick_request criteria = {
        .service = request->service,
        .adapter = request->parsed.adapter,
        .needs_model = request->parsed.model != NULL,
        .software = StreamVersions_Required(request),
        .demand = request->demand,
        .excluded = request->excluded,
        .n_excluded = request->n_excluded,
    };
    if (criteria.adapter != NULL) {
        if (!place_adapter(request, &criteria)) {
            wait_or_give_up(request, "no engine can take the adapter");
        }
        return;
    }
    struct cm_pick pick;
    do {
        struct timespec now = Gateway_Now(request->gateway);
        if (request->parsed.model != NULL) {
            CmPick_Engine(&request->gateway->targets, &criteria, now, &pick);
        }
        else {
            CmPick_Plain(&request->gateway->targets, &criteria, now, &pick);
        }
        if (pick.target == NULL) {
            wait_or_give_up(request, "no target can take the request");
            return;
        }
        switch (RateLimits_Admit(request, pick.target)) {
        case RATE_WAITS:
            return;
        case RATE_DENIED:
            pick.target = NULL;
            break;
        case RATE_ADMITTED:
            break;
        }
    } while (pick.target == NULL);
    Request_SendTo(request, pick.target);
}

void
Request_LeaseGranted(struct request *request)
{
    Request_CountLatency(request, LATENCY_LEASE);
    Request_SendTo(request, request->lease.target);
}

/// Records the shortest queue wait among the engines that denied a lease, as
/// the basis of Retry-After.
static void
record_min_queue_wait(struct request *request,
                      const struct cm_live_target *target)
{
    int64_t queue_wait_ms =
        (int64_t)CmTarget_BacklogMs(target, Gateway_Now(request->gateway));
    const struct cm_adapter_copy *copy =
        CmTarget_AdapterCopy(target, request->parsed.adapter);
    if (copy == NULL || !copy->resident) {
        queue_wait_ms += target->agent_report.slot_wait_ms;
    }
    if (request->min_queue_wait_ms == 0 ||
        queue_wait_ms < request->min_queue_wait_ms) {
        request->min_queue_wait_ms = queue_wait_ms;
    }
}

void
Request_LeaseDenied(struct request *request, const char *why)
{
    struct cm_live_target *target = request->lease.target;
    record_min_queue_wait(request, target);
    if (request->lease.busy && !request->busy_is_final) {
        // Picks again, with the load that the agent has just reported.
        request->lease.busy = false;
        CmWaitLimit_CountBusy(&request->wait_limit, target);
        Lease_Release(request);
        Request_Place(request);
        return;
    }
    if (lease_again(request)) {
        return;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "lease", request->parsed.id,
                "%s denied a lease for %s: %s", target->id,
                request->parsed.adapter, why);
    Request_ExcludeTarget(request, target);
    Lease_Release(request);
    if (Request_LeftMs(request) < CM_RETRY_MIN_LEFT_MS ||
        request->n_excluded >= CM_EXCLUDED_MAX) {
        wait_or_give_up(request, "no engine has room for the adapter");
        return;
    }
    Request_Place(request);
}
