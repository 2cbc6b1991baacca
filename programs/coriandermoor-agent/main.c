/// @file main.c
/// coriandermoor-agent: the sidecar of one target. It alone orders adapter
/// loads and evictions, and it decides when each request starts.

#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "admin.h"
#include "agent.h"
#include "base/clock.h"
#include "base/log.h"
#include "config/program.h"
#include "health.h"
#include "jobs.h"
#include "orders.h"
#include "peers.h"
#include "runs.h"
#include "slots/slots_main.h"

#define TICK_MS 20
/// Interval of the health checks while the target is up, and while it is
/// down.
#define HEALTH_INTERVAL_TICKS 25
#define HEALTH_DOWN_INTERVAL_TICKS 5
/// Interval at which jobs and peers expire and the slots are reconciled.
#define EXPIRE_INTERVAL_TICKS 50
/// Merges the state changes of a few milliseconds into one report.
#define REPORT_DELAY_MS 5
/// Gap between two ticks after which the process counts as having been
/// suspended.
#define SUSPENDED_MIN_MS 1000
/// Memory that the target, and clients of the port for operators, can make the
/// agent hold.
#define PEER_MEMORY_BYTES ((size_t)128 * 1024 * 1024)
/// Connections to the port for operators without a request in progress; a new
/// one takes the place of one of them.
#define ADMIN_CONNECTIONS_MAX 100
/// Time to send the last messages before the process ends.
#define LINGER_MS 300

struct timespec
Agent_Now(const struct agent *agent)
{
    return CmClock_Now(agent->clock);
}

void
Agent_WakeScheduler(struct agent *agent)
{
    event_active(agent->scheduler_event, EV_TIMEOUT, 0);
}

void
Agent_ScheduleReport(struct agent *agent)
{
    if (!event_pending(agent->report_event, EV_TIMEOUT, NULL)) {
        struct timeval delay = CmTime_Timeval(REPORT_DELAY_MS);
        event_add(agent->report_event, &delay);
    }
}

static void
on_report_timer(evutil_socket_t fd, short what, void *context)
{
    Peers_ReportAll(context);
}

/// Carries out the scheduler's actions until none is left.
static void
run_scheduler(evutil_socket_t fd, short what, void *context)
{
    struct agent *agent = context;
    Orders_UpdatePermits(agent);
    while (true) {
        struct cm_action action =
            CmScheduler_NextAction(&agent->scheduler, Agent_Now(agent));
        switch (action.kind) {
        case CM_ACTION_NONE:
            return;
        case CM_ACTION_START:
            Run_Start((struct job *)action.job);
            break;
        case CM_ACTION_LOAD:
            Orders_Load(agent, action.slot, action.reason);
            break;
        case CM_ACTION_EVICT:
            Orders_Evict(agent, action.slot, action.reason);
            break;
        case CM_ACTION_REFUSE_DEADLINE:
            Job_End((struct job *)action.job, CM_OUTCOME_NOT_RUN,
                    CM_REASON_DEADLINE);
            break;
        case CM_ACTION_REFUSE_LOAD:
            Job_End((struct job *)action.job, CM_OUTCOME_NOT_RUN,
                    CM_REASON_LOAD_FAILED);
            break;
        }
    }
}

static void
on_message(void *context, const struct cm_link_peer *address,
           const struct cm_message *message)
{
    struct agent *agent = context;
    struct peer *peer = Peers_FindOrAdd(agent, address);
    switch (message->type) {
    case CM_MSG_HELLO:
        Peers_RecordHeartbeat(agent, peer, &message->hello);
        break;
    case CM_MSG_SUBMIT:
        Jobs_Submit(agent, peer, &message->submit);
        break;
    case CM_MSG_CANCEL:
        Jobs_Cancel(agent, message->cancel.id);
        break;
    case CM_MSG_CREDIT:
        Jobs_Credit(agent, &message->credit);
        break;
    case CM_MSG_SEAL:
        Jobs_Seal(agent, address, message->seal.id);
        break;
    case CM_MSG_ATTACH:
        Jobs_Attach(agent, address, &message->attach);
        break;
    case CM_MSG_GRANT:
        Orders_AcceptGrant(agent, address, &message->grant);
        break;
    case CM_MSG_PREFETCH: {
        char *adapter = CmBytes_Dup(message->prefetch.adapter);
        CmScheduler_Prefetch(&agent->scheduler, adapter, Agent_Now(agent));
        g_free(adapter);
        Agent_WakeScheduler(agent);
        break;
    }
    default:
        agent->traffic.bad_frames++;
        break;
    }
}

