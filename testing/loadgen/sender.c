/// @file sender.c
/// Open-loop sender: arrivals follow the trace, however slow the responses
/// are.

#include "sender.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "response_check.h"

/// Delay of the duplicate that the trace asks for.
#define RESEND_DELAY_MS 30
/// Time to wait for a response beyond the request's own timeout.
#define RESPONSE_GRACE_MS 10000

/// Retries of a request with an idempotency key and unknown outcome. The first
/// request isn't counted; a duplicate from the trace is.
#define RETRIES_MAX 4
#define RETRY_DELAY_MS 700

static void
send_request(struct sender *sender, guint index, bool is_resend,
             int n_retries);
static void
start_call(struct inflight_request *inflight, guint index);
static void
schedule_resend(struct sender *sender, guint index, int n_retries,
                int64_t delay_ms);

static double
elapsed_s(const struct sender *sender)
{
    return CmTime_DiffS(CmClock_Now(CmClock_System()), sender->start);
}

static double
elapsed_ms(struct timespec start)
{
    return CmTime_DiffS(CmClock_Now(CmClock_System()), start) * CM_MS_PER_S;
}

static void
record_head(void *context, int status, const struct cm_h1_head *head)
{
    struct inflight_request *inflight = context;
    struct result *result = &inflight->result;
    result->status = status;
    result->outcome = RESULT_UNKNOWN;
    const char *outcome = CmH1Head_Find(head, "X-Outcome");
    if (outcome != NULL && strcmp(outcome, "ran") == 0) {
        result->outcome = RESULT_RAN;
    }
    else if (outcome != NULL && strcmp(outcome, "not-run") == 0) {
        result->outcome = RESULT_NOT_RUN;
    }
    const char *adapter = CmH1Head_Find(head, "X-Adapter");
    if (result->outcome == RESULT_RAN && inflight->adapter[0] != '\0' &&
        (adapter == NULL || strcmp(adapter, inflight->adapter) != 0)) {
        result->wrong = true;
    }
    const char *id = CmH1Head_Find(head, "X-Request-Id");
    g_strlcpy(result->id, id != NULL ? id : "", sizeof(result->id));
    const char *stall = CmH1Head_Find(head, "X-Stall-Ms");
    const char *queue = CmH1Head_Find(head, "X-Queue-Ms");
    result->stall_ms = stall != NULL ? atof(stall) : 0;
    result->queue_ms = queue != NULL ? atof(queue) : 0;
    result->retry_after = CmH1Head_Find(head, "Retry-After") != NULL;
}

static void
append_body(void *context, const void *data, size_t size)
{
    struct inflight_request *inflight = context;
    if (inflight->body->len == 0) {
        inflight->result.first_ms = elapsed_ms(inflight->sent_at);
    }
    g_string_append_len(inflight->body, data, (gssize)size);
}

static void
notify_if_complete(struct sender *sender)
{
    if (sender->next_index >= sender->trace->requests->len &&
        sender->n_inflight == 0 && sender->pending_resends == 0) {
        sender->on_complete(sender->context);
    }
}

/// Retries a request with an idempotency key if its response doesn't tell
/// whether it ran, as a real caller would.
static void
retry_if_unanswered(const struct inflight_request *inflight)
{
    struct sender *sender = inflight->sender;
    const struct result *result = &inflight->result;
    bool unanswered = result->outcome == RESULT_NO_RESPONSE ||
                      result->outcome == RESULT_UNKNOWN || result->truncated;
    if (sender->retry_unanswered && result->kind == TRACE_LEDGER &&
        unanswered && inflight->n_retries < RETRIES_MAX) {
        schedule_resend(sender, (guint)result->index, inflight->n_retries + 1,
                        RETRY_DELAY_MS);
    }
}

