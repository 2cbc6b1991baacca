/// @file run.c
/// `loadgen run` and `loadgen latency`.

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "blocking_http.h"
#include "commands.h"
#include "config/settings.h"

static double
sum_of(const json_t *targets, const char *name)
{
    double sum = 0;
    for (size_t i = 0; i < json_array_size(targets); i++) {
        sum += json_number_value(
            json_object_get(json_array_get(targets, i), name));
    }
    return sum;
}

struct snapshot
Command_Snapshot(const struct stack *stack)
{
    struct snapshot snapshot = {0};
    json_t *stats =
        Blocking_GetJson(Stack_Address(stack, "control", 0), "/stats");
    const json_t *targets = json_object_get(stats, "targets");
    snapshot.batch_sum = sum_of(targets, "batch_sum");
    snapshot.steps = sum_of(targets, "steps");
    snapshot.evicted_in_use = sum_of(targets, "evicted_in_use");
    json_decref(stats);
    json_t *platform =
        Blocking_GetJson(Stack_Address(stack, "platform", 0), "/stats");
    snapshot.loads = json_number_value(json_object_get(platform, "loads"));
    snapshot.in_transit_peak =
        json_number_value(json_object_get(platform, "in_transit_peak"));
    json_decref(platform);
    return snapshot;
}

static void
on_done(void *context)
{
    event_base_loopbreak(context);
}

static int
capacity_of(const struct stack *stack)
{
    json_t *load =
        Blocking_GetJson(Stack_Address(stack, "engines", 0), "/load");
    int capacity = (int)json_integer_value(json_object_get(load, "capacity"));
    json_decref(load);
    return capacity > 0 ? capacity : 1;
}

/// Figures at the end of the warm-up.
struct warmup {
    const struct stack *stack;
    struct snapshot before;
};

static void
on_warm(evutil_socket_t fd, short what, void *context)
{
    struct warmup *warmup = context;
    warmup->before = Command_Snapshot(warmup->stack);
}

