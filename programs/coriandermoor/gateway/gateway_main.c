/// @file gateway_main.c
/// Startup, event loop and graceful shutdown of a gateway.

#include "gateway_main.h"

#include <inttypes.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "config/program.h"
#include "dispatch/notices.h"
#include "h1/conn.h"
#include "h1/output.h"
#include "admission.h"
#include "caller_conns.h"
#include "crash_watch.h"
#include "endpoints.h"
#include "gateway.h"
#include "introductions.h"
#include "lease.h"
#include "peer_fetch.h"
#include "peer_gossip.h"
#include "prompt_parts.h"
#include "quotas.h"
#include "rate_limits.h"
#include "reload.h"
#include "retry_budget.h"
#include "shutdown.h"
#include "store_watches.h"
#include "stream_versions.h"
#include "target_notices.h"

/// Interval of base model checks and shutdown progress.
#define TICK_INTERVAL_MS 200
/// Ticks between polls of a peer for crash records: 1 s.
#define POLL_TICKS 5
/// Interval of checks for a changed settings file and idle pool connections.
#define SWEEP_INTERVAL_MS 2000
/// Number of gateways assumed until an agent has reported it.
#define DEFAULT_GATEWAYS 32
/// Time after which a lower reported count replaces a higher one.
#define GATEWAYS_VALID_MS 10000
struct timespec
Gateway_Now(const struct gateway *gateway)
{
    return CmClock_Now(gateway->clock);
}

uint64_t
Gateway_RandomId(struct gateway *gateway)
{
    return ((uint64_t)g_rand_int(gateway->random) << 32) |
           g_rand_int(gateway->random);
}

bool
Gateway_CanServe(const struct gateway *gateway)
{
    return gateway->catalog != NULL && gateway->targets.count > 0;
}

void
Gateway_UpdateGatewayCount(struct gateway *gateway, int64_t count)
{
    struct timespec now = Gateway_Now(gateway);
    bool first = gateway->gateways_updated.tv_sec == 0;
    if (first || count >= gateway->n_gateways ||
        CmTime_DiffMs(now, gateway->gateways_updated) > GATEWAYS_VALID_MS) {
        gateway->n_gateways = MAX(count, 1);
        gateway->gateways_updated = now;
    }
}

