/// @file target_call.c
/// Sends a request to a target and receives the response.

#include "target_call.h"

#include "base/hash.h"
#include "crash_watch.h"
#include "lease.h"
#include "rate_limits.h"
#include "target_notices.h"

/// Largest response body that is buffered before it is forwarded.
#define BODY_MAX_BYTES ((size_t)8 * 1024 * 1024)
/// Memory for the bodies of all responses that are buffered. Half of what a
/// gateway may use (64 MiB), as a body is copied when it is forwarded. Beyond
/// it the longest response ends as one that is too long.
#define ALL_BODIES_MAX_BYTES ((size_t)32 * 1024 * 1024)
/// Longest idle time of a pooled connection that is reused. A request that
/// must not run twice gets the shorter limit, as the target may just be
/// closing an idle connection.
#define IDLE_NO_RETRY_MAX_MS 500
#define IDLE_RETRY_MAX_MS 10000
#define STATUS_OK 200
#define STATUS_REDIRECT 300

static bool
is_success(int status)
{
    return status >= STATUS_OK && status < STATUS_REDIRECT;
}

/// Counts what the response says of the target's speed. A misdirected request
/// was answered by another incarnation, and a response without a stamp perhaps
/// by an intermediary.
static void
count_pace(struct request *request)
{
    const struct attempt *attempt = &request->attempt;
    const struct cm_target_response *response = &attempt->response;
    if (response->has_pace && response->has_stamp && !response->misdirected) {
        CmPace_Add(&attempt->target->pace, response->pace_percent,
                   Gateway_Now(request->gateway));
        request->gateway->count.pace_figures.value++;
    }
}

static bool
on_head(void *context, const struct cm_h1_head *head)
{
    struct request *request = context;
    struct attempt *attempt = &request->attempt;
    if (!CmCallCodec_DecodeResponse(head, request->parsed.id,
                                    &attempt->response)) {
        return false;
    }
    attempt->has_head = true;
    CrashWatch_CountResponse(request);
    RateLimits_CountResponse(request);
    TargetNotices_CountResponse(request);
    if (attempt->response.has_load) {
        CmTarget_SetReportedLoad(attempt->target, attempt->response.running,
                                 attempt->response.waiting,
                                 Gateway_Now(request->gateway));
    }
    count_pace(request);
    g_string_truncate(attempt->head, 0);
    CmCallCodec_ComposeResponseHead(head, attempt->head);
    if (!request->route->stream && is_success(attempt->response.status)) {
        Request_CountProgress(request);
    }
    return true;
}

/// Forgets the body of the last attempt and frees its memory.
static void
drop_body(struct request *request)
{
    struct attempt *attempt = &request->attempt;
    if (attempt->body != NULL) {
        request->gateway->response_bytes -= attempt->body->allocated_len;
        g_string_free(attempt->body, TRUE);
        attempt->body = NULL;
    }
}

static void
begin_body(struct request *request)
{
    drop_body(request);
    request->attempt.body = g_string_new(NULL);
    request->gateway->response_bytes += request->attempt.body->allocated_len;
}

static void
append_body(struct request *request, const void *data, size_t size)
{
    GString *body = request->attempt.body;
    request->gateway->response_bytes -= body->allocated_len;
    g_string_append_len(body, data, (gssize)size);
    request->gateway->response_bytes += body->allocated_len;
}

/// @return the request whose response body takes the most memory.
static struct request *
find_longest_response(struct gateway *gateway)
{
    struct request *longest = NULL;
    struct caller_conn *caller;
    TAILQ_FOREACH(caller, &gateway->callers, link)
    {
        struct request *request = caller->request;
        if (request != NULL && request->attempt.body != NULL &&
            CmH1Call_Active(&request->attempt.call) &&
            (longest == NULL || request->attempt.body->allocated_len >
                                    longest->attempt.body->allocated_len)) {
            longest = request;
        }
    }
    return longest;
}

/// Ends the longest responses while all bodies take too much memory.
static void
limit_bodies(struct gateway *gateway)
{
    while (gateway->response_bytes > ALL_BODIES_MAX_BYTES) {
        struct request *longest = find_longest_response(gateway);
        if (longest == NULL) {
            return;
        }
        CmH1Call_Cancel(&longest->attempt.call);
        begin_body(longest);
        Request_FinishAttempt(longest, CM_H1_CALL_INVALID);
    }
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct request *request = context;
    struct attempt *attempt = &request->attempt;
    if (request->route->stream && is_success(attempt->response.status)) {
        Request_ForwardEvents(request, data, size);
        if (attempt->invalid || !attempt->response.has_stamp) {
            // What follows is not read, and it may have no end.
            CmH1Call_Cancel(&attempt->call);
            Request_FinishAttempt(request, CM_H1_CALL_INVALID);
        }
        return;
    }
    if (attempt->body->len + size > BODY_MAX_BYTES) {
        attempt->invalid = true;
        return;
    }
    append_body(request, data, size);
    if (is_success(attempt->response.status)) {
        Request_CountProgress(request);
    }
    // May end this request.
    limit_bodies(request->gateway);
}

