/// @file jobs.c
/// Requests of an agent and the readers of their answers.

#include "jobs.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "peers.h"
#include "runs.h"

/// Part of the average run that has to be left at the start.
#define RUN_ALLOWANCE 0.8

void
Jobs_Init(struct agent *agent)
{
    TAILQ_INIT(&agent->all_jobs);
    agent->jobs = g_hash_table_new(g_str_hash, g_str_equal);
    agent->streams = g_hash_table_new(g_str_hash, g_str_equal);
}

static void
reader_free(struct reader *reader)
{
    GHashTable *streams = reader->job->agent->streams;
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
    CmOrder_Finish(&job->cancel);
    g_hash_table_remove(agent->jobs, job->id);
    TAILQ_REMOVE(&agent->all_jobs, job, link);
    g_free(job->id);
    g_free(job->adapter);
    g_free(job->method);
    g_free(job->path);
    g_free(job->headers);
    g_free(job->fingerprint);
    g_free(job->head);
    g_string_free(job->body, TRUE);
    g_string_free(job->answer, TRUE);
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
    g_hash_table_destroy(agent->jobs);
    g_hash_table_destroy(agent->streams);
}

static struct job *
job_new(struct agent *agent, struct cm_bytes id)
{
    struct job *job = g_new0(struct job, 1);
    job->agent = agent;
    job->id = CmBytes_Dup(id);
    job->body = g_string_new(NULL);
    job->answer = g_string_new(NULL);
    LIST_INIT(&job->readers);
    CmOrder_Init(&job->cancel, Run_Released, job);
    g_hash_table_insert(agent->jobs, job->id, job);
    TAILQ_INSERT_TAIL(&agent->all_jobs, job, link);
    return job;
}

static struct job *
find_job(const struct agent *agent, struct cm_bytes id)
{
    char *text = CmBytes_Dup(id);
    struct job *job = g_hash_table_lookup(agent->jobs, text);
    g_free(text);
    return job;
}

