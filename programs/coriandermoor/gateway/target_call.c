/// @file target_call.c
/// Sends a request to a target and receives the response.

#include "target_call.h"

#include <stddef.h>

#include "base/hash.h"
#include "crash_watch.h"
#include "lease.h"
#include "rate_limits.h"
#include "target_notices.h"

/// Largest response body that is buffered before it is forwarded.
#define BODY_MAX_BYTES ((size_t)8 * 1024 * 1024)
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

/// Updates the memory that the response takes.
static void
update_hold(struct request *request)
{
    const struct attempt *attempt = &request->attempt;
    size_t body = attempt->body != NULL ? attempt->body->allocated_len : 0;
    CmMemoryHold_Set(&request->attempt.hold,
                     body + CmEventStream_HeldBytes(&request->events));
}

/// Forgets the body of the last attempt and frees its memory.
static void
drop_body(struct request *request)
{
    struct attempt *attempt = &request->attempt;
    if (attempt->body != NULL) {
        g_string_free(attempt->body, TRUE);
        attempt->body = NULL;
    }
}

static void
begin_body(struct request *request)
{
    drop_body(request);
    request->attempt.body = g_string_new(NULL);
    update_hold(request);
}

/// Ends a response as one that is too long, as all of them take too much
/// memory.
static void
release_response(struct cm_memory_hold *hold)
{
    struct request *request =
        (struct request *)((char *)hold -
                           offsetof(struct request, attempt.hold));
    CmH1Call_Cancel(&request->attempt.call);
    CmEventStream_Resume(&request->events);
    begin_body(request);
    hold->release = NULL;
    Request_FinishAttempt(request, CM_H1_CALL_INVALID);
}

/// Counts what has arrived of a response. May end this request.
static void
count_response(struct request *request)
{
    update_hold(request);
    CmMemoryBudget_Enforce(&request->gateway->memory, CM_MEMORY_RESPONSES);
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
            return;
        }
        count_response(request);
        return;
    }
    if (attempt->body->len + size > BODY_MAX_BYTES) {
        attempt->invalid = true;
        return;
    }
    g_string_append_len(attempt->body, data, (gssize)size);
    if (is_success(attempt->response.status)) {
        Request_CountProgress(request);
    }
    count_response(request);
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
    struct request *request = context;
    request->attempt.hold.release = NULL;
    Request_FinishAttempt(request, end);
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
        attempt->hold.release = release_response;
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
    request->attempt.hold.release = NULL;
    Lease_ReleaseAttempt(request);
    release_target(request);
}

void
TargetCall_Init(struct request *request)
{
    CmMemoryHold_Init(&request->attempt.hold, &request->gateway->memory,
                      CM_MEMORY_RESPONSES, NULL);
}

void
TargetCall_Finish(struct request *request)
{
    TargetCall_Cancel(request);
    if (request->attempt.head != NULL) {
        g_string_free(request->attempt.head, TRUE);
    }
    drop_body(request);
    CmMemoryHold_Finish(&request->attempt.hold);
}
