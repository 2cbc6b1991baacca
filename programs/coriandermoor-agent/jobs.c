/// @file jobs.c
/// Lifecycle of the agent's requests, and flow control of their responses.

#include "jobs.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "peers.h"
#include "runs.h"

/// Part of the average run time that has to be left when a request starts.
#define RUN_RESERVE_RATIO 0.8

void
Jobs_Init(struct agent *agent)
{
    TAILQ_INIT(&agent->all_jobs);
    agent->jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    agent->readers_by_stream = g_hash_table_new(g_str_hash, g_str_equal);
}

static void
reader_free(struct reader *reader)
{
    GHashTable *streams = reader->job->agent->readers_by_stream;
    if (g_hash_table_lookup(streams, reader->stream) == reader) {
        g_hash_table_remove(streams, reader->stream);
    }
    LIST_REMOVE(reader, link);
    g_free(reader->stream);
    g_free(reader);
}

static void
job_free(struct job *job)
{
    struct agent *agent = job->agent;
    struct reader *reader;
    while ((reader = LIST_FIRST(&job->readers)) != NULL) {
        reader_free(reader);
    }
    CmHttpCall_Cancel(&job->call);
    CmOrder_Finish(&job->cancel_order);
    g_hash_table_remove(agent->jobs_by_id, job->id);
    TAILQ_REMOVE(&agent->all_jobs, job, link);
    g_free(job->id);
    g_free(job->adapter);
    g_free(job->method);
    g_free(job->path);
    g_free(job->headers);
    g_free(job->fingerprint);
    g_free(job->head);
    g_string_free(job->body, TRUE);
    CmMemoryHold_Finish(&job->response_hold);
    g_string_free(job->response, TRUE);
    g_free(job);
}

void
Jobs_Finish(struct agent *agent)
{
    struct job *job;
    while ((job = TAILQ_FIRST(&agent->all_jobs)) != NULL) {
        if (job->base.queue != NULL) {
            CmScheduler_Remove(&agent->scheduler, &job->base,
                               Agent_Now(agent));
        }
        job_free(job);
    }
    g_hash_table_destroy(agent->jobs_by_id);
    g_hash_table_destroy(agent->readers_by_stream);
}

static struct job *
job_new(struct agent *agent, struct cm_bytes id)
{
    struct job *job = g_new0(struct job, 1);
    job->agent = agent;
    job->id = CmBytes_Dup(id);
    job->body = g_string_new(NULL);
    job->response = g_string_new(NULL);
    CmMemoryHold_Init(&job->response_hold, &agent->guard.budget,
                      CM_MEMORY_RESPONSES, Run_ReleaseResponse);
    LIST_INIT(&job->readers);
    CmOrder_Init(&job->cancel_order, Run_FinishCancel, job);
    g_hash_table_insert(agent->jobs_by_id, job->id, job);
    TAILQ_INSERT_TAIL(&agent->all_jobs, job, link);
    return job;
}

static struct job *
find_job(const struct agent *agent, struct cm_bytes id)
{
    char *text = CmBytes_Dup(id);
    struct job *job = g_hash_table_lookup(agent->jobs_by_id, text);
    g_free(text);
    return job;
}

static struct reader *
add_reader(struct job *job, const struct cm_link_peer *peer,
           struct cm_bytes stream, size_t offset, size_t window)
{
    struct agent *agent = job->agent;
    char *name = CmBytes_Dup(stream);
    struct reader *reader =
        g_hash_table_lookup(agent->readers_by_stream, name);
    if (reader != NULL) {
        reader_free(reader);
    }
    reader = g_new0(struct reader, 1);
    reader->job = job;
    reader->peer = *peer;
    reader->stream = name;
    reader->sent = offset;
    reader->received = offset;
    reader->window = window;
    LIST_INSERT_HEAD(&job->readers, reader, link);
    g_hash_table_replace(agent->readers_by_stream, reader->stream, reader);
    return reader;
}

static void
send_end(struct agent *agent, const struct cm_link_peer *peer,
         struct cm_bytes stream, enum cm_outcome outcome,
         enum cm_reason reason, size_t size)
{
    struct cm_message message = {.type = CM_MSG_END};
    message.end = (struct cm_msg_end){stream, outcome, reason, size};
    CmLink_Send(&agent->link, peer, &message);
}

static void
send_accepted(struct agent *agent, const struct cm_link_peer *peer,
              const char *id)
{
    struct cm_message message = {.type = CM_MSG_ACCEPTED};
    message.accepted.id = CmBytes_FromText(id);
    CmLink_Send(&agent->link, peer, &message);
}

