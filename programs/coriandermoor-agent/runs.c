/// @file runs.c
/// Running one job on the target.

#include "runs.h"

#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "health.h"
#include "jobs.h"
#include "orders.h"

#define HEADERS_MAX 64
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
/// Times a job goes back to the queue because its adapter was not in a slot.
#define RETURNS_MAX 3
/// Resumes in a row without a byte of progress.
#define RESUMES_MAX 3
/// Weight of the newest value in a moving average.
#define AVERAGE_WEIGHT 0.1

static void
on_head(void *context, int status, struct evkeyvalq *headers);
static void
on_data(void *context, const void *data, size_t size);
static void
on_end(void *context, enum cm_http_result end);

static const struct cm_http_handler run_handler = {on_head, on_data, on_end};

/// Splits "Name: value\r\n" lines in place.
static size_t
split_headers(char *lines, struct cm_http_header *headers, size_t max)
{
    size_t n = 0;
    char *save = NULL;
    for (char *line = strtok_r(lines, "\r\n", &save); line != NULL && n < max;
         line = strtok_r(NULL, "\r\n", &save)) {
        char *colon = strstr(line, ": ");
        if (colon != NULL) {
            *colon = '\0';
            headers[n++] = (struct cm_http_header){line, colon + 2};
        }
    }
    return n;
}

/// @return the request id that the target knows the run by.
static const char *
target_id(const struct cm_http_header *headers, size_t n, const char *id)
{
    for (size_t i = 0; i < n; i++) {
        if (g_ascii_strcasecmp(headers[i].name, "X-Request-Id") == 0) {
            return headers[i].value;
        }
    }
    return id;
}

static int64_t
time_left_ms(const struct job *job)
{
    int64_t left_ms = CmTime_DiffMs(job->deadline, Agent_Now(job->agent));
    return left_ms > 1 ? left_ms : 1;
}

/// Longest silence on the connection: engines are resumed after a short one,
/// plain targets have until the deadline.
static int64_t
silence_ms(const struct job *job)
{
    int64_t left_ms = time_left_ms(job);
    if (job->agent->settings.engine && left_ms > CM_ENGINE_SILENCE_MS) {
        return CM_ENGINE_SILENCE_MS;
    }
    return left_ms;
}

static void
send_started(struct job *job)
{
    struct cm_message message = {.type = CM_MSG_STARTED};
    message.started.id = CmBytes_FromText(job->id);
    struct reader *reader;
    CmList_FOREACH (reader, &job->readers, link) {
        CmLink_Send(&job->agent->link, &reader->peer, &message);
    }
}

/// Splits the time before the start into waiting for the adapter and waiting
/// for room in the batch.
static void
note_waits(struct job *job)
{
    int64_t waited_ms = CmTime_DiffMs(job->started, job->base.arrived);
    job->stall_ms = 0;
    if (job->base.slot != NULL) {
        int64_t stall_ms =
            CmTime_DiffMs(job->base.slot->loaded_at, job->base.arrived);
        job->stall_ms = stall_ms > 0 ? stall_ms : 0;
    }
    job->queue_ms = waited_ms - job->stall_ms;
}

void
Run_Start(struct job *job)
{
    struct agent *agent = job->agent;
    job->state = JOB_RUNNING;
    job->started = Agent_Now(agent);
    note_waits(job);
    agent->count.stall_ms.value += job->stall_ms;
    send_started(job);
    char *lines = g_strdup(job->headers);
    struct cm_http_header headers[HEADERS_MAX];
    size_t n = split_headers(lines, headers, HEADERS_MAX - 2);
    char priority[16];
    snprintf(priority, sizeof(priority), "%d", (int)job->base.priority);
    if (agent->settings.engine) {
        headers[n++] = (struct cm_http_header){"X-Priority", priority};
        headers[n++] = (struct cm_http_header){"X-Resumable", "1"};
    }
    enum evhttp_cmd_type method = EVHTTP_REQ_POST;
    CmHttp_ParseMethod(job->method, &method);
    struct cm_http_request request = {
        .address = agent->settings.address,
        .method = method,
        .path = job->path,
        .headers = headers,
        .n_headers = n,
        .body = job->body->str,
        .body_size = job->body->len,
        .timeout_ms = silence_ms(job),
    };
    CmHttpCall_Start(&job->call, &agent->client, &request, &run_handler, job);
    g_free(lines);
}

