/// @file fault_injector.c
/// Faults, alone and in pairs.

#include "fault_injector.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "blocking_http.h"
#include "process.h"

/// Time between two draws.
#define DRAW_MIN_MS 2500
#define DRAW_MAX_MS 5000
/// Chance that two faults come together.
#define PAIR_CHANCE 0.4
#define CHECK_ENDED_MS 100
/// Time in which a change of the instance list is read while all is well.
#define LIST_READ_MS 1500

/// What is known of one kind.
static const struct {
    const char *name;
    int min_ms; ///< length
    int max_ms;
} kinds[FAULT_KINDS] = {
    [FAULT_ENGINE_RESTART] = {"engine restart", 1000, 1000},
    [FAULT_ENGINE_SILENT] = {"engine connections silent", 500, 500},
    [FAULT_ENGINE_SLOW] = {"engine slow", 1000, 4000},
    [FAULT_LOAD_FAILURES] = {"loads fail", 1000, 4000},
    [FAULT_PLATFORM_DOWN] = {"object API down", 1000, 8000},
    [FAULT_PLATFORM_SLOW] = {"object API slow", 1000, 5000},
    [FAULT_PLATFORM_LOSES_ANSWERS] = {"object API loses answers", 1000, 5000},
    [FAULT_PLATFORM_SILENT_WATCHES] = {"watches silent", 500, 500},
    [FAULT_PLAIN_RESTART] = {"plain target restart", 1000, 1000},
    [FAULT_AGENT_KILLED] = {"agent killed", 200, 3000},
    [FAULT_AGENT_PAUSED] = {"agent paused", 300, 7000},
    [FAULT_AGENT_STOPPED] = {"agent stopped (planned)", 5000, 8000},
    [FAULT_ENTRY_KILLED] = {"entry killed", 200, 3000},
    [FAULT_ENTRY_PAUSED] = {"entry paused", 300, 4000},
    [FAULT_ENTRY_STOPPED] = {"entry stopped (planned)", 3000, 5000},
    [FAULT_CONFLICTING_APPLY] = {"conflicting applies", 100, 100},
    [FAULT_INSTANCE_LEAVING] = {"instance listed as leaving", 5000, 8000},
};

/// A fault that waits to be taken back.
struct open_fault {
    struct plan *plan;
    guint index;
    struct event *timer;
};

const char *
Plan_KindName(enum fault_kind kind)
{
    return kinds[kind].name;
}

bool
Plan_IsPlanned(enum fault_kind kind)
{
    return kind == FAULT_AGENT_STOPPED || kind == FAULT_ENTRY_STOPPED ||
           kind == FAULT_INSTANCE_LEAVING || kind == FAULT_CONFLICTING_APPLY;
}

static void
put(struct plan *plan, const char *list, const char *path, const char *body)
{
    g_free(Blocking_Call(Stack_Address(plan->stack, list, 0), EVHTTP_REQ_PUT,
                         path, body, NULL));
}

static void
put_platform(struct plan *plan, const char *body)
{
    put(plan, "platform", "/faults", body);
}

static void
put_target(struct plan *plan, const char *target, const char *fault)
{
    char *body = g_strdup_printf("{\"target\":\"%s\",%s}", target, fault);
    put(plan, "control", "/faults", body);
    g_free(body);
}

static bool
is_engine_fault(enum fault_kind kind)
{
    return kind <= FAULT_LOAD_FAILURES;
}

static bool
is_agent_fault(enum fault_kind kind)
{
    return (kind >= FAULT_AGENT_KILLED && kind <= FAULT_AGENT_STOPPED) ||
           kind == FAULT_INSTANCE_LEAVING;
}

static bool
is_entry_fault(enum fault_kind kind)
{
    return kind >= FAULT_ENTRY_KILLED && kind <= FAULT_ENTRY_STOPPED;
}

static int
draw(struct plan *plan, size_t n)
{
    return g_rand_int_range(plan->random, 0, (gint32)n);
}

