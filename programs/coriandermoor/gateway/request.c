/// @file request.c
/// Serves a request: sends attempts, classifies their results, retries, and
/// enforces stall timeouts and the deadline.

#include "request.h"

#include <inttypes.h>
#include <string.h>

#include "admission.h"
#include "base/log.h"
#include "crash_watch.h"
#include "dispatch/notices.h"
#include "lease.h"
#include "placement.h"
#include "prompt_parts.h"
#include "quotas.h"
#include "rate_limits.h"
#include "responses.h"
#include "retry_budget.h"
#include "shutdown.h"
#include "stream_versions.h"
#include "successor.h"
#include "target_call.h"
#include "target_notices.h"
#include "trial_claim.h"

/// Stall timeouts after which a resumable stream fails over. Before the first
/// event this covers several prefills, afterwards several of the slowest
/// decode steps.
#define FIRST_EVENT_TIMEOUT_MS 1300
#define EVENT_TIMEOUT_MS 900
/// Stall timeout of an idempotent request to a plain target, as a multiple of
/// the route's target latency.
#define PLAIN_TIMEOUT_FACTOR 1.5
/// Time that a stall timeout stretched for a slow target leaves before a
/// stream's caller gives up, and below which it isn't started again: a timer
/// may end a little early.
#define STALL_SUCCESSOR_MS 500
#define STALL_ROUNDING_MS 5
/// Time that a stream may exceed its deadline before it is aborted.
#define STREAM_GRACE_MS 100
/// Output buffered for a caller beyond which its stream is aborted: as much as
/// the longest response that is no stream. h1/output.h bounds that of all
/// callers.
#define UNREAD_MAX_BYTES ((size_t)8 * 1024 * 1024)

#define STATUS_OK 200
#define STATUS_REDIRECT 300
#define STATUS_BAD_REQUEST 400
#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND 404
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504

void
Request_Free(struct request *request)
{
    StreamVersions_FinishRequest(request);
    Quotas_FinishRequest(request);
    Successor_Finish(request);
    Lease_Release(request);
    TrialClaim_Finish(request);
    RateLimits_FinishRequest(request);
    RetryBudget_FinishRequest(request);
    TargetCall_Finish(request);
    if (request->lease.body != NULL) {
        g_string_free(request->lease.body, TRUE);
    }
    CmEventStream_Finish(&request->events);
    CmCallCodec_FinishRequest(&request->parsed);
    g_free(request->parts);
    CmCatalog_Unref(request->catalog);
    Request_TruncateExcluded(request, 0);
    event_free(request->attempt_timer);
    event_free(request->placement_timer);
    request->gateway->n_requests--;
    g_free(request);
}

int64_t
Request_SinceArrivalMs(const struct request *request, struct timespec then)
{
    return then.tv_sec == 0 ? -1 : CmTime_DiffMs(then, request->arrived_at);
}

void
Request_CountLatency(const struct request *request,
                     enum gateway_latency latency)
{
    CmHistogram_Add(
        &request->gateway->latency[latency],
        Request_SinceArrivalMs(request, Gateway_Now(request->gateway)));
}

void
Request_SetPlacementTimer(struct request *request, int64_t ms)
{
    struct timeval timeout = CmTime_Timeval(MAX(ms, 1));
    evtimer_add(request->placement_timer, &timeout);
}

void
Request_SetAttemptTimer(struct request *request, int64_t ms)
{
    struct timeval timeout = CmTime_Timeval(MAX(ms, 1));
    evtimer_add(request->attempt_timer, &timeout);
}

int64_t
Request_LeftMs(const struct request *request)
{
    return CmTime_DiffMs(request->deadline, Gateway_Now(request->gateway));
}

/// Parts of what identifies a request that comes again under a new id.
#define CONTENT_PARTS 5

