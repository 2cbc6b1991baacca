/// @file successor.c
/// Search for a target that takes over from a stalled attempt.

#include "successor.h"

#include "base/log.h"
#include "crash_watch.h"
#include "lease.h"
#include "placement.h"
#include "rate_limits.h"
#include "request.h"
#include "retry_budget.h"
#include "target_call.h"
#include "trial_claim.h"

/// Time from a search without result to the next one; doubles with each.
#define SEARCH_PAUSE_MS 300
#define SEARCH_PAUSE_MAX_MS 1200

/// @return whether the request may be sent again, apart from what the search
/// is to find. A trial runs alone and once, so that it has no successor.
static bool
may_search(struct request *request)
{
    request->retry.left_ms = Request_LeftMs(request);
    return !request->search.active && !request->attempt.is_trial &&
           !request->quarantined && request->n_excluded < CM_EXCLUDED_MAX &&
           CmRetry_AllowsSuccessor(&request->retry) &&
           RetryBudget_MayRetry(request);
}

static void
pause_search(struct request *request)
{
    struct cm_backoff *backoff = &request->search.backoff;
    Request_SetAttemptTimer(request, MIN(Request_AttemptLeftMs(request),
                                         CmBackoff_DelayMs(backoff)));
    CmBackoff_Increase(backoff);
}

void
Successor_Init(struct successor_search *search)
{
    search->backoff =
        (struct cm_backoff){SEARCH_PAUSE_MS, SEARCH_PAUSE_MAX_MS, 0};
}

void
Successor_CountProgress(struct request *request)
{
    Successor_Abandon(request);
    CmBackoff_Reset(&request->search.backoff);
}

void
Successor_Search(struct request *request)
{
    if (!may_search(request)) {
        pause_search(request);
        return;
    }
    const struct cm_live_target *target = request->attempt.target;
    CmLog_Event(G_LOG_LEVEL_INFO, "attempt", request->parsed.id,
                "%s at %s is silent: looks for another target", target->id,
                target->address);
    request->search.active = true;
    request->search.n_excluded = request->n_excluded;
    request->wait_limit = (struct cm_wait_limit){0};
    Request_ExcludeTarget(request, request->attempt.target);
    Request_SetAttemptTimer(request, Request_AttemptLeftMs(request));
    Request_Place(request);
}

void
Successor_Abandon(struct request *request)
{
    if (!request->search.active) {
        return;
    }
    request->search.active = false;
    request->placement = PLACEMENT_NONE;
    evtimer_del(request->placement_timer);
    Successor_Finish(request);
    Lease_Release(request);
    TrialClaim_Finish(request);
    RateLimits_FinishRequest(request);
    RetryBudget_FinishRequest(request);
    Request_TruncateExcluded(request, request->search.n_excluded);
}

void
Successor_Postpone(struct request *request, const char *reason)
{
    CmLog_Event(G_LOG_LEVEL_INFO, "attempt", request->parsed.id,
                "goes on at %s: %s", request->attempt.target->id, reason);
    Successor_Abandon(request);
    pause_search(request);
}

void
Successor_KeepForRetry(struct request *request)
{
    if (request->search.active) {
        request->search.active = false;
        // Engines that denied a lease to the search may grant it by now.
        Request_TruncateExcluded(request, request->search.n_excluded);
    }
}

void
Successor_Finish(struct request *request)
{
    struct successor_search *search = &request->search;
    CmH1Call_Cancel(&search->connect);
    if (search->target != NULL) {
        CmTarget_Unref(search->target);
        search->target = NULL;
    }
}

static void
on_connect_end(void *context, enum cm_h1_call_result end)
{
    struct request *request = context;
    struct cm_live_target *target = g_steal_pointer(&request->search.target);
    if (end == CM_H1_CALL_COMPLETE) {
        Request_SendTo(request, target);
    }
    else {
        CmTarget_CountLost(target, Gateway_Now(request->gateway));
        Request_ExcludeTarget(request, target);
        Lease_Release(request);
        Request_Place(request);
    }
    CmTarget_Unref(target);
}

bool
Successor_Connect(struct request *request, struct cm_live_target *target)
{
    static const struct cm_h1_call_handler handler = {NULL, NULL,
                                                      on_connect_end};
    struct successor_search *search = &request->search;
    if (TargetCall_HasConnection(request, target)) {
        return true;
    }
    request->placement = PLACEMENT_CONNECTING;
    evtimer_del(request->placement_timer); // a connect has its own timeout
    if (!CmH1Call_Connect(&search->connect, &request->gateway->pool,
                          target->address, &handler, request)) {
        Request_GiveUp(request, "no connection could be opened");
        return false;
    }
    search->target = CmTarget_Ref(target);
    return false;
}

void
Successor_TakeOver(struct request *request)
{
    // Engines that denied a lease to the search may grant it by now.
    Successor_KeepForRetry(request);
    CrashWatch_CountSilent(request);
    Request_CountAttemptEnd(request, CM_ATTEMPT_LOST);
    // Closing the connection makes the target cancel the request.
    TargetCall_Cancel(request);
    evtimer_del(request->attempt_timer);
    CmEventStream_Resume(&request->events);
    request->gateway->count.retries.value++;
}