/// Names the process or target that the fault strikes.
static void
draw_name(struct plan *plan, struct fault *fault)
{
    size_t engines = Stack_Count(plan->stack, "engines");
    size_t plains = Stack_Count(plan->stack, "plain");
    size_t entries = Stack_Count(plan->stack, "entries");
    const char *prefix = is_agent_fault(fault->kind) ? "agent-" : "";
    bool on_engine = is_engine_fault(fault->kind) ||
                     (is_agent_fault(fault->kind) &&
                      (size_t)draw(plan, engines + plains) < engines);
    if (is_entry_fault(fault->kind)) {
        snprintf(fault->name, sizeof(fault->name), "entry-%d",
                 draw(plan, entries) + 1);
    }
    else if (on_engine) {
        snprintf(fault->name, sizeof(fault->name), "%sengine-%02d", prefix,
                 draw(plan, engines) + 1);
    }
    else if (is_agent_fault(fault->kind) ||
             fault->kind == FAULT_PLAIN_RESTART) {
        snprintf(fault->name, sizeof(fault->name), "%splain-%02d", prefix,
                 draw(plan, plains) + 1);
    }
    else {
        snprintf(fault->name, sizeof(fault->name), "platform");
    }
}

static const char *
target_of(const struct fault *fault)
{
    return fault->name + strlen("agent-");
}

/// Marks the target's instance on the platform's list.
static void
list_instance(struct plan *plan, const struct fault *fault, const char *state)
{
    const char *target = target_of(fault);
    const json_t *items = json_object_get(plan->instances, "items");
    for (size_t i = 0; i < json_array_size(items); i++) {
        json_t *item = json_array_get(items, i);
        const char *name = json_string_value(json_object_get(item, "name"));
        if (name != NULL && strcmp(name, target) == 0) {
            json_object_set_new(item, "state", json_string(state));
            char *path = g_strconcat("/instances/", target, NULL);
            char *body = json_dumps(item, JSON_COMPACT);
            put(plan, "platform", path, body);
            free(body);
            g_free(path);
        }
    }
}

/// Two operators apply different texts made from the same revision. Runs in
/// a thread of its own, so that waiting for answers does not hold up load.
static gpointer
conflicting_apply(gpointer context)
{
    struct plan *plan = context;
    size_t entries = Stack_Count(plan->stack, "admin");
    char *text = Blocking_Call(Stack_Address(plan->stack, "admin", 0),
                               EVHTTP_REQ_GET, "/admin/config", NULL, NULL);
    if (text == NULL) {
        return NULL;
    }
    char *command =
        g_strdup_printf("# operators %d", g_atomic_int_get(&plan->applies));
    int accepted = 0;
    json_t *status = Blocking_GetJson(Stack_Address(plan->stack, "admin", 0),
                                      "/admin/status");
    int64_t base = json_integer_value(json_object_get(status, "revision"));
    json_decref(status);
    for (size_t i = 0; i < 2; i++) {
        char *body = g_strdup_printf("%s\n%s/%zu\n", text, command, i);
        char match[32];
        snprintf(match, sizeof(match), "%lld", (long long)base);
        int code = 0;
        g_free(Blocking_Put(Stack_Address(plan->stack, "admin", i % entries),
                            "/admin/config", match, body, &code));
        accepted += code == HTTP_OK;
        g_free(body);
    }
    g_atomic_int_inc(&plan->applies);
    g_atomic_int_add(&plan->applies_both, accepted == 2);
    g_free(command);
    g_free(text);
    return NULL;
}

static size_t
entry_index(const struct fault *fault)
{
    return (size_t)atoi(fault->name + strlen("entry-")) - 1;
}

