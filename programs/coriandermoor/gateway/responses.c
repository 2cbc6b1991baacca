/// @file responses.c
/// What a caller gets: a target's response, events of a stream, or a status
/// of the gateway's own.

#include "responses.h"

#include <inttypes.h>

#include "base/log.h"
#include "dispatch/retry_after.h"
#include "h1/writer.h"
#include "request.h"

#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503

void
Answer_Log(const struct request *request, const char *outcome, int status,
           const char *reason)
{
    const struct cm_live_target *target = request->attempt.target;
    CmLog_Event(G_LOG_LEVEL_INFO, "answer", request->asked.id,
                "%s %d after %" PRId64 " ms, sent at %" PRId64
                ", first event at %" PRId64
                ", route %s, adapter %s, %d sends, %zu tried, target %s%s%s",
                outcome, status,
                Request_SinceArrivalMs(request, Gateway_Now(request->gateway)),
                Request_SinceArrivalMs(request, request->attempt.sent),
                Request_SinceArrivalMs(request, request->first_event),
                request->route != NULL ? request->route->name : "-",
                request->asked.adapter != NULL ? request->asked.adapter : "-",
                request->sends, request->n_tried,
                target != NULL ? target->id : "-",
                reason[0] != '\0' ? ": " : "", reason);
}

/// Ends the request after its answer has been written.
static void
answered(struct request *request, bool keep)
{
    struct caller *caller = request->caller;
    Request_Free(request);
    Caller_Answered(caller, keep);
}

static int64_t
retry_after_ms(struct request *request)
{
    return CmRetryAfter_Ms(request->ahead_told_ms,
                           g_rand_double(request->gateway->random));
}

/// Answers with a status of the gateway's own.
void
Answer_Own(struct request *request, int status, const char *reason)
{
    bool refusal = status == STATUS_UNAVAILABLE;
    GString *out = g_string_new(NULL);
    CmCallCodec_ComposeError(out, status, request->asked.id, reason,
                             refusal ? retry_after_ms(request) : -1);
    CmH1Conn_Write(&request->caller->conn, out->str, out->len);
    g_string_free(out, TRUE);
    Answer_Log(request, refusal ? "refused" : "failed", status, reason);
    Request_CountLatency(request, LATENCY_OWN);
    if (refusal) {
        request->gateway->count.refused.value++;
    }
    else {
        request->gateway->count.failed.value++;
    }
    answered(request, Caller_Keeps(request->caller));
}

/// Passes a target's response on as it is.
void
Answer_Pass(struct request *request)
{
    struct attempt *attempt = &request->attempt;
    bool keep = Caller_Keeps(request->caller);
    GString *out = attempt->head;
    if (!keep) {
        CmH1Writer_Header(out, "Connection", "close");
    }
    CmH1Writer_Body(out, attempt->body->str, attempt->body->len);
    CmH1Conn_Write(&request->caller->conn, out->str, out->len);
    Answer_Log(request, "answered", attempt->answer.status, "");
    Request_CountLatency(request, LATENCY_PLAIN);
    request->gateway->count.answered.value++;
    answered(request, keep);
}

/// Breaks an answer off that has begun.
void
Answer_Cut(struct request *request, const char *reason)
{
    struct caller *caller = request->caller;
    Answer_Log(request, "cut", 0, reason);
    request->gateway->count.cut.value++;
    Request_Free(request);
    Caller_Cut(caller);
}

void
Answer_By(struct request *request, enum cm_retry_step step, const char *reason)
{
    switch (step) {
    case CM_RETRY_PASS_FAILURE:
        Answer_Pass(request);
        break;
    case CM_RETRY_REFUSE:
        Answer_Own(request, STATUS_UNAVAILABLE, reason);
        break;
    case CM_RETRY_CUT:
        Answer_Cut(request, reason);
        break;
    default:
        Answer_Own(request, STATUS_BAD_GATEWAY, reason);
        break;
    }
}

/// Writes what has arrived of a stream.
void
Answer_Events(struct request *request, const GString *events)
{
    struct caller *caller = request->caller;
    GString *out = g_string_new(NULL);
    if (!request->life.answer_started) {
        request->life.answer_started = true;
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
Answer_EndStream(struct request *request)
{
    GString *out = g_string_new(NULL);
    if (!request->life.answer_started) {
        GString *none = g_string_new(NULL);
        Answer_Events(request, none);
        g_string_free(none, TRUE);
    }
    CmH1Writer_EndChunks(out);
    CmH1Conn_Write(&request->caller->conn, out->str, out->len);
    g_string_free(out, TRUE);
    Answer_Log(request, "answered", request->attempt.answer.status, "");
    Request_CountLatency(request, LATENCY_STREAM);
    request->gateway->count.answered.value++;
    answered(request, request->keep);
}