/// @return why the request is not admitted, or CM_REASON_NONE.
static enum cm_reason
refusal_reason(const struct agent *agent, const struct cm_msg_submit *submit,
               int64_t left_ms)
{
    if (submit->incarnation != agent->incarnation) {
        return CM_REASON_STALE_INCARNATION;
    }
    if (agent->shutting_down || agent->instance_draining) {
        return CM_REASON_DRAINING;
    }
    if (left_ms <= 0) {
        return CM_REASON_DEADLINE;
    }
    if (agent->scheduler.waiting_jobs >= (size_t)agent->settings.queue) {
        return CM_REASON_QUEUE_FULL;
    }
    if (!agent->healthy) {
        return CM_REASON_UNREACHABLE;
    }
    return CM_REASON_NONE;
}

static void
fill_job(struct job *job, const struct cm_msg_submit *submit)
{
    job->adapter = CmBytes_Dup(submit->adapter);
    job->method = CmBytes_Dup(submit->method);
    job->path = CmBytes_Dup(submit->path);
    job->headers = CmBytes_Dup(submit->headers);
    job->fingerprint = CmBytes_Dup(submit->fingerprint);
    g_string_append_len(job->body, submit->body.data,
                        (gssize)submit->body.size);
    job->retain = submit->retain != 0;
    job->retryable = submit->retryable != 0;
    job->base.priority = (int64_t)submit->priority;
}

/// Answers a SUBMIT of a known id: the entry resent it, or its SEAL overtook
/// it.
static void
handle_resubmit(struct job *job, const struct cm_link_peer *peer,
                const struct cm_msg_submit *submit)
{
    if (job->state == JOB_SEALED) {
        send_end(job->agent, peer, submit->id, CM_OUTCOME_NOT_RUN,
                 CM_REASON_SEALED, 0);
        return;
    }
    if (job->response_dropped) {
        send_end(job->agent, peer, submit->id, CM_OUTCOME_UNKNOWN,
                 CM_REASON_STALE_INCARNATION, 0);
        return;
    }
    send_accepted(job->agent, peer, job->id);
    if (job->state != JOB_WAITING) {
        Job_SendResponse(job);
    }
}

/// Time to reserve for the run itself: a run that its deadline cuts off only
/// takes capacity from others. At most half of the remaining time, as a short
/// request may be much faster than the average.
static int64_t
run_reserve_ms(const struct agent *agent, int64_t left_ms)
{
    int64_t expected_ms = (int64_t)(agent->mean_run_ms * RUN_RESERVE_RATIO);
    return expected_ms < left_ms / 2 ? expected_ms : left_ms / 2;
}

void
Jobs_Submit(struct agent *agent, struct peer *peer,
            const struct cm_msg_submit *submit)
{
    struct job *job = find_job(agent, submit->id);
    if (job != NULL) {
        handle_resubmit(job, &peer->address, submit);
        return;
    }
    int64_t age_ms = Peer_MessageAgeMs(agent, peer, submit->sent_ms);
    int64_t left_ms = (int64_t)submit->deadline_ms - age_ms;
    enum cm_reason reason = refusal_reason(agent, submit, left_ms);
    if (reason != CM_REASON_NONE) {
        agent->count.refused.value++;
        // An earlier incarnation may have run the request.
        enum cm_outcome outcome = reason == CM_REASON_STALE_INCARNATION
                                      ? CM_OUTCOME_UNKNOWN
                                      : CM_OUTCOME_NOT_RUN;
        send_end(agent, &peer->address, submit->id, outcome, reason, 0);
        return;
    }
    struct timespec now = Agent_Now(agent);
    job = job_new(agent, submit->id);
    fill_job(job, submit);
    job->state = JOB_WAITING;
    job->base.arrived = now;
    job->deadline = CmTime_AddMs(now, left_ms);
    job->base.deadline =
        CmTime_AddMs(now, left_ms - run_reserve_ms(agent, left_ms));
    add_reader(job, &peer->address, submit->id, 0, submit->window);
    CmScheduler_Add(&agent->scheduler, &job->base, job->adapter, now);
    agent->count.accepted.value++;
    send_accepted(agent, &peer->address, job->id);
    Agent_WakeScheduler(agent);
}

void
Jobs_Cancel(struct agent *agent, struct cm_bytes id)
{
    struct job *job = find_job(agent, id);
    if (job == NULL) {
        return;
    }
    if (job->state == JOB_WAITING) {
        Job_End(job, CM_OUTCOME_NOT_RUN, CM_REASON_CANCELLED);
    }
    else if (job->state == JOB_RUNNING && job->retryable) {
        Run_Cancel(job);
        Job_End(job, CM_OUTCOME_UNKNOWN, CM_REASON_CANCELLED);
    }
}

