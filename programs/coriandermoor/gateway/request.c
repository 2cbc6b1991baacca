/// @file request.c
/// Places a request, follows its attempts and answers it.

#include "request.h"

#include <inttypes.h>
#include <string.h>

#include "target_call.h"
#include "base/log.h"
#include "h1/writer.h"
#include "lease.h"
#include "request_defs.h"

/// Longest wait for an adapter at one agent: a load from the store under
/// contention; another engine is quicker after that.
#define LEASE_WAIT_MS 2000
/// Added for the agent's answer to arrive.
#define LEASE_GRACE_MS 100
/// Time for which an agent that did not answer is left alone.
#define AGENT_DOWN_MS 1000
/// Prompts ahead at an engine that are accepted without a look at others, and
/// agents that may say busy before one is taken as it is.
#define BACKLOG_MAX_MS 150
#define BUSY_ASKS_MAX 3
/// Silence after which a stream that may be resumed goes on elsewhere: before
/// its first event, several prefills; then several times the slowest step.
#define FIRST_EVENT_SILENCE_MS 1300
#define EVENT_SILENCE_MS 900
/// Silence of a plain target after which a repeatable request goes elsewhere,
/// in times of the route's target latency.
#define PLAIN_SILENCE_TARGETS 1.5
/// Time that a stream may go on beyond its deadline before it is cut.
#define STREAM_GRACE_MS 100
/// When callers may come back after a refusal: from, and spread over.
#define RETRY_AFTER_MS 150
#define RETRY_SPREAD_MS 250
/// Output that a caller has not read beyond which its stream is cut.
#define UNREAD_MAX ((size_t)1024 * 1024)

#define STATUS_OK 200
#define STATUS_REDIRECT 300
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504

static void
place(struct request *request);

static void
request_free(struct request *request)
{
    Lease_Release(request);
    TargetCall_Finish(request);
    if (request->lease.body != NULL) {
        g_string_free(request->lease.body, TRUE);
    }
    CmEvents_Finish(&request->events);
    CmCallCodec_FinishRequest(&request->asked);
    CmCatalog_Unref(request->catalog);
    for (size_t i = 0; i < request->n_tried; i++) {
        CmTarget_Unref(request->tried[i]);
    }
    event_free(request->timer);
    request->gateway->n_requests--;
    g_free(request);
}

/// @return ms from the request's arrival to `then`, -1 if that never came.
static int64_t
since_arrival_ms(const struct request *request, struct timespec then)
{
    return then.tv_sec == 0 ? -1 : CmTime_DiffMs(then, request->arrived);
}

static void
log_end(const struct request *request, const char *outcome, int status,
        const char *reason)
{
    const struct cm_live_target *target = request->attempt.target;
    CmLog_Event(G_LOG_LEVEL_INFO, "answer", request->asked.id,
                "%s %d after %" PRId64 " ms, sent at %" PRId64
                ", first event at %" PRId64
                ", route %s, adapter %s, %d sends, %zu tried, target %s%s%s",
                outcome, status,
                since_arrival_ms(request, Gateway_Now(request->gateway)),
                since_arrival_ms(request, request->attempt.sent),
                since_arrival_ms(request, request->first_event),
                request->route != NULL ? request->route->name : "-",
                request->asked.adapter != NULL ? request->asked.adapter : "-",
                request->sends, request->n_tried,
                target != NULL ? target->id : "-",
                reason[0] != '\0' ? ": " : "", reason);
}

static void
count_latency(const struct request *request, enum gateway_latency latency)
{
    CmHistogram_Add(&request->gateway->latency[latency],
                    since_arrival_ms(request, Gateway_Now(request->gateway)));
}

/// Ends the request after its answer has been written.
static void
answered(struct request *request, bool keep)
{
    struct caller *caller = request->caller;
    request_free(request);
    Caller_Answered(caller, keep);
}

static int64_t
retry_after_ms(struct request *request)
{
    return RETRY_AFTER_MS +
           g_rand_int_range(request->gateway->random, 0, RETRY_SPREAD_MS);
}

