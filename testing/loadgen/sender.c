/// @file sender.c
/// Open-loop sender: a late answer does not slow the arrivals.

#include "sender.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "response_check.h"
#include "base/clock.h"

#define RESEND_AFTER_MS 30
/// Time beyond the request's own limit that an answer is waited for.
#define GRACE_MS 10000

/// Most requests under one key, the first one included.
#define TRIES_MAX 4
#define TRY_AGAIN_MS 700

static void
send_request(struct sender *sender, guint index, bool is_resend, int tries);
static void
start_call(struct sending *sending, guint index);
static void
schedule_resend(struct sender *sender, guint index, int tries,
                int64_t delay_ms);

static double
since_start_s(const struct sender *sender)
{
    return CmTime_DiffS(CmClock_Now(CmClock_System()), sender->start);
}

static double
since_ms(struct timespec then)
{
    return CmTime_DiffS(CmClock_Now(CmClock_System()), then) * CM_MS_PER_S;
}

static void
on_head(void *context, int status, struct evkeyvalq *headers)
{
    struct sending *sending = context;
    struct result *result = &sending->result;
    result->status = status;
    result->outcome = RESULT_UNKNOWN;
    const char *outcome = evhttp_find_header(headers, "X-Outcome");
    if (outcome != NULL && strcmp(outcome, "ran") == 0) {
        result->outcome = RESULT_RAN;
    }
    else if (outcome != NULL && strcmp(outcome, "not-run") == 0) {
        result->outcome = RESULT_NOT_RUN;
    }
    const char *adapter = evhttp_find_header(headers, "X-Adapter");
    if (result->outcome == RESULT_RAN && sending->adapter[0] != '\0' &&
        (adapter == NULL || strcmp(adapter, sending->adapter) != 0)) {
        result->wrong = true;
    }
    const char *id = evhttp_find_header(headers, "X-Request-Id");
    g_strlcpy(result->id, id != NULL ? id : "", sizeof(result->id));
    const char *stall = evhttp_find_header(headers, "X-Stall-Ms");
    const char *queue = evhttp_find_header(headers, "X-Queue-Ms");
    result->stall_ms = stall != NULL ? atof(stall) : 0;
    result->queue_ms = queue != NULL ? atof(queue) : 0;
    result->retry_after = evhttp_find_header(headers, "Retry-After") != NULL;
}

static void
on_data(void *context, const void *data, size_t size)
{
    struct sending *sending = context;
    if (sending->body->len == 0) {
        sending->result.first_ms = since_ms(sending->sent);
    }
    g_string_append_len(sending->body, data, (gssize)size);
}

static void
check_done(struct sender *sender)
{
    if (sender->next >= sender->trace->requests->len &&
        sender->n_under_way == 0 && sender->resends_due == 0) {
        sender->done(sender->context);
    }
}

/// A keyed request whose answer leaves open whether it ran is sent again, as
/// its caller would.
static void
maybe_resend(const struct sending *sending)
{
    struct sender *sender = sending->sender;
    const struct result *result = &sending->result;
    bool open = result->outcome == RESULT_NONE ||
                result->outcome == RESULT_UNKNOWN || result->cut;
    if (sender->resend_lost && result->kind == TRACE_LEDGER && open &&
        sending->tries < TRIES_MAX) {
        schedule_resend(sender, (guint)result->index, sending->tries + 1,
                        TRY_AGAIN_MS);
    }
}

static void
on_end(void *context, enum cm_http_result end)
{
    struct sending *sending = context;
    struct sender *sender = sending->sender;
    struct result *result = &sending->result;
    size_t entries = Stack_Count(sender->stack, "entries");
    if (end == CM_HTTP_NOT_CONNECTED && ++sending->refusals < entries) {
        // The platform's balancer goes on to the next entry.
        sending->entry++;
        start_call(sending, (guint)result->index);
        return;
    }
    result->total_ms = since_ms(sending->sent);
    if (end != CM_HTTP_COMPLETE) {
        result->cut = result->status != 0;
        if (result->status == 0) {
            result->outcome = RESULT_NONE;
        }
    }
    else if (result->outcome == RESULT_RAN) {
        Answer_Check(sending);
    }
    g_array_append_val(sender->results, *result);
    maybe_resend(sending);
    LIST_REMOVE(sending, link);
    sender->n_under_way--;
    g_string_free(sending->body, TRUE);
    g_free(sending);
    check_done(sender);
}

static const struct cm_http_handler handler = {on_head, on_data, on_end};

static char *
make_prompt(const struct experiment *experiment, int prefix, guint index)
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
completion_body(struct sending *sending, guint index)
{
    const struct experiment *experiment = sending->sender->experiment;
    char *prompt = make_prompt(experiment, sending->request.prefix, index);
    json_t *json = json_pack("{s:s,s:s,s:i,s:b}", "model", sending->adapter,
                             "prompt", prompt, "max_tokens", sending->tokens,
                             "stream", sending->stream);
    char *body = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    g_free(prompt);
    return body;
}

