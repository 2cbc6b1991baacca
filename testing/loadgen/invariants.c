/// @file invariants.c
/// Whether the promises held.

#include "invariants.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "blocking_http.h"

/// Time after which a leaving target gets no new work.
#define LEAVING_MS 3000
/// Time in which an accepted configuration is in force everywhere.
#define IN_FORCE_MS 5000
/// Time around a fault in which requests may be touched by it.
#define TOUCHED_S 6.0
/// Pause between two readings of all revisions.
#define REVISION_CHECK_US 300000

/// What the stand-ins recorded.
struct runs {
    GHashTable *by_id;  ///< request id to number of runs
    GHashTable *by_key; ///< idempotency key to number of runs
    GPtrArray *list;    ///< of json_t
};

static void
count_run(GHashTable *table, const char *key)
{
    if (key == NULL || *key == '\0') {
        return;
    }
    gpointer count = g_hash_table_lookup(table, key);
    g_hash_table_replace(table, g_strdup(key),
                         GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
}

static void
runs_init(struct runs *runs, const struct stack *stack)
{
    runs->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    runs->by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    runs->list = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
    char *text = Blocking_Call(Stack_Address(stack, "control", 0),
                               EVHTTP_REQ_GET, "/executions", NULL, NULL);
    char **lines = g_strsplit(text != NULL ? text : "", "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        json_t *run = json_loads(*line, 0, NULL);
        if (run != NULL) {
            count_run(runs->by_id,
                      json_string_value(json_object_get(run, "id")));
            count_run(runs->by_key,
                      json_string_value(json_object_get(run, "key")));
            g_ptr_array_add(runs->list, run);
        }
    }
    g_strfreev(lines);
    g_free(text);
}

static void
runs_finish(struct runs *runs)
{
    g_hash_table_destroy(runs->by_id);
    g_hash_table_destroy(runs->by_key);
    g_ptr_array_free(runs->list, TRUE);
}

static int
print_promise(const char *promise, int checked, int violations)
{
    printf("%-9s %-52s checked %6d, violations %d\n",
           violations == 0 ? "held" : "VIOLATED", promise, checked,
           violations);
    return violations;
}

static int
check_answers(const struct sender *sender)
{
    int checked = 0;
    int wrong = 0;
    for (guint i = 0; i < sender->results->len; i++) {
        const struct result *r =
            &g_array_index(sender->results, struct result, i);
        checked += r->outcome == RESULT_RAN;
        wrong += r->wrong;
        if (r->wrong) {
            printf("  wrong answer: request %d id %s\n", r->index, r->id);
        }
    }
    return print_promise("right adapter, whole answer to its own caller",
                         checked, wrong);
}

static int
check_not_run(const struct sender *sender, const struct runs *runs)
{
    int checked = 0;
    int violations = 0;
    for (guint i = 0; i < sender->results->len; i++) {
        const struct result *r =
            &g_array_index(sender->results, struct result, i);
        if (r->outcome != RESULT_NOT_RUN || r->id[0] == '\0') {
            continue;
        }
        checked++;
        if (g_hash_table_lookup(runs->by_id, r->id) != NULL) {
            violations++;
            printf("  told not-run, yet ran: request %d id %s\n", r->index,
                   r->id);
        }
    }
    return print_promise("\"not run\" is true", checked, violations);
}

static int
check_once(const struct runs *runs)
{
    int violations = 0;
    GHashTableIter iter;
    gpointer key;
    gpointer count;
    g_hash_table_iter_init(&iter, runs->by_key);
    while (g_hash_table_iter_next(&iter, &key, &count)) {
        if (GPOINTER_TO_INT(count) > 1) {
            violations++;
            printf("  ran %d times: %s\n", GPOINTER_TO_INT(count),
                   (const char *)key);
        }
    }
    return print_promise("non-repeatable runs at most once",
                         (int)g_hash_table_size(runs->by_key), violations);
}

/// Answers to one key, from whatever entry, are one answer.
static int
check_resends(const struct sender *sender)
{
    GHashTable *first = g_hash_table_new(g_str_hash, g_str_equal);
    int checked = 0;
    int violations = 0;
    for (guint i = 0; i < sender->results->len; i++) {
        const struct result *r =
            &g_array_index(sender->results, struct result, i);
        if (r->kind != TRACE_LEDGER || r->outcome != RESULT_RAN ||
            r->status != HTTP_OK) {
            continue;
        }
        const char *known = g_hash_table_lookup(first, r->key);
        if (known == NULL) {
            g_hash_table_insert(first, (gpointer)r->key, (gpointer)r->run);
            continue;
        }
        checked++;
        violations += strcmp(known, r->run) != 0;
    }
    g_hash_table_destroy(first);
    return print_promise("a resend of a key gets the same answer", checked,
                         violations);
}

static int
check_leaving(const struct plan *plan, const struct runs *runs)
{
    int checked = 0;
    int violations = 0;
    for (guint i = 0; i < plan->faults->len; i++) {
        const struct fault *f = &g_array_index(plan->faults, struct fault, i);
        if (f->kind != FAULT_AGENT_STOPPED &&
            f->kind != FAULT_INSTANCE_LEAVING) {
            continue;
        }
        checked++;
        const char *target = f->name + strlen("agent-");
        int64_t known_ms = Plan_KnownFromMs(plan, f);
        for (guint j = 0; j < runs->list->len; j++) {
            const json_t *run = g_ptr_array_index(runs->list, j);
            int64_t at = json_integer_value(json_object_get(run, "at_ms"));
            const char *where =
                json_string_value(json_object_get(run, "target"));
            if (where != NULL && strcmp(where, target) == 0 &&
                at > known_ms + LEAVING_MS && at < f->end_wall_ms) {
                violations++;
                printf("  new work at leaving %s after %lld ms\n", target,
                       (long long)(at - known_ms));
            }
        }
    }
    return print_promise("a leaving target gets no new work after 3 s",
                         checked, violations);
}

static bool
overlaps(const struct fault *fault, const struct result *result)
{
    double end_s = result->at_s + result->total_ms / CM_MS_PER_S;
    return end_s >= fault->start_s - 1 &&
           result->at_s <= fault->end_s + TOUCHED_S;
}

/// Requests that were cut off while nothing but planned stops went on.
static int
check_planned_stops(const struct sender *sender, const struct plan *plan)
{
    int checked = 0;
    int violations = 0;
    for (guint i = 0; i < sender->results->len; i++) {
        const struct result *r =
            &g_array_index(sender->results, struct result, i);
        bool planned = false;
        bool other = false;
        for (guint j = 0; j < plan->faults->len; j++) {
            const struct fault *f =
                &g_array_index(plan->faults, struct fault, j);
            if (overlaps(f, r)) {
                planned |= Plan_IsPlanned(f->kind);
                other |= !Plan_IsPlanned(f->kind);
            }
        }
        if (!planned || other) {
            continue;
        }
        checked++;
        if (r->cut || r->outcome == RESULT_UNKNOWN ||
            r->outcome == RESULT_NONE) {
            violations++;
            printf("  cut off by a planned stop: request %d at %.2f s, status "
                   "%d id %s\n",
                   r->index, r->at_s, r->status, r->id);
        }
    }
    return print_promise("a planned stop cuts nothing off", checked,
                         violations);
}

static int
check_evictions(const struct stack *stack)
{
    json_t *stats =
        Blocking_GetJson(Stack_Address(stack, "control", 0), "/stats");
    const json_t *targets = json_object_get(stats, "targets");
    int violations = 0;
    for (size_t i = 0; i < json_array_size(targets); i++) {
        violations += (int)json_integer_value(
            json_object_get(json_array_get(targets, i), "evicted_in_use"));
    }
    int checked = (int)json_array_size(targets);
    json_decref(stats);
    return print_promise("no eviction of a serving adapter (engines)", checked,
                         violations);
}

void
RevisionWatch_Init(struct revision_watch *watch, struct stack *stack)
{
    memset(watch, 0, sizeof(*watch));
    watch->stack = stack;
    watch->highest =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
RevisionWatch_Finish(struct revision_watch *watch)
{
    g_hash_table_destroy(watch->highest);
}

/// @return the revision of an entry, or -1 where it does not answer.
static int64_t
revision_of(const struct stack *stack, size_t entry)
{
    json_t *status = Blocking_GetJson(Stack_Address(stack, "admin", entry),
                                      "/admin/status");
    int64_t revision =
        status != NULL
            ? json_integer_value(json_object_get(status, "revision"))
            : -1;
    json_decref(status);
    return revision;
}

static void
check_revisions(struct revision_watch *watch)
{
    for (size_t i = 0; i < Stack_Count(watch->stack, "admin"); i++) {
        int64_t revision = revision_of(watch->stack, i);
        if (revision <= 0) {
            continue; // away, or started and not yet in force
        }
        const char *address = Stack_Address(watch->stack, "admin", i);
        int64_t highest =
            GPOINTER_TO_SIZE(g_hash_table_lookup(watch->highest, address));
        watch->checks++;
        if (revision < highest) {
            watch->went_down++;
            printf("  revision of %s went from %lld to %lld\n", address,
                   (long long)highest, (long long)revision);
        }
        g_hash_table_replace(watch->highest, g_strdup(address),
                             GSIZE_TO_POINTER((gsize)revision));
    }
}

static gpointer
watch_revisions(gpointer context)
{
    struct revision_watch *watch = context;
    while (!g_atomic_int_get(&watch->stopping)) {
        check_revisions(watch);
        g_usleep(REVISION_CHECK_US);
    }
    return NULL;
}

void
RevisionWatch_Start(struct revision_watch *watch)
{
    watch->thread = g_thread_new("revisions", watch_revisions, watch);
}

void
RevisionWatch_Stop(struct revision_watch *watch)
{
    g_atomic_int_set(&watch->stopping, 1);
    g_thread_join(watch->thread);
}

/// @return how many processes are not at revision `wanted`.
static int
count_behind(const struct stack *stack, int64_t wanted, int *checked)
{
    int behind = 0;
    *checked = 0;
    for (size_t i = 0; i < Stack_Count(stack, "admin"); i++) {
        behind += revision_of(stack, i) != wanted;
        (*checked)++;
    }
    json_t *status =
        Blocking_GetJson(Stack_Address(stack, "admin", 0), "/admin/status");
    const json_t *targets = json_object_get(status, "targets");
    for (size_t i = 0; i < json_array_size(targets); i++) {
        behind += json_integer_value(json_object_get(
                      json_array_get(targets, i), "revision")) != wanted;
        (*checked)++;
    }
    json_decref(status);
    return behind;
}

static int
check_in_force(const struct stack *stack)
{
    int64_t wanted = 0;
    json_t *head =
        Blocking_GetJson(Stack_Address(stack, "platform", 0),
                         "/apis/coriandermoor.io/v1/configheads/current");
    wanted = json_integer_value(
        json_object_get(json_object_get(head, "spec"), "revision"));
    json_decref(head);
    struct timespec start = CmClock_Now(CmClock_System());
    int checked = 0;
    int behind = 1;
    while (behind > 0 &&
           CmTime_DiffMs(CmClock_Now(CmClock_System()), start) < IN_FORCE_MS) {
        behind = count_behind(stack, wanted, &checked);
        g_usleep(100000);
    }
    return print_promise("the accepted revision is everywhere within 5 s",
                         checked, behind);
}

static void
print_costs(const struct sender *sender, const struct plan *plan)
{
    printf("\nshare of requests without a whole answer, by fault that was "
           "going on:\n");
    for (int kind = 0; kind < FAULT_KINDS; kind++) {
        int touched = 0;
        int lost = 0;
        int faults = 0;
        for (guint j = 0; j < plan->faults->len; j++) {
            const struct fault *f =
                &g_array_index(plan->faults, struct fault, j);
            if (f->kind != (enum fault_kind)kind) {
                continue;
            }
            faults++;
            for (guint i = 0; i < sender->results->len; i++) {
                const struct result *r =
                    &g_array_index(sender->results, struct result, i);
                if (overlaps(f, r)) {
                    touched++;
                    lost += r->outcome != RESULT_RAN || r->cut;
                }
            }
        }
        if (faults > 0) {
            printf("  %-28s %3d times, %6d requests, %5.2f %%\n",
                   Plan_KindName((enum fault_kind)kind), faults, touched,
                   touched > 0 ? 100.0 * lost / touched : 0);
        }
    }
}

int
Verdict_Print(const struct sender *sender, const struct plan *plan,
              const struct revision_watch *watch)
{
    struct runs runs;
    runs_init(&runs, plan->stack);
    int counts[4] = {0};
    for (guint i = 0; i < sender->results->len; i++) {
        counts[g_array_index(sender->results, struct result, i).outcome]++;
    }
    printf(
        "\n%u answers: %d ran, %d not-run, %d unknown, %d none; %u faults\n",
        sender->results->len, counts[0], counts[1], counts[2], counts[3],
        plan->faults->len);
    int violations = 0;
    violations += check_answers(sender);
    violations += check_evictions(plan->stack);
    violations += check_not_run(sender, &runs);
    violations += check_once(&runs);
    violations += check_resends(sender);
    violations += check_leaving(plan, &runs);
    violations += check_planned_stops(sender, plan);
    violations += print_promise("of two conflicting applies one is accepted",
                                plan->applies, plan->applies_both);
    violations += print_promise("a revision never goes down", watch->checks,
                                watch->went_down);
    violations += check_in_force(plan->stack);
    print_costs(sender, plan);
    runs_finish(&runs);
    return violations;
}
