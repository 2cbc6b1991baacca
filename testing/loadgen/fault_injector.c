/// @file fault_injector.c
/// Draws, applies and reverts faults. A draw injects up to two faults.

#include "fault_injector.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "blocking_http.h"
#include "process.h"

/// Time between two draws, uniformly distributed.
#define DRAW_INTERVAL_MIN_MS 2500
#define DRAW_INTERVAL_MAX_MS 5000
/// Probability that a draw injects a second fault at the same time.
#define PAIR_PROBABILITY 0.4
/// Interval at which a stopped process is polled for its exit.
#define EXIT_POLL_MS 100
/// Time until a change of the instance list is read while the object API
/// works.
#define INSTANCE_LIST_READ_MS 1500

static const struct {
    const char *name;
    int min_ms; ///< shortest duration
    int max_ms; ///< longest duration
} fault_kinds[FAULT_KIND_COUNT] = {
    [FAULT_ENGINE_RESTART] = {"engine restart", 1000, 1000},
    [FAULT_ENGINE_SILENT] = {"engine connections silent", 500, 500},
    [FAULT_ENGINE_SLOW] = {"engine slow", 1000, 4000},
    [FAULT_LOAD_FAILURES] = {"adapter loads fail", 1000, 4000},
    [FAULT_PLATFORM_DOWN] = {"object API down", 1000, 8000},
    [FAULT_PLATFORM_SLOW] = {"object API slow", 1000, 5000},
    [FAULT_PLATFORM_LOST_RESPONSES] = {"object API drops responses", 1000,
                                       5000},
    [FAULT_PLATFORM_SILENT_WATCHES] = {"watch streams silent", 500, 500},
    [FAULT_PLAIN_RESTART] = {"plain target restart", 1000, 1000},
    [FAULT_AGENT_KILLED] = {"agent killed", 200, 3000},
    [FAULT_AGENT_PAUSED] = {"agent paused", 300, 7000},
    [FAULT_AGENT_STOPPED] = {"agent stopped (planned)", 5000, 8000},
    [FAULT_ENTRY_KILLED] = {"entry killed", 200, 3000},
    [FAULT_ENTRY_PAUSED] = {"entry paused", 300, 4000},
    [FAULT_ENTRY_STOPPED] = {"entry stopped (planned)", 3000, 5000},
    [FAULT_CONFLICTING_APPLY] = {"conflicting applies", 100, 100},
    [FAULT_INSTANCE_DRAINING] = {"instance listed as leaving", 5000, 8000},
};

/// Context of the timer that reverts a fault.
struct active_fault {
    struct fault_injector *injector;
    guint index; ///< in `faults` of the injector
    struct event *timer;
};

const char *
FaultKind_Name(enum fault_kind kind)
{
    return fault_kinds[kind].name;
}

bool
FaultKind_IsPlanned(enum fault_kind kind)
{
    return kind == FAULT_AGENT_STOPPED || kind == FAULT_ENTRY_STOPPED ||
           kind == FAULT_INSTANCE_DRAINING || kind == FAULT_CONFLICTING_APPLY;
}

static void
put_request(struct fault_injector *injector, const char *list,
            const char *path, const char *body)
{
    g_free(BlockingHttp_Call(Deployment_Address(injector->deployment, list, 0),
                             EVHTTP_REQ_PUT, path, body, NULL));
}

static void
put_platform_fault(struct fault_injector *injector, const char *body)
{
    put_request(injector, "platform", "/faults", body);
}

static void
put_target_fault(struct fault_injector *injector, const char *target,
                 const char *fault)
{
    char *body = g_strdup_printf("{\"target\":\"%s\",%s}", target, fault);
    put_request(injector, "control", "/faults", body);
    g_free(body);
}

// The following functions rely on the order of enum fault_kind.

static bool
is_engine_fault(enum fault_kind kind)
{
    return kind <= FAULT_LOAD_FAILURES;
}

static bool
is_agent_fault(enum fault_kind kind)
{
    return (kind >= FAULT_AGENT_KILLED && kind <= FAULT_AGENT_STOPPED) ||
           kind == FAULT_INSTANCE_DRAINING;
}

static bool
is_entry_fault(enum fault_kind kind)
{
    return kind >= FAULT_ENTRY_KILLED && kind <= FAULT_ENTRY_STOPPED;
}

static int
random_index(struct fault_injector *injector, size_t n)
{
    return g_rand_int_range(injector->random, 0, (gint32)n);
}