/// Fills in what differs by kind.
static void
describe(struct sending *sending, guint index, char **path, char **body,
         enum evhttp_cmd_type *method)
{
    const struct experiment *experiment = sending->sender->experiment;
    *method = EVHTTP_REQ_POST;
    switch (sending->request.kind) {
    case TRACE_COMPLETION:
    case TRACE_STREAM:
        snprintf(sending->adapter, sizeof(sending->adapter), "%s-%05d@1",
                 experiment->adapter_prefix, sending->request.adapter + 1);
        *path = g_strdup("/v1/completions");
        *body = completion_body(sending, index);
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
start_call(struct sending *sending, guint index)
{
    struct sender *sender = sending->sender;
    char *path = NULL;
    char *body = NULL;
    enum evhttp_cmd_type method;
    describe(sending, index, &path, &body, &method);
    char timeout[24];
    snprintf(timeout, sizeof(timeout), "%d",
             (int)sender->experiment->timeout_ms);
    struct cm_http_header headers[] = {
        {"Content-Type", "application/json"},
        {"X-Request-Timeout-Ms", timeout},
        {"Idempotency-Key", sending->result.key},
    };
    size_t entries = Stack_Count(sender->stack, "entries");
    size_t entry = sending->entry % entries;
    for (size_t i = 0;
         i < entries && sender->entry_out != NULL && sender->entry_out[entry];
         i++) {
        entry = (entry + 1) % entries;
    }
    struct cm_http_request request = {
        .address = Stack_Address(sender->stack, "entries", entry),
        .method = method,
        .path = path,
        .headers = headers,
        .n_headers = sending->result.key[0] != '\0' ? 3 : 2,
        .body = body,
        .body_size = body != NULL ? strlen(body) : 0,
        .timeout_ms = sender->experiment->timeout_ms + GRACE_MS,
    };
    CmHttpCall_Start(&sending->call, &sender->client, &request, &handler,
                     sending);
    free(body);
    g_free(path);
}

struct resend {
    struct sender *sender;
    guint index;
    int tries;
};

static void
on_resend(evutil_socket_t fd, short what, void *context)
{
    struct resend *resend = context;
    resend->sender->resends_due--;
    send_request(resend->sender, resend->index, true, resend->tries);
    g_free(resend);
}

static void
schedule_resend(struct sender *sender, guint index, int tries,
                int64_t delay_ms)
{
    struct resend *resend = g_new0(struct resend, 1);
    resend->sender = sender;
    resend->index = index;
    resend->tries = tries;
    sender->resends_due++;
    struct timeval delay = CmTime_Timeval(delay_ms);
    event_base_once(sender->base, -1, EV_TIMEOUT, on_resend, resend, &delay);
}

static void
send_request(struct sender *sender, guint index, bool is_resend, int tries)
{
    struct sending *sending = g_new0(struct sending, 1);
    sending->sender = sender;
    sending->tries = tries;
    sending->entry = index + (guint)tries;
    sending->request =
        g_array_index(sender->trace->requests, struct trace_request, index);
    sending->tokens = sending->request.tokens;
    sending->stream = sending->request.kind == TRACE_STREAM;
    sending->body = g_string_new(NULL);
    sending->sent = CmClock_Now(CmClock_System());
    struct result *result = &sending->result;
    result->index = (int)index;
    result->is_resend = is_resend;
    result->kind = sending->request.kind;
    result->adapter = sending->request.adapter;
    result->tokens = sending->request.tokens;
    result->at_s = since_start_s(sender);
    result->first_ms = -1;
    result->outcome = RESULT_NONE;
    if (sending->request.kind == TRACE_LEDGER) {
        snprintf(result->key, sizeof(result->key), "key-%llx-%u",
                 (unsigned long long)sender->run_number, index);
    }
    LIST_INSERT_HEAD(&sender->under_way, sending, link);
    sender->n_under_way++;
    start_call(sending, index);
    if (!is_resend && sending->request.kind == TRACE_LEDGER &&
        sending->request.resend) {
        schedule_resend(sender, index, 1, RESEND_AFTER_MS);
    }
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct sender *sender = context;
    const GArray *requests = sender->trace->requests;
    double now_s = since_start_s(sender);
    while (sender->next < requests->len &&
           g_array_index(requests, struct trace_request, sender->next).at_s <=
               now_s) {
        send_request(sender, sender->next++, false, 0);
    }
    if (sender->next < requests->len) {
        double wait_s =
            g_array_index(requests, struct trace_request, sender->next).at_s -
            now_s;
        struct timeval delay = {.tv_usec = (long)(wait_s * 1e6) % 1000000,
                                .tv_sec = (long)wait_s};
        event_add(sender->timer, &delay);
    }
    else {
        check_done(sender);
    }
}

void
Sender_Init(struct sender *sender, struct event_base *base,
            const struct experiment *experiment, const struct stack *stack,
            const struct trace *trace, void (*done)(void *context),
            void *context)
{
    memset(sender, 0, sizeof(*sender));
    sender->base = base;
    sender->experiment = experiment;
    sender->stack = stack;
    sender->trace = trace;
    sender->done = done;
    sender->context = context;
    sender->results = g_array_new(FALSE, TRUE, sizeof(struct result));
    sender->timer = evtimer_new(base, on_timer, sender);
    sender->run_number = (uint64_t)CmClock_WallMs(CmClock_System());
    LIST_INIT(&sender->under_way);
    CmHttpClient_Init(&sender->client, base);
}

void
Sender_Start(struct sender *sender)
{
    sender->start = CmClock_Now(CmClock_System());
    on_timer(-1, 0, sender);
}

void
Sender_Finish(struct sender *sender)
{
    CmHttpClient_Finish(&sender->client);
    struct sending *sending;
    while ((sending = LIST_FIRST(&sender->under_way)) != NULL) {
        LIST_REMOVE(sending, link);
        g_string_free(sending->body, TRUE);
        g_free(sending);
    }
    event_free(sender->timer);
    g_array_free(sender->results, TRUE);
}