/// Answers with a status of the gateway's own.
static void
answer_own(struct request *request, int status, const char *reason)
{
    bool refusal = status == STATUS_UNAVAILABLE;
    GString *out = g_string_new(NULL);
    CmCallCodec_Refusal(out, status, request->asked.id, reason,
                        refusal ? retry_after_ms(request) : -1);
    CmH1Conn_Write(&request->caller->conn, out->str, out->len);
    g_string_free(out, TRUE);
    log_end(request, refusal ? "refused" : "failed", status, reason);
    count_latency(request, LATENCY_OWN);
    if (refusal) {
        request->gateway->count.refused.value++;
    }
    else {
        request->gateway->count.failed.value++;
    }
    answered(request, Caller_Keeps(request->caller));
}

/// Passes a target's response on as it is.
static void
pass_response(struct request *request)
{
    struct attempt *attempt = &request->attempt;
    bool keep = Caller_Keeps(request->caller);
    GString *out = attempt->head;
    if (!keep) {
        CmH1Writer_Header(out, "Connection", "close");
    }
    CmH1Writer_Body(out, attempt->body->str, attempt->body->len);
    CmH1Conn_Write(&request->caller->conn, out->str, out->len);
    log_end(request, "answered", attempt->answer.status, "");
    count_latency(request, LATENCY_PLAIN);
    request->gateway->count.answered.value++;
    answered(request, keep);
}

/// Breaks an answer off that has begun.
static void
cut(struct request *request, const char *reason)
{
    struct caller *caller = request->caller;
    log_end(request, "cut", 0, reason);
    request->gateway->count.cut.value++;
    request_free(request);
    Caller_Cut(caller);
}

static void
finish_by(struct request *request, enum cm_life_step step, const char *reason)
{
    switch (step) {
    case CM_LIFE_PASS:
        pass_response(request);
        break;
    case CM_LIFE_REFUSE:
        answer_own(request, STATUS_UNAVAILABLE, reason);
        break;
    case CM_LIFE_CUT:
        cut(request, reason);
        break;
    default:
        answer_own(request, STATUS_BAD_GATEWAY, reason);
        break;
    }
}

static void
set_timer(struct request *request, int64_t ms)
{
    struct timeval timeout = CmTime_Timeval(MAX(ms, 1));
    evtimer_add(request->timer, &timeout);
}

static int64_t
left_ms(const struct request *request)
{
    return CmTime_DiffMs(request->deadline, Gateway_Now(request->gateway));
}

static void
add_tried(struct request *request, struct cm_live_target *target)
{
    if (request->n_tried < CM_TRIED_MAX) {
        request->tried[request->n_tried++] = CmTarget_Ref(target);
    }
}

/// @return for how long a target may be silent, or -1 for "until the
/// deadline".
static int64_t
silence_ms(const struct request *request)
{
    const struct cm_route *route = request->route;
    switch (route->repeat) {
    case CM_REPEAT_RESUME:
        return request->phase == REQUEST_STREAMING ? EVENT_SILENCE_MS
                                                   : FIRST_EVENT_SILENCE_MS;
    case CM_REPEAT_ALWAYS:
        return (int64_t)((double)route->target_ms * PLAIN_SILENCE_TARGETS);
    default:
        return -1;
    }
}

static void
set_progress_timer(struct request *request)
{
    int64_t grace = request->phase == REQUEST_STREAMING ? STREAM_GRACE_MS : 0;
    int64_t wait_ms = left_ms(request) + grace;
    int64_t silence = silence_ms(request);
    if (silence >= 0 && request->life.runs < request->life.max_attempts) {
        wait_ms = MIN(wait_ms, silence);
    }
    set_timer(request, wait_ms);
}

static void
give_up(struct request *request, const char *reason)
{
    request->life.left_ms = left_ms(request);
    finish_by(request, CmLife_GiveUp(&request->life, request->last_end),
              reason);
}