static int
run_experiment(const struct options *options,
               const struct experiment *experiment, const struct stack *stack)
{
    struct trace trace;
    Trace_Init(&trace, experiment);
    struct event_base *base = event_base_new();
    struct sender sender;
    Sender_Init(&sender, base, experiment, stack, &trace, on_done, base);
    struct warmup warmup = {.stack = stack};
    struct snapshot start = Command_Snapshot(stack);
    warmup.before = start;
    struct timeval delay =
        CmTime_Timeval((int64_t)(experiment->warmup_s * CM_MS_PER_S));
    event_base_once(base, -1, EV_TIMEOUT, on_warm, &warmup, &delay);
    Sender_Start(&sender);
    event_base_dispatch(base);
    struct snapshot after = Command_Snapshot(stack);
    char *csv = g_strdup_printf("%s/%s.csv", options->out, experiment->name);
    char *summary =
        g_strdup_printf("%s/%s.json", options->out, experiment->name);
    GError *error = NULL;
    bool written = Summary_WriteCsv(sender.results, csv, &error);
    if (!written) {
        fprintf(stderr, "loadgen: %s\n", error->message);
        g_clear_error(&error);
    }
    Summary_Write(sender.results, experiment, &start, &warmup.before, &after,
                  capacity_of(stack), summary);
    bool sound = written;
    for (guint i = 0; i < sender.results->len; i++) {
        const struct result *result =
            &g_array_index(sender.results, struct result, i);
        sound &= !result->wrong;
    }
    g_free(csv);
    g_free(summary);
    Sender_Finish(&sender);
    event_base_free(base);
    Trace_Finish(&trace);
    return sound ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
with_stack(const struct options *options, const struct experiment *experiment)
{
    struct stack stack;
    GError *error = NULL;
    if (!Stack_Init(&stack, options->addresses, &error)) {
        fprintf(stderr, "loadgen: %s\n", error->message);
        g_clear_error(&error);
        return EXIT_FAILURE;
    }
    int code = run_experiment(options, experiment, &stack);
    Stack_Finish(&stack);
    return code;
}

int
Command_Run(const struct options *options)
{
    size_t size;
    GError *error = NULL;
    char *text = options->file != NULL
                     ? CmSettings_LoadFile(options->file, &size, &error)
                     : NULL;
    if (text == NULL) {
        fprintf(stderr, "loadgen: %s\n",
                error != NULL ? error->message : "name an experiment");
        g_clear_error(&error);
        return EXIT_FAILURE;
    }
    struct experiment experiment;
    struct cm_findings findings;
    CmFindings_Init(&findings, options->file, CM_FINDINGS_MAX);
    int code = EXIT_FAILURE;
    if (Experiment_Init(&experiment, text, size, &findings)) {
        code = with_stack(options, &experiment);
    }
    else {
        char *report = CmFindings_Report(&findings);
        fputs(report, stderr);
        g_free(report);
    }
    Experiment_Finish(&experiment);
    CmFindings_Finish(&findings);
    g_free(text);
    return code;
}

/// Closed loop: each of some callers sends its next request after an answer.
struct latency {
    const struct options *options;
    struct event_base *base;
    struct cm_http_client client;
    int left;
    int under_way;
    int failed;
    GArray *times_ms;
};

struct loop_call {
    struct latency *latency;
    struct cm_http_call call;
    struct timespec sent;
    int status;
};

static void
send_next(struct loop_call *call);

static void
on_loop_head(void *context, int status, struct evkeyvalq *headers)
{
    ((struct loop_call *)context)->status = status;
}

static void
on_loop_end(void *context, enum cm_http_result end)
{
    struct loop_call *call = context;
    struct latency *latency = call->latency;
    struct timespec now = CmClock_Now(CmClock_System());
    double ms = CmTime_DiffS(now, call->sent) * CM_MS_PER_S;
    g_array_append_val(latency->times_ms, ms);
    latency->failed += end != CM_HTTP_COMPLETE || call->status != HTTP_OK;
    latency->under_way--;
    if (latency->left > 0) {
        send_next(call);
    }
    else if (latency->under_way == 0) {
        event_base_loopbreak(latency->base);
    }
}

static void
send_next(struct loop_call *call)
{
    static const struct cm_http_handler handler = {on_loop_head, NULL,
                                                   on_loop_end};
    struct latency *latency = call->latency;
    struct cm_http_request request = {
        .address = latency->options->target,
        .method = EVHTTP_REQ_GET,
        .path = latency->options->path,
        .timeout_ms = 30000,
    };
    latency->left--;
    latency->under_way++;
    call->sent = CmClock_Now(CmClock_System());
    CmHttpCall_Start(&call->call, &latency->client, &request, &handler, call);
}

int
Command_Latency(const struct options *options)
{
    if (options->target == NULL) {
        fprintf(stderr, "loadgen: name a --target\n");
        return EXIT_FAILURE;
    }
    struct latency latency = {.options = options,
                              .base = event_base_new(),
                              .left = atoi(options->count)};
    latency.times_ms = g_array_new(FALSE, FALSE, sizeof(double));
    CmHttpClient_Init(&latency.client, latency.base);
    int n = atoi(options->concurrency);
    struct loop_call *calls = g_new0(struct loop_call, n);
    struct timespec start = CmClock_Now(CmClock_System());
    for (int i = 0; i < n && latency.left > 0; i++) {
        calls[i].latency = &latency;
        send_next(&calls[i]);
    }
    event_base_dispatch(latency.base);
    double seconds = CmTime_DiffS(CmClock_Now(CmClock_System()), start);
    Summary_Sort(latency.times_ms);
    printf("{\"concurrency\":%d,\"count\":%u,\"failed\":%d,"
           "\"p50_ms\":%.3f,\"p99_ms\":%.3f,\"per_s\":%.0f}\n",
           n, latency.times_ms->len, latency.failed,
           Summary_Quantile(latency.times_ms, 0.5),
           Summary_Quantile(latency.times_ms, 0.99),
           latency.times_ms->len / seconds);
    CmHttpClient_Finish(&latency.client);
    event_base_free(latency.base);
    g_array_free(latency.times_ms, TRUE);
    g_free(calls);
    return latency.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