static struct reader *
add_reader(struct job *job, const struct cm_link_peer *peer,
           struct cm_bytes stream, size_t offset, size_t window)
{
    struct agent *agent = job->agent;
    char *name = CmBytes_Dup(stream);
    struct reader *reader = g_hash_table_lookup(agent->streams, name);
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
    g_hash_table_replace(agent->streams, reader->stream, reader);
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

/// @return why the request is not taken in, or CM_REASON_NONE.
static enum cm_reason
refusal(const struct agent *agent, const struct cm_msg_submit *submit,
        int64_t left_ms)
{
    if (submit->incarnation != agent->incarnation) {
        return CM_REASON_STALE_INCARNATION;
    }
    if (agent->leaving || agent->listed_leaving) {
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
    job->repeatable = submit->retryable != 0;
    job->base.priority = (int64_t)submit->priority;
}

/// A request id that is here already: the entry sent it again, or it was
/// sealed before it arrived.
static void
submit_again(struct job *job, const struct cm_link_peer *peer,
             const struct cm_msg_submit *submit)
{
    if (job->state == JOB_SEALED) {
        send_end(job->agent, peer, submit->id, CM_OUTCOME_NOT_RUN,
                 CM_REASON_SEALED, 0);
        return;
    }
    if (job->dropped) {
        send_end(job->agent, peer, submit->id, CM_OUTCOME_UNKNOWN,
                 CM_REASON_STALE_INCARNATION, 0);
        return;
    }
    send_accepted(job->agent, peer, job->id);
    if (job->state != JOB_WAITING) {
        Job_Pump(job);
    }
}

/// Time that a run is expected to take: one that would be cut off by its
/// deadline only takes room from others. At most half of what is left, as a
/// short request may be far quicker than the average.
static int64_t
run_allowance_ms(const struct agent *agent, int64_t left_ms)
{
    int64_t expected_ms = (int64_t)(agent->run_ms * RUN_ALLOWANCE);
    return expected_ms < left_ms / 2 ? expected_ms : left_ms / 2;
}

void
Jobs_Submit(struct agent *agent, struct peer *peer,
            const struct cm_msg_submit *submit)
{
    struct job *job = find_job(agent, submit->id);
    if (job != NULL) {
        submit_again(job, &peer->address, submit);
        return;
    }
    int64_t age_ms = Peer_Age(agent, peer, submit->sent_ms);
    int64_t left_ms = (int64_t)submit->deadline_ms - age_ms;
    enum cm_reason reason = refusal(agent, submit, left_ms);
    if (reason != CM_REASON_NONE) {
        agent->count.refused.value++;
        // What an earlier incarnation did is not known here.
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
        CmTime_AddMs(now, left_ms - run_allowance_ms(agent, left_ms));
    add_reader(job, &peer->address, submit->id, 0, submit->window);
    CmScheduler_Add(&agent->scheduler, &job->base, job->adapter, now);
    agent->count.accepted.value++;
    send_accepted(agent, &peer->address, job->id);
    Agent_Turn(agent);
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
    else if (job->state == JOB_RUNNING && job->repeatable) {
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
        job->finished = Agent_Now(agent);
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
    if (job == NULL || job->state == JOB_SEALED || job->dropped ||
        attach->offset < job->trimmed) {
        // Forgotten here: whether it ran cannot be told any more.
        bool never = job != NULL && job->state == JOB_SEALED;
        send_end(agent, peer, attach->stream,
                 never ? CM_OUTCOME_NOT_RUN : CM_OUTCOME_UNKNOWN,
                 never ? CM_REASON_SEALED : CM_REASON_STALE_INCARNATION, 0);
        return;
    }
    add_reader(job, peer, attach->stream, attach->offset, attach->window);
    if (job->state == JOB_WAITING) {
        send_accepted(agent, peer, job->id);
    }
    Job_Pump(job);
}

/// Drops bytes that all readers have.
static void
trim(struct job *job)
{
    if (job->retain &&
        job->trimmed + job->answer->len <= CM_ANSWER_RETAINED_MAX) {
        return;
    }
    size_t least = job->trimmed + job->answer->len;
    const struct reader *reader;
    CmList_FOREACH (reader, &job->readers, link) {
        if (reader->received < least) {
            least = reader->received;
        }
    }
    if (least > job->trimmed) {
        g_string_erase(job->answer, 0, (gssize)(least - job->trimmed));
        job->trimmed = least;
    }
}

size_t
Job_Unread(const struct job *job)
{
    size_t end = job->trimmed + job->answer->len;
    size_t most = 0;
    const struct reader *reader;
    CmList_FOREACH (reader, &job->readers, link) {
        if (end - reader->received > most) {
            most = end - reader->received;
        }
    }
    return most;
}

void
Jobs_Credit(struct agent *agent, const struct cm_msg_credit *credit)
{
    char *stream = CmBytes_Dup(credit->stream);
    struct reader *reader = g_hash_table_lookup(agent->streams, stream);
    g_free(stream);
    if (reader == NULL) {
        return;
    }
    struct job *job = reader->job;
    if (credit->received > reader->received &&
        credit->received <= job->trimmed + job->answer->len) {
        reader->received = credit->received;
    }
    reader->window = credit->window;
    trim(job);
    Job_Pump(job);
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

/// Sends one piece; false where there is nothing more to send for now.
static bool
send_piece(struct job *job, struct reader *reader)
{
    size_t limit = reader->received + reader->window;
    size_t end = job->releasable < limit ? job->releasable : limit;
    if (reader->sent >= end || reader->sent < job->trimmed) {
        return false;
    }
    size_t size = end - reader->sent;
    size = size < CM_CHUNK_MAX ? size : CM_CHUNK_MAX;
    struct cm_message message = {.type = CM_MSG_CHUNK};
    message.chunk.stream = CmBytes_FromText(reader->stream);
    message.chunk.offset = reader->sent;
    message.chunk.data.data = job->answer->str + (reader->sent - job->trimmed);
    message.chunk.data.size = size;
    if (!CmLink_Send(&job->agent->link, &reader->peer, &message)) {
        return false;
    }
    reader->sent += size;
    return true;
}

static void
pump_reader(struct job *job, struct reader *reader)
{
    if (job->head != NULL && job->releasable > 0 && !reader->head_sent) {
        send_head(job, reader);
    }
    bool finished = job->state == JOB_FINISHED;
    if (finished && job->head != NULL && !reader->head_sent) {
        send_head(job, reader);
    }
    if (job->head != NULL && !reader->head_sent) {
        return;
    }
    while (send_piece(job, reader)) {
    }
    if (finished && reader->sent >= job->releasable && !reader->end_sent) {
        send_end(job->agent, &reader->peer, CmBytes_FromText(reader->stream),
                 job->outcome, job->reason, job->releasable);
        reader->end_sent = true;
    }
}

void
Job_Pump(struct job *job)
{
    struct reader *reader;
    CmList_FOREACH (reader, &job->readers, link) {
        pump_reader(job, reader);
    }
}

static void
count_end(struct agent *agent, enum cm_outcome outcome)
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
    if (job->base.queue != NULL && !job->releasing) {
        CmScheduler_Remove(&agent->scheduler, &job->base, now);
    }
    job->state = JOB_FINISHED;
    job->outcome = outcome;
    job->reason = reason;
    job->finished = now;
    g_string_truncate(job->body, 0);
    count_end(agent, outcome);
    Job_Pump(job);
    Agent_Turn(agent);
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

/// Keeps no more than the id and how it ended.
static void
drop_answer(struct job *job)
{
    struct reader *reader;
    while ((reader = LIST_FIRST(&job->readers)) != NULL) {
        reader_free(reader);
    }
    if (job->answer->allocated_len > 1 || job->headers != NULL) {
        g_string_free(job->answer, TRUE);
        job->answer = g_string_sized_new(0);
        g_string_free(job->body, TRUE);
        job->body = g_string_sized_new(0);
        g_clear_pointer(&job->head, g_free);
        g_clear_pointer(&job->headers, g_free);
        g_clear_pointer(&job->path, g_free);
        job->dropped = true;
    }
}

static bool
is_forgotten(const struct job *job, int64_t age_ms)
{
    if (job->retain || job->state == JOB_SEALED) {
        return age_ms >= CM_JOB_RETAINED_MS;
    }
    int64_t late_ms = CmTime_DiffMs(Agent_Now(job->agent), job->deadline);
    return age_ms >= CM_JOB_KEPT_MS && late_ms >= CM_JOB_AFTER_DEADLINE_MS;
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
        int64_t age_ms = CmTime_DiffMs(now, job->finished);
        if (job->releasing) {
            continue;
        }
        if (is_forgotten(job, age_ms)) {
            job_free(job);
        }
        else if (age_ms >= CM_JOB_KEPT_MS && !job->retain) {
            drop_answer(job);
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
