/// @file attempts.c
/// Attempts: the messages between the entry and one agent about one request.

#include "attempts.h"

#include <string.h>

#include "base/log.h"
#include "links.h"

/// Time for the agent's answer to arrive before the caller's deadline. The
/// agent gets a deadline that is earlier by it.
#define DEADLINE_MARGIN_MS 20

static struct attempt *
new_attempt(struct exchange *exchange, struct agent_link *link)
{
    struct attempt *attempt = g_new0(struct attempt, 1);
    attempt->link = link;
    attempt->exchange = exchange;
    attempt->created_at = Entry_Now(exchange->entry);
    attempt->suspect = exchange->suspect;
    attempt->incarnation = link->incarnation;
    TAILQ_INSERT_TAIL(&link->attempts, attempt, in_link);
    TAILQ_INSERT_TAIL(&exchange->attempts, attempt, in_exchange);
    link->last_used_at = attempt->created_at;
    if (!link->open) {
        Link_Open(link);
    }
    return attempt;
}

struct attempt *
Attempt_New(struct exchange *exchange, struct agent_link *link, bool loads)
{
    struct attempt *attempt = new_attempt(exchange, link);
    attempt->id = g_strdup_printf("%s.%u", exchange->id, exchange->n_attempts);
    attempt->stream = g_strdup(attempt->id);
    attempt->needs_load = loads;
    CmRouter_RecordSend(link->target, exchange->adapter, loads,
                        attempt->suspect, attempt->created_at);
    g_hash_table_insert(exchange->entry->streams, attempt->stream, attempt);
    return attempt;
}

struct attempt *
Attempt_NewAttached(struct exchange *exchange, struct agent_link *link,
                    const char *job, uint64_t incarnation)
{
    struct attempt *attempt = new_attempt(exchange, link);
    attempt->id = g_strdup(job);
    attempt->stream =
        g_strdup_printf("%s.a%u", exchange->id, exchange->n_attempts++);
    attempt->attached = true;
    attempt->incarnation = incarnation;
    attempt->phase = CM_ATTEMPT_STARTED;
    CmRouter_RecordSend(link->target, NULL, false, attempt->suspect,
                        attempt->created_at);
    g_hash_table_insert(exchange->entry->streams, attempt->stream, attempt);
    return attempt;
}

void
Attempt_Free(struct attempt *attempt, bool failed)
{
    struct entry *entry = attempt->exchange->entry;
    struct agent_link *link = attempt->link;
    if (link->target != NULL) {
        CmRouter_RecordEnd(&entry->router, link->target, failed,
                           attempt->suspect, Entry_Now(entry));
    }
    g_hash_table_remove(entry->streams, attempt->stream);
    TAILQ_REMOVE(&link->attempts, attempt, in_link);
    TAILQ_REMOVE(&attempt->exchange->attempts, attempt, in_exchange);
    g_free(attempt->id);
    g_free(attempt->stream);
    g_free(attempt);
}

void
Attempt_CancelJob(struct attempt *attempt)
{
    if (attempt->phase == CM_ATTEMPT_UNSENT || attempt->attached) {
        return;
    }
    struct cm_message message = {.type = CM_MSG_CANCEL};
    message.cancel.id = CmBytes_FromText(attempt->id);
    Link_Send(attempt->link, &message);
}

void
Attempt_Cancel(struct attempt *attempt)
{
    Attempt_CancelJob(attempt);
    Attempt_Free(attempt, false);
}