/// Requests a base model load for each engine that lacks its model, as it
/// cannot serve requests without one.
static void
load_missing_models(struct gateway *gateway)
{
    if (gateway->catalog == NULL) {
        return;
    }
    struct cm_live_target *target;
    CmList_FOREACH (target, &gateway->targets.list, link) {
        const struct cm_service_spec *spec =
            CmCatalog_FindService(gateway->catalog, target->service);
        if (spec != NULL && spec->engine.model != NULL && !target->has_model &&
            CmTarget_MayGetWork(target, Gateway_Now(gateway))) {
            Lease_LoadBaseModel(gateway, target, spec->engine.model);
        }
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *context)
{
    struct gateway *gateway = context;
    Shutdown_CountTick(gateway);
    load_missing_models(gateway);
    CmRoster_Tick(&gateway->gossip.roster);
    if (gateway->ticks++ % POLL_TICKS == 0 || !gateway->gossip.synced) {
        PeerGossip_Poll(gateway);
    }
    Introductions_Tick(gateway);
    Admission_Tick(gateway);
    RateLimits_Tick(gateway);
    Quotas_Tick(gateway);
    RetryBudget_Tick(gateway);
    TargetNotices_Tick(gateway);
    StreamVersions_Tick(gateway);
    Shutdown_Tick(gateway);
}

static void
on_sweep(evutil_socket_t fd, short what, void *context)
{
    struct gateway *gateway = context;
    Settings_ReloadIfChanged(gateway);
    // Other gateways may have made this one a candidate.
    StoreWatch_UpdateTiming(gateway);
    CmH1Pool_CloseExpired(&gateway->pool);
}

static void
on_shutdown_signal(evutil_socket_t signal_number, short what, void *context)
{
    Shutdown_Begin(context, (int)signal_number);
}

static void
on_reload_signal(evutil_socket_t fd, short what, void *context)
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
    gateway->n_gateways = DEFAULT_GATEWAYS;
    gateway->started_at = Gateway_Now(gateway);
    TAILQ_INIT(&gateway->callers);
    Endpoints_InitCounters(gateway);
    CmMemoryBudget_Init(&gateway->memory, gateway->clock,
                        (size_t)settings->peer_memory_mib * CM_MIB);
    CmH1Output_Start(gateway->base, gateway->clock, &gateway->memory);
    CmIntake_Init(&gateway->callers_intake, &gateway->memory, gateway->clock,
                  0);
    CmIntake_Init(&gateway->endpoints_intake, &gateway->memory, gateway->clock,
                  0);
    CmH1Pool_Init(&gateway->pool, gateway->base, gateway->clock);
    CmDemand_Init(&gateway->demand);
    CmTargets_Init(&gateway->targets, settings->common.zone,
                   (int)settings->agent_port);
    CrashWatch_Init(gateway);
    PromptParts_Init(gateway);
    PeerGossip_Init(gateway);
    StoreWatch_Init(gateway);
    Introductions_Init(gateway);
    PeerFetch_Init(gateway);
    RateLimits_Init(gateway);
    Quotas_Init(gateway);
    RetryBudget_Init(gateway);
    StreamVersions_Init(gateway);
    Shutdown_Init(gateway);
    CmProgram_FileChanged(settings->common.path, &gateway->settings_stamp);
    gateway->tick = event_new(gateway->base, -1, EV_PERSIST, on_tick, gateway);
    gateway->sweep =
        event_new(gateway->base, -1, EV_PERSIST, on_sweep, gateway);
    gateway->sigterm =
        evsignal_new(gateway->base, SIGTERM, on_shutdown_signal, gateway);
    gateway->sigint =
        evsignal_new(gateway->base, SIGINT, on_shutdown_signal, gateway);
    gateway->sighup =
        evsignal_new(gateway->base, SIGHUP, on_reload_signal, gateway);
    struct timeval tick = CmTime_Timeval(TICK_INTERVAL_MS);
    event_add(gateway->tick, &tick);
    struct timeval sweep = CmTime_Timeval(SWEEP_INTERVAL_MS);
    event_add(gateway->sweep, &sweep);
    event_add(gateway->sigterm, NULL);
    event_add(gateway->sigint, NULL);
    event_add(gateway->sighup, NULL);
    CmProgram_ReleaseSignals();
}

static void
gateway_finish(struct gateway *gateway)
{
    Shutdown_Finish(gateway);
    CallerConns_Finish(gateway);
    Endpoints_Finish(gateway);
    PeerFetch_Finish(gateway);
    RetryBudget_Finish(gateway);
    Quotas_Finish(gateway);
    RateLimits_Finish(gateway);
    StreamVersions_Finish(gateway);
    PeerGossip_Finish(gateway);
    PromptParts_Finish(gateway);
    CrashWatch_Finish(gateway);
    Introductions_Finish(gateway);
    StoreWatch_Finish(gateway);
    Lease_CancelCalls(gateway);
    CmH1Pool_Finish(&gateway->pool);
    CmH1Conn_FinishDetached();
    CmH1Output_Stop();
    CmTargets_Finish(&gateway->targets);
    CmDemand_Finish(&gateway->demand);
    CmCatalog_Unref(gateway->catalog);
    json_decref(gateway->config_json);
    g_rand_free(gateway->random);
    event_free(gateway->tick);
    event_free(gateway->sweep);
    event_free(gateway->sigterm);
    event_free(gateway->sigint);
    event_free(gateway->sighup);
    event_base_free(gateway->base);
}

static int
run(void *state)
{
    struct gateway *gateway = state;
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
    gateway_init(gateway);
    GError *error = NULL;
    int code = EXIT_SUCCESS;
    if (CallerConns_Listen(gateway, &error) &&
        Endpoints_Listen(gateway, &error) &&
        StreamVersions_Listen(gateway, &error)) {
        CmLog_Event(G_LOG_LEVEL_INFO, "gateway", NULL,
                    "version %s serves callers at %s", CM_VERSION,
                    gateway->settings.listen);
        event_base_dispatch(gateway->base);
        Shutdown_LogEnd(gateway);
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
