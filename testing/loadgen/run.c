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
sum_member(const json_t *targets, const char *name)
{
    double sum = 0;
    for (size_t i = 0; i < json_array_size(targets); i++) {
        sum += json_number_value(
            json_object_get(json_array_get(targets, i), name));
    }
    return sum;
}

struct server_stats
Command_ReadServerStats(const struct deployment *deployment)
{
    struct server_stats totals = {0};
    json_t *stats = BlockingHttp_GetJson(
        Deployment_Address(deployment, "control", 0), "/stats");
    const json_t *targets = json_object_get(stats, "targets");
    totals.batch_sum = sum_member(targets, "batch_sum");
    totals.steps = sum_member(targets, "steps");
    totals.evicted_in_use = sum_member(targets, "evicted_in_use");
    json_decref(stats);
    json_t *platform = BlockingHttp_GetJson(
        Deployment_Address(deployment, "platform", 0), "/stats");
    totals.loads = json_number_value(json_object_get(platform, "loads"));
    totals.in_transit_peak =
        json_number_value(json_object_get(platform, "in_transit_peak"));
    json_decref(platform);
    return totals;
}

static void
stop_loop(void *context)
{
    event_base_loopbreak(context);
}

static int
engine_capacity(const struct deployment *deployment)
{
    json_t *load = BlockingHttp_GetJson(
        Deployment_Address(deployment, "engines", 0), "/load");
    int capacity = (int)json_integer_value(json_object_get(load, "capacity"));
    json_decref(load);
    return capacity > 0 ? capacity : 1;
}

/// Context of the timer that reads the counters when the warm-up ends.
struct warmup {
    const struct deployment *deployment;
    struct server_stats at_warmup_end;
};

static void
read_warmup_end(evutil_socket_t fd, short what, void *context)
{
    struct warmup *warmup = context;
    warmup->at_warmup_end = Command_ReadServerStats(warmup->deployment);
}