/// Splits the request's content into its parts, without copying them.
static void
split_content(const struct request *request, struct iovec parts[CONTENT_PARTS])
{
    const struct cm_h1_head *head = CmH1Conn_Head(&request->caller->conn);
    const char *host = CmH1Head_Find(head, "Host");
    const GString *body = request->caller->body;
    // Neither host nor path can contain the separator.
    struct iovec separator = {(void *)"\n", 1};
    parts[0] = (struct iovec){(void *)host, host != NULL ? strlen(host) : 0};
    parts[1] = separator;
    parts[2] = (struct iovec){head->target->str, head->target->len};
    parts[3] = separator;
    parts[4] = (struct iovec){body->str, body->len};
}

size_t
Request_ContentSize(const struct request *request)
{
    struct iovec parts[CONTENT_PARTS];
    size_t size = 0;
    split_content(request, parts);
    for (size_t i = 0; i < CONTENT_PARTS; i++) {
        size += parts[i].iov_len;
    }
    return size;
}

const char *
Request_Content(struct request *request)
{
    if (request->content[0] == '\0') {
        struct iovec parts[CONTENT_PARTS];
        split_content(request, parts);
        CmContentName_Compose(request->content, parts, CONTENT_PARTS);
    }
    return request->content;
}

void
Request_ExcludeTarget(struct request *request, struct cm_live_target *target)
{
    for (size_t i = 0; i < request->n_excluded; i++) {
        if (request->excluded[i] == target) {
            return;
        }
    }
    if (request->n_excluded < CM_EXCLUDED_MAX) {
        request->excluded[request->n_excluded++] = CmTarget_Ref(target);
    }
}

void
Request_TruncateExcluded(struct request *request, size_t n_kept)
{
    while (request->n_excluded > n_kept) {
        CmTarget_Unref(request->excluded[--request->n_excluded]);
    }
}

/// @return whether the present attempt has sent an event.
static bool
is_streaming(const struct request *request)
{
    return request->attempt.first_event_at.tv_sec != 0;
}

/// @return `timeout_ms`, or up to `max_ms` where the target says that work
/// takes longer there.
static int64_t
stretch_for_target(const struct request *request, int64_t timeout_ms,
                   int64_t max_ms)
{
    const struct cm_live_target *target = request->attempt.target;
    return target == NULL ? timeout_ms
                          : CmPace_StretchMs(&target->pace, timeout_ms, max_ms,
                                             Gateway_Now(request->gateway));
}

/// @return time for which a stream's caller still waits for an event, counted
/// from the attempt's last progress.
static int64_t
caller_patience_ms(const struct request *request)
{
    struct timespec since = request->first_event_at.tv_sec != 0
                                ? request->last_event_at
                                : request->arrived_at;
    return CmRoute_ClientIdleTimeoutMs(request->route) -
           CmTime_DiffMs(request->progress_at, since);
}

/// @return ms without data from the target after which a successor is looked
/// for, or -1 if only the deadline applies. For a slow target it is stretched
/// as long as a successor could still serve the caller.
static int64_t
stall_timeout_ms(const struct request *request)
{
    const struct cm_route *route = request->route;
    switch (route->retry_mode) {
    case CM_RETRY_MODE_RESUME:
        return stretch_for_target(
            request,
            is_streaming(request) ? EVENT_TIMEOUT_MS : FIRST_EVENT_TIMEOUT_MS,
            caller_patience_ms(request) - STALL_SUCCESSOR_MS);
    case CM_RETRY_MODE_IDEMPOTENT:
        return stretch_for_target(
            request,
            (int64_t)((double)route->target_latency_ms * PLAIN_TIMEOUT_FACTOR),
            CmTime_DiffMs(request->deadline, request->progress_at) -
                route->target_latency_ms);
    default:
        return -1;
    }
}

int64_t
Request_AttemptLeftMs(const struct request *request)
{
    return Request_LeftMs(request) +
           (is_streaming(request) ? STREAM_GRACE_MS : 0);
}

/// Starts the timer for the deadline, or for the stall timeout if that is
/// earlier and another attempt is allowed.
static void
start_progress_timer(struct request *request)
{
    int64_t wait_ms = Request_AttemptLeftMs(request);
    int64_t stall_ms = stall_timeout_ms(request);
    if (stall_ms >= 0 && request->retry.runs < request->retry.max_attempts) {
        wait_ms = MIN(wait_ms, stall_ms);
    }
    Request_SetAttemptTimer(request, wait_ms);
}

