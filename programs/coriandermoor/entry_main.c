/// @file entry_main.c
/// Main function of an entry: initialization, event loop and graceful
/// shutdown.

#include "entry_main.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "admin.h"
#include "base/log.h"
#include "callers.h"
#include "config/program.h"
#include "crash_exchange.h"
#include "entry.h"
#include "exchange.h"
#include "fleet.h"
#include "links.h"
#include "peer_state.h"
#include "warm_start.h"

#define TICK_MS 20
/// Ticks between polls of the platform and the peers: 1 s.
#define POLL_TICKS 50
/// Ticks between prefetches: 1 s, halfway between polls.
#define PREFETCH_TICKS 50
/// Time before the exit in which responses in output buffers are written.
#define FLUSH_MS 200
/// Gap between two ticks from which on the process counts as suspended.
#define SUSPENSION_MIN_MS 300
#define ZMQ_SOCKETS_MAX 20000
#define MS_PER_S 1000

struct timespec
Entry_Now(const struct entry *entry)
{
    return CmClock_Now(entry->clock);
}

struct entry_config *
EntryConfig_Ref(struct entry_config *config)
{
    config->references++;
    return config;
}

void
EntryConfig_Unref(struct entry_config *config)
{
    if (config != NULL && --config->references == 0) {
        CmConfig_Finish(&config->config);
        g_free(config);
    }
}

/// Activates a configuration revision. Requests in progress keep the one that
/// they started under.
/// @return false if the configuration is invalid; the present one then stays.
static bool
activate_revision(void *context, uint64_t revision, const char *text,
                  size_t size)
{
    struct entry *entry = context;
    struct entry_config *config = g_new0(struct entry_config, 1);
    config->references = 1;
    config->revision = revision;
    struct cm_findings findings;
    CmFindings_Init(&findings, "text", CM_FINDINGS_MAX);
    bool valid = CmConfig_Init(&config->config, text, size, &findings);
    CmFindings_Finish(&findings);
    if (!valid) {
        EntryConfig_Unref(config);
        return false;
    }
    EntryConfig_Unref(entry->config);
    entry->config = config;
    entry->count.revision.value = (int64_t)revision;
    entry->router.stall_weight = config->config.objective.load_stall;
    entry->router.batch_weight = config->config.objective.batch_efficiency;
    CmPermits_SetLimits(&entry->permits,
                        config->config.weight_store.loads_per_second,
                        (size_t)config->config.weight_store.concurrent_loads);
    Fleet_Sync(entry);
    return true;
}

static void
exit_event_loop(evutil_socket_t fd, short what, void *context)
{
    event_base_loopbreak(((struct entry *)context)->base);
}

/// Ends the exchanges that are left, and exits once their responses are
/// written.
static void
finish_shutdown(struct entry *entry)
{
    entry->flushing = true;
    Exchange_FailAll(entry);
    struct timeval flush_time = CmTime_Timeval(FLUSH_MS);
    event_base_once(entry->base, -1, EV_TIMEOUT, exit_event_loop, entry,
                    &flush_time);
}

/// Finishes a shutdown once no exchange is left and callers have read their
/// responses, or in time for the exit when the stop timeout of the settings is
/// over.
static void
stop_when_idle(struct entry *entry)
{
    if (!entry->shutting_down || entry->flushing) {
        return;
    }
    int64_t since_ms = CmTime_DiffMs(Entry_Now(entry), entry->signalled_at);
    bool idle = TAILQ_EMPTY(&entry->exchanges) &&
                !CmHttpGuard_HasOutput(&entry->guard);
    if (idle || since_ms >= entry->settings.stop_ms - FLUSH_MS) {
        finish_shutdown(entry);
    }
}

/// Resets the links' timeouts if the gap between two ticks shows that the
/// process was suspended.
static void
detect_suspension(struct entry *entry)
{
    struct timespec now = Entry_Now(entry);
    struct timespec last = entry->last_tick;
    entry->last_tick = now;
    if (last.tv_sec == 0) {
        return;
    }
    int64_t suspended_ms = CmTime_DiffMs(now, last);
    if (suspended_ms >= SUSPENSION_MIN_MS) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "entry", NULL,
                    "was paused for %" PRId64
                    " ms; resetting the timeouts of links",
                    suspended_ms);
        Links_ResetTimeouts(entry, suspended_ms);
    }
}

static void
run_periodic_tasks(evutil_socket_t fd, short what, void *context)
{
    struct entry *entry = context;
    CmSignalTime_Tick(&entry->signal_time, Entry_Now(entry));
    detect_suspension(entry);
    CmMembers_UpdateStates(&entry->members, Entry_Now(entry));
    Links_Tick(entry);
    if (entry->ticks % POLL_TICKS == 0) {
        Fleet_PollInstances(entry);
        PeerState_Poll(entry);
        WarmStart_SyncSnapshot(entry);
        CrashExchange_Poll(entry);
    }
    if (entry->ticks % PREFETCH_TICKS == PREFETCH_TICKS / 2) {
        Fleet_PrefetchDependencies(entry);
        WarmStart_Prefetch(entry);
    }
    entry->ticks++;
    stop_when_idle(entry);
}

/// Starts a graceful shutdown on the first signal: the entry reports not
/// ready, rejects new requests and finishes those in progress. A second signal
/// ends these at once.
static void
begin_shutdown(evutil_socket_t fd, short what, void *context)
{
    struct entry *entry = context;
    if (entry->shutting_down) {
        if (!entry->flushing) {
            finish_shutdown(entry);
        }
        return;
    }
    entry->shutting_down = true;
    // A process that got no processor time handles the signal late.
    entry->signalled_at = CmSignalTime_Earliest(&entry->signal_time);
    CmLog_Event(G_LOG_LEVEL_INFO, "entry", NULL,
                "shutting down, by a signal sent up to %" PRId64
                " ms ago: %" PRId64 " requests are in progress",
                CmTime_DiffMs(Entry_Now(entry), entry->signalled_at),
                entry->count.in_progress.value);
}

