/// @file attempts.c
/// One attempt at one agent.

#include "attempts.h"

#include <string.h>

#include "base/log.h"
#include "links.h"

/// Time that an agent needs to answer a request before its deadline ends.
#define ANSWER_MARGIN_MS 20

static struct attempt *
new_attempt(struct exchange *exchange, struct agent_link *link)
{
    struct attempt *attempt = g_new0(struct attempt, 1);
    attempt->link = link;
    attempt->exchange = exchange;
    attempt->made = Entry_Now(exchange->entry);
    attempt->suspect = exchange->suspect;
    attempt->incarnation = link->incarnation;
    TAILQ_INSERT_TAIL(&link->attempts, attempt, in_link);
    TAILQ_INSERT_TAIL(&exchange->attempts, attempt, in_exchange);
    link->used = attempt->made;
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
    attempt->loads = loads;
    CmRouter_RecordSend(link->route, exchange->adapter, loads,
                        attempt->suspect, attempt->made);
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
    CmRouter_RecordSend(link->route, NULL, false, attempt->suspect,
                        attempt->made);
    g_hash_table_insert(exchange->entry->streams, attempt->stream, attempt);
    return attempt;
}

void
Attempt_Free(struct attempt *attempt, bool failed)
{
    struct entry *entry = attempt->exchange->entry;
    struct agent_link *link = attempt->link;
    if (link->route != NULL) {
        CmRouter_RecordEnd(&entry->router, link->route, failed,
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
Attempt_Abandon(struct attempt *attempt)
{
    Attempt_CancelJob(attempt);
    Attempt_Free(attempt, false);
}

/// @return whether the message left.
static bool
send_submit(struct attempt *attempt)
{
    const struct exchange *exchange = attempt->exchange;
    struct entry *entry = exchange->entry;
    int64_t left_ms = Exchange_Left(exchange) - ANSWER_MARGIN_MS;
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
    submit->deadline_ms = left_ms > 0 ? (uint64_t)left_ms : 0;
    submit->priority = (uint64_t)exchange->priority;
    submit->window = CM_ANSWER_WINDOW;
    submit->retain = exchange->key != NULL;
    submit->retryable = exchange->repeatable;
    return Link_Send(attempt->link, &message);
}

static void
send_attach(struct attempt *attempt)
{
    struct cm_message message = {.type = CM_MSG_ATTACH};
    message.attach.id = CmBytes_FromText(attempt->id);
    message.attach.stream = CmBytes_FromText(attempt->stream);
    message.attach.offset = attempt->received;
    message.attach.window = CM_ANSWER_WINDOW;
    attempt->sent = Entry_Now(attempt->exchange->entry);
    Link_Send(attempt->link, &message);
}

void
Attempt_Send(struct attempt *attempt)
{
    struct agent_link *link = attempt->link;
    attempt->held = false;
    if (!link->ready) {
        return; // sent with the link's first report
    }
    if (attempt->attached) {
        send_attach(attempt);
        return;
    }
    if (attempt->exchange->repeatable && attempt->phase == CM_ATTEMPT_UNSENT) {
        // Only a claim names an incarnation; without one any will do.
        attempt->incarnation = link->incarnation;
    }
    attempt->sent = Entry_Now(attempt->exchange->entry);
    if (!send_submit(attempt)) {
        return;
    }
    attempt->submits++;
    if (attempt->phase == CM_ATTEMPT_UNSENT) {
        attempt->phase = CM_ATTEMPT_SENT;
    }
}

void
Attempt_Resume(struct attempt *attempt)
{
    if (attempt->held) {
        return;
    }
    if (attempt->phase == CM_ATTEMPT_UNSENT ||
        attempt->phase == CM_ATTEMPT_SENT) {
        Attempt_Send(attempt);
        return;
    }
    attempt->rest_asked = true;
    send_attach(attempt);
}

void
Attempt_Tick(struct attempt *attempt, struct timespec now)
{
    if (attempt->held || attempt->attached) {
        return;
    }
    if (attempt->phase == CM_ATTEMPT_UNSENT) {
        if (CmTime_DiffMs(now, attempt->made) >= CM_ATTEMPT_UNSENT_MS) {
            Exchange_Failed(attempt->exchange, attempt,
                            CM_ATTEMPT_AGENT_TIMEOUT, CM_REASON_UNREACHABLE);
        }
        else if (attempt->link->ready) {
            Attempt_Send(attempt);
        }
        return;
    }
    if (attempt->phase == CM_ATTEMPT_SENT && attempt->link->ready &&
        CmTime_DiffMs(now, attempt->sent) >= CM_SUBMIT_AGAIN_MS) {
        Attempt_Send(attempt); // the agent knows the id if it came before
    }
}

void
Attempt_Credit(struct attempt *attempt)
{
    if (attempt->received == attempt->credited && attempt->received > 0) {
        return;
    }
    attempt->credited = attempt->received;
    struct cm_message message = {.type = CM_MSG_CREDIT};
    message.credit.stream = CmBytes_FromText(attempt->stream);
    message.credit.received = attempt->received;
    message.credit.window = CM_ANSWER_WINDOW;
    Link_Send(attempt->link, &message);
}

static struct attempt *
find_stream(const struct agent_link *link, struct cm_bytes stream)
{
    char *name = CmBytes_Dup(stream);
    struct attempt *attempt = g_hash_table_lookup(link->entry->streams, name);
    g_free(name);
    return attempt != NULL && attempt->link == link ? attempt : NULL;
}

void
Attempts_Accepted(struct agent_link *link, struct cm_bytes id)
{
    struct attempt *attempt = find_stream(link, id);
    if (attempt != NULL && attempt->phase < CM_ATTEMPT_ACCEPTED) {
        attempt->phase = CM_ATTEMPT_ACCEPTED;
    }
}

void
Attempts_Started(struct agent_link *link, struct cm_bytes id)
{
    struct attempt *attempt = find_stream(link, id);
    if (attempt != NULL) {
        attempt->phase = CM_ATTEMPT_STARTED;
    }
}

void
Attempts_Head(struct agent_link *link, const struct cm_msg_head *head)
{
    struct attempt *attempt = find_stream(link, head->stream);
    if (attempt == NULL || attempt->headed) {
        return;
    }
    attempt->phase = CM_ATTEMPT_STARTED;
    attempt->exchange->stall_ms = (int64_t)head->stall_ms;
    attempt->exchange->queue_ms = (int64_t)head->queue_ms;
    Exchange_Head(attempt->exchange, attempt, (int)head->status,
                  CmBytes_Dup(head->headers));
}

/// Asks once for bytes that did not arrive.
static void
ask_for_rest(struct attempt *attempt)
{
    if (!attempt->rest_asked) {
        attempt->rest_asked = true;
        send_attach(attempt);
    }
}

void
Attempts_Chunk(struct agent_link *link, const struct cm_msg_chunk *chunk)
{
    struct attempt *attempt = find_stream(link, chunk->stream);
    if (attempt == NULL || !attempt->headed) {
        return;
    }
    size_t end = chunk->offset + chunk->data.size;
    if (chunk->offset > attempt->received) {
        ask_for_rest(attempt);
        return;
    }
    if (end <= attempt->received) {
        return; // has come before
    }
    attempt->rest_asked = false;
    size_t skip = attempt->received - chunk->offset;
    if (!Exchange_Data(attempt->exchange, attempt, chunk->data.data + skip,
                       chunk->data.size - skip)) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "exchange", attempt->exchange->id,
                    "a further attempt answers otherwise than the first");
        attempt->exchange->overflowed = true;
        Attempt_CancelJob(attempt);
        Exchange_Failed(attempt->exchange, attempt, CM_ATTEMPT_ABORTED,
                        CM_REASON_ADAPTER_MISMATCH);
    }
}

void
Attempts_End(struct agent_link *link, const struct cm_msg_end *end)
{
    struct attempt *attempt = find_stream(link, end->stream);
    if (attempt == NULL) {
        return;
    }
    enum cm_reason reason = (enum cm_reason)end->reason;
    if (end->outcome == CM_OUTCOME_RAN) {
        if (attempt->headed && attempt->received == end->size) {
            Exchange_Complete(attempt->exchange, attempt);
        }
        else {
            ask_for_rest(attempt);
        }
        return;
    }
    // Another incarnation knows nothing of what an earlier copy met; if only
    // one was sent, this is the one that was turned away.
    bool turned_away = reason == CM_REASON_STALE_INCARNATION &&
                       !attempt->attached && attempt->submits == 1 &&
                       attempt->phase == CM_ATTEMPT_SENT;
    bool not_run = end->outcome == CM_OUTCOME_NOT_RUN || turned_away;
    Exchange_Failed(attempt->exchange, attempt,
                    not_run ? CM_ATTEMPT_NOT_RUN : CM_ATTEMPT_ABORTED, reason);
}