/// Picks the process or target that the fault hits.
static void
draw_victim(struct fault_injector *injector, struct fault *fault)
{
    size_t engines = Deployment_AddressCount(injector->deployment, "engines");
    size_t plains = Deployment_AddressCount(injector->deployment, "plain");
    size_t entries = Deployment_AddressCount(injector->deployment, "entries");
    const char *prefix = is_agent_fault(fault->kind) ? "agent-" : "";
    bool on_engine =
        is_engine_fault(fault->kind) ||
        (is_agent_fault(fault->kind) &&
         (size_t)random_index(injector, engines + plains) < engines);
    if (is_entry_fault(fault->kind)) {
        snprintf(fault->victim, sizeof(fault->victim), "entry-%d",
                 random_index(injector, entries) + 1);
    }
    else if (on_engine) {
        snprintf(fault->victim, sizeof(fault->victim), "%sengine-%02d", prefix,
                 random_index(injector, engines) + 1);
    }
    else if (is_agent_fault(fault->kind) ||
             fault->kind == FAULT_PLAIN_RESTART) {
        snprintf(fault->victim, sizeof(fault->victim), "%splain-%02d", prefix,
                 random_index(injector, plains) + 1);
    }
    else {
        snprintf(fault->victim, sizeof(fault->victim), "platform");
    }
}

/// @return the target whose agent is the victim.
static const char *
victim_target(const struct fault *fault)
{
    return fault->victim + strlen("agent-");
}

/// Changes the state of the victim's instance in the platform's list.
static void
set_instance_state(struct fault_injector *injector, const struct fault *fault,
                   const char *state)
{
    const char *target = victim_target(fault);
    const json_t *items = json_object_get(injector->instances, "items");
    for (size_t i = 0; i < json_array_size(items); i++) {
        json_t *item = json_array_get(items, i);
        const char *name = json_string_value(json_object_get(item, "name"));
        if (name != NULL && strcmp(name, target) == 0) {
            json_object_set_new(item, "state", json_string(state));
            char *path = g_strconcat("/instances/", target, NULL);
            char *body = json_dumps(item, JSON_COMPACT);
            put_request(injector, "platform", path, body);
            free(body);
            g_free(path);
        }
    }
}

/// Sends two different configurations based on the same revision, as two
/// operators would. Runs in a separate thread, because the blocking calls
/// would delay the load.
static gpointer
conflicting_apply(gpointer context)
{
    struct fault_injector *injector = context;
    size_t entries = Deployment_AddressCount(injector->deployment, "admin");
    char *text =
        BlockingHttp_Call(Deployment_Address(injector->deployment, "admin", 0),
                          EVHTTP_REQ_GET, "/admin/config", NULL, NULL);
    if (text == NULL) {
        return NULL;
    }
    char *marker = g_strdup_printf(
        "# operators %d", g_atomic_int_get(&injector->conflict_pairs));
    int accepted = 0;
    json_t *status = BlockingHttp_GetJson(
        Deployment_Address(injector->deployment, "admin", 0), "/admin/status");
    int64_t base = json_integer_value(json_object_get(status, "revision"));
    json_decref(status);
    for (size_t i = 0; i < 2; i++) {
        char *body = g_strdup_printf("%s\n%s/%zu\n", text, marker, i);
        char match[32];
        snprintf(match, sizeof(match), "%lld", (long long)base);
        int code = 0;
        g_free(BlockingHttp_Put(
            Deployment_Address(injector->deployment, "admin", i % entries),
            "/admin/config", match, body, &code));
        accepted += code == HTTP_OK;
        g_free(body);
    }
    g_atomic_int_inc(&injector->conflict_pairs);
    g_atomic_int_add(&injector->conflict_pairs_both_accepted, accepted == 2);
    g_free(marker);
    g_free(text);
    return NULL;
}

static size_t
entry_index(const struct fault *fault)
{
    return (size_t)atoi(fault->victim + strlen("entry-")) - 1;
}