void
Run_Cancel(struct job *job)
{
    CmHttpCall_Cancel(&job->call);
    if (!job->agent->settings.engine || job->releasing) {
        return;
    }
    job->releasing = true;
    char *lines = g_strdup(job->headers);
    struct cm_http_header headers[HEADERS_MAX];
    size_t n = split_headers(lines, headers, HEADERS_MAX);
    job->agent->engine.ops->cancel(&job->agent->engine, &job->cancel,
                                   target_id(headers, n, job->id));
    g_free(lines);
}

void
Run_Released(void *context, enum cm_order_end end,
             const struct cm_order_response *answer)
{
    struct job *job = context;
    struct agent *agent = job->agent;
    job->releasing = false;
    if (end == CM_ORDER_UNKNOWN || end == CM_ORDER_FAILED) {
        Orders_MarkForeign(agent, job->adapter);
    }
    if (job->base.queue != NULL) {
        CmScheduler_Remove(&agent->scheduler, &job->base, Agent_Now(agent));
    }
    Agent_Turn(agent);
}

void
Run_UpdateReading(struct job *job)
{
    bool pause = Job_Unread(job) > CM_ANSWER_UNREAD_MAX;
    if (pause != job->paused) {
        job->paused = pause;
        CmHttpCall_SetReading(&job->call, !pause);
    }
}

/// Header lines of the answer that go on to the caller.
static char *
answer_lines(struct evkeyvalq *headers)
{
    static const char *const dropped[] = {"Connection", "Transfer-Encoding",
                                          "Content-Length", "Keep-Alive",
                                          "Date"};
    GString *lines = g_string_new(NULL);
    struct evkeyval *header;
    TAILQ_FOREACH(header, headers, next)
    {
        bool keep = true;
        for (size_t i = 0; i < G_N_ELEMENTS(dropped); i++) {
            keep &= g_ascii_strcasecmp(header->key, dropped[i]) != 0;
        }
        if (keep) {
            g_string_append_printf(lines, "%s: %s\r\n", header->key,
                                   header->value);
        }
    }
    return g_string_free(lines, FALSE);
}

static void
on_head(void *context, int status, struct evkeyvalq *headers)
{
    struct job *job = context;
    if (job->head != NULL) {
        return; // a resumed answer: its head went out before
    }
    job->status = status;
    const char *type = evhttp_find_header(headers, "Content-Type");
    job->streaming =
        type != NULL && g_str_has_prefix(type, "text/event-stream");
    job->not_loaded =
        job->agent->settings.engine && status == STATUS_NOT_FOUND;
    if (!job->not_loaded) {
        job->head = answer_lines(headers);
    }
    // Only an engine's good answers name an adapter that can be checked.
    job->verified = !job->agent->settings.engine || status != STATUS_OK;
}

/// @return whether the JSON text names the job's adapter as its model.
static bool
names_adapter(const struct job *job, const char *text, size_t size)
{
    json_t *json = json_loadb(text, size, 0, NULL);
    const char *model = json_string_value(json_object_get(json, "model"));
    bool same = model != NULL && strcmp(model, job->adapter) == 0;
    json_decref(json);
    return same;
}

/// Checks the first event of a stream, once it is whole.
/// @return false where it is another adapter's.
static bool
verify_stream(struct job *job)
{
    const char *text = job->answer->str;
    const char *end = strstr(text, "\n\n");
    if (end == NULL) {
        return true;
    }
    static const char prefix[] = "data: ";
    size_t skip = strlen(prefix);
    job->verified =
        strncmp(text, prefix, skip) == 0 &&
        names_adapter(job, text + skip, (size_t)(end - text) - skip);
    return job->verified;
}

static void
refuse_mismatch(struct job *job)
{
    job->agent->count.mismatches.value++;
    CmLog_Event(G_LOG_LEVEL_WARNING, "run", job->id,
                "the answer is not of adapter %s; it is withheld",
                job->adapter);
    Run_Cancel(job);
    g_free(job->head);
    job->head = NULL;
    g_string_truncate(job->answer, 0);
    job->releasable = 0;
    Job_End(job, CM_OUTCOME_UNKNOWN, CM_REASON_ADAPTER_MISMATCH);
}

