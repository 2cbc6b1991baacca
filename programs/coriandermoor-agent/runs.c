/// @file runs.c
/// Execution of one job at the target.

#include "runs.h"

#include <jansson.h>
#include <stddef.h>
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
/// Times that a job is queued again because the engine lacks its adapter.
#define REQUEUES_MAX 3
/// Consecutive resumes of a stream that yield no byte.
#define CONSECUTIVE_RESUMES_MAX 3
/// Weight of the newest value in a moving average.
#define AVERAGE_WEIGHT 0.1

static void
on_head(void *context, int status, const struct cm_h1_head *head);
static void
on_data(void *context, const void *data, size_t size);
static void
on_end(void *context, enum cm_http_result end);

static const struct cm_http_handler run_handler = {on_head, on_data, on_end};

/// Splits "Name: value\r\n" lines in place.
static size_t
parse_header_lines(char *lines, struct cm_http_header *headers, size_t max)
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

/// @return the request id that the target uses for the run: the X-Request-Id
///         of the request, or else the job's id.
static const char *
target_request_id(const struct cm_http_header *headers, size_t n,
                  const char *id)
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

/// @return the idle timeout of the connection: short for engines, whose
///         streams can be resumed, up to the deadline for plain targets.
static int64_t
idle_timeout_ms(const struct job *job)
{
    int64_t left_ms = time_left_ms(job);
    if (job->agent->settings.engine && left_ms > CM_ENGINE_IDLE_TIMEOUT_MS) {
        return CM_ENGINE_IDLE_TIMEOUT_MS;
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

/// Splits the time before the start into the wait for the adapter load and the
/// wait for a place in the batch.
static void
record_waits(struct job *job)
{
    int64_t waited_ms = CmTime_DiffMs(job->started_at, job->base.arrived);
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
    job->started_at = Agent_Now(agent);
    record_waits(job);
    agent->count.stall_ms.value += job->stall_ms;
    send_started(job);
    char *lines = g_strdup(job->headers);
    struct cm_http_header headers[HEADERS_MAX];
    size_t n = parse_header_lines(lines, headers, HEADERS_MAX - 2);
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
        .timeout_ms = idle_timeout_ms(job),
    };
    CmHttpCall_Start(&job->call, &agent->client, &request, &run_handler, job);
    g_free(lines);
}

void
Run_Cancel(struct job *job)
{
    CmHttpCall_Cancel(&job->call);
    if (!job->agent->settings.engine || job->cancel_pending) {
        return;
    }
    job->cancel_pending = true;
    char *lines = g_strdup(job->headers);
    struct cm_http_header headers[HEADERS_MAX];
    size_t n = parse_header_lines(lines, headers, HEADERS_MAX);
    job->agent->engine.ops->cancel(&job->agent->engine, &job->cancel_order,
                                   target_request_id(headers, n, job->id));
    g_free(lines);
}

void
Run_FinishCancel(void *context, enum cm_order_end end,
                 const struct cm_order_response *response)
{
    struct job *job = context;
    struct agent *agent = job->agent;
    job->cancel_pending = false;
    if (end == CM_ORDER_UNKNOWN || end == CM_ORDER_FAILED) {
        Orders_MarkUntracked(agent, job->adapter);
    }
    if (job->base.queue != NULL) {
        CmScheduler_Remove(&agent->scheduler, &job->base, Agent_Now(agent));
    }
    Agent_WakeScheduler(agent);
}

void
Run_UpdateReading(struct job *job)
{
    bool pause = Job_UnreadBytes(job) > CM_RESPONSE_UNREAD_MAX_BYTES;
    if (pause != job->reading_paused) {
        job->reading_paused = pause;
        CmHttpCall_SetReading(&job->call, !pause);
    }
}

/// @return the header lines of the response that are passed on to the caller.
static char *
response_header_lines(const struct cm_h1_head *head)
{
    GString *lines = g_string_new(NULL);
    for (size_t i = 0; i < CmH1Head_Count(head); i++) {
        const char *value;
        const char *name = CmH1Head_Field(head, i, &value);
        if (!CmH1Head_IsHopByHop(head, name) &&
            g_ascii_strcasecmp(name, "Content-Length") != 0 &&
            g_ascii_strcasecmp(name, "Date") != 0) {
            g_string_append_printf(lines, "%s: %s\r\n", name, value);
        }
    }
    return g_string_free(lines, FALSE);
}

static void
on_head(void *context, int status, const struct cm_h1_head *head)
{
    struct job *job = context;
    if (job->head != NULL) {
        return; // a resumed stream; its head was sent before
    }
    job->status = status;
    const char *type = CmH1Head_Find(head, "Content-Type");
    job->streaming =
        type != NULL && g_str_has_prefix(type, "text/event-stream");
    job->not_loaded =
        job->agent->settings.engine && status == STATUS_NOT_FOUND;
    if (!job->not_loaded) {
        job->head = response_header_lines(head);
    }
    // Only successful responses of engines name the adapter.
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

/// Checks the first event of a stream once it is complete.
/// @return false where it comes from another adapter.
static bool
verify_first_event(struct job *job)
{
    const char *text = job->response->str;
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
withhold_response(struct job *job)
{
    job->agent->count.mismatches.value++;
    CmLog_Event(G_LOG_LEVEL_WARNING, "run", job->id,
                "the response does not come from adapter %s; withholding it",
                job->adapter);
    Run_Cancel(job);
    g_free(job->head);
    job->head = NULL;
    g_string_truncate(job->response, 0);
    job->sendable_end = 0;
    Job_End(job, CM_OUTCOME_UNKNOWN, CM_REASON_ADAPTER_MISMATCH);
}

void
Run_ReleaseResponse(struct cm_memory_hold *hold)
{
    struct job *job =
        (struct job *)((char *)hold - offsetof(struct job, response_hold));
    CmLog_Event(G_LOG_LEVEL_WARNING, "run", job->id,
                "the response takes too much memory: %zu bytes",
                job->response->len);
    Run_Cancel(job);
    g_clear_pointer(&job->head, g_free);
    g_string_free(job->response, TRUE);
    job->response = g_string_new(NULL);
    Job_End(job, CM_OUTCOME_UNKNOWN, CM_REASON_TARGET_LOST);
}

static void
on_data(void *context, const void *data, size_t size)
{
    struct job *job = context;
    if (job->not_loaded || job->state != JOB_RUNNING) {
        return;
    }
    g_string_append_len(job->response, data, (gssize)size);
    // What goes to readers is bounded by their windows.
    CmMemoryHold_Set(&job->response_hold,
                     job->verified ? 0 : job->response->allocated_len);
    CmMemoryBudget_Enforce(&job->agent->guard.budget, CM_MEMORY_RESPONSES);
    if (job->state != JOB_RUNNING) {
        return;
    }
    job->consecutive_resumes = 0;
    if (!job->verified && job->streaming && !verify_first_event(job)) {
        withhold_response(job);
        return;
    }
    if (job->verified) {
        job->sendable_end = job->response_offset + job->response->len;
        Job_SendResponse(job);
        Run_UpdateReading(job);
    }
}

static void
record_run_time(struct agent *agent, const struct job *job)
{
    double ms = CmTime_DiffS(Agent_Now(agent), job->started_at) * CM_MS_PER_S;
    agent->mean_run_ms += (ms - agent->mean_run_ms) * AVERAGE_WEIGHT;
}

/// Queues the job again, as the engine lacks the adapter although its slot
/// counts as ready.
static void
requeue(struct job *job)
{
    struct agent *agent = job->agent;
    struct timespec now = Agent_Now(agent);
    job->not_loaded = false;
    if (++job->requeues > REQUEUES_MAX) {
        Job_End(job, CM_OUTCOME_NOT_RUN, CM_REASON_LOAD_FAILED);
        return;
    }
    job->state = JOB_WAITING;
    CmScheduler_Requeue(&agent->scheduler, &job->base, now);
    CmScheduler_InvalidateAdapter(&agent->scheduler, job->adapter);
    agent->slots_version++;
    Agent_WakeScheduler(agent);
}

static void
finish_run(struct job *job)
{
    if (job->not_loaded) {
        requeue(job);
        return;
    }
    if (!job->verified &&
        !names_adapter(job, job->response->str, job->response->len)) {
        withhold_response(job);
        return;
    }
    job->sendable_end = job->response_offset + job->response->len;
    record_run_time(job->agent, job);
    Job_End(job, CM_OUTCOME_RAN, CM_REASON_NONE);
}

/// Continues a broken stream on a new connection, from the next byte on.
static void
resume_stream(struct job *job)
{
    struct agent *agent = job->agent;
    job->consecutive_resumes++;
    agent->count.resumes.value++;
    char *lines = g_strdup(job->headers);
    struct cm_http_header headers[HEADERS_MAX];
    size_t n = parse_header_lines(lines, headers, HEADERS_MAX);
    size_t offset = job->response_offset + job->response->len;
    char *path =
        g_strdup_printf("/v1/streams/%s?offset=%zu",
                        target_request_id(headers, n, job->id), offset);
    struct cm_http_request request = {
        .address = agent->settings.address,
        .method = EVHTTP_REQ_GET,
        .path = path,
        .timeout_ms = idle_timeout_ms(job),
    };
    CmHttpCall_Start(&job->call, &agent->client, &request, &run_handler, job);
    g_free(path);
    g_free(lines);
}

static bool
can_resume(const struct job *job)
{
    return job->agent->settings.engine && !job->not_loaded &&
           job->consecutive_resumes < CONSECUTIVE_RESUMES_MAX &&
           job->agent->healthy &&
           CmTime_Before(Agent_Now(job->agent), job->deadline);
}

/// Ends the job, after the health check under way if there is one, so that
/// its entry learns before a retry whether the target crashed.
static void
end_lost_run(struct job *job)
{
    if (job->agent->healthy && CmOrder_Active(&job->agent->health_order)) {
        job->awaits_health_check = true;
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
    bool response_begun =
        job->consecutive_resumes > 0 || job->response->len > 0;
    switch (end) {
    case CM_HTTP_COMPLETE:
        if (job->not_loaded && response_begun) {
            // The engine no longer has the run to resume.
            Job_End(job, CM_OUTCOME_UNKNOWN, CM_REASON_TARGET_LOST);
            return;
        }
        finish_run(job);
        return;
    case CM_HTTP_NOT_CONNECTED:
        Health_SuspectTarget(job->agent);
        if (response_begun) {
            end_lost_run(job);
            return;
        }
        Job_End(job, CM_OUTCOME_NOT_RUN, CM_REASON_UNREACHABLE);
        return;
    case CM_HTTP_INTERRUPTED:
        Health_SuspectTarget(job->agent);
        if (can_resume(job)) {
            resume_stream(job);
            return;
        }
        Run_Cancel(job); // the target may continue without a reader
        end_lost_run(job);
        return;
    }
}