static void
apply_fault(struct fault_injector *injector, const struct fault *fault)
{
    switch (fault->kind) {
    case FAULT_ENGINE_RESTART:
    case FAULT_PLAIN_RESTART:
        put_target_fault(injector, fault->victim, "\"restart\":true");
        break;
    case FAULT_ENGINE_SILENT:
        put_target_fault(injector, fault->victim, "\"silent\":true");
        break;
    case FAULT_ENGINE_SLOW:
        put_target_fault(injector, fault->victim, "\"token_delay_ms\":50");
        break;
    case FAULT_LOAD_FAILURES:
        put_target_fault(injector, fault->victim, "\"load_failure_rate\":0.5");
        break;
    case FAULT_PLATFORM_DOWN:
        put_platform_fault(injector, "{\"down\":true}");
        break;
    case FAULT_PLATFORM_SLOW:
        put_platform_fault(injector, "{\"delay_ms\":300}");
        break;
    case FAULT_PLATFORM_LOST_RESPONSES:
        put_platform_fault(injector, "{\"lose_answer_rate\":0.3}");
        break;
    case FAULT_PLATFORM_SILENT_WATCHES:
        put_platform_fault(injector, "{\"silence_watches\":true}");
        break;
    case FAULT_AGENT_KILLED:
    case FAULT_ENTRY_KILLED:
        Process_Signal(injector->deployment, fault->victim, SIGKILL);
        break;
    case FAULT_AGENT_PAUSED:
    case FAULT_ENTRY_PAUSED:
        Process_Signal(injector->deployment, fault->victim, SIGSTOP);
        break;
    case FAULT_AGENT_STOPPED:
        Process_Signal(injector->deployment, fault->victim, SIGTERM);
        break;
    case FAULT_ENTRY_STOPPED:
        // Simulates the load balancer, which removes entries that aren't
        // ready.
        injector->sender->entry_removed[entry_index(fault)] = true;
        Process_Signal(injector->deployment, fault->victim, SIGTERM);
        break;
    case FAULT_CONFLICTING_APPLY:
        g_ptr_array_add(injector->operator_threads,
                        g_thread_new("apply", conflicting_apply, injector));
        break;
    case FAULT_INSTANCE_DRAINING:
        set_instance_state(injector, fault, "leaving");
        break;
    case FAULT_KIND_COUNT:
        break;
    }
}

/// @return false if the process hasn't exited yet and the call has to be
///         repeated.
static bool
revert_fault(struct fault_injector *injector, const struct fault *fault)
{
    switch (fault->kind) {
    case FAULT_ENGINE_SLOW:
        put_target_fault(injector, fault->victim, "\"token_delay_ms\":0");
        break;
    case FAULT_LOAD_FAILURES:
        put_target_fault(injector, fault->victim, "\"load_failure_rate\":0");
        break;
    case FAULT_PLATFORM_DOWN:
        put_platform_fault(injector, "{\"down\":false}");
        break;
    case FAULT_PLATFORM_SLOW:
        put_platform_fault(injector, "{\"delay_ms\":0}");
        break;
    case FAULT_PLATFORM_LOST_RESPONSES:
        put_platform_fault(injector, "{\"lose_answer_rate\":0}");
        break;
    case FAULT_AGENT_PAUSED:
    case FAULT_ENTRY_PAUSED:
        Process_Signal(injector->deployment, fault->victim, SIGCONT);
        break;
    case FAULT_AGENT_KILLED:
    case FAULT_AGENT_STOPPED:
    case FAULT_ENTRY_KILLED:
    case FAULT_ENTRY_STOPPED:
        if (Process_IsRunning(injector->deployment, fault->victim)) {
            return false;
        }
        Process_Restart(injector->deployment, fault->victim);
        if (fault->kind == FAULT_ENTRY_STOPPED) {
            injector->sender->entry_removed[entry_index(fault)] = false;
        }
        break;
    case FAULT_INSTANCE_DRAINING:
        set_instance_state(injector, fault, "live");
        break;
    default:
        break;
    }
    return true;
}

static double
elapsed_s(const struct fault_injector *injector)
{
    return CmTime_DiffS(CmClock_Now(CmClock_System()),
                        injector->sender->start);
}

static void
end_fault(evutil_socket_t fd, short what, void *context)
{
    struct active_fault *active = context;
    struct fault_injector *injector = active->injector;
    struct fault *fault =
        &g_array_index(injector->faults, struct fault, active->index);
    if (!revert_fault(injector, fault)) {
        struct timeval delay = CmTime_Timeval(EXIT_POLL_MS);
        event_add(active->timer, &delay);
        return;
    }
    fault->end_s = elapsed_s(injector);
    fault->end_wall_ms = CmClock_WallMs(CmClock_System());
    for (guint i = 0; i < injector->active_victims->len; i++) {
        if (strcmp(g_ptr_array_index(injector->active_victims, i),
                   fault->victim) == 0) {
            g_ptr_array_remove_index_fast(injector->active_victims, i);
            break;
        }
    }
    injector->n_active--;
    event_free(active->timer);
    g_free(active);
}

/// @return whether the fault's victim has an active fault already. Faults of
///         one victim don't overlap.
static bool
has_active_fault(const struct fault_injector *injector,
                 const struct fault *fault)
{
    for (guint i = 0; i < injector->active_victims->len; i++) {
        if (strcmp(g_ptr_array_index(injector->active_victims, i),
                   fault->victim) == 0) {
            return true;
        }
    }
    return false;
}

