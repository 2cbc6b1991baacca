/// @file responses.c
/// Writes responses to callers: forwarded from targets, streamed, or generated
/// by the gateway.

#include "responses.h"

#include <inttypes.h>

#include "base/log.h"
#include "dispatch/retry_after.h"
#include "h1/writer.h"
#include "request.h"
#include "stream_versions.h"

#define STATUS_BAD_GATEWAY 502
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_UNAVAILABLE 503

void
Response_Log(const struct request *request, const char *outcome, int status,
             const char *reason)
{
    const struct cm_live_target *target = request->attempt.target;
    CmLog_Event(
        G_LOG_LEVEL_INFO, "answer", request->parsed.id,
        "%s %d after %" PRId64 " ms, sent at %" PRId64
        ", first event at %" PRId64 ", longest gap %" PRId64 " ms"
        ", route %s, account %s, adapter %s, %d "
        "sends, %zu tried, target %s, software "
        "version %s%s%s",
        outcome, status,
        Request_SinceArrivalMs(request, Gateway_Now(request->gateway)),
        Request_SinceArrivalMs(request, request->attempt.sent_at),
        Request_SinceArrivalMs(request, request->first_event_at),
        request->longest_gap_ms,
        request->route != NULL ? request->route->name : "-",
        request->account != NULL ? request->account->name : "-",
        request->parsed.adapter != NULL ? request->parsed.adapter : "-",
        request->sends, request->n_excluded, target != NULL ? target->id : "-",
        target != NULL ? target->software : "-", reason[0] != '\0' ? ": " : "",
        reason);
}

/// Frees the request after its response has been written, and prepares the
/// connection for the next one.
static void
finish_response(struct request *request, bool keep)
{
    struct caller_conn *caller = request->caller;
    Request_Free(request);
    CallerConn_EndResponse(caller, keep);
}

/// @return -1 if the caller is not to retry.
static int64_t
retry_after_ms(struct request *request)
{
    if (request->quarantined) {
        return -1;
    }
    if (request->quota.retry_ms > 0) {
        return request->quota.retry_ms;
    }
    int64_t stream_ms;
    if (StreamVersions_RetryAfterMs(request, &stream_ms)) {
        return stream_ms;
    }
    double draw = g_rand_double(request->gateway->random);
    if (request->pause_left_ms > 0) {
        return CmRetryAfter_AtPauseMs(request->pause_left_ms, draw);
    }
    return request->at_limit_ms > 0
               ? CmRetryAfter_AtLimitMs(request->at_limit_ms,
                                        request->gateway->limit_refusals, draw)
               : CmRetryAfter_Ms(request->min_queue_wait_ms, request->priority,
                                 draw);
}

void
Response_SendLocal(struct request *request, int status, const char *reason)
{
    bool refusal =
        status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS;
    GString *out = g_string_new(NULL);
    CmCallCodec_ComposeError(out, status, request->parsed.id, reason,
                             refusal ? retry_after_ms(request) : -1);
    CmH1Conn_Write(&request->caller->conn, out->str, out->len);
    g_string_free(out, TRUE);
    Response_Log(request, refusal ? "refused" : "failed", status, reason);
    Request_CountLatency(request, LATENCY_LOCAL);
    if (refusal) {
        request->gateway->count.refused.value++;
    }
    else {
        request->gateway->count.failed.value++;
    }
    finish_response(request, CallerConn_KeepsAlive(request->caller));
}

void
Response_Forward(struct request *request)
{
    struct attempt *attempt = &request->attempt;
    bool keep = CallerConn_KeepsAlive(request->caller);
    GString *out = attempt->head;
    if (!keep) {
        CmH1Writer_Header(out, "Connection", "close");
    }
    CmH1Writer_Body(out, attempt->body->str, attempt->body->len);
    CmH1Conn_Write(&request->caller->conn, out->str, out->len);
    Response_Log(request, "answered", attempt->response.status, "");
    Request_CountLatency(request, LATENCY_RESPONSE);
    request->gateway->count.answered.value++;
    finish_response(request, keep);
}

void
Response_Abort(struct request *request, const char *reason)
{
    struct caller_conn *caller = request->caller;
    bool deliver = !request->caller_stalled;
    Response_Log(request, "cut", 0, reason);
    request->gateway->count.cut.value++;
    Request_Free(request);
    CallerConn_Abort(caller, deliver);
}

void
Response_EndByStep(struct request *request, enum cm_retry_step step,
                   const char *reason)
{
    switch (step) {
    case CM_RETRY_PASS_FAILURE:
        Response_Forward(request);
        break;
    case CM_RETRY_REFUSE:
        Response_SendLocal(request, STATUS_UNAVAILABLE, reason);
        break;
    case CM_RETRY_CUT:
        Response_Abort(request, reason);
        break;
    default:
        Response_SendLocal(request, STATUS_BAD_GATEWAY, reason);
        break;
    }
}

void
Response_WriteEvents(struct request *request, const GString *events)
{
    struct caller_conn *caller = request->caller;
    GString *out = g_string_new(NULL);
    if (!request->retry.answer_started) {
        request->retry.answer_started = true;
        request->keep_alive = CallerConn_KeepsAlive(caller);
        g_string_append_len(out, request->attempt.head->str,
                            (gssize)request->attempt.head->len);
        if (!request->keep_alive) {
            CmH1Writer_Header(out, "Connection", "close");
        }
        CmH1Writer_StartChunks(out);
    }
    CmH1Writer_Chunk(out, events->str, events->len);
    CmH1Conn_Write(&caller->conn, out->str, out->len);
    g_string_free(out, TRUE);
}

void
Response_EndStream(struct request *request)
{
    GString *out = g_string_new(NULL);
    if (!request->retry.answer_started) {
        GString *none = g_string_new(NULL);
        Response_WriteEvents(request, none);
        g_string_free(none, TRUE);
    }
    CmH1Writer_EndChunks(out);
    CmH1Conn_Write(&request->caller->conn, out->str, out->len);
    g_string_free(out, TRUE);
    Response_Log(request, "answered", request->attempt.response.status, "");
    Request_CountLatency(request, LATENCY_STREAM);
    request->gateway->count.answered.value++;
    finish_response(request, request->keep_alive);
}