/// @return whether the message was queued on the connection.
static bool
send_submit(struct attempt *attempt)
{
    const struct exchange *exchange = attempt->exchange;
    struct entry *entry = exchange->entry;
    int64_t remaining_ms = Exchange_RemainingMs(exchange) - DEADLINE_MARGIN_MS;
    struct cm_message message = {.type = CM_MSG_SUBMIT};
    struct cm_msg_submit *submit = &message.submit;
    submit->id = CmBytes_FromText(attempt->id);
    submit->service = CmBytes_FromText(exchange->service->name);
    submit->adapter = CmBytes_FromText(exchange->adapter);
    submit->method = CmBytes_FromText(exchange->method);
    submit->path = CmBytes_FromText(exchange->path);
    submit->headers = CmBytes_FromText(exchange->headers);
    submit->body = (struct cm_bytes){exchange->body->str, exchange->body->len};
    submit->fingerprint = CmBytes_FromText(exchange->fingerprint);
    submit->key = CmBytes_FromText(exchange->key);
    submit->incarnation = attempt->incarnation;
    submit->sent_ms = Links_ClockMs(entry);
    submit->deadline_ms = remaining_ms > 0 ? (uint64_t)remaining_ms : 0;
    submit->priority = (uint64_t)exchange->priority;
    submit->window = CM_ANSWER_WINDOW_BYTES;
    submit->retain = exchange->key != NULL;
    submit->retryable = exchange->idempotent;
    return Link_Send(attempt->link, &message);
}

static void
send_attach(struct attempt *attempt)
{
    struct cm_message message = {.type = CM_MSG_ATTACH};
    message.attach.id = CmBytes_FromText(attempt->id);
    message.attach.stream = CmBytes_FromText(attempt->stream);
    message.attach.offset = attempt->received_bytes;
    message.attach.window = CM_ANSWER_WINDOW_BYTES;
    attempt->sent_at = Entry_Now(attempt->exchange->entry);
    Link_Send(attempt->link, &message);
}

void
Attempt_Send(struct attempt *attempt)
{
    struct agent_link *link = attempt->link;
    attempt->awaits_claim = false;
    if (!link->ready) {
        return; // resume_attempts() sends it after the link's first report
    }
    if (attempt->attached) {
        send_attach(attempt);
        return;
    }
    if (attempt->exchange->idempotent && attempt->phase == CM_ATTEMPT_UNSENT) {
        // An idempotent request has no claim that names an incarnation, so
        // it may run in whichever incarnation is up.
        attempt->incarnation = link->incarnation;
    }
    attempt->sent_at = Entry_Now(attempt->exchange->entry);
    if (!send_submit(attempt)) {
        return;
    }
    attempt->submit_count++;
    if (attempt->phase == CM_ATTEMPT_UNSENT) {
        attempt->phase = CM_ATTEMPT_SENT;
    }
}

void
Attempt_Resume(struct attempt *attempt)
{
    if (attempt->awaits_claim) {
        return;
    }
    if (attempt->phase == CM_ATTEMPT_UNSENT ||
        attempt->phase == CM_ATTEMPT_SENT) {
        Attempt_Send(attempt);
        return;
    }
    attempt->resend_requested = true;
    send_attach(attempt);
}

void
Attempt_CheckTimeouts(struct attempt *attempt, struct timespec now)
{
    if (attempt->awaits_claim || attempt->attached) {
        return;
    }
    if (attempt->phase == CM_ATTEMPT_UNSENT) {
        if (CmTime_DiffMs(now, attempt->created_at) >=
            CM_ATTEMPT_SEND_TIMEOUT_MS) {
            Exchange_HandleAttemptFailure(attempt->exchange, attempt,
                                          CM_ATTEMPT_AGENT_TIMEOUT,
                                          CM_REASON_UNREACHABLE);
        }
        else if (attempt->link->ready) {
            Attempt_Send(attempt);
        }
        return;
    }
    if (attempt->phase == CM_ATTEMPT_SENT && attempt->link->ready &&
        CmTime_DiffMs(now, attempt->sent_at) >= CM_SUBMIT_RETRY_MS) {
        // If the first copy arrived, the agent recognizes the id.
        Attempt_Send(attempt);
    }
}

void
Attempt_SendCredit(struct attempt *attempt)
{
    if (attempt->received_bytes == attempt->credited_bytes &&
        attempt->received_bytes > 0) {
        return;
    }
    attempt->credited_bytes = attempt->received_bytes;
    struct cm_message message = {.type = CM_MSG_CREDIT};
    message.credit.stream = CmBytes_FromText(attempt->stream);
    message.credit.received = attempt->received_bytes;
    message.credit.window = CM_ANSWER_WINDOW_BYTES;
    Link_Send(attempt->link, &message);
}

