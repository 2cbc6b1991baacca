/// @file faults.c
/// `loadgen faults`: load, faults, verdict.

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "commands.h"
#include "fault_injector.h"
#include "process.h"
#include "invariants.h"

/// Quiet time after the last fault and the last answer before the verdict.
#define SETTLE_MS 6000
#define RATE 80

struct faults_run {
    struct event_base *base;
    struct plan plan;
    struct sender sender;
    struct revision_watch watch;
    bool sent_all;
};

static struct experiment
background_load(const struct options *options, const struct stack *stack)
{
    const char *deployment =
        json_string_value(json_object_get(stack->json, "deployment"));
    bool triangel = deployment != NULL && strcmp(deployment, "triangel") == 0;
    return (struct experiment){
        .name = "faults",
        .seed = atoll(options->seed),
        .rate = RATE,
        .duration_s = atof(options->duration),
        .adapters = 300,
        .adapter_prefix = triangel ? "parcel" : "unit",
        .plain_service = triangel ? "transform-app" : "dispatch",
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
on_settled(evutil_socket_t fd, short what, void *context)
{
    struct faults_run *run = context;
    if (run->plan.pending > 0 || !run->plan.stopped) {
        struct timeval delay = CmTime_Timeval(SETTLE_MS);
        event_base_once(run->base, -1, EV_TIMEOUT, on_settled, run, &delay);
        return;
    }
    event_base_loopbreak(run->base);
}

static void
on_sent_all(void *context)
{
    struct faults_run *run = context;
    if (run->sent_all) {
        return;
    }
    run->sent_all = true;
    struct timeval delay = CmTime_Timeval(SETTLE_MS);
    event_base_once(run->base, -1, EV_TIMEOUT, on_settled, run, &delay);
}

int
Command_Faults(const struct options *options)
{
    struct stack stack;
    GError *error = NULL;
    if (!Stack_Init(&stack, options->addresses, &error)) {
        fprintf(stderr, "loadgen: %s\n", error->message);
        g_clear_error(&error);
        return EXIT_FAILURE;
    }
    struct experiment experiment = background_load(options, &stack);
    struct trace trace;
    Trace_Init(&trace, &experiment);
    struct faults_run run = {.base = event_base_new()};
    Sender_Init(&run.sender, run.base, &experiment, &stack, &trace,
                on_sent_all, &run);
    run.sender.resend_lost = true;
    run.sender.entry_out = g_new0(bool, Stack_Count(&stack, "entries") + 1);
    Plan_Init(&run.plan, run.base, &stack, &run.sender,
              (guint32)experiment.seed, experiment.duration_s - 5);
    RevisionWatch_Init(&run.watch, &stack);
    RevisionWatch_Start(&run.watch);
    printf("seed %s, %s s, %u requests\n", options->seed, options->duration,
           trace.requests->len);
    Sender_Start(&run.sender);
    Plan_Start(&run.plan);
    event_base_dispatch(run.base);
    Plan_JoinOperators(&run.plan);
    RevisionWatch_Stop(&run.watch);
    int violations = Verdict_Print(&run.sender, &run.plan, &run.watch);
    Process_Save(&stack, options->addresses);
    char *csv = g_strdup_printf("%s/faults.csv", options->out);
    Summary_WriteCsv(run.sender.results, csv, NULL);
    g_free(csv);
    RevisionWatch_Finish(&run.watch);
    Plan_Finish(&run.plan);
    g_free(run.sender.entry_out);
    Sender_Finish(&run.sender);
    Trace_Finish(&trace);
    event_base_free(run.base);
    Stack_Finish(&stack);
    printf("%s\n",
           violations == 0 ? "all promises held" : "PROMISES WERE VIOLATED");
    return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