void
Request_GiveUp(struct request *request, const char *reason)
{
    if (request->search.active) {
        Successor_Postpone(request, reason);
        return;
    }
    request->retry.left_ms = Request_LeftMs(request);
    Response_EndByStep(request,
                       CmRetry_FinalStep(&request->retry, request->last_end),
                       reason);
}

void
Request_GiveUpForNow(struct request *request, const char *reason)
{
    if (!request->search.active && Request_MayResumeLater(request)) {
        Request_ResumeLater(request, reason);
        return;
    }
    if (!Request_KeepPlace(request, reason)) {
        Request_GiveUp(request, reason);
    }
}

/// Answers a request whose key is not accepted.
static void
reject_key(struct request *request, enum admission admission)
{
    struct gateway_counters *count = &request->gateway->count;
    if (admission == ADMISSION_TOO_OLD) {
        count->age_refusals.value++;
        Response_SendLocal(request, STATUS_UNAVAILABLE,
                           Admission_Reason(admission));
        return;
    }
    count->key_refusals.value++;
    Response_SendLocal(request, STATUS_UNAUTHORIZED,
                       Admission_Reason(admission));
}

/// Checks the key once more before an attempt, as the request may have waited,
/// or resumes its stream.
/// @return whether the attempt may be sent; otherwise the request is ended, or
/// goes on with its present attempt.
static bool
recheck_key(struct request *request)
{
    enum admission admission = Admission_Recheck(request);
    if (admission == ADMISSION_GRANTED) {
        return true;
    }
    Lease_Release(request);
    if (request->search.active || request->sends > 0) {
        Request_GiveUp(request, Admission_Reason(admission));
    }
    else {
        reject_key(request, admission);
    }
    return false;
}

void
Request_SendTo(struct request *request, struct cm_live_target *target)
{
    if (!recheck_key(request)) {
        return;
    }
    struct timespec now = Gateway_Now(request->gateway);
    // It may have waited for a lease, a permit or a trial.
    if (!CmTarget_MayGetWork(target, now)) {
        CmLog_Event(G_LOG_LEVEL_INFO, "place", request->parsed.id,
                    "%s may get no work any more: another target is picked",
                    target->id);
        Lease_Release(request);
        Request_Place(request);
        return;
    }
    if (Lease_IsOutdated(request)) {
        CmLog_Event(G_LOG_LEVEL_INFO, "place", request->parsed.id,
                    "the lease at %s is for an old version of %s", target->id,
                    request->parsed.adapter);
        Lease_Release(request);
        Request_Place(request);
        return;
    }
    if (!RetryBudget_AllowsSend(request)) {
        Lease_Release(request);
        Request_Place(request);
        return;
    }
    if (request->search.active && !Successor_Connect(request, target)) {
        return;
    }
    // Other gateways may have learned more since the request arrived.
    const char *reason;
    switch (TrialClaim_Admit(request, target, &reason)) {
    case TRIAL_WAITS:
        return;
    case TRIAL_REFUSED:
        Request_GiveUp(request, reason);
        return;
    case TRIAL_ADMITTED:
        break;
    }
    if (request->search.active) {
        Successor_TakeOver(request);
    }
    request->placement = PLACEMENT_NONE;
    evtimer_del(request->placement_timer);
    if (!TargetCall_Send(request, target)) {
        // The response of an earlier attempt is gone and can't be forwarded.
        request->last_end = CM_ATTEMPT_UNSENT;
        TrialClaim_CountUnsent(request);
        Request_GiveUpForNow(request, "no connection could be opened");
        return;
    }
    RetryBudget_CountSend(request);
    // From here on the target may execute the request.
    request->retry.runs++;
    request->progress_at = now;
    start_progress_timer(request);
}

void
Request_CountProgress(struct request *request)
{
    request->progress_at = Gateway_Now(request->gateway);
    Successor_CountProgress(request);
    start_progress_timer(request);
}