void
Jobs_Seal(struct agent *agent, const struct cm_link_peer *peer,
          struct cm_bytes id)
{
    struct job *job = find_job(agent, id);
    if (job == NULL) {
        job = job_new(agent, id);
        job->state = JOB_SEALED;
        job->finished_at = Agent_Now(agent);
    }
    else if (job->state == JOB_WAITING) {
        Job_End(job, CM_OUTCOME_NOT_RUN, CM_REASON_SEALED);
    }
    struct cm_message message = {.type = CM_MSG_SEALED};
    message.sealed.id = id;
    message.sealed.incarnation = agent->incarnation;
    if (job->state == JOB_RUNNING) {
        message.sealed.state = CM_SEAL_RUNNING;
    }
    else if (job->state == JOB_FINISHED &&
             job->outcome != CM_OUTCOME_NOT_RUN) {
        message.sealed.state = CM_SEAL_FINISHED;
    }
    else {
        message.sealed.state = CM_SEAL_NEVER_STARTED;
    }
    CmLink_Send(&agent->link, peer, &message);
}

void
Jobs_Attach(struct agent *agent, const struct cm_link_peer *peer,
            const struct cm_msg_attach *attach)
{
    struct job *job = find_job(agent, attach->id);
    if (job == NULL || job->state == JOB_SEALED || job->response_dropped ||
        attach->offset < job->response_offset) {
        // The response is gone. Unless the id is sealed, the request may
        // have run.
        bool sealed = job != NULL && job->state == JOB_SEALED;
        send_end(agent, peer, attach->stream,
                 sealed ? CM_OUTCOME_NOT_RUN : CM_OUTCOME_UNKNOWN,
                 sealed ? CM_REASON_SEALED : CM_REASON_STALE_INCARNATION, 0);
        return;
    }
    add_reader(job, peer, attach->stream, attach->offset, attach->window);
    if (job->state == JOB_WAITING) {
        send_accepted(agent, peer, job->id);
    }
    Job_SendResponse(job);
}

/// Drops the bytes that all readers have acknowledged, unless the whole
/// response is retained.
static void
trim_response(struct job *job)
{
    if (job->retain && job->response_offset + job->response->len <=
                           CM_RESPONSE_RETAINED_MAX_BYTES) {
        return;
    }
    size_t min_received = job->response_offset + job->response->len;
    const struct reader *reader;
    CmList_FOREACH (reader, &job->readers, link) {
        if (reader->received < min_received) {
            min_received = reader->received;
        }
    }
    if (min_received > job->response_offset) {
        g_string_erase(job->response, 0,
                       (gssize)(min_received - job->response_offset));
        job->response_offset = min_received;
    }
}

size_t
Job_UnreadBytes(const struct job *job)
{
    size_t end = job->response_offset + job->response->len;
    size_t max_unread = 0;
    const struct reader *reader;
    CmList_FOREACH (reader, &job->readers, link) {
        if (end - reader->received > max_unread) {
            max_unread = end - reader->received;
        }
    }
    return max_unread;
}

void
Jobs_Credit(struct agent *agent, const struct cm_msg_credit *credit)
{
    char *stream = CmBytes_Dup(credit->stream);
    struct reader *reader =
        g_hash_table_lookup(agent->readers_by_stream, stream);
    g_free(stream);
    if (reader == NULL) {
        return;
    }
    struct job *job = reader->job;
    if (credit->received > reader->received &&
        credit->received <= job->response_offset + job->response->len) {
        reader->received = credit->received;
    }
    reader->window = credit->window;
    trim_response(job);
    Job_SendResponse(job);
    Run_UpdateReading(job);
}

static void
send_head(struct job *job, struct reader *reader)
{
    struct cm_message message = {.type = CM_MSG_HEAD};
    message.head.stream = CmBytes_FromText(reader->stream);
    message.head.status = (uint64_t)job->status;
    message.head.stall_ms = (uint64_t)job->stall_ms;
    message.head.queue_ms = (uint64_t)job->queue_ms;
    message.head.headers = CmBytes_FromText(job->head);
    reader->head_sent =
        CmLink_Send(&job->agent->link, &reader->peer, &message);
}

/// Sends one CHUNK.
/// @return false where nothing can be sent now.
static bool
send_chunk(struct job *job, struct reader *reader)
{
    size_t limit = reader->received + reader->window;
    size_t end = job->sendable_end < limit ? job->sendable_end : limit;
    if (reader->sent >= end || reader->sent < job->response_offset) {
        return false;
    }
    size_t size = end - reader->sent;
    size = size < CM_RESPONSE_CHUNK_MAX_BYTES ? size
                                              : CM_RESPONSE_CHUNK_MAX_BYTES;
    struct cm_message message = {.type = CM_MSG_CHUNK};
    message.chunk.stream = CmBytes_FromText(reader->stream);
    message.chunk.offset = reader->sent;
    message.chunk.data.data =
        job->response->str + (reader->sent - job->response_offset);
    message.chunk.data.size = size;
    if (!CmLink_Send(&job->agent->link, &reader->peer, &message)) {
        return false;
    }
    reader->sent += size;
    return true;
}