static void
on_linger_end(evutil_socket_t fd, short what, void *context)
{
    event_base_loopbreak(((struct agent *)context)->base);
}

static void
start_linger(struct agent *agent)
{
    if (agent->lingering) {
        return;
    }
    agent->lingering = true;
    struct timeval linger = CmTime_Timeval(LINGER_MS);
    event_base_once(agent->base, -1, EV_TIMEOUT, on_linger_end, agent,
                    &linger);
}

static void
check_shutdown(struct agent *agent)
{
    if (!agent->shutting_down) {
        return;
    }
    int64_t since_ms =
        CmTime_DiffMs(Agent_Now(agent), agent->shutdown_started);
    if (Jobs_AllDone(agent) || since_ms >= agent->settings.stop_ms) {
        start_linger(agent);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *context)
{
    struct agent *agent = context;
    struct timespec now = Agent_Now(agent);
    struct timespec last = agent->last_tick;
    if (last.tv_sec != 0 && CmTime_DiffMs(now, last) > SUSPENDED_MIN_MS) {
        // Orders sent before the suspension may have become outdated.
        CmLog_Event(G_LOG_LEVEL_WARNING, "agent", NULL, "was paused for %d ms",
                    (int)CmTime_DiffMs(now, last));
        Orders_Reconcile(agent);
    }
    agent->last_tick = now;
    agent->ticks++;
    if (agent->scheduler.waiting_jobs > 0) {
        Agent_WakeScheduler(agent);
    }
    if (agent->ticks % HEALTH_INTERVAL_TICKS == 0 ||
        (!agent->healthy && agent->ticks % HEALTH_DOWN_INTERVAL_TICKS == 0)) {
        Health_Check(agent);
    }
    if (agent->ticks % EXPIRE_INTERVAL_TICKS == 0) {
        Jobs_Expire(agent);
        Peers_Expire(agent);
        Orders_Reconcile(agent);
    }
    Orders_CheckUntracked(agent);
    agent->count.running.value = (int64_t)agent->scheduler.running;
    agent->count.waiting.value = (int64_t)agent->scheduler.waiting_jobs;
    check_shutdown(agent);
}

static void
on_stop_signal(evutil_socket_t fd, short what, void *context)
{
    struct agent *agent = context;
    if (agent->shutting_down) {
        event_base_loopbreak(agent->base);
        return;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "agent", NULL,
                "shutting down: %zu requests are running",
                agent->scheduler.running);
    agent->shutting_down = true;
    agent->shutdown_started = Agent_Now(agent);
    Jobs_RefuseWaiting(agent, CM_REASON_DRAINING);
    Peers_ReportAll(agent);
}

static void
on_reload_signal(evutil_socket_t fd, short what, void *context)
{
    CmLog_Event(G_LOG_LEVEL_INFO, "agent", NULL,
                "SIGHUP ignored: changed settings apply after a restart");
}

static void
init_events(struct agent *agent)
{
    struct event_base *base = agent->base;
    agent->scheduler_event = event_new(base, -1, 0, run_scheduler, agent);
    agent->report_event = evtimer_new(base, on_report_timer, agent);
    agent->tick_event = event_new(base, -1, EV_PERSIST, on_tick, agent);
    agent->sigterm_event = evsignal_new(base, SIGTERM, on_stop_signal, agent);
    agent->sigint_event = evsignal_new(base, SIGINT, on_stop_signal, agent);
    agent->sighup_event = evsignal_new(base, SIGHUP, on_reload_signal, agent);
    struct timeval tick = CmTime_Timeval(TICK_MS);
    event_add(agent->tick_event, &tick);
    event_add(agent->sigterm_event, NULL);
    event_add(agent->sigint_event, NULL);
    event_add(agent->sighup_event, NULL);
    CmProgram_ReleaseSignals();
}

static bool
agent_init(struct agent *agent, GError **error)
{
    const struct cm_agent_settings *settings = &agent->settings;
    const struct cm_eviction_ops *eviction =
        CmEviction_Find(settings->eviction);
    if (eviction == NULL) {
        fprintf(stderr, "unknown eviction policy \"%s\"\n",
                settings->eviction);
        return false;
    }
    agent->clock = CmClock_System();
    agent->base = event_base_new();
    // Wall-clock time, so that it grows with each start; it is also the
    // fencing token of the orders.
    agent->incarnation = (uint64_t)CmClock_WallMs(agent->clock);
    init_events(agent);
    Admin_InitCounters(agent);
    CmHttpGuard_Init(&agent->guard, agent->base, agent->clock,
                     PEER_MEMORY_BYTES, ADMIN_CONNECTIONS_MAX);
    CmHttpClient_Init(&agent->client, agent->base);
    CmEngine_InitOpenAi(&agent->engine, &agent->client, settings->address,
                        agent->incarnation);
    CmScheduler_Init(&agent->scheduler, eviction,
                     settings->engine ? (size_t)settings->slots : 0,
                     (size_t)settings->capacity);
    Jobs_Init(agent);
    LIST_INIT(&agent->peers);
    Orders_Init(agent);
    Health_Init(agent);
    agent->zmq = zmq_ctx_new();
    char *endpoint = g_strconcat("tcp://", settings->listen, NULL);
    // The bind to a fixed port excludes a second agent for this target.
    bool ok = CmLink_Bind(&agent->link, agent->zmq, agent->base, endpoint,
                          on_message, agent, error);
    agent->link.traffic = &agent->traffic;
    g_free(endpoint);
    return ok && Admin_Listen(agent, error);
}

static void
agent_finish(struct agent *agent)
{
    if (agent->admin != NULL) {
        evhttp_free(agent->admin);
    }
    Jobs_Finish(agent);
    CmHttpGuard_Finish(&agent->guard);
    Orders_Finish(agent);
    Health_Finish(agent);
    Peers_Finish(agent);
    CmScheduler_Finish(&agent->scheduler);
    CmHttpClient_Finish(&agent->client);
    CmLink_Finish(&agent->link);
    event_free(agent->scheduler_event);
    event_free(agent->report_event);
    event_free(agent->tick_event);
    event_free(agent->sigterm_event);
    event_free(agent->sigint_event);
    event_free(agent->sighup_event);
    zmq_ctx_term(agent->zmq);
    event_base_free(agent->base);
}

static int
run(void *state)
{
    struct agent *agent = state;
    GError *error = NULL;
    if (!agent_init(agent, &error)) {
        fprintf(stderr, "coriandermoor-agent: %s\n",
                error != NULL ? error->message : "cannot start");
        g_clear_error(&error);
        return EXIT_FAILURE;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "agent", NULL,
                "serving target %s of service %s on %s",
                agent->settings.target, agent->settings.service,
                agent->settings.listen);
    Health_Check(agent);
    event_base_dispatch(agent->base);
    agent_finish(agent);
    return EXIT_SUCCESS;
}

static int
usage(FILE *out, int code)
{
    fprintf(out, "usage: coriandermoor-agent [--version] [--help] "
                 "--settings FILE\n"
                 "       coriandermoor-agent slots [--settings FILE]\n");
    return code;
}

static bool
read_settings(void *settings, const char *text, size_t size,
              struct cm_findings *findings)
{
    return CmSettings_ReadAgent(settings, text, size, findings);
}

int
main(int argc, char **argv)
{
    CmProgram_HoldSignals();
    if (argc > 1 && strcmp(argv[1], "slots") == 0) {
        return Slots_Main(argc - 1, argv + 1);
    }
    static const struct option options[] = {
        {"settings", required_argument, NULL, 's'},
        {"version", no_argument, NULL, 'v'},
        {"help", no_argument, NULL, 'h'},
        {0}};
    const char *path = NULL;
    int code;
    while ((code = getopt_long(argc, argv, "s:vh", options, NULL)) != -1) {
        if (code == 's') {
            path = optarg;
        }
        else if (code == 'v') {
            printf("coriandermoor-agent %s\n", CM_VERSION);
            return EXIT_SUCCESS;
        }
        else {
            return usage(code == 'h' ? stdout : stderr,
                         code == 'h' ? EXIT_SUCCESS : EXIT_FAILURE);
        }
    }
    if (path == NULL || optind != argc) {
        return usage(stderr, EXIT_FAILURE);
    }
    static const struct cm_program program = {"coriandermoor-agent",
                                              read_settings, run};
    struct agent agent = {0};
    return CmProgram_Start(&program, path, &agent.settings, &agent);
}