void
Request_ForwardEvents(struct request *request, const void *data, size_t size)
{
    struct attempt *attempt = &request->attempt;
    if (!attempt->response.has_stamp || attempt->invalid) {
        return;
    }
    if (StreamVersions_IsForeignAttempt(request)) {
        CmLog_Event(G_LOG_LEVEL_INFO, "stream", request->parsed.id,
                    "%s has started again with another software version: its "
                    "events are dropped",
                    attempt->target->id);
        attempt->invalid = true;
        return;
    }
    GString *events = g_string_new(NULL);
    int64_t forwarded = request->events.forwarded;
    if (!CmEventStream_Feed(&request->events, data, size, events)) {
        attempt->invalid = true;
    }
    if (request->events.forwarded > forwarded) {
        struct timespec now = Gateway_Now(request->gateway);
        if (request->first_event_at.tv_sec != 0) {
            request->longest_gap_ms =
                MAX(request->longest_gap_ms,
                    CmTime_DiffMs(now, request->last_event_at));
        }
        request->last_event_at = now;
        if (attempt->first_event_at.tv_sec == 0) {
            attempt->first_event_at = request->last_event_at;
        }
        if (request->first_event_at.tv_sec == 0) {
            request->first_event_at = request->last_event_at;
            Request_CountLatency(request, LATENCY_FIRST_EVENT);
        }
        PromptParts_CountEvents(request);
        Request_CountProgress(request);
    }
    if (events->len > 0) {
        StreamVersions_CountEvents(request);
        Response_WriteEvents(request, events);
        if (CmH1Conn_PendingOutput(&request->caller->conn) >
            UNREAD_MAX_BYTES) {
            request->caller_stalled = true;
            Request_SetAttemptTimer(request, 0);
        }
    }
    g_string_free(events, TRUE);
}

/// @return whether a stream ends with the response of its attempt. One that
/// has begun goes on with status 200 only: others carry no events.
static bool
ends_stream(const struct request *request)
{
    return CmEventStream_AtBoundary(&request->events) &&
           (request->attempt.response.status == STATUS_OK ||
            !request->retry.answer_started);
}

/// @return whether the attempt ended with a complete, valid response of
/// status 2xx.
static bool
is_success(const struct request *request, enum cm_h1_call_result end)
{
    const struct attempt *attempt = &request->attempt;
    const struct cm_target_response *response = &attempt->response;
    return end == CM_H1_CALL_COMPLETE && attempt->has_head &&
           !attempt->invalid && response->status >= STATUS_OK &&
           response->status < STATUS_REDIRECT && response->has_stamp &&
           (!request->route->stream || ends_stream(request));
}

/// @return whether the response may belong to an earlier request on the same
/// connection.
static bool
may_be_older(const struct attempt *attempt)
{
    return !attempt->response.names_request && attempt->call.reused;
}

static enum cm_attempt_end
classify(const struct request *request, enum cm_h1_call_result end)
{
    const struct attempt *attempt = &request->attempt;
    const struct cm_target_response *response = &attempt->response;
    if (end == CM_H1_CALL_NOT_CONNECTED) {
        return CM_ATTEMPT_UNSENT;
    }
    if (attempt->has_head && response->not_run && !may_be_older(attempt)) {
        return CM_ATTEMPT_REJECTED;
    }
    if (end == CM_H1_CALL_COMPLETE && response->has_stamp &&
        !attempt->invalid && response->status >= STATUS_REDIRECT) {
        return CmRetry_ClassifyStatus(response->status);
    }
    return CM_ATTEMPT_LOST;
}

static const char *
attempt_end_text(enum cm_attempt_end end)
{
    static const char *const texts[] = {
        "the target could not be reached", "the target did not run it",
        "the target failed", "the target broke off or fell silent"};
    return texts[end];
}

