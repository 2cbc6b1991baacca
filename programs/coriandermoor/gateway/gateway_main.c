/// @file gateway_main.c
/// Start, loop and stop of a gateway.

#include "gateway_main.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "config/program.h"
#include "caller_conns.h"
#include "store_watches.h"
#include "gateway.h"
#include "lease.h"
#include "peer_fetch.h"
#include "endpoints.h"
#include "reload.h"

/// Interval of slow checks.
#define TICK_MS 200
/// Interval of slower ones: the settings file, connections out of use.
#define SWEEP_MS 2000
/// Gateways assumed until an agent has told how many there are: the reserve of
/// repeats is shared among all.
#define GATEWAYS_UNKNOWN 32
/// Time for which the highest count heard of holds.
#define GATEWAYS_HEARD_MS 10000
/// After this time of a planned stop the balancer has taken this gateway out,
/// unless no other is there: idle connections are closed, and the process ends
/// once nothing is in progress.
#define STOP_IDLE_MS 2300
/// Left of the stop's time when what is still in progress is given up.
#define STOP_MARGIN_MS 500
/// Time for the last answers to leave the process.
#define STOP_LINGER_MS 50
#define MS_PER_S 1000

struct timespec
Gateway_Now(const struct gateway *gateway)
{
    return CmClock_Now(gateway->clock);
}

bool
Gateway_CanServe(const struct gateway *gateway)
{
    return gateway->catalog != NULL && gateway->targets.count > 0;
}

int64_t
Gateway_StopLeftMs(const struct gateway *gateway)
{
    if (!gateway->leaving) {
        return INT64_MAX;
    }
    int64_t since_ms =
        CmTime_DiffMs(Gateway_Now(gateway), gateway->leaving_since);
    return gateway->settings.stop_s * MS_PER_S - STOP_MARGIN_MS - since_ms;
}

void
Gateway_HeardOfGateways(struct gateway *gateway, int64_t count)
{
    struct timespec now = Gateway_Now(gateway);
    bool first = gateway->gateways_heard.tv_sec == 0;
    if (first || count >= gateway->gateways ||
        CmTime_DiffMs(now, gateway->gateways_heard) > GATEWAYS_HEARD_MS) {
        gateway->gateways = MAX(count, 1);
        gateway->gateways_heard = now;
    }
}

struct cm_retry_window *
Gateway_Budget(struct gateway *gateway, const char *service)
{
    const struct cm_gateway_settings *settings = &gateway->settings;
    struct cm_retry_window *budget =
        g_hash_table_lookup(gateway->budgets, service);
    if (budget == NULL) {
        budget = g_new(struct cm_retry_window, 1);
        CmRetryWindow_Init(budget, settings->retry_ratio, 0,
                           settings->retry_window_s * MS_PER_S);
        g_hash_table_insert(gateway->budgets, g_strdup(service), budget);
    }
    // One more than are known of, as one may just be starting.
    budget->reserve =
        (double)settings->retry_reserve / (double)(gateway->gateways + 1);
    return budget;
}

/// Engines without their base model are no use: their agents are asked to
/// load it.
static void
ask_for_models(struct gateway *gateway)
{
    if (gateway->catalog == NULL) {
        return;
    }
    struct cm_live_target *target;
    CmList_FOREACH (target, &gateway->targets.list, link) {
        const struct cm_service_spec *spec =
            CmCatalog_FindService(gateway->catalog, target->service);
        if (spec != NULL && spec->engine.model != NULL && !target->has_model &&
            !target->draining) {
            Lease_AskForModel(gateway, target, spec->engine.model);
        }
    }
}