static struct attempt *
find_by_stream(const struct agent_link *link, struct cm_bytes stream)
{
    char *name = CmBytes_Dup(stream);
    struct attempt *attempt = g_hash_table_lookup(link->entry->streams, name);
    g_free(name);
    return attempt != NULL && attempt->link == link ? attempt : NULL;
}

void
Attempts_HandleAccepted(struct agent_link *link, struct cm_bytes id)
{
    struct attempt *attempt = find_by_stream(link, id);
    if (attempt != NULL && attempt->phase < CM_ATTEMPT_ACCEPTED) {
        attempt->phase = CM_ATTEMPT_ACCEPTED;
    }
}

void
Attempts_HandleStarted(struct agent_link *link, struct cm_bytes id)
{
    struct attempt *attempt = find_by_stream(link, id);
    if (attempt != NULL) {
        attempt->phase = CM_ATTEMPT_STARTED;
    }
}

void
Attempts_HandleHead(struct agent_link *link, const struct cm_msg_head *head)
{
    struct attempt *attempt = find_by_stream(link, head->stream);
    if (attempt == NULL || attempt->head_received) {
        return;
    }
    attempt->phase = CM_ATTEMPT_STARTED;
    attempt->exchange->stall_ms = (int64_t)head->stall_ms;
    attempt->exchange->queue_ms = (int64_t)head->queue_ms;
    Exchange_ReceiveHead(attempt->exchange, attempt, (int)head->status,
                         CmBytes_Dup(head->headers));
}

/// Requests the answer again from the first byte that did not arrive. Later
/// calls do nothing until further bytes arrive.
static void
request_missing_bytes(struct attempt *attempt)
{
    if (!attempt->resend_requested) {
        attempt->resend_requested = true;
        send_attach(attempt);
    }
}

void
Attempts_HandleChunk(struct agent_link *link, const struct cm_msg_chunk *chunk)
{
    struct attempt *attempt = find_by_stream(link, chunk->stream);
    if (attempt == NULL || !attempt->head_received) {
        return;
    }
    size_t end = chunk->offset + chunk->data.size;
    if (chunk->offset > attempt->received_bytes) {
        request_missing_bytes(attempt);
        return;
    }
    if (end <= attempt->received_bytes) {
        return; // duplicate
    }
    attempt->resend_requested = false;
    size_t skip = attempt->received_bytes - chunk->offset;
    if (!Exchange_ReceiveData(attempt->exchange, attempt,
                              chunk->data.data + skip,
                              chunk->data.size - skip)) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "exchange", attempt->exchange->id,
                    "answer of a retry differs from the first one; "
                    "failing the attempt");
        attempt->exchange->overflowed = true;
        Attempt_CancelJob(attempt);
        Exchange_HandleAttemptFailure(attempt->exchange, attempt,
                                      CM_ATTEMPT_ABORTED,
                                      CM_REASON_ADAPTER_MISMATCH);
    }
}

void
Attempts_HandleEnd(struct agent_link *link, const struct cm_msg_end *end)
{
    struct attempt *attempt = find_by_stream(link, end->stream);
    if (attempt == NULL) {
        return;
    }
    enum cm_reason reason = (enum cm_reason)end->reason;
    if (end->outcome == CM_OUTCOME_RAN) {
        if (attempt->head_received && attempt->received_bytes == end->size) {
            Exchange_Complete(attempt->exchange, attempt);
        }
        else {
            request_missing_bytes(attempt);
        }
        return;
    }
    // CM_REASON_STALE_INCARNATION comes from another incarnation, which has no
    // record of whether an earlier copy ran. If only one copy was sent, it is
    // the rejected one and did not run.
    bool rejected = reason == CM_REASON_STALE_INCARNATION &&
                    !attempt->attached && attempt->submit_count == 1 &&
                    attempt->phase == CM_ATTEMPT_SENT;
    bool not_run = end->outcome == CM_OUTCOME_NOT_RUN || rejected;
    Exchange_HandleAttemptFailure(
        attempt->exchange, attempt,
        not_run ? CM_ATTEMPT_NOT_RUN : CM_ATTEMPT_ABORTED, reason);
}