void
Request_CountAttemptEnd(struct request *request, enum cm_attempt_end end)
{
    struct cm_live_target *target = request->attempt.target;
    struct timespec now = Gateway_Now(request->gateway);
    CmLog_Event(G_LOG_LEVEL_INFO, "attempt", request->parsed.id,
                "%s at %s, software version %s: %s, status %d, last event "
                "%" PRId64 ", content %s",
                target->id, target->address, target->software,
                attempt_end_text(end), request->attempt.response.status,
                request->events.last_id,
                end == CM_ATTEMPT_LOST ? Request_Content(request) : "-");
    if (end == CM_ATTEMPT_UNSENT || end == CM_ATTEMPT_REJECTED) {
        request->retry.runs--;
    }
    if (end == CM_ATTEMPT_UNSENT) {
        TrialClaim_CountUnsent(request);
    }
    else if (end == CM_ATTEMPT_REJECTED) {
        TrialClaim_CountRejected(request);
    }
    // A target that asks for a pause has not failed.
    if (!request->attempt.response.has_pause &&
        (end == CM_ATTEMPT_UNSENT || end == CM_ATTEMPT_LOST)) {
        CmTarget_CountLost(target, now);
    }
    else if (end == CM_ATTEMPT_FAILED) {
        CmTarget_CountAnswer(target, true, now);
    }
    if (TargetNotices_IsAbsent(request)) {
        CmTarget_CountAbsent(target, now);
    }
    else if (request->attempt.response.misdirected &&
             request->parsed.adapter != NULL) {
        CmTarget_SetResident(target, request->parsed.adapter, false, now);
    }
    Request_ExcludeTarget(request, target);
    request->last_end = end;
    request->retry.left_ms = Request_LeftMs(request);
}

/// Retries at another target after a failed attempt, or ends the request if
/// the retry rules or the retry budget forbid that.
static void
retry_or_fail(struct request *request, enum cm_attempt_end end)
{
    bool searching = request->search.active;
    Successor_KeepForRetry(request);
    Request_CountAttemptEnd(request, end);
    enum cm_retry_step step = CmRetry_NextStep(&request->retry, end);
    if (step != CM_RETRY_RESEND) {
        Response_EndByStep(request, step, attempt_end_text(end));
        return;
    }
    if (!RetryBudget_MayRetry(request) && !Request_MayResumeLater(request)) {
        RetryBudget_CountDenied(request);
        Response_EndByStep(request, CmRetry_FinalStep(&request->retry, end),
                           "the budget of repeats is spent");
        return;
    }
    TargetCall_Cancel(request);
    CmEventStream_Resume(&request->events);
    request->gateway->count.retries.value++;
    if (!searching) {
        Request_Place(request);
    }
}

void
Request_FinishAttempt(struct request *request, enum cm_h1_call_result end)
{
    evtimer_del(request->attempt_timer);
    if (is_success(request, end)) {
        CmTarget_CountAnswer(request->attempt.target, false,
                             Gateway_Now(request->gateway));
        CrashWatch_CountCompleted(request);
        PromptParts_CountCompleted(request);
        if (request->route->stream) {
            Response_EndStream(request);
        }
        else {
            Response_Forward(request);
        }
        return;
    }
    enum cm_attempt_end attempt_end = classify(request, end);
    if (request->attempt.has_head && request->attempt.response.not_run &&
        attempt_end != CM_ATTEMPT_REJECTED) {
        CmLog_Event(G_LOG_LEVEL_INFO, "attempt", request->parsed.id,
                    "%s: status %d, not executed, names no request: it may "
                    "belong to an earlier one",
                    request->attempt.target->id,
                    request->attempt.response.status);
    }
    if (end == CM_H1_CALL_INTERRUPTED && attempt_end == CM_ATTEMPT_LOST &&
        !request->attempt.response.has_pause) {
        CrashWatch_CountCutOff(request);
    }
    else if (attempt_end == CM_ATTEMPT_FAILED) {
        CrashWatch_CountCompleted(request);
    }
    retry_or_fail(request, attempt_end);
}

static void
end_at_deadline(struct request *request)
{
    if (CmH1Call_Active(&request->attempt.call)) {
        CrashWatch_CountSilent(request);
    }
    if (request->retry.answer_started) {
        Response_Abort(request, "the deadline has passed");
        return;
    }
    if (request->retry.runs > 0) {
        Response_SendLocal(request, STATUS_GATEWAY_TIMEOUT,
                           "the target did not answer in time");
        return;
    }
    Response_SendLocal(request, STATUS_UNAVAILABLE,
                       "no target was free in time");
}