static void
send_to(struct request *request, struct cm_live_target *target)
{
    struct timespec now = Gateway_Now(request->gateway);
    if (request->sends > 0) {
        struct cm_budget *budget =
            Gateway_Budget(request->gateway, request->service);
        if (!CmBudget_Spend(budget, now)) {
            give_up(request, "the budget of repeats is spent");
            return;
        }
    }
    request->phase = REQUEST_SENT;
    if (!TargetCall_Send(request, target)) {
        give_up(request, "no connection could be opened");
        return;
    }
    // From here on the request may run there.
    request->life.runs++;
    set_progress_timer(request);
}

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
    CmLog_Event(
        G_LOG_LEVEL_INFO, "place", request->asked.id,
        "asks %s at %s for %s: cost %.0f ms, %s, backlog %.0f ms "
        "told %" PRId64 " ms ago, %zu candidates",
        target->id, target->address, request->asked.adapter, pick->cost_ms,
        pick->holds ? "holds it" : "has to load it",
        CmTarget_BacklogMs(target, now),
        target->told.at.tv_sec != 0 ? CmTime_DiffMs(now, target->told.at) : -1,
        pick->candidates);
}

/// @return how many prompts may be ahead. An engine that is best although it
/// said busy is taken as it is, and so is any after a few asks.
static int64_t
backlog_max_ms(const struct request *request,
               const struct cm_live_target *target)
{
    if (request->busy_asks >= BUSY_ASKS_MAX || target == request->busy_last) {
        return INT64_MAX;
    }
    return BACKLOG_MAX_MS * (1 + request->busy_asks);
}

/// Asks for the adapter at the best engine.
/// @return false if there is no engine left to ask.
static bool
place_adapter(struct request *request, const struct cm_pick_request *wanted)
{
    struct cm_pick_request next = *wanted;
    struct cm_pick pick;
    while (next.n_tried < CM_TRIED_MAX) {
        CmPick_Engine(&request->gateway->targets, &next,
                      Gateway_Now(request->gateway), &pick);
        if (pick.target == NULL) {
            return false;
        }
        if (agent_is_down(request, pick.target)) {
            if (pick.holds) {
                send_to(request, pick.target);
                return true;
            }
        }
        else {
            log_choice(request, &pick);
            int64_t wait_ms = MIN(LEASE_WAIT_MS, left_ms(request));
            request->phase = REQUEST_LEASING;
            if (Lease_Ask(request, pick.target, wait_ms,
                          backlog_max_ms(request, pick.target))) {
                set_timer(request, wait_ms + LEASE_GRACE_MS);
                return true;
            }
        }
        add_tried(request, pick.target);
        next.n_tried = request->n_tried;
    }
    return false;
}

