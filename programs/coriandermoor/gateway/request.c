/// @file request.c
/// A request from its arrival to its end: what follows each attempt, silence
/// and deadlines.

#include "request.h"

#include <inttypes.h>
#include <string.h>

#include "responses.h"
#include "base/log.h"
#include "lease.h"
#include "placement.h"
#include "target_call.h"

/// Silence after which a stream that may be resumed goes on elsewhere: before
/// its first event, several prefills; then several times the slowest step.
#define FIRST_EVENT_SILENCE_MS 1300
#define EVENT_SILENCE_MS 900
/// Silence of a plain target after which a repeatable request goes elsewhere,
/// in times of the route's target latency.
#define PLAIN_SILENCE_TARGETS 1.5
/// Time from the start of a planned stop within which any request is taken:
/// callers know of the stop soon after, and their streams end in the rest.
#define STOP_TAKES_MS 2500
/// Time that a stream may go on beyond its deadline before it is cut.
#define STREAM_GRACE_MS 100
/// Output that a caller has not read beyond which its stream is cut.
#define UNREAD_MAX ((size_t)1024 * 1024)

#define STATUS_OK 200
#define STATUS_REDIRECT 300
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504

void
Request_Free(struct request *request)
{
    Lease_Release(request);
    TargetCall_Finish(request);
    if (request->lease.body != NULL) {
        g_string_free(request->lease.body, TRUE);
    }
    CmEventStream_Finish(&request->events);
    CmCallCodec_FinishRequest(&request->asked);
    CmCatalog_Unref(request->catalog);
    Request_ForgetTried(request);
    event_free(request->timer);
    request->gateway->n_requests--;
    g_free(request);
}