/// Looks for a successor, unless the target has since been found to be slow.
static void
end_stall(struct request *request)
{
    int64_t left_ms =
        stall_timeout_ms(request) -
        CmTime_DiffMs(Gateway_Now(request->gateway), request->progress_at);
    if (left_ms > STALL_ROUNDING_MS) {
        Request_SetAttemptTimer(request,
                                MIN(left_ms, Request_AttemptLeftMs(request)));
        return;
    }
    Successor_Search(request);
}

static void
on_attempt_timer(evutil_socket_t fd, short what, void *context)
{
    struct request *request = context;
    if (request->caller_stalled) {
        Request_EndUnread(request);
    }
    else if (Request_LeftMs(request) <= 0) {
        end_at_deadline(request);
    }
    else if (stall_timeout_ms(request) >= 0) {
        end_stall(request);
    }
    else {
        start_progress_timer(request);
    }
}

/// Handles the deadline of a request that is being placed. While an attempt
/// goes on, its own timer ends the request.
static void
end_placement(struct request *request)
{
    if (request->search.active) {
        Successor_Abandon(request);
    }
    else {
        end_at_deadline(request);
    }
}

static void
on_placement_timer(evutil_socket_t fd, short what, void *context)
{
    struct request *request = context;
    if (Request_LeftMs(request) <= 0) {
        end_placement(request);
        return;
    }
    switch (request->placement) {
    case PLACEMENT_QUOTA:
        Request_EndQuotaWait(request);
        break;
    case PLACEMENT_WAITING:
        Request_Place(request);
        break;
    case PLACEMENT_LEASING:
        Lease_MarkAgentDown(request);
        Request_LeaseDenied(request, "the agent's reply timed out");
        break;
    case PLACEMENT_CLAIMING:
        TrialClaim_HandleTimer(request);
        break;
    case PLACEMENT_CLAIMING_PERMIT:
    case PLACEMENT_CLAIMING_RETRY:
        Request_SetPlacementTimer(request, Request_LeftMs(request));
        break;
    case PLACEMENT_RESOLVING:
    case PLACEMENT_CONNECTING:
    case PLACEMENT_NONE:
        break;
    }
}

/// Sets deadline, retry limits and service of the request from its route.
static void
apply_route(struct request *request)
{
    const struct cm_route *route = request->route;
    int64_t wait_ms = request->parsed.timeout_ms;
    if (wait_ms < 0 || wait_ms > route->timeout_ms) {
        wait_ms = route->timeout_ms;
    }
    request->deadline = CmTime_AddMs(request->arrived_at, wait_ms);
    request->retry = (struct cm_retry_state){
        .mode = route->retry_mode, .max_attempts = route->max_attempts};
    request->service =
        CmRoute_ChooseService(route, g_rand_double(request->gateway->random));
    RetryBudget_CountRequest(request);
}

/// Counts the request for its adapter. The estimate for all gateways assumes
/// that they get about equal shares of the requests.
static void
count_demand(struct request *request)
{
    struct gateway *gateway = request->gateway;
    const char *adapter = request->parsed.adapter;
    if (adapter != NULL) {
        request->demand =
            CmDemand_Of(&gateway->demand, adapter, request->arrived_at) *
            (double)gateway->n_gateways;
        CmDemand_Count(&gateway->demand, adapter, request->arrived_at);
    }
}

/// Serves a request that is within its quota.
static void
begin_placement(struct request *request)
{
    request->placement = PLACEMENT_NONE;
    count_demand(request);
    if (StreamVersions_Resolve(request)) {
        Request_Place(request);
    }
}

static void
apply_quota(struct request *request, enum quota_admission admission)
{
    switch (admission) {
    case QUOTA_ADMITTED:
        begin_placement(request);
        break;
    case QUOTA_WAITS:
        request->placement = PLACEMENT_QUOTA;
        Request_SetPlacementTimer(
            request, MIN(CM_QUOTA_WAIT_MS, Request_LeftMs(request)));
        break;
    case QUOTA_DENIED:
        Response_SendLocal(request, STATUS_TOO_MANY_REQUESTS,
                           "the client account is beyond its quota");
        break;
    }
}

