/// @file faults.c
/// `loadgen faults`: background load, fault injection and the final check of
/// the invariants.

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "commands.h"
#include "fault_injector.h"
#include "invariants.h"
#include "process.h"

/// Delay between the last response and the check of the invariants, and
/// interval at which the end of the last fault is polled.
#define SETTLE_TIME_MS 6000
#define REQUESTS_PER_S 80
/// Time at the end of the load in which no new faults are injected.
#define FAULT_FREE_END_S 5

struct faults_run {
    struct event_base *base;
    struct fault_injector injector;
    struct sender sender;
    struct revision_monitor monitor;
    bool all_answered;
};

static struct experiment
background_load(const struct options *options,
                const struct deployment *deployment)
{
    const char *deployment_name =
        json_string_value(json_object_get(deployment->json, "deployment"));
    bool is_triangel =
        deployment_name != NULL && strcmp(deployment_name, "triangel") == 0;
    return (struct experiment){
        .name = "faults",
        .seed = atoll(options->seed),
        .rate = REQUESTS_PER_S,
        .duration_s = atof(options->duration),
        .adapters = 300,
        .adapter_prefix = is_triangel ? "parcel" : "unit",
        .plain_service = is_triangel ? "transform-app" : "dispatch",
        .zipf = 1.5,
        .tokens_min = 4,
        .tokens_max = 60,
        .prompt_bytes = 100,
        .prefixes = 20,
        .stream_share = 0.4,
        .lookup_share = 0.15,
        .ledger_share = 0.25,
        .resend_share = 0.2,
        .shift_at_s = atof(options->duration) / 2,
        .shift_share = 0.1,
        .timeout_ms = 10000,
    };
}

static void
stop_when_settled(evutil_socket_t fd, short what, void *context)
{
    struct faults_run *run = context;
    if (run->injector.n_active > 0 || !run->injector.drawing_ended) {
        struct timeval delay = CmTime_Timeval(SETTLE_TIME_MS);
        event_base_once(run->base, -1, EV_TIMEOUT, stop_when_settled, run,
                        &delay);
        return;
    }
    event_base_loopbreak(run->base);
}

static void
schedule_stop(void *context)
{
    struct faults_run *run = context;
    if (run->all_answered) {
        return;
    }
    run->all_answered = true;
    struct timeval delay = CmTime_Timeval(SETTLE_TIME_MS);
    event_base_once(run->base, -1, EV_TIMEOUT, stop_when_settled, run, &delay);
}

int
Command_Faults(const struct options *options)
{
    struct deployment deployment;
    GError *error = NULL;
    if (!Deployment_Init(&deployment, options->addresses, &error)) {
        fprintf(stderr, "loadgen: %s\n", error->message);
        g_clear_error(&error);
        return EXIT_FAILURE;
    }
    struct experiment experiment = background_load(options, &deployment);
    struct trace trace;
    Trace_Init(&trace, &experiment);
    struct faults_run run = {.base = event_base_new()};
    Sender_Init(&run.sender, run.base, &experiment, &deployment, &trace,
                schedule_stop, &run);
    run.sender.retry_unanswered = true;
    run.sender.entry_removed =
        g_new0(bool, Deployment_AddressCount(&deployment, "entries") + 1);
    FaultInjector_Init(&run.injector, run.base, &deployment, &run.sender,
                       (guint32)experiment.seed,
                       experiment.duration_s - FAULT_FREE_END_S);
    RevisionMonitor_Init(&run.monitor, &deployment);
    RevisionMonitor_Start(&run.monitor);
    printf("seed %s, %s s, %u requests\n", options->seed, options->duration,
           trace.requests->len);
    Sender_Start(&run.sender);
    FaultInjector_Start(&run.injector);
    event_base_dispatch(run.base);
    FaultInjector_JoinOperators(&run.injector);
    RevisionMonitor_Stop(&run.monitor);
    int violations =
        Invariants_Check(&run.sender, &run.injector, &run.monitor);
    Process_SavePids(&deployment, options->addresses);
    char *csv = g_strdup_printf("%s/faults.csv", options->out);
    Summary_WriteCsv(run.sender.results, csv, NULL);
    g_free(csv);
    RevisionMonitor_Finish(&run.monitor);
    FaultInjector_Finish(&run.injector);
    g_free(run.sender.entry_removed);
    Sender_Finish(&run.sender);
    Trace_Finish(&trace);
    event_base_free(run.base);
    Deployment_Finish(&deployment);
    printf("%s\n", violations == 0 ? "all invariants held"
                                   : "INVARIANTS WERE VIOLATED");
    return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