/// @return ms from the request's arrival to `then`, -1 if that never came.
int64_t
Request_SinceArrivalMs(const struct request *request, struct timespec then)
{
    return then.tv_sec == 0 ? -1 : CmTime_DiffMs(then, request->arrived);
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
Request_SetTimer(struct request *request, int64_t ms)
{
    struct timeval timeout = CmTime_Timeval(MAX(ms, 1));
    evtimer_add(request->timer, &timeout);
}

int64_t
Request_LeftMs(const struct request *request)
{
    return CmTime_DiffMs(request->deadline, Gateway_Now(request->gateway));
}

void
Request_AddTried(struct request *request, struct cm_live_target *target)
{
    if (request->n_tried < CM_EXCLUDED_MAX) {
        request->tried[request->n_tried++] = CmTarget_Ref(target);
    }
}

void
Request_ForgetTried(struct request *request)
{
    for (size_t i = 0; i < request->n_tried; i++) {
        CmTarget_Unref(request->tried[i]);
    }
    request->n_tried = 0;
}

/// @return for how long a target may be silent, or -1 for "until the
/// deadline".
static int64_t
silence_ms(const struct request *request)
{
    const struct cm_route *route = request->route;
    switch (route->retry_mode) {
    case CM_RETRY_MODE_RESUME:
        return request->phase == REQUEST_STREAMING ? EVENT_SILENCE_MS
                                                   : FIRST_EVENT_SILENCE_MS;
    case CM_RETRY_MODE_IDEMPOTENT:
        return (int64_t)((double)route->target_latency_ms *
                         PLAIN_SILENCE_TARGETS);
    default:
        return -1;
    }
}

static void
watch_progress(struct request *request)
{
    int64_t grace = request->phase == REQUEST_STREAMING ? STREAM_GRACE_MS : 0;
    int64_t wait_ms = Request_LeftMs(request) + grace;
    int64_t silence = silence_ms(request);
    if (silence >= 0 && request->life.runs < request->life.max_attempts) {
        wait_ms = MIN(wait_ms, silence);
    }
    Request_SetTimer(request, wait_ms);
}

void
Request_GiveUp(struct request *request, const char *reason)
{
    request->life.left_ms = Request_LeftMs(request);
    Answer_By(request, CmRetry_FinalStep(&request->life, request->last_end),
              reason);
}

void
Request_SendTo(struct request *request, struct cm_live_target *target)
{
    struct timespec now = Gateway_Now(request->gateway);
    if (request->sends > 0) {
        struct cm_retry_window *budget =
            Gateway_Budget(request->gateway, request->service);
        if (!CmRetryWindow_Consume(budget, now)) {
            Request_GiveUp(request, "the budget of repeats is spent");
            return;
        }
    }
    request->phase = REQUEST_SENT;
    if (!TargetCall_Send(request, target)) {
        // What an earlier attempt brought is no longer there to be passed on.
        request->last_end = CM_ATTEMPT_UNSENT;
        Request_GiveUp(request, "no connection could be opened");
        return;
    }
    // From here on the request may run there.
    request->life.runs++;
    watch_progress(request);
}

void
Request_Events(struct request *request, const void *data, size_t size)
{
    struct attempt *attempt = &request->attempt;
    if (!attempt->answer.has_stamp || attempt->broken) {
        return;
    }
    GString *events = g_string_new(NULL);
    if (!CmEventStream_Feed(&request->events, data, size, events)) {
        attempt->broken = true;
    }
    if (events->len > 0) {
        request->phase = REQUEST_STREAMING;
        request->last_event = Gateway_Now(request->gateway);
        if (request->first_event.tv_sec == 0) {
            request->first_event = request->last_event;
            Request_CountLatency(request, LATENCY_FIRST_EVENT);
        }
        Answer_Events(request, events);
        watch_progress(request);
        if (CmH1Conn_PendingOutput(&request->caller->conn) > UNREAD_MAX) {
            request->unread = true;
            Request_SetTimer(request, 0);
        }
    }
    g_string_free(events, TRUE);
}

/// @return whether the attempt brought a complete success.
static bool
is_success(const struct request *request, enum cm_h1_call_result end)
{
    const struct attempt *attempt = &request->attempt;
    const struct cm_target_response *answer = &attempt->answer;
    return end == CM_H1_CALL_COMPLETE && attempt->has_head &&
           !attempt->broken && answer->status >= STATUS_OK &&
           answer->status < STATUS_REDIRECT && answer->has_stamp &&
           (!request->route->stream ||
            CmEventStream_AtBoundary(&request->events));
}

static enum cm_attempt_end
classify(const struct request *request, enum cm_h1_call_result end)
{
    const struct attempt *attempt = &request->attempt;
    const struct cm_target_response *answer = &attempt->answer;
    if (end == CM_H1_CALL_NOT_CONNECTED) {
        return CM_ATTEMPT_UNSENT;
    }
    if (attempt->has_head && answer->not_run) {
        return CM_ATTEMPT_REJECTED;
    }
    if (end == CM_H1_CALL_COMPLETE && answer->has_stamp && !attempt->broken &&
        answer->status >= STATUS_REDIRECT) {
        return CmRetry_ClassifyStatus(answer->status);
    }
    return CM_ATTEMPT_LOST;
}

static const char *
describe(enum cm_attempt_end end)
{
    static const char *const texts[] = {
        "the target could not be reached", "the target did not run it",
        "the target failed", "the target broke off or fell silent"};
    return texts[end];
}

/// Goes on after an attempt without success.
static void
go_on(struct request *request, enum cm_attempt_end end)
{
    struct cm_live_target *target = CmTarget_Ref(request->attempt.target);
    struct timespec now = Gateway_Now(request->gateway);
    CmLog_Event(G_LOG_LEVEL_INFO, "attempt", request->asked.id,
                "%s at %s: %s, status %d", target->id, target->address,
                describe(end), request->attempt.answer.status);
    if (end == CM_ATTEMPT_UNSENT || end == CM_ATTEMPT_REJECTED) {
        request->life.runs--;
    }
    if (end == CM_ATTEMPT_UNSENT || end == CM_ATTEMPT_LOST) {
        CmTarget_CountLost(target, now);
    }
    else if (end == CM_ATTEMPT_FAILED) {
        CmTarget_CountAnswer(target, true, now);
    }
    if (request->attempt.answer.misdirected &&
        request->asked.adapter != NULL) {
        CmTarget_SetResident(target, request->asked.adapter, false, now);
    }
    Request_AddTried(request, target);
    CmTarget_Unref(target);
    request->last_end = end;
    request->life.left_ms = Request_LeftMs(request);
    enum cm_retry_step step = CmRetry_NextStep(&request->life, end);
    if (step != CM_RETRY_RESEND) {
        Answer_By(request, step, describe(end));
        return;
    }
    struct cm_retry_window *budget =
        Gateway_Budget(request->gateway, request->service);
    if (!CmRetryWindow_Allows(budget, now)) {
        Answer_By(request, CmRetry_FinalStep(&request->life, end),
                  "the budget of repeats is spent");
        return;
    }
    Lease_Release(request);
    TargetCall_Cancel(request);
    CmEventStream_Resume(&request->events);
    request->gateway->count.resumes.value++;
    Request_Place(request);
}

void
Request_AttemptEnded(struct request *request, enum cm_h1_call_result end)
{
    evtimer_del(request->timer);
    if (is_success(request, end)) {
        CmTarget_CountAnswer(request->attempt.target, false,
                             Gateway_Now(request->gateway));
        if (request->route->stream) {
            Answer_EndStream(request);
        }
        else {
            Answer_Pass(request);
        }
        return;
    }
    go_on(request, classify(request, end));
}

static void
on_deadline(struct request *request)
{
    if (request->life.answer_started) {
        Answer_Cut(request, "the deadline has passed");
        return;
    }
    if (request->life.runs > 0) {
        Answer_Own(request, STATUS_GATEWAY_TIMEOUT,
                   "the target did not answer in time");
        return;
    }
    Answer_Own(request, STATUS_UNAVAILABLE, "no target was free in time");
}

/// @return whether another target could take the request now.
static bool
can_move(struct request *request)
{
    struct gateway *gateway = request->gateway;
    struct timespec now = Gateway_Now(gateway);
    struct cm_live_target *tried[CM_EXCLUDED_MAX + 1];
    memcpy(tried, request->tried, sizeof(request->tried));
    tried[request->n_tried] = request->attempt.target;
    struct cm_pick_request wanted = {
        .service = request->service,
        .adapter = request->asked.adapter,
        .needs_model = request->asked.model != NULL,
        .excluded = tried,
        .n_excluded = request->n_tried + 1,
    };
    struct cm_pick pick;
    if (request->asked.model != NULL) {
        CmPick_Engine(&gateway->targets, &wanted, now, &pick);
    }
    else {
        CmPick_Plain(&gateway->targets, &wanted, now, &pick);
    }
    return pick.target != NULL && request->n_tried < CM_EXCLUDED_MAX &&
           request->life.runs < request->life.max_attempts &&
           CmRetryWindow_Allows(Gateway_Budget(gateway, request->service),
                                now);
}

/// The target has been silent for long: leaves it only for another one.
static void
on_silence(struct request *request)
{
    if (!can_move(request)) {
        Request_SetTimer(request,
                         MIN(Request_LeftMs(request) + STREAM_GRACE_MS,
                             silence_ms(request)));
        return;
    }
    // The run ends with its connection.
    CmH1Call_Cancel(&request->attempt.call);
    go_on(request, CM_ATTEMPT_LOST);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct request *request = context;
    if (request->unread) {
        Answer_Cut(request, "the caller does not read its stream");
    }
    else if (Request_LeftMs(request) <= 0) {
        on_deadline(request);
    }
    else if (request->phase == REQUEST_PARKED) {
        Request_Place(request);
    }
    else if (request->phase == REQUEST_LEASING) {
        Lease_AgentIsDown(request);
        Request_NotLeased(request, "no answer in time");
    }
    else if (silence_ms(request) >= 0) {
        on_silence(request);
    }
    else {
        watch_progress(request);
    }
}

static void
init_life(struct request *request)
{
    const struct cm_route *route = request->route;
    int64_t wait_ms = request->asked.timeout_ms;
    if (wait_ms < 0 || wait_ms > route->timeout_ms) {
        wait_ms = route->timeout_ms;
    }
    request->deadline = CmTime_AddMs(request->arrived, wait_ms);
    request->life = (struct cm_retry_state){
        .mode = route->retry_mode, .max_attempts = route->max_attempts};
    request->service =
        CmRoute_ChooseService(route, g_rand_double(request->gateway->random));
    CmRetryWindow_CountRequest(
        Gateway_Budget(request->gateway, request->service), request->arrived);
}

/// @return whether a planned stop leaves the request the time it may take.
static bool
fits_the_stop(const struct request *request)
{
    const struct gateway *gateway = request->gateway;
    int64_t since_ms =
        CmTime_DiffMs(Gateway_Now(gateway), gateway->leaving_since);
    return !gateway->leaving || since_ms < STOP_TAKES_MS ||
           Request_LeftMs(request) < Gateway_StopLeftMs(gateway);
}

void
Request_Start(struct caller *caller)
{
    struct gateway *gateway = caller->gateway;
    const struct cm_h1_head *head = CmH1Conn_Head(&caller->conn);
    struct request *request = g_new0(struct request, 1);
    caller->request = request;
    request->caller = caller;
    request->gateway = gateway;
    request->arrived = Gateway_Now(gateway);
    request->timer = evtimer_new(gateway->base, on_timer, request);
    gateway->n_requests++;
    gateway->count.requests.value++;
    CmCallCodec_DecodeRequest(head, &request->asked);
    CmEventStream_Init(&request->events, request->asked.last_event_id);
    if (caller->excess) {
        Answer_Own(request, STATUS_UNAVAILABLE,
                   "too many connections are open");
        return;
    }
    if (gateway->catalog == NULL) {
        Answer_Own(request, STATUS_UNAVAILABLE,
                   "no configuration is known yet");
        return;
    }
    request->catalog = CmCatalog_Ref(gateway->catalog);
    const char *host = CmH1Head_Find(head, "Host");
    if (host == NULL || request->asked.id[0] == '\0') {
        Answer_Own(request, STATUS_BAD_REQUEST,
                   "the request has no host or no id");
        return;
    }
    request->route =
        CmCatalog_FindRoute(request->catalog, host, head->target->str);
    if (request->route == NULL) {
        Answer_Own(request, STATUS_NOT_FOUND, "no route matches");
        return;
    }
    init_life(request);
    if (!fits_the_stop(request)) {
        Answer_Own(request, STATUS_UNAVAILABLE, "the gateway stops");
        return;
    }
    Request_Place(request);
}

void
Request_Abandon(struct request *request)
{
    Answer_Log(request, "abandoned", 0, "the caller has gone");
    request->gateway->count.abandoned.value++;
    Request_Free(request);
}

void
Request_Stop(struct request *request)
{
    if (request->life.answer_started) {
        Answer_Cut(request, "the gateway stops");
    }
    else if (request->life.runs > 0) {
        Answer_Own(request, STATUS_GATEWAY_TIMEOUT, "the gateway stops");
    }
    else {
        Answer_Own(request, STATUS_UNAVAILABLE, "the gateway stops");
    }
}