static void
on_reload_signal(evutil_socket_t fd, short what, void *context)
{
    CmLog_Event(G_LOG_LEVEL_INFO, "entry", NULL,
                "SIGHUP ignored: changed settings apply after a restart");
}

static void
init_events(struct entry *entry)
{
    entry->tick_timer =
        event_new(entry->base, -1, EV_PERSIST, run_periodic_tasks, entry);
    entry->sigterm_event =
        evsignal_new(entry->base, SIGTERM, begin_shutdown, entry);
    entry->sigint_event =
        evsignal_new(entry->base, SIGINT, begin_shutdown, entry);
    entry->sighup_event =
        evsignal_new(entry->base, SIGHUP, on_reload_signal, entry);
    struct timeval tick = CmTime_Timeval(TICK_MS);
    event_add(entry->tick_timer, &tick);
    event_add(entry->sigterm_event, NULL);
    event_add(entry->sigint_event, NULL);
    event_add(entry->sighup_event, NULL);
    CmProgram_ReleaseSignals();
}

static void
entry_init(struct entry *entry, const struct cm_policy_ops *policy)
{
    const struct cm_entry_settings *settings = &entry->settings;
    entry->clock = CmClock_System();
    CmSignalTime_Init(&entry->signal_time, Entry_Now(entry));
    entry->base = event_base_new();
    entry->random = g_rand_new();
    entry->zmq = zmq_ctx_new();
    zmq_ctx_set(entry->zmq, ZMQ_MAX_SOCKETS, ZMQ_SOCKETS_MAX);
    snprintf(entry->identity, sizeof(entry->identity), "%.24s-%" PRIx64,
             settings->common.name, (uint64_t)CmClock_WallMs(entry->clock));
    Admin_InitCounters(entry);
    CmHttpGuard_Init(&entry->guard, entry->base, entry->clock,
                     (size_t)settings->peer_memory_mib * CM_MIB,
                     settings->connections);
    CmHttpClient_Init(&entry->client, entry->base);
    CmHttpObjects_Init(&entry->objects, &entry->client, settings->platform);
    CmRouter_Init(&entry->router, policy, entry->random);
    CmPermits_Init(&entry->permits, Entry_Now(entry));
    CrashExchange_Init(entry);
    CmAdmission_Init(&entry->admission, (size_t)settings->waiting,
                     (size_t)settings->caller_share);
    CmOnce_Init(&entry->once, &entry->objects.base, entry->base, entry->clock,
                settings->once_window_s * MS_PER_S);
    entry->retry_budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    entry->streams = g_hash_table_new(g_str_hash, g_str_equal);
    TAILQ_INIT(&entry->exchanges);
    Fleet_Init(entry);
    PeerState_Init(entry);
    WarmStart_Init(entry);
    CmRevisions_Init(&entry->revisions, &entry->objects.base, entry->base,
                     activate_revision, entry);
    init_events(entry);
}

static void
entry_finish(struct entry *entry)
{
    Exchange_FailAll(entry);
    if (entry->callers != NULL) {
        evhttp_free(entry->callers);
    }
    if (entry->admin != NULL) {
        evhttp_free(entry->admin);
    }
    CmHttpGuard_Finish(&entry->guard);
    PeerState_Finish(entry);
    WarmStart_Finish(entry);
    CmRevisions_Finish(&entry->revisions);
    CmOnce_Finish(&entry->once);
    Fleet_Finish(entry);
    CmRouter_Finish(&entry->router);
    CmPermits_Finish(&entry->permits);
    CrashExchange_Finish(entry);
    CmAdmission_Finish(&entry->admission);
    g_hash_table_destroy(entry->retry_budgets);
    g_hash_table_destroy(entry->streams);
    CmHttpClient_Finish(&entry->client);
    EntryConfig_Unref(entry->config);
    event_free(entry->tick_timer);
    event_free(entry->sigterm_event);
    event_free(entry->sigint_event);
    event_free(entry->sighup_event);
    zmq_ctx_term(entry->zmq);
    g_rand_free(entry->random);
    event_base_free(entry->base);
}

static int
run(void *state)
{
    struct entry *entry = state;
    const struct cm_policy_ops *policy = CmPolicy_Find(entry->settings.policy);
    if (policy == NULL) {
        fprintf(stderr, "coriandermoor: unknown policy \"%s\"\n",
                entry->settings.policy);
        return EXIT_FAILURE;
    }
    entry_init(entry, policy);
    GError *error = NULL;
    int code = EXIT_SUCCESS;
    if (Callers_Listen(entry, &error) && Admin_Listen(entry, &error)) {
        CmLog_Event(G_LOG_LEVEL_INFO, "entry", NULL,
                    "listening for callers on %s and for operators on %s",
                    entry->settings.listen, entry->settings.common.admin);
        event_base_dispatch(entry->base);
    }
    else {
        fprintf(stderr, "coriandermoor: %s\n", error->message);
        g_clear_error(&error);
        code = EXIT_FAILURE;
    }
    entry_finish(entry);
    return code;
}

static bool
read_settings(void *settings, const char *text, size_t size,
              struct cm_findings *findings)
{
    return CmSettings_ReadEntry(settings, text, size, findings);
}

int
Entry_Main(const char *path)
{
    static const struct cm_program program = {"coriandermoor", read_settings,
                                              run};
    struct entry entry = {0};
    int code = CmProgram_Start(&program, path, &entry.settings, &entry);
    g_free(entry.settings.peers);
    return code;
}