static void
on_data(void *context, const void *data, size_t size)
{
    struct job *job = context;
    if (job->not_loaded) {
        return;
    }
    g_string_append_len(job->answer, data, (gssize)size);
    job->resumes = 0;
    if (!job->verified && job->streaming && !verify_stream(job)) {
        refuse_mismatch(job);
        return;
    }
    if (job->verified) {
        job->releasable = job->trimmed + job->answer->len;
        Job_Pump(job);
        Run_UpdateReading(job);
    }
}

static void
observe_run(struct agent *agent, const struct job *job)
{
    double ms = CmTime_DiffS(Agent_Now(agent), job->started) * CM_MS_PER_S;
    agent->run_ms += (ms - agent->run_ms) * AVERAGE_WEIGHT;
}

/// The engine has not got the adapter although its slot says so.
static void
return_to_queue(struct job *job)
{
    struct agent *agent = job->agent;
    struct timespec now = Agent_Now(agent);
    job->not_loaded = false;
    if (++job->returns > RETURNS_MAX) {
        Job_End(job, CM_OUTCOME_NOT_RUN, CM_REASON_LOAD_FAILED);
        return;
    }
    job->state = JOB_WAITING;
    CmScheduler_Requeue(&agent->scheduler, &job->base, now);
    CmScheduler_InvalidateAdapter(&agent->scheduler, job->adapter);
    agent->slots_version++;
    Agent_Turn(agent);
}

static void
complete(struct job *job)
{
    if (job->not_loaded) {
        return_to_queue(job);
        return;
    }
    if (!job->verified &&
        !names_adapter(job, job->answer->str, job->answer->len)) {
        refuse_mismatch(job);
        return;
    }
    job->releasable = job->trimmed + job->answer->len;
    observe_run(job->agent, job);
    Job_End(job, CM_OUTCOME_RAN, CM_REASON_NONE);
}

/// Continues a broken answer on a new connection, from the next byte on.
static void
resume(struct job *job)
{
    struct agent *agent = job->agent;
    job->resumes++;
    agent->count.resumes.value++;
    char *lines = g_strdup(job->headers);
    struct cm_http_header headers[HEADERS_MAX];
    size_t n = split_headers(lines, headers, HEADERS_MAX);
    size_t offset = job->trimmed + job->answer->len;
    char *path = g_strdup_printf("/v1/streams/%s?offset=%zu",
                                 target_id(headers, n, job->id), offset);
    struct cm_http_request request = {
        .address = agent->settings.address,
        .method = EVHTTP_REQ_GET,
        .path = path,
        .timeout_ms = silence_ms(job),
    };
    CmHttpCall_Start(&job->call, &agent->client, &request, &run_handler, job);
    g_free(path);
    g_free(lines);
}

static bool
may_resume(const struct job *job)
{
    return job->agent->settings.engine && !job->not_loaded &&
           job->resumes < RESUMES_MAX && job->agent->healthy &&
           CmTime_Before(Agent_Now(job->agent), job->deadline);
}

/// Ends the job, after its entry has heard whether the target fell: another
/// attempt is to be made with that knowledge.
static void
lose(struct job *job)
{
    if (job->agent->healthy && CmOrder_Active(&job->agent->health_order)) {
        job->lost = true;
        return;
    }
    Job_End(job, CM_OUTCOME_UNKNOWN, CM_REASON_TARGET_LOST);
}

static void
on_end(void *context, enum cm_http_result end)
{
    struct job *job = context;
    if (job->state != JOB_RUNNING) {
        return;
    }
    bool resumed = job->resumes > 0 || job->answer->len > 0;
    switch (end) {
    case CM_HTTP_COMPLETE:
        if (job->not_loaded && resumed) {
            // The engine no longer knows the run that was to be resumed.
            Job_End(job, CM_OUTCOME_UNKNOWN, CM_REASON_TARGET_LOST);
            return;
        }
        complete(job);
        return;
    case CM_HTTP_NOT_CONNECTED:
        Health_Suspect(job->agent);
        if (resumed) {
            lose(job);
            return;
        }
        Job_End(job, CM_OUTCOME_NOT_RUN, CM_REASON_UNREACHABLE);
        return;
    case CM_HTTP_INTERRUPTED:
        Health_Suspect(job->agent);
        if (may_resume(job)) {
            resume(job);
            return;
        }
        Run_Cancel(job); // it may go on without a reader
        lose(job);
        return;
    }
}