static void
release_target(struct request *request)
{
    struct attempt *attempt = &request->attempt;
    if (attempt->target != NULL) {
        attempt->target->in_flight--;
        CmTarget_Unref(attempt->target);
        attempt->target = NULL;
    }
}

static void
on_end(void *context, enum cm_h1_call_result end)
{
    Request_FinishAttempt(context, end);
}

static const struct cm_h1_call_handler call_handler = {on_head, on_body,
                                                       on_end};

/// @return whether the request has been sent to the target's address before.
static bool
was_sent_to(const struct request *request, const struct cm_live_target *target)
{
    if (request->sends > CM_SENT_TO_MAX) {
        return true;
    }
    uint64_t hash = CmHash_Text(target->address, 0);
    for (int i = 0; i < request->sends; i++) {
        if (request->sent_to[i] == hash) {
            return true;
        }
    }
    return false;
}

/// @return a call without its message. On a connection that has carried the
/// request before, the target may write its former response once more, which
/// names the same request.
static struct cm_h1_call_request
compose_call(const struct request *request,
             const struct cm_live_target *target)
{
    const struct cm_route *route = request->route;
    return (struct cm_h1_call_request){
        .address = target->address,
        .idle_max_ms = route->retry_mode == CM_RETRY_MODE_NEVER
                           ? IDLE_NO_RETRY_MAX_MS
                           : IDLE_RETRY_MAX_MS,
        .unused_only = was_sent_to(request, target),
        .body_max_bytes = route->stream ? 0 : BODY_MAX_BYTES,
    };
}

bool
TargetCall_HasConnection(const struct request *request,
                         const struct cm_live_target *target)
{
    struct cm_h1_call_request call = compose_call(request, target);
    return CmH1Pool_HasConnection(&request->gateway->pool, &call);
}

static void
count_send(struct request *request, const struct cm_live_target *target)
{
    if (request->sends < CM_SENT_TO_MAX) {
        request->sent_to[request->sends] = CmHash_Text(target->address, 0);
    }
    request->sends++;
    request->gateway->count.sends.value++;
}

bool
TargetCall_Send(struct request *request, struct cm_live_target *target)
{
    struct attempt *attempt = &request->attempt;
    struct gateway *gateway = request->gateway;
    release_target(request);
    const char *adapter = request->parsed.adapter;
    struct timespec now = Gateway_Now(gateway);
    struct cm_forward_params forward = {
        .incarnation_id = target->id,
        .remaining_ms = CmTime_DiffMs(request->deadline, now),
        .version = adapter != NULL
                       ? CmTargets_Version(&gateway->targets, adapter)
                       : 0,
        .priority =
            request->parsed.model != NULL ? request->engine_priority : -1,
        .last_event_id = request->events.last_id,
        .has_accounts = request->catalog->accounts != NULL,
        .account = request->account != NULL ? request->account->name : NULL,
    };
    GString *message = g_string_new(NULL);
    CmCallCodec_ComposeRequest(CmH1Conn_Head(&request->caller->conn),
                               request->caller->body, &forward, message);
    if (attempt->head == NULL) {
        attempt->head = g_string_new(NULL);
    }
    begin_body(request);
    attempt->is_trial = request->trial.running;
    attempt->has_head = false;
    attempt->response = (struct cm_target_response){0};
    attempt->invalid = false;
    attempt->sent_at = now;
    attempt->sent_wall_ms = CmClock_WallMs(gateway->clock);
    attempt->first_event_at = (struct timespec){0};
    attempt->parts_cleared = false;
    request->binding.by_attempt = false;
    struct cm_h1_call_request call = compose_call(request, target);
    call.message = message;
    bool started = CmH1Call_Start(&attempt->call, &gateway->pool, &call,
                                  &call_handler, request);
    if (started) {
        attempt->target = CmTarget_Ref(target);
        target->in_flight++;
        count_send(request, target);
        Lease_HandOver(request);
        RateLimits_CountSend(request, target);
        if (request->parsed.model != NULL) {
            CmTarget_AddPrompt(target, request->parsed.prompt_tokens, now);
        }
    }
    g_string_free(message, TRUE);
    return started;
}

void
TargetCall_Cancel(struct request *request)
{
    CmH1Call_Cancel(&request->attempt.call);
    Lease_ReleaseAttempt(request);
    release_target(request);
}

void
TargetCall_Finish(struct request *request)
{
    TargetCall_Cancel(request);
    if (request->attempt.head != NULL) {
        g_string_free(request->attempt.head, TRUE);
    }
    drop_body(request);
}