static void
finish_request(void *context, enum cm_http_result end)
{
    struct inflight_request *inflight = context;
    struct sender *sender = inflight->sender;
    struct result *result = &inflight->result;
    size_t entries = Deployment_AddressCount(sender->deployment, "entries");
    if (end == CM_HTTP_NOT_CONNECTED &&
        ++inflight->refused_entries < entries) {
        // The platform's load balancer tries the next entry.
        inflight->entry_index++;
        start_call(inflight, (guint)result->index);
        return;
    }
    result->total_ms = elapsed_ms(inflight->sent_at);
    if (end != CM_HTTP_COMPLETE) {
        result->truncated = result->status != 0;
        if (result->status == 0) {
            result->outcome = RESULT_NO_RESPONSE;
        }
    }
    else if (result->outcome == RESULT_RAN) {
        Response_Check(inflight);
    }
    g_array_append_val(sender->results, *result);
    retry_if_unanswered(inflight);
    LIST_REMOVE(inflight, link);
    sender->n_inflight--;
    g_string_free(inflight->body, TRUE);
    g_free(inflight);
    notify_if_complete(sender);
}

static const struct cm_http_handler handler = {record_head, append_body,
                                               finish_request};

static char *
build_prompt(const struct experiment *experiment, int prefix, guint index)
{
    GString *prompt = g_string_new(NULL);
    g_string_append_printf(
        prompt,
        "Shared beginning %d of the cadastral note, common to many "
        "requests. ",
        prefix);
    while (prompt->len < (gsize)experiment->prompt_bytes) {
        g_string_append_printf(prompt, "point %u ", index);
    }
    return g_string_free(prompt, FALSE);
}

static char *
build_completion_body(struct inflight_request *inflight, guint index)
{
    const struct experiment *experiment = inflight->sender->experiment;
    char *prompt = build_prompt(experiment, inflight->request.prefix, index);
    json_t *json = json_pack("{s:s,s:s,s:i,s:b}", "model", inflight->adapter,
                             "prompt", prompt, "max_tokens", inflight->tokens,
                             "stream", inflight->stream);
    char *body = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    g_free(prompt);
    return body;
}

/// Sets method, path, body and adapter by the kind of the request.
static void
build_request(struct inflight_request *inflight, guint index, char **path,
              char **body, enum evhttp_cmd_type *method)
{
    const struct experiment *experiment = inflight->sender->experiment;
    *method = EVHTTP_REQ_POST;
    switch (inflight->request.kind) {
    case TRACE_COMPLETION:
    case TRACE_STREAM:
        snprintf(inflight->adapter, sizeof(inflight->adapter), "%s-%05d@1",
                 experiment->adapter_prefix, inflight->request.adapter + 1);
        *path = g_strdup("/v1/completions");
        *body = build_completion_body(inflight, index);
        return;
    case TRACE_LOOKUP:
        *method = EVHTTP_REQ_GET;
        *path = g_strdup_printf("/services/%s/lookup?point=%u",
                                experiment->plain_service, index);
        *body = NULL;
        return;
    case TRACE_LEDGER:
        *path =
            g_strdup_printf("/services/%s/ledger", experiment->plain_service);
        *body = strdup("one ledger entry");
        return;
    }
}

static void
start_call(struct inflight_request *inflight, guint index)
{
    struct sender *sender = inflight->sender;
    char *path = NULL;
    char *body = NULL;
    enum evhttp_cmd_type method;
    build_request(inflight, index, &path, &body, &method);
    char timeout[24];
    snprintf(timeout, sizeof(timeout), "%d",
             (int)sender->experiment->timeout_ms);
    struct cm_http_header headers[] = {
        {"Content-Type", "application/json"},
        {"X-Request-Timeout-Ms", timeout},
        {"Idempotency-Key", inflight->result.key},
    };
    size_t entries = Deployment_AddressCount(sender->deployment, "entries");
    size_t entry = inflight->entry_index % entries;
    for (size_t i = 0; i < entries && sender->entry_removed != NULL &&
                       sender->entry_removed[entry];
         i++) {
        entry = (entry + 1) % entries;
    }
    struct cm_http_request request = {
        .address = Deployment_Address(sender->deployment, "entries", entry),
        .method = method,
        .path = path,
        .headers = headers,
        .n_headers = inflight->result.key[0] != '\0' ? 3 : 2,
        .body = body,
        .body_size = body != NULL ? strlen(body) : 0,
        .timeout_ms = sender->experiment->timeout_ms + RESPONSE_GRACE_MS,
    };
    CmHttpCall_Start(&inflight->call, &sender->client, &request, &handler,
                     inflight);
    free(body);
    g_free(path);
}

/// Context of the timer that sends a request again.
struct resend {
    struct sender *sender;
    guint index;
    int n_retries;
};