static void
begin(struct plan *plan, const struct fault *fault)
{
    switch (fault->kind) {
    case FAULT_ENGINE_RESTART:
    case FAULT_PLAIN_RESTART:
        put_target(plan, fault->name, "\"restart\":true");
        break;
    case FAULT_ENGINE_SILENT:
        put_target(plan, fault->name, "\"silent\":true");
        break;
    case FAULT_ENGINE_SLOW:
        put_target(plan, fault->name, "\"token_delay_ms\":50");
        break;
    case FAULT_LOAD_FAILURES:
        put_target(plan, fault->name, "\"load_failure_rate\":0.5");
        break;
    case FAULT_PLATFORM_DOWN:
        put_platform(plan, "{\"down\":true}");
        break;
    case FAULT_PLATFORM_SLOW:
        put_platform(plan, "{\"delay_ms\":300}");
        break;
    case FAULT_PLATFORM_LOSES_ANSWERS:
        put_platform(plan, "{\"lose_answer_rate\":0.3}");
        break;
    case FAULT_PLATFORM_SILENT_WATCHES:
        put_platform(plan, "{\"silence_watches\":true}");
        break;
    case FAULT_AGENT_KILLED:
    case FAULT_ENTRY_KILLED:
        Process_Signal(plan->stack, fault->name, SIGKILL);
        break;
    case FAULT_AGENT_PAUSED:
    case FAULT_ENTRY_PAUSED:
        Process_Signal(plan->stack, fault->name, SIGSTOP);
        break;
    case FAULT_AGENT_STOPPED:
        Process_Signal(plan->stack, fault->name, SIGTERM);
        break;
    case FAULT_ENTRY_STOPPED:
        // The balancer follows the entry's readiness.
        plan->sender->entry_out[entry_index(fault)] = true;
        Process_Signal(plan->stack, fault->name, SIGTERM);
        break;
    case FAULT_CONFLICTING_APPLY:
        g_ptr_array_add(plan->operators,
                        g_thread_new("apply", conflicting_apply, plan));
        break;
    case FAULT_INSTANCE_LEAVING:
        list_instance(plan, fault, "leaving");
        break;
    case FAULT_KINDS:
        break;
    }
}

/// @return whether the fault is over; false where it has to be tried again.
static bool
take_back(struct plan *plan, const struct fault *fault)
{
    switch (fault->kind) {
    case FAULT_ENGINE_SLOW:
        put_target(plan, fault->name, "\"token_delay_ms\":0");
        break;
    case FAULT_LOAD_FAILURES:
        put_target(plan, fault->name, "\"load_failure_rate\":0");
        break;
    case FAULT_PLATFORM_DOWN:
        put_platform(plan, "{\"down\":false}");
        break;
    case FAULT_PLATFORM_SLOW:
        put_platform(plan, "{\"delay_ms\":0}");
        break;
    case FAULT_PLATFORM_LOSES_ANSWERS:
        put_platform(plan, "{\"lose_answer_rate\":0}");
        break;
    case FAULT_AGENT_PAUSED:
    case FAULT_ENTRY_PAUSED:
        Process_Signal(plan->stack, fault->name, SIGCONT);
        break;
    case FAULT_AGENT_KILLED:
    case FAULT_AGENT_STOPPED:
    case FAULT_ENTRY_KILLED:
    case FAULT_ENTRY_STOPPED:
        if (Process_Runs(plan->stack, fault->name)) {
            return false;
        }
        Process_Restart(plan->stack, fault->name);
        if (fault->kind == FAULT_ENTRY_STOPPED) {
            plan->sender->entry_out[entry_index(fault)] = false;
        }
        break;
    case FAULT_INSTANCE_LEAVING:
        list_instance(plan, fault, "live");
        break;
    default:
        break;
    }
    return true;
}

static double
elapsed_s(const struct plan *plan)
{
    return CmTime_DiffS(CmClock_Now(CmClock_System()), plan->sender->start);
}

static void
on_fault_over(evutil_socket_t fd, short what, void *context)
{
    struct open_fault *open = context;
    struct plan *plan = open->plan;
    struct fault *fault =
        &g_array_index(plan->faults, struct fault, open->index);
    if (!take_back(plan, fault)) {
        struct timeval delay = CmTime_Timeval(CHECK_ENDED_MS);
        event_add(open->timer, &delay);
        return;
    }
    fault->end_s = elapsed_s(plan);
    fault->end_wall_ms = CmClock_WallMs(CmClock_System());
    for (guint i = 0; i < plan->open->len; i++) {
        if (strcmp(g_ptr_array_index(plan->open, i), fault->name) == 0) {
            g_ptr_array_remove_index_fast(plan->open, i);
            break;
        }
    }
    plan->pending--;
    event_free(open->timer);
    g_free(open);
}

