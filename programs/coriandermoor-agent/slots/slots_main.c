/// @file slots_main.c
/// Start, loop and stop of an agent that keeps slots.

#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "config/program.h"
#include "engine.h"
#include "lease_server.h"
#include "slots.h"
#include "slots_main.h"

#define SWEEP_MS 2000
/// Slots until the first gateway tells how many the engine has.
#define SLOTS_UNKNOWN 1

struct timespec
Slots_Now(const struct slots *slots)
{
    return CmClock_Now(slots->clock);
}

static void
on_stop_signal(evutil_socket_t fd, short what, void *context)
{
    event_base_loopbreak(((struct slots *)context)->base);
}

static void
on_hangup(evutil_socket_t fd, short what, void *context)
{
    CmLog_Event(G_LOG_LEVEL_INFO, "agent", NULL,
                "the settings file changed: addresses hold until a restart");
}

static void
on_sweep(evutil_socket_t fd, short what, void *context)
{
    struct slots *slots = context;
    Gateways_Sweep(slots);
    CmH1Pool_CloseExpired(&slots->pool);
}

static void
init_counters(struct slots *slots)
{
    struct cm_counters *all = &slots->counters;
    CmCounters_Init(all);
    CmCounters_Add(all, &slots->leases, "cm_agent_leases_total",
                   "Leases that gateways asked for.");
    CmCounters_Add(all, &slots->granted, "cm_agent_granted_total",
                   "Leases granted.");
    CmCounters_Add(all, &slots->pinned, "cm_agent_pinned_total",
                   "Leases refused as all slots were in use.");
    CmCounters_Add(all, &slots->orders, "cm_agent_orders_total",
                   "Orders given to the engine.");
    CmCounters_Add(all, &slots->reports, "cm_agent_reports_total",
                   "Reports read from the engine.");
    CmCounters_AddGauge(all, &slots->held, "cm_agent_claims",
                        "Claims on adapters that requests hold.");
}

static struct event *
add_signal(struct slots *slots, int number, event_callback_fn callback)
{
    struct event *event = evsignal_new(slots->base, number, callback, slots);
    event_add(event, NULL);
    return event;
}

static void
slots_init(struct slots *slots)
{
    slots->clock = CmClock_System();
    slots->base = event_base_new();
    LIST_INIT(&slots->sessions);
    init_counters(slots);
    CmH1Pool_Init(&slots->pool, slots->base, slots->clock);
    slots->engine_slots = SLOTS_UNKNOWN;
    CmResidency_Init(&slots->residency, SLOTS_UNKNOWN);
    slots->term = add_signal(slots, SIGTERM, on_stop_signal);
    slots->interrupt = add_signal(slots, SIGINT, on_stop_signal);
    slots->hangup = add_signal(slots, SIGHUP, on_hangup);
    slots->sweep = event_new(slots->base, -1, EV_PERSIST, on_sweep, slots);
    struct timeval sweep = CmTime_Timeval(SWEEP_MS);
    event_add(slots->sweep, &sweep);
    Engine_Init(slots);
}

static void
slots_finish(struct slots *slots)
{
    Gateways_Finish(slots);
    Engine_Finish(slots);
    CmResidency_Finish(&slots->residency);
    CmH1Pool_Finish(&slots->pool);
    event_free(slots->term);
    event_free(slots->interrupt);
    event_free(slots->hangup);
    event_free(slots->sweep);
    event_base_free(slots->base);
}

static int
run(void *state)
{
    struct slots *slots = state;
    slots_init(slots);
    GError *error = NULL;
    int code = EXIT_SUCCESS;
    if (Gateways_Listen(slots, &error)) {
        CmLog_Event(G_LOG_LEVEL_INFO, "agent", NULL,
                    "version %s keeps the slots of the engine at %s",
                    CM_VERSION, slots->settings.engine);
        event_base_dispatch(slots->base);
        CmLog_Event(G_LOG_LEVEL_INFO, "agent", NULL, "stops");
    }
    else {
        fprintf(stderr, "coriandermoor-agent: %s\n", error->message);
        g_clear_error(&error);
        code = EXIT_FAILURE;
    }
    slots_finish(slots);
    return code;
}

static bool
read_settings(void *settings, const char *text, size_t size,
              struct cm_findings *findings)
{
    return CmSettings_ReadSlotAgent(settings, text, size, findings);
}

int
Slots_Main(int argc, char **argv)
{
    static const struct option options[] = {
        {"settings", required_argument, NULL, 's'}, {0}};
    static const struct cm_program program = {"coriandermoor-agent",
                                              read_settings, run};
    const char *path = CmProgram_DefaultSettingsPath();
    int code;
    while ((code = getopt_long(argc, argv, "s:", options, NULL)) != -1) {
        if (code != 's') {
            fprintf(stderr,
                    "usage: coriandermoor-agent slots [--settings FILE]\n");
            return EXIT_FAILURE;
        }
        path = optarg;
    }
    struct slots slots = {0};
    return CmProgram_Start(&program, path, &slots.settings, &slots);
}
