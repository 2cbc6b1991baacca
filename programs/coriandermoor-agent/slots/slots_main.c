/// @file slots_main.c
/// Startup, event loop and shutdown of the adapter slot agent.

#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "config/program.h"
#include "h1/conn.h"
#include "h1/output.h"
#include "engine.h"
#include "lease_server.h"
#include "load_reporter.h"
#include "slots.h"
#include "slots_main.h"
#include "stream_holder.h"

/// Interval of the expiry of leases and idle connections.
#define SWEEP_INTERVAL_MS 2000
/// Adapter slots assumed until a lease request gives the number.
#define SLOTS_DEFAULT 1

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
on_sighup(evutil_socket_t fd, short what, void *context)
{
    CmLog_Event(G_LOG_LEVEL_INFO, "agent", NULL,
                "SIGHUP ignored: changed settings apply after a restart");
}

static void
on_sweep_timer(evutil_socket_t fd, short what, void *context)
{
    struct slots *slots = context;
    LeaseServer_ExpireLeases(slots);
    StreamHolder_Expire(slots);
    CmH1Pool_CloseExpired(&slots->pool);
}

static void
init_counters(struct slots *slots)
{
    struct cm_counters *counters = &slots->counters;
    CmCounters_Init(counters);
    CmCounters_Add(counters, &slots->lease_requests, "cm_agent_leases_total",
                   "Leases that gateways asked for.");
    CmCounters_Add(counters, &slots->leases_granted, "cm_agent_granted_total",
                   "Leases granted.");
    CmCounters_Add(counters, &slots->leases_queue_full,
                   "cm_agent_pinned_total",
                   "Leases refused as all slots were in use.");
    CmCounters_Add(counters, &slots->leases_without_room,
                   "cm_agent_no_room_total",
                   "Leases refused as the engine's memory had no room.");
    CmCounters_Add(counters, &slots->leases_held_back,
                   "cm_agent_held_back_total",
                   "Leases that waited for room in the engine's memory.");
    CmCounters_Add(counters, &slots->engine_orders, "cm_agent_orders_total",
                   "Orders given to the engine.");
    CmCounters_Add(counters, &slots->engine_reports, "cm_agent_reports_total",
                   "Reports read from the engine.");
    CmCounters_AddGauge(counters, &slots->held_bytes, "cm_agent_held_bytes",
                        "Memory held for peers: requests, and output that is "
                        "not read.");
    CmCounters_Add(counters, &slots->evictions, "cm_agent_evictions_total",
                   "Connections without a request ended to make room.");
    CmCounters_AddGauge(counters, &slots->leases_active, "cm_agent_claims",
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
    LIST_INIT(&slots->connections);
    init_counters(slots);
    CmMemoryBudget_Init(&slots->memory, slots->clock,
                        (size_t)slots->settings.peer_memory_mib * CM_MIB);
    CmH1Output_Start(slots->base, slots->clock, &slots->memory);
    CmH1Pool_Init(&slots->pool, slots->base, slots->clock);
    slots->engine_slots = SLOTS_DEFAULT;
    CmResidency_Init(&slots->residency, SLOTS_DEFAULT);
    CmEngineRoom_Init(&slots->room);
    TAILQ_INIT(&slots->awaiting_room);
    slots->sigterm = add_signal(slots, SIGTERM, on_stop_signal);
    slots->sigint = add_signal(slots, SIGINT, on_stop_signal);
    slots->sighup = add_signal(slots, SIGHUP, on_sighup);
    CmProgram_ReleaseSignals();
    slots->sweep_timer =
        event_new(slots->base, -1, EV_PERSIST, on_sweep_timer, slots);
    struct timeval sweep = CmTime_Timeval(SWEEP_INTERVAL_MS);
    event_add(slots->sweep_timer, &sweep);
    Engine_Init(slots);
    StreamHolder_Init(slots);
    LoadReporter_Init(slots);
}

static void
slots_finish(struct slots *slots)
{
    LoadReporter_Finish(slots);
    StreamHolder_Finish(slots);
    LeaseServer_Finish(slots);
    Engine_Finish(slots);
    CmResidency_Finish(&slots->residency);
    CmH1Pool_Finish(&slots->pool);
    CmH1Conn_FinishDetached();
    CmH1Output_Stop();
    event_free(slots->sigterm);
    event_free(slots->sigint);
    event_free(slots->sighup);
    event_free(slots->sweep_timer);
    event_base_free(slots->base);
}

static int
run(void *state)
{
    struct slots *slots = state;
    slots_init(slots);
    GError *error = NULL;
    int code = EXIT_SUCCESS;
    if (LeaseServer_Listen(slots, &error) &&
        StreamHolder_Listen(slots, &error)) {
        CmLog_Event(G_LOG_LEVEL_INFO, "agent", NULL,
                    "version %s manages the adapter slots of the engine at %s",
                    CM_VERSION, slots->settings.engine);
        event_base_dispatch(slots->base);
        CmLog_Event(G_LOG_LEVEL_INFO, "agent", NULL, "shutting down");
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

static int
usage(FILE *out, int code)
{
    fprintf(out, "usage: coriandermoor-slots [--version] [--help] "
                 "[--settings FILE]\n");
    return code;
}

int
Slots_Main(int argc, char **argv)
{
    static const struct option options[] = {
        {"settings", required_argument, NULL, 's'},
        {"version", no_argument, NULL, 'v'},
        {"help", no_argument, NULL, 'h'},
        {0}};
    static const struct cm_program program = {"coriandermoor-agent",
                                              read_settings, run};
    const char *path = CmProgram_DefaultSettingsPath();
    int code;
    while ((code = getopt_long(argc, argv, "s:vh", options, NULL)) != -1) {
        switch (code) {
        case 's':
            path = optarg;
            break;
        case 'v':
            printf("coriandermoor-slots %s\n", CM_VERSION);
            return EXIT_SUCCESS;
        case 'h':
            return usage(stdout, EXIT_SUCCESS);
        default:
            return usage(stderr, EXIT_FAILURE);
        }
    }
    struct slots slots = {0};
    return CmProgram_Start(&program, path, &slots.settings, &slots);
}