static void
place(struct request *request)
{
    struct cm_pick_request wanted = {
        .service = request->service,
        .adapter = request->asked.adapter,
        .tokens = request->asked.tokens,
        .tried = request->tried,
        .n_tried = request->n_tried,
    };
    if (wanted.adapter != NULL) {
        if (!place_adapter(request, &wanted)) {
            give_up(request, "no engine can take the adapter");
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
        give_up(request, "no target can take the request");
        return;
    }
    send_to(request, pick.target);
}

void
Request_Leased(struct request *request)
{
    struct cm_live_target *target = request->lease.target;
    if (target->draining || target->gone) {
        Request_NotLeased(request, "the target is leaving");
        return;
    }
    count_latency(request, LATENCY_LEASE);
    send_to(request, target);
}

void
Request_NotLeased(struct request *request, const char *why)
{
    struct cm_live_target *target = request->lease.target;
    if (request->lease.busy) {
        // Picks again, with what the agent has just told.
        request->lease.busy = false;
        request->busy_asks++;
        request->busy_last = target;
        Lease_Release(request);
        place(request);
        return;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "lease", request->asked.id,
                "%s does not give %s: %s", target->id, request->asked.adapter,
                why);
    add_tried(request, target);
    Lease_Release(request);
    if (left_ms(request) < CM_RETRY_MIN_LEFT_MS ||
        request->n_tried >= CM_TRIED_MAX) {
        give_up(request, "no engine has room for the adapter");
        return;
    }
    place(request);
}

/// Writes what has arrived of a stream.
static void
write_events(struct request *request, const GString *events)
{
    struct caller *caller = request->caller;
    GString *out = g_string_new(NULL);
    if (!request->life.began) {
        request->life.began = true;
        request->keep = Caller_Keeps(caller);
        g_string_append_len(out, request->attempt.head->str,
                            (gssize)request->attempt.head->len);
        if (!request->keep) {
            CmH1Writer_Header(out, "Connection", "close");
        }
        CmH1Writer_StartChunks(out);
    }
    CmH1Writer_Chunk(out, events->str, events->len);
    CmH1Conn_Write(&caller->conn, out->str, out->len);
    g_string_free(out, TRUE);
}

void
Request_Events(struct request *request, const void *data, size_t size)
{
    struct attempt *attempt = &request->attempt;
    if (!attempt->answer.has_stamp || attempt->broken) {
        return;
    }
    GString *events = g_string_new(NULL);
    if (!CmEvents_Feed(&request->events, data, size, events)) {
        attempt->broken = true;
    }
    if (events->len > 0) {
        request->phase = REQUEST_STREAMING;
        request->last_event = Gateway_Now(request->gateway);
        if (request->first_event.tv_sec == 0) {
            request->first_event = request->last_event;
            count_latency(request, LATENCY_FIRST_EVENT);
        }
        write_events(request, events);
        set_progress_timer(request);
    }
    g_string_free(events, TRUE);
}

static void
finish_stream(struct request *request)
{
    GString *out = g_string_new(NULL);
    if (!request->life.began) {
        GString *none = g_string_new(NULL);
        write_events(request, none);
        g_string_free(none, TRUE);
    }
    CmH1Writer_EndChunks(out);
    CmH1Conn_Write(&request->caller->conn, out->str, out->len);
    g_string_free(out, TRUE);
    log_end(request, "answered", request->attempt.answer.status, "");
    count_latency(request, LATENCY_STREAM);
    request->gateway->count.answered.value++;
    answered(request, request->keep);
}

/// @return whether the attempt brought a complete success.
static bool
is_success(const struct request *request, enum cm_h1_call_end end)
{
    const struct attempt *attempt = &request->attempt;
    const struct cm_target_answer *answer = &attempt->answer;
    return end == CM_H1_CALL_WHOLE && attempt->has_head && !attempt->broken &&
           answer->status >= STATUS_OK && answer->status < STATUS_REDIRECT &&
           answer->has_stamp &&
           (!request->route->stream || CmEvents_AtBoundary(&request->events));
}

static enum cm_attempt_end
classify(const struct request *request, enum cm_h1_call_end end)
{
    const struct attempt *attempt = &request->attempt;
    const struct cm_target_answer *answer = &attempt->answer;
    if (end == CM_H1_CALL_UNSENT) {
        return CM_ATTEMPT_UNSENT;
    }
    if (attempt->has_head && answer->not_run) {
        return CM_ATTEMPT_REJECTED;
    }
    if (end == CM_H1_CALL_WHOLE && answer->has_stamp && !attempt->broken &&
        answer->status >= STATUS_REDIRECT) {
        return CM_ATTEMPT_FAILED;
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
        CmTarget_Lost(target, now);
    }
    else if (end == CM_ATTEMPT_FAILED) {
        CmTarget_Answered(target, true, now);
    }
    if (request->attempt.answer.wrong && request->asked.adapter != NULL) {
        CmTarget_SetHolds(target, request->asked.adapter, false, now);
    }
    add_tried(request, target);
    CmTarget_Unref(target);
    request->last_end = end;
    request->life.left_ms = left_ms(request);
    enum cm_life_step step = CmLife_After(&request->life, end);
    if (step != CM_LIFE_AGAIN) {
        finish_by(request, step, describe(end));
        return;
    }
    struct cm_budget *budget =
        Gateway_Budget(request->gateway, request->service);
    if (!CmBudget_Allows(budget, now)) {
        finish_by(request, CmLife_GiveUp(&request->life, end),
                  "the budget of repeats is spent");
        return;
    }
    Lease_Release(request);
    TargetCall_Cancel(request);
    CmEvents_Resume(&request->events);
    request->gateway->count.resumes.value++;
    place(request);
}

void
Request_AttemptEnded(struct request *request, enum cm_h1_call_end end)
{
    evtimer_del(request->timer);
    if (is_success(request, end)) {
        CmTarget_Answered(request->attempt.target, false,
                          Gateway_Now(request->gateway));
        if (request->route->stream) {
            finish_stream(request);
        }
        else {
            pass_response(request);
        }
        return;
    }
    go_on(request, classify(request, end));
}

static void
on_deadline(struct request *request)
{
    if (request->life.began) {
        cut(request, "the deadline has passed");
        return;
    }
    if (request->life.runs > 0) {
        answer_own(request, STATUS_GATEWAY_TIMEOUT,
                   "the target did not answer in time");
        return;
    }
    answer_own(request, STATUS_UNAVAILABLE, "no target was free in time");
}

/// @return whether another target could take the request now.
static bool
can_move(struct request *request)
{
    struct gateway *gateway = request->gateway;
    struct timespec now = Gateway_Now(gateway);
    struct cm_live_target *tried[CM_TRIED_MAX + 1];
    memcpy(tried, request->tried, sizeof(request->tried));
    tried[request->n_tried] = request->attempt.target;
    struct cm_pick_request wanted = {
        .service = request->service,
        .adapter = request->asked.adapter,
        .tried = tried,
        .n_tried = request->n_tried + 1,
    };
    struct cm_pick pick;
    if (request->asked.model != NULL) {
        CmPick_Engine(&gateway->targets, &wanted, now, &pick);
    }
    else {
        CmPick_Plain(&gateway->targets, &wanted, now, &pick);
    }
    return pick.target != NULL && request->n_tried < CM_TRIED_MAX &&
           request->life.runs < request->life.max_attempts &&
           CmBudget_Allows(Gateway_Budget(gateway, request->service), now);
}

/// The target has been silent for long: leaves it only for another one.
static void
on_silence(struct request *request)
{
    if (!can_move(request)) {
        set_timer(request, MIN(left_ms(request) + STREAM_GRACE_MS,
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
    if (left_ms(request) <= 0) {
        on_deadline(request);
    }
    else if (request->phase == REQUEST_LEASING) {
        request->lease.target->agent_down_until =
            CmTime_AddMs(Gateway_Now(request->gateway), AGENT_DOWN_MS);
        Request_NotLeased(request, "no answer in time");
    }
    else if (silence_ms(request) >= 0) {
        on_silence(request);
    }
    else {
        set_progress_timer(request);
    }
}

static void
init_life(struct request *request)
{
    const struct cm_route *route = request->route;
    int64_t wait_ms = request->asked.wait_ms;
    if (wait_ms < 0 || wait_ms > route->timeout_ms) {
        wait_ms = route->timeout_ms;
    }
    request->deadline = CmTime_AddMs(request->arrived, wait_ms);
    request->life = (struct cm_life){.repeat = route->repeat,
                                     .max_attempts = route->max_attempts};
    request->service =
        CmRoute_Service(route, g_rand_double(request->gateway->random));
    CmBudget_Request(Gateway_Budget(request->gateway, request->service),
                     request->arrived);
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
    CmCallCodec_Request(head, &request->asked);
    CmEvents_Init(&request->events, request->asked.last_event);
    if (gateway->catalog == NULL) {
        answer_own(request, STATUS_UNAVAILABLE,
                   "no configuration is known yet");
        return;
    }
    request->catalog = CmCatalog_Ref(gateway->catalog);
    const char *host = CmH1Head_Find(head, "Host");
    if (host == NULL || request->asked.id[0] == '\0') {
        answer_own(request, STATUS_BAD_REQUEST,
                   "the request has no host or no id");
        return;
    }
    request->route =
        CmCatalog_Route(request->catalog, host, head->target->str);
    if (request->route == NULL) {
        answer_own(request, STATUS_NOT_FOUND, "no route matches");
        return;
    }
    init_life(request);
    place(request);
}

void
Request_Abandon(struct request *request)
{
    log_end(request, "abandoned", 0, "the caller has gone");
    request->gateway->count.abandoned.value++;
    request_free(request);
}

void
Request_Stop(struct request *request)
{
    if (request->life.began) {
        cut(request, "the gateway stops");
    }
    else if (request->life.runs > 0) {
        answer_own(request, STATUS_GATEWAY_TIMEOUT, "the gateway stops");
    }
    else {
        answer_own(request, STATUS_UNAVAILABLE, "the gateway stops");
    }
}