static void
inject_fault(struct fault_injector *injector)
{
    struct fault fault = {0};
    fault.kind = (enum fault_kind)g_rand_int_range(injector->random, 0,
                                                   FAULT_KIND_COUNT);
    draw_victim(injector, &fault);
    int duration_ms =
        g_rand_int_range(injector->random, fault_kinds[fault.kind].min_ms,
                         fault_kinds[fault.kind].max_ms + 1);
    if (has_active_fault(injector, &fault)) {
        return;
    }
    fault.start_s = elapsed_s(injector);
    fault.start_wall_ms = CmClock_WallMs(CmClock_System());
    fault.end_s = G_MAXDOUBLE;
    printf("%7.2f s  %s: %s for %d ms\n", fault.start_s,
           fault_kinds[fault.kind].name, fault.victim, duration_ms);
    fflush(stdout);
    apply_fault(injector, &fault);
    struct active_fault *active = g_new0(struct active_fault, 1);
    active->injector = injector;
    active->index = injector->faults->len;
    active->timer = evtimer_new(injector->base, end_fault, active);
    g_array_append_val(injector->faults, fault);
    g_ptr_array_add(injector->active_victims, g_strdup(fault.victim));
    injector->n_active++;
    struct timeval duration = CmTime_Timeval(duration_ms);
    event_add(active->timer, &duration);
}

static void
schedule_draw(struct fault_injector *injector)
{
    struct timeval delay = CmTime_Timeval(g_rand_int_range(
        injector->random, DRAW_INTERVAL_MIN_MS, DRAW_INTERVAL_MAX_MS));
    event_add(injector->draw_timer, &delay);
}

static void
inject_next(evutil_socket_t fd, short what, void *context)
{
    struct fault_injector *injector = context;
    if (elapsed_s(injector) >= injector->end_s) {
        injector->drawing_ended = true;
        return;
    }
    inject_fault(injector);
    if (g_rand_double(injector->random) < PAIR_PROBABILITY) {
        inject_fault(injector);
    }
    schedule_draw(injector);
}

void
FaultInjector_Init(struct fault_injector *injector, struct event_base *base,
                   struct deployment *deployment, struct sender *sender,
                   guint32 seed, double end_s)
{
    memset(injector, 0, sizeof(*injector));
    injector->base = base;
    injector->deployment = deployment;
    injector->sender = sender;
    injector->random = g_rand_new_with_seed(seed);
    injector->faults = g_array_new(FALSE, TRUE, sizeof(struct fault));
    injector->active_victims = g_ptr_array_new_with_free_func(g_free);
    injector->operator_threads = g_ptr_array_new();
    injector->draw_timer = evtimer_new(base, inject_next, injector);
    injector->end_s = end_s;
    injector->instances = BlockingHttp_GetJson(
        Deployment_Address(deployment, "platform", 0), "/instances");
}

void
FaultInjector_Start(struct fault_injector *injector)
{
    schedule_draw(injector);
}

int64_t
FaultInjector_VisibleFromMs(const struct fault_injector *injector,
                            const struct fault *fault)
{
    int64_t from_ms = fault->start_wall_ms;
    if (fault->kind != FAULT_INSTANCE_DRAINING) {
        return from_ms;
    }
    for (guint i = 0; i < injector->faults->len; i++) {
        const struct fault *other =
            &g_array_index(injector->faults, struct fault, i);
        bool blocks_list = other->kind == FAULT_PLATFORM_DOWN ||
                           other->kind == FAULT_PLATFORM_SLOW;
        if (blocks_list &&
            other->start_wall_ms <= from_ms + INSTANCE_LIST_READ_MS &&
            other->end_wall_ms > from_ms) {
            from_ms = other->end_wall_ms;
        }
    }
    return from_ms;
}

void
FaultInjector_JoinOperators(struct fault_injector *injector)
{
    for (guint i = 0; i < injector->operator_threads->len; i++) {
        g_thread_join(g_ptr_array_index(injector->operator_threads, i));
    }
    g_ptr_array_set_size(injector->operator_threads, 0);
}

void
FaultInjector_Finish(struct fault_injector *injector)
{
    g_ptr_array_free(injector->operator_threads, TRUE);
    json_decref(injector->instances);
    event_free(injector->draw_timer);
    g_array_free(injector->faults, TRUE);
    g_ptr_array_free(injector->active_victims, TRUE);
    g_rand_free(injector->random);
}