static void
send_to_reader(struct job *job, struct reader *reader)
{
    if (job->head != NULL && job->sendable_end > 0 && !reader->head_sent) {
        send_head(job, reader);
    }
    bool finished = job->state == JOB_FINISHED;
    if (finished && job->head != NULL && !reader->head_sent) {
        send_head(job, reader);
    }
    if (job->head != NULL && !reader->head_sent) {
        return;
    }
    while (send_chunk(job, reader)) {
    }
    if (finished && reader->sent >= job->sendable_end && !reader->end_sent) {
        send_end(job->agent, &reader->peer, CmBytes_FromText(reader->stream),
                 job->outcome, job->reason, job->sendable_end);
        reader->end_sent = true;
    }
}

void
Job_SendResponse(struct job *job)
{
    struct reader *reader;
    CmList_FOREACH (reader, &job->readers, link) {
        send_to_reader(job, reader);
    }
}

static void
count_outcome(struct agent *agent, enum cm_outcome outcome)
{
    switch (outcome) {
    case CM_OUTCOME_RAN:
        agent->count.ran.value++;
        break;
    case CM_OUTCOME_NOT_RUN:
        agent->count.refused.value++;
        break;
    case CM_OUTCOME_UNKNOWN:
        agent->count.unknown.value++;
        break;
    }
}

void
Job_End(struct job *job, enum cm_outcome outcome, enum cm_reason reason)
{
    struct agent *agent = job->agent;
    struct timespec now = Agent_Now(agent);
    if (job->base.queue != NULL && !job->cancel_pending) {
        CmScheduler_Remove(&agent->scheduler, &job->base, now);
    }
    job->state = JOB_FINISHED;
    job->outcome = outcome;
    job->reason = reason;
    job->finished_at = now;
    CmMemoryHold_Finish(&job->response_hold);
    g_string_truncate(job->body, 0);
    count_outcome(agent, outcome);
    Job_SendResponse(job);
    Agent_WakeScheduler(agent);
}

void
Jobs_RefuseWaiting(struct agent *agent, enum cm_reason reason)
{
    struct job *job;
    struct job *next;
    CmTailq_FOREACH_SAFE (job, &agent->all_jobs, link, next) {
        if (job->state == JOB_WAITING) {
            Job_End(job, CM_OUTCOME_NOT_RUN, reason);
        }
    }
}

/// Frees all but the job's id and outcome.
static void
drop_response(struct job *job)
{
    struct reader *reader;
    while ((reader = LIST_FIRST(&job->readers)) != NULL) {
        reader_free(reader);
    }
    if (job->response->allocated_len > 1 || job->headers != NULL) {
        g_string_free(job->response, TRUE);
        job->response = g_string_sized_new(0);
        g_string_free(job->body, TRUE);
        job->body = g_string_sized_new(0);
        g_clear_pointer(&job->head, g_free);
        g_clear_pointer(&job->headers, g_free);
        g_clear_pointer(&job->path, g_free);
        job->response_dropped = true;
    }
}

static bool
is_expired(const struct job *job, int64_t age_ms)
{
    if (job->retain || job->state == JOB_SEALED) {
        return age_ms >= CM_JOB_RETENTION_MS;
    }
    int64_t late_ms = CmTime_DiffMs(Agent_Now(job->agent), job->deadline);
    return age_ms >= CM_JOB_RESPONSE_TTL_MS && late_ms >= CM_JOB_ID_GRACE_MS;
}

void
Jobs_Expire(struct agent *agent)
{
    struct timespec now = Agent_Now(agent);
    struct job *job;
    struct job *next;
    CmTailq_FOREACH_SAFE (job, &agent->all_jobs, link, next) {
        if (job->state != JOB_FINISHED && job->state != JOB_SEALED) {
            continue;
        }
        int64_t age_ms = CmTime_DiffMs(now, job->finished_at);
        if (job->cancel_pending) {
            continue;
        }
        if (is_expired(job, age_ms)) {
            job_free(job);
        }
        else if (age_ms >= CM_JOB_RESPONSE_TTL_MS && !job->retain) {
            drop_response(job);
        }
    }
}

bool
Jobs_AllDone(const struct agent *agent)
{
    const struct job *job;
    CmTailq_FOREACH (job, &agent->all_jobs, link) {
        if (job->state == JOB_WAITING || job->state == JOB_RUNNING) {
            return false;
        }
        const struct reader *reader;
        CmList_FOREACH (reader, &job->readers, link) {
            if (job->state == JOB_FINISHED && !reader->end_sent) {
                return false;
            }
        }
    }
    return true;
}