/// @return whether something of that name, or its agent or target, has a
///         fault now that must not be mixed with another process fault.
static bool
is_struck(const struct plan *plan, const struct fault *fault)
{
    for (guint i = 0; i < plan->open->len; i++) {
        if (strcmp(g_ptr_array_index(plan->open, i), fault->name) == 0) {
            return true;
        }
    }
    return false;
}

static void
strike(struct plan *plan)
{
    struct fault fault = {0};
    fault.kind =
        (enum fault_kind)g_rand_int_range(plan->random, 0, FAULT_KINDS);
    draw_name(plan, &fault);
    int length_ms = g_rand_int_range(plan->random, kinds[fault.kind].min_ms,
                                     kinds[fault.kind].max_ms + 1);
    if (is_struck(plan, &fault)) {
        return;
    }
    fault.start_s = elapsed_s(plan);
    fault.start_wall_ms = CmClock_WallMs(CmClock_System());
    fault.end_s = G_MAXDOUBLE;
    printf("%7.2f s  %s: %s for %d ms\n", fault.start_s,
           kinds[fault.kind].name, fault.name, length_ms);
    fflush(stdout);
    begin(plan, &fault);
    struct open_fault *open = g_new0(struct open_fault, 1);
    open->plan = plan;
    open->index = plan->faults->len;
    open->timer = evtimer_new(plan->base, on_fault_over, open);
    g_array_append_val(plan->faults, fault);
    g_ptr_array_add(plan->open, g_strdup(fault.name));
    plan->pending++;
    struct timeval length = CmTime_Timeval(length_ms);
    event_add(open->timer, &length);
}

static void
schedule(struct plan *plan)
{
    struct timeval delay = CmTime_Timeval(
        g_rand_int_range(plan->random, DRAW_MIN_MS, DRAW_MAX_MS));
    event_add(plan->next, &delay);
}

static void
on_next(evutil_socket_t fd, short what, void *context)
{
    struct plan *plan = context;
    if (elapsed_s(plan) >= plan->until_s) {
        plan->stopped = true;
        return;
    }
    strike(plan);
    if (g_rand_double(plan->random) < PAIR_CHANCE) {
        strike(plan);
    }
    schedule(plan);
}

void
Plan_Init(struct plan *plan, struct event_base *base, struct stack *stack,
          struct sender *sender, guint32 seed, double until_s)
{
    memset(plan, 0, sizeof(*plan));
    plan->base = base;
    plan->stack = stack;
    plan->sender = sender;
    plan->random = g_rand_new_with_seed(seed);
    plan->faults = g_array_new(FALSE, TRUE, sizeof(struct fault));
    plan->open = g_ptr_array_new_with_free_func(g_free);
    plan->operators = g_ptr_array_new();
    plan->next = evtimer_new(base, on_next, plan);
    plan->until_s = until_s;
    plan->instances =
        Blocking_GetJson(Stack_Address(stack, "platform", 0), "/instances");
}

void
Plan_Start(struct plan *plan)
{
    schedule(plan);
}

int64_t
Plan_KnownFromMs(const struct plan *plan, const struct fault *fault)
{
    int64_t from_ms = fault->start_wall_ms;
    if (fault->kind != FAULT_INSTANCE_LEAVING) {
        return from_ms;
    }
    for (guint i = 0; i < plan->faults->len; i++) {
        const struct fault *other =
            &g_array_index(plan->faults, struct fault, i);
        bool hides = other->kind == FAULT_PLATFORM_DOWN ||
                     other->kind == FAULT_PLATFORM_SLOW;
        if (hides && other->start_wall_ms <= from_ms + LIST_READ_MS &&
            other->end_wall_ms > from_ms) {
            from_ms = other->end_wall_ms;
        }
    }
    return from_ms;
}

void
Plan_JoinOperators(struct plan *plan)
{
    for (guint i = 0; i < plan->operators->len; i++) {
        g_thread_join(g_ptr_array_index(plan->operators, i));
    }
    g_ptr_array_set_size(plan->operators, 0);
}

void
Plan_Finish(struct plan *plan)
{
    g_ptr_array_free(plan->operators, TRUE);
    json_decref(plan->instances);
    event_free(plan->next);
    g_array_free(plan->faults, TRUE);
    g_ptr_array_free(plan->open, TRUE);
    g_rand_free(plan->random);
}