void
Request_EndQuotaWait(struct request *request)
{
    evtimer_del(request->placement_timer);
    apply_quota(request, Quotas_EndWait(request));
}

void
Request_Start(struct caller_conn *caller)
{
    struct gateway *gateway = caller->gateway;
    const struct cm_h1_head *head = CmH1Conn_Head(&caller->conn);
    struct request *request = g_new0(struct request, 1);
    caller->request = request;
    request->caller = caller;
    request->gateway = gateway;
    request->arrived_at = Gateway_Now(gateway);
    request->attempt_timer =
        evtimer_new(gateway->base, on_attempt_timer, request);
    request->placement_timer =
        evtimer_new(gateway->base, on_placement_timer, request);
    Successor_Init(&request->search);
    TargetCall_Init(request);
    gateway->n_requests++;
    gateway->count.requests.value++;
    CmCallCodec_DecodeRequest(head, &request->parsed);
    CmEventStream_Init(&request->events, request->parsed.last_event_id);
    if (caller->over_limit) {
        Response_SendLocal(request, STATUS_UNAVAILABLE,
                           "too many connections are open");
        return;
    }
    if (caller->has_no_memory) {
        Response_SendLocal(request, STATUS_UNAVAILABLE,
                           "requests take too much memory");
        return;
    }
    if (gateway->catalog == NULL) {
        Response_SendLocal(request, STATUS_UNAVAILABLE,
                           "no configuration is known yet");
        return;
    }
    request->catalog = CmCatalog_Ref(gateway->catalog);
    const char *host = CmH1Head_Find(head, "Host");
    if (host == NULL || request->parsed.id[0] == '\0') {
        Response_SendLocal(request, STATUS_BAD_REQUEST,
                           "the request has no host, or no valid id");
        return;
    }
    if (!CmCallCodec_HasValidNames(&request->parsed)) {
        Response_SendLocal(
            request, STATUS_BAD_REQUEST,
            "the id or the model is too long, or no valid UTF-8");
        return;
    }
    request->route =
        CmCatalog_FindRoute(request->catalog, host, head->target->str);
    if (request->route == NULL) {
        Response_SendLocal(request, STATUS_NOT_FOUND, "no route matches");
        return;
    }
    if (request->parsed.last_event_id >= 0) {
        CmLog_Event(G_LOG_LEVEL_INFO, "stream", request->parsed.id,
                    "the caller resumes the stream of %s after event %" PRId64,
                    request->parsed.resumes[0] != '\0'
                        ? request->parsed.resumes
                        : "an unnamed attempt",
                    request->parsed.last_event_id);
    }
    enum admission admission = Admission_Identify(request);
    if (admission != ADMISSION_GRANTED) {
        reject_key(request, admission);
        return;
    }
    apply_route(request);
    if (!Shutdown_Accepts(request)) {
        Response_SendLocal(request, STATUS_UNAVAILABLE, "the gateway stops");
        return;
    }
    if (CrashWatch_Refuses(request)) {
        Response_SendLocal(request, STATUS_UNAVAILABLE,
                           CrashWatch_Reason(request));
        return;
    }
    apply_quota(request, Quotas_Admit(request));
}

void
Request_Abandon(struct request *request, const char *reason)
{
    Response_Log(request, "abandoned", 0, reason);
    request->gateway->count.abandoned.value++;
    Request_Free(request);
}

void
Request_EndUnread(struct request *request)
{
    request->caller_stalled = true;
    Response_Abort(request, "the caller does not read its responses");
}

void
Request_EndForShutdown(struct request *request)
{
    if (request->retry.answer_started) {
        Response_Abort(request, "the gateway stops");
    }
    else if (request->retry.runs > 0) {
        Response_SendLocal(request, STATUS_GATEWAY_TIMEOUT,
                           "the gateway stops");
    }
    else {
        Response_SendLocal(request, STATUS_UNAVAILABLE, "the gateway stops");
    }
}