static void
resend_request(evutil_socket_t fd, short what, void *context)
{
    struct resend *resend = context;
    resend->sender->pending_resends--;
    send_request(resend->sender, resend->index, true, resend->n_retries);
    g_free(resend);
}

static void
schedule_resend(struct sender *sender, guint index, int n_retries,
                int64_t delay_ms)
{
    struct resend *resend = g_new0(struct resend, 1);
    resend->sender = sender;
    resend->index = index;
    resend->n_retries = n_retries;
    sender->pending_resends++;
    struct timeval delay = CmTime_Timeval(delay_ms);
    event_base_once(sender->base, -1, EV_TIMEOUT, resend_request, resend,
                    &delay);
}

static void
send_request(struct sender *sender, guint index, bool is_resend, int n_retries)
{
    struct inflight_request *inflight = g_new0(struct inflight_request, 1);
    inflight->sender = sender;
    inflight->n_retries = n_retries;
    inflight->entry_index = index + (guint)n_retries;
    inflight->request =
        g_array_index(sender->trace->requests, struct trace_request, index);
    inflight->tokens = inflight->request.tokens;
    inflight->stream = inflight->request.kind == TRACE_STREAM;
    inflight->body = g_string_new(NULL);
    inflight->sent_at = CmClock_Now(CmClock_System());
    struct result *result = &inflight->result;
    result->index = (int)index;
    result->is_resend = is_resend;
    result->kind = inflight->request.kind;
    result->adapter = inflight->request.adapter;
    result->tokens = inflight->request.tokens;
    result->sent_s = elapsed_s(sender);
    result->first_ms = -1;
    result->outcome = RESULT_NO_RESPONSE;
    if (inflight->request.kind == TRACE_LEDGER) {
        snprintf(result->key, sizeof(result->key), "key-%llx-%u",
                 (unsigned long long)sender->run_id, index);
    }
    LIST_INSERT_HEAD(&sender->inflight, inflight, link);
    sender->n_inflight++;
    start_call(inflight, index);
    if (!is_resend && inflight->request.kind == TRACE_LEDGER &&
        inflight->request.resend) {
        schedule_resend(sender, index, 1, RESEND_DELAY_MS);
    }
}

static void
send_due_requests(evutil_socket_t fd, short what, void *context)
{
    struct sender *sender = context;
    const GArray *requests = sender->trace->requests;
    double now_s = elapsed_s(sender);
    while (sender->next_index < requests->len &&
           g_array_index(requests, struct trace_request, sender->next_index)
                   .arrival_s <= now_s) {
        send_request(sender, sender->next_index++, false, 0);
    }
    if (sender->next_index < requests->len) {
        double wait_s =
            g_array_index(requests, struct trace_request, sender->next_index)
                .arrival_s -
            now_s;
        struct timeval delay = {.tv_usec = (long)(wait_s * 1e6) % 1000000,
                                .tv_sec = (long)wait_s};
        event_add(sender->timer, &delay);
    }
    else {
        notify_if_complete(sender);
    }
}

void
Sender_Init(struct sender *sender, struct event_base *base,
            const struct experiment *experiment,
            const struct deployment *deployment, const struct trace *trace,
            void (*on_complete)(void *context), void *context)
{
    memset(sender, 0, sizeof(*sender));
    sender->base = base;
    sender->experiment = experiment;
    sender->deployment = deployment;
    sender->trace = trace;
    sender->on_complete = on_complete;
    sender->context = context;
    sender->results = g_array_new(FALSE, TRUE, sizeof(struct result));
    sender->timer = evtimer_new(base, send_due_requests, sender);
    sender->run_id = (uint64_t)CmClock_WallMs(CmClock_System());
    LIST_INIT(&sender->inflight);
    CmHttpClient_Init(&sender->client, base);
}

void
Sender_Start(struct sender *sender)
{
    sender->start = CmClock_Now(CmClock_System());
    send_due_requests(-1, 0, sender);
}

void
Sender_Finish(struct sender *sender)
{
    CmHttpClient_Finish(&sender->client);
    struct inflight_request *inflight;
    while ((inflight = LIST_FIRST(&sender->inflight)) != NULL) {
        LIST_REMOVE(inflight, link);
        g_string_free(inflight->body, TRUE);
        g_free(inflight);
    }
    event_free(sender->timer);
    g_array_free(sender->results, TRUE);
}