static void
check_stop(struct gateway *gateway)
{
    if (!gateway->leaving) {
        return;
    }
    int64_t since_ms =
        CmTime_DiffMs(Gateway_Now(gateway), gateway->leaving_since);
    if (since_ms >= STOP_IDLE_MS) {
        CallerConns_CloseIdle(gateway);
    }
    if (Gateway_StopLeftMs(gateway) <= 0) {
        CallerConns_StopRequests(gateway);
    }
    if (since_ms >= STOP_IDLE_MS && gateway->n_requests == 0) {
        CmH1Listener_Finish(&gateway->callers_listener);
        // What was answered last has still to leave the process.
        struct timeval linger = CmTime_Timeval(STOP_LINGER_MS);
        event_base_loopexit(gateway->base, &linger);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *context)
{
    struct gateway *gateway = context;
    ask_for_models(gateway);
    check_stop(gateway);
}

static void
on_sweep(evutil_socket_t fd, short what, void *context)
{
    struct gateway *gateway = context;
    Settings_Check(gateway);
    CmH1Pool_CloseExpired(&gateway->pool);
}

static void
on_stop_signal(evutil_socket_t fd, short what, void *context)
{
    struct gateway *gateway = context;
    if (gateway->leaving) {
        return;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "gateway", NULL,
                "leaving: %zu requests are in progress", gateway->n_requests);
    gateway->leaving = true;
    gateway->leaving_since = Gateway_Now(gateway);
}

static void
on_hangup(evutil_socket_t fd, short what, void *context)
{
    Settings_Reload(context);
}

static void
gateway_init(struct gateway *gateway)
{
    const struct cm_gateway_settings *settings = &gateway->settings;
    gateway->clock = CmClock_System();
    gateway->base = event_base_new();
    gateway->random = g_rand_new();
    gateway->gateways = GATEWAYS_UNKNOWN;
    gateway->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    TAILQ_INIT(&gateway->callers);
    Probes_InitCounters(gateway);
    CmH1Pool_Init(&gateway->pool, gateway->base, gateway->clock);
    CmTargets_Init(&gateway->targets, settings->common.zone,
                   (int)settings->agent_port);
    Feeds_Init(gateway);
    Peers_Init(gateway);
    CmProgram_FileChanged(settings->common.path, &gateway->settings_mark);
    gateway->tick = event_new(gateway->base, -1, EV_PERSIST, on_tick, gateway);
    gateway->sweep =
        event_new(gateway->base, -1, EV_PERSIST, on_sweep, gateway);
    gateway->term =
        evsignal_new(gateway->base, SIGTERM, on_stop_signal, gateway);
    gateway->interrupt =
        evsignal_new(gateway->base, SIGINT, on_stop_signal, gateway);
    gateway->hangup = evsignal_new(gateway->base, SIGHUP, on_hangup, gateway);
    struct timeval tick = CmTime_Timeval(TICK_MS);
    event_add(gateway->tick, &tick);
    struct timeval sweep = CmTime_Timeval(SWEEP_MS);
    event_add(gateway->sweep, &sweep);
    event_add(gateway->term, NULL);
    event_add(gateway->interrupt, NULL);
    event_add(gateway->hangup, NULL);
}

static void
gateway_finish(struct gateway *gateway)
{
    CallerConns_Finish(gateway);
    Probes_Finish(gateway);
    Peers_Finish(gateway);
    Feeds_Finish(gateway);
    Lease_FinishCalls(gateway);
    CmH1Pool_Finish(&gateway->pool);
    CmTargets_Finish(&gateway->targets);
    CmCatalog_Unref(gateway->catalog);
    json_decref(gateway->configuration);
    g_hash_table_destroy(gateway->budgets);
    g_rand_free(gateway->random);
    event_free(gateway->tick);
    event_free(gateway->sweep);
    event_free(gateway->term);
    event_free(gateway->interrupt);
    event_free(gateway->hangup);
    event_base_free(gateway->base);
}

static int
run(void *state)
{
    struct gateway *gateway = state;
    gateway_init(gateway);
    GError *error = NULL;
    int code = EXIT_SUCCESS;
    if (CallerConns_Listen(gateway, &error) &&
        Probes_Listen(gateway, &error)) {
        CmLog_Event(G_LOG_LEVEL_INFO, "gateway", NULL,
                    "version %s serves callers at %s", CM_VERSION,
                    gateway->settings.listen);
        event_base_dispatch(gateway->base);
        CmLog_Event(G_LOG_LEVEL_INFO, "gateway", NULL,
                    "stops: %zu requests are given up", gateway->n_requests);
    }
    else {
        fprintf(stderr, "coriandermoor: %s\n", error->message);
        g_clear_error(&error);
        code = EXIT_FAILURE;
    }
    gateway_finish(gateway);
    return code;
}

int
Gateway_Main(const char *path)
{
    static const struct cm_program program = {"coriandermoor", Settings_Read,
                                              run};
    struct gateway gateway = {0};
    return CmProgram_Start(
        &program, path != NULL ? path : CmProgram_DefaultSettingsPath(),
        &gateway.settings, &gateway);
}