static int
run_experiment(const struct options *options,
               const struct experiment *experiment,
               const struct deployment *deployment)
{
    struct trace trace;
    Trace_Init(&trace, experiment);
    struct event_base *base = event_base_new();
    struct sender sender;
    Sender_Init(&sender, base, experiment, deployment, &trace, stop_loop,
                base);
    struct warmup warmup = {.deployment = deployment};
    struct server_stats at_start = Command_ReadServerStats(deployment);
    warmup.at_warmup_end = at_start;
    struct timeval delay =
        CmTime_Timeval((int64_t)(experiment->warmup_s * CM_MS_PER_S));
    event_base_once(base, -1, EV_TIMEOUT, read_warmup_end, &warmup, &delay);
    Sender_Start(&sender);
    event_base_dispatch(base);
    struct server_stats at_end = Command_ReadServerStats(deployment);
    char *csv = g_strdup_printf("%s/%s.csv", options->out, experiment->name);
    char *summary =
        g_strdup_printf("%s/%s.json", options->out, experiment->name);
    GError *error = NULL;
    bool written = Summary_WriteCsv(sender.results, csv, &error);
    if (!written) {
        fprintf(stderr, "loadgen: %s\n", error->message);
        g_clear_error(&error);
    }
    Summary_Write(sender.results, experiment, &at_start, &warmup.at_warmup_end,
                  &at_end, engine_capacity(deployment), summary);
    bool valid = written;
    for (guint i = 0; i < sender.results->len; i++) {
        const struct result *result =
            &g_array_index(sender.results, struct result, i);
        valid &= !result->wrong;
    }
    g_free(csv);
    g_free(summary);
    Sender_Finish(&sender);
    event_base_free(base);
    Trace_Finish(&trace);
    return valid ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
run_on_deployment(const struct options *options,
                  const struct experiment *experiment)
{
    struct deployment deployment;
    GError *error = NULL;
    if (!Deployment_Init(&deployment, options->addresses, &error)) {
        fprintf(stderr, "loadgen: %s\n", error->message);
        g_clear_error(&error);
        return EXIT_FAILURE;
    }
    int code = run_experiment(options, experiment, &deployment);
    Deployment_Finish(&deployment);
    return code;
}

int
Command_Run(const struct options *options)
{
    size_t size;
    GError *error = NULL;
    char *text =
        options->experiment_path != NULL
            ? CmSettings_LoadFile(options->experiment_path, &size, &error)
            : NULL;
    if (text == NULL) {
        fprintf(stderr, "loadgen: %s\n",
                error != NULL ? error->message
                              : "missing argument EXPERIMENT.yaml");
        g_clear_error(&error);
        return EXIT_FAILURE;
    }
    struct experiment experiment;
    struct cm_findings findings;
    CmFindings_Init(&findings, options->experiment_path, CM_FINDINGS_MAX);
    int code = EXIT_FAILURE;
    if (Experiment_Init(&experiment, text, size, &findings)) {
        code = run_on_deployment(options, &experiment);
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

/// Timeout of a request of `loadgen latency`.
#define LATENCY_TIMEOUT_MS 30000

/// Closed-loop measurement: each caller sends its next request when it has the
/// response to the previous one.
struct closed_loop {
    const struct options *options;
    struct event_base *base;
    struct cm_http_client client;
    int remaining;
    int inflight;
    int failed;
    GArray *latencies_ms;
};

struct loop_caller {
    struct closed_loop *loop;
    struct cm_http_call call;
    struct timespec sent_at;
    int status;
};

static void
send_next(struct loop_caller *caller);

static void
store_status(void *context, int status, const struct cm_h1_head *head)
{
    ((struct loop_caller *)context)->status = status;
}

static void
record_latency(void *context, enum cm_http_result end)
{
    struct loop_caller *caller = context;
    struct closed_loop *loop = caller->loop;
    struct timespec now = CmClock_Now(CmClock_System());
    double ms = CmTime_DiffS(now, caller->sent_at) * CM_MS_PER_S;
    g_array_append_val(loop->latencies_ms, ms);
    loop->failed += end != CM_HTTP_COMPLETE || caller->status != HTTP_OK;
    loop->inflight--;
    if (loop->remaining > 0) {
        send_next(caller);
    }
    else if (loop->inflight == 0) {
        event_base_loopbreak(loop->base);
    }
}

static void
send_next(struct loop_caller *caller)
{
    static const struct cm_http_handler handler = {store_status, NULL,
                                                   record_latency};
    struct closed_loop *loop = caller->loop;
    struct cm_http_request request = {
        .address = loop->options->target,
        .method = EVHTTP_REQ_GET,
        .path = loop->options->path,
        .timeout_ms = LATENCY_TIMEOUT_MS,
    };
    loop->remaining--;
    loop->inflight++;
    caller->sent_at = CmClock_Now(CmClock_System());
    CmHttpCall_Start(&caller->call, &loop->client, &request, &handler, caller);
}

int
Command_Latency(const struct options *options)
{
    if (options->target == NULL) {
        fprintf(stderr, "loadgen: missing option --target\n");
        return EXIT_FAILURE;
    }
    struct closed_loop loop = {.options = options,
                               .base = event_base_new(),
                               .remaining = atoi(options->count)};
    loop.latencies_ms = g_array_new(FALSE, FALSE, sizeof(double));
    CmHttpClient_Init(&loop.client, loop.base);
    int n = atoi(options->concurrency);
    struct loop_caller *callers = g_new0(struct loop_caller, n);
    struct timespec start = CmClock_Now(CmClock_System());
    for (int i = 0; i < n && loop.remaining > 0; i++) {
        callers[i].loop = &loop;
        send_next(&callers[i]);
    }
    event_base_dispatch(loop.base);
    double seconds = CmTime_DiffS(CmClock_Now(CmClock_System()), start);
    Summary_Sort(loop.latencies_ms);
    printf("{\"concurrency\":%d,\"count\":%u,\"failed\":%d,"
           "\"p50_ms\":%.3f,\"p99_ms\":%.3f,\"per_s\":%.0f}\n",
           n, loop.latencies_ms->len, loop.failed,
           Summary_Quantile(loop.latencies_ms, 0.5),
           Summary_Quantile(loop.latencies_ms, 0.99),
           loop.latencies_ms->len / seconds);
    CmHttpClient_Finish(&loop.client);
    event_base_free(loop.base);
    g_array_free(loop.latencies_ms, TRUE);
    g_free(callers);
    return loop.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
