/// @file invariants.c
/// Checks the system's guarantees after a fault-injection run.

#include "invariants.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "blocking_http.h"

/// Time after which a draining target must get no new work.
#define DRAIN_LIMIT_MS 3000
/// Time limit for an accepted configuration to be in force everywhere.
#define ROLLOUT_TIMEOUT_MS 5000
/// Time after a fault in which requests may still be affected by it.
#define FAULT_EFFECT_S 6.0
/// Interval between two polls of all revisions.
#define REVISION_POLL_US 300000
/// Interval at which the rollout of the accepted revision is polled.
#define ROLLOUT_POLL_US 100000

/// Execution log of the stand-in targets.
struct executions {
    GHashTable *by_id;  ///< request id to number of executions
    GHashTable *by_key; ///< idempotency key to number of executions
    GPtrArray *list;    ///< of json_t, all executions
};

static void
count_execution(GHashTable *table, const char *key)
{
    if (key == NULL || *key == '\0') {
        return;
    }
    gpointer count = g_hash_table_lookup(table, key);
    g_hash_table_replace(table, g_strdup(key),
                         GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
}

static void
executions_load(struct executions *executions,
                const struct deployment *deployment)
{
    executions->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    executions->by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    executions->list =
        g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
    char *text =
        BlockingHttp_Call(Deployment_Address(deployment, "control", 0),
                          EVHTTP_REQ_GET, "/executions", NULL, NULL);
    char **lines = g_strsplit(text != NULL ? text : "", "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        json_t *execution = json_loads(*line, 0, NULL);
        if (execution != NULL) {
            count_execution(
                executions->by_id,
                json_string_value(json_object_get(execution, "id")));
            count_execution(
                executions->by_key,
                json_string_value(json_object_get(execution, "key")));
            g_ptr_array_add(executions->list, execution);
        }
    }
    g_strfreev(lines);
    g_free(text);
}

static void
executions_free(struct executions *executions)
{
    g_hash_table_destroy(executions->by_id);
    g_hash_table_destroy(executions->by_key);
    g_ptr_array_free(executions->list, TRUE);
}

static int
print_invariant(const char *invariant, int checked, int violations)
{
    printf("%-9s %-52s checked %6d, violations %d\n",
           violations == 0 ? "held" : "VIOLATED", invariant, checked,
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
            printf("  wrong response: request %d id %s\n", r->index, r->id);
        }
    }
    return print_invariant("complete response from the requested adapter",
                           checked, wrong);
}

static int
check_not_run(const struct sender *sender, const struct executions *executions)
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
        if (g_hash_table_lookup(executions->by_id, r->id) != NULL) {
            violations++;
            printf("  reported as not run, but executed: request %d id %s\n",
                   r->index, r->id);
        }
    }
    return print_invariant("requests reported as not run never executed",
                           checked, violations);
}

static int
check_at_most_once(const struct executions *executions)
{
    int violations = 0;
    GHashTableIter iter;
    gpointer key;
    gpointer count;
    g_hash_table_iter_init(&iter, executions->by_key);
    while (g_hash_table_iter_next(&iter, &key, &count)) {
        if (GPOINTER_TO_INT(count) > 1) {
            violations++;
            printf("  executed %d times: %s\n", GPOINTER_TO_INT(count),
                   (const char *)key);
        }
    }
    return print_invariant("an idempotency key is executed at most once",
                           (int)g_hash_table_size(executions->by_key),
                           violations);
}

/// All successful responses for one idempotency key must be equal, from
/// whichever entry they come.
static int
check_resends(const struct sender *sender)
{
    GHashTable *first_bodies = g_hash_table_new(g_str_hash, g_str_equal);
    int checked = 0;
    int violations = 0;
    for (guint i = 0; i < sender->results->len; i++) {
        const struct result *r =
            &g_array_index(sender->results, struct result, i);
        if (r->kind != TRACE_LEDGER || r->outcome != RESULT_RAN ||
            r->status != HTTP_OK) {
            continue;
        }
        const char *first_body = g_hash_table_lookup(first_bodies, r->key);
        if (first_body == NULL) {
            g_hash_table_insert(first_bodies, (gpointer)r->key,
                                (gpointer)r->ledger_body);
            continue;
        }
        checked++;
        violations += strcmp(first_body, r->ledger_body) != 0;
    }
    g_hash_table_destroy(first_bodies);
    return print_invariant("resends of a key get the same response", checked,
                           violations);
}

static int
check_draining(const struct fault_injector *injector,
               const struct executions *executions)
{
    int checked = 0;
    int violations = 0;
    for (guint i = 0; i < injector->faults->len; i++) {
        const struct fault *f =
            &g_array_index(injector->faults, struct fault, i);
        if (f->kind != FAULT_AGENT_STOPPED &&
            f->kind != FAULT_INSTANCE_DRAINING) {
            continue;
        }
        checked++;
        const char *target = f->victim + strlen("agent-");
        int64_t visible_ms = FaultInjector_VisibleFromMs(injector, f);
        for (guint j = 0; j < executions->list->len; j++) {
            const json_t *execution = g_ptr_array_index(executions->list, j);
            int64_t at_ms =
                json_integer_value(json_object_get(execution, "at_ms"));
            const char *execution_target =
                json_string_value(json_object_get(execution, "target"));
            if (execution_target != NULL &&
                strcmp(execution_target, target) == 0 &&
                at_ms > visible_ms + DRAIN_LIMIT_MS &&
                at_ms < f->end_wall_ms) {
                violations++;
                printf("  new work at draining %s after %lld ms\n", target,
                       (long long)(at_ms - visible_ms));
            }
        }
    }
    return print_invariant("a draining target gets no new work after 3 s",
                           checked, violations);
}

/// @return whether the fault may have affected the request: the request was in
///         progress between 1 s before the fault and FAULT_EFFECT_S after it.
static bool
overlaps(const struct fault *fault, const struct result *result)
{
    double end_s = result->sent_s + result->total_ms / CM_MS_PER_S;
    return end_s >= fault->start_s - 1 &&
           result->sent_s <= fault->end_s + FAULT_EFFECT_S;
}

/// Requests that overlap with planned operations only must get a complete
/// response.
static int
check_planned_stops(const struct sender *sender,
                    const struct fault_injector *injector)
{
    int checked = 0;
    int violations = 0;
    for (guint i = 0; i < sender->results->len; i++) {
        const struct result *r =
            &g_array_index(sender->results, struct result, i);
        bool planned = false;
        bool other = false;
        for (guint j = 0; j < injector->faults->len; j++) {
            const struct fault *f =
                &g_array_index(injector->faults, struct fault, j);
            if (overlaps(f, r)) {
                planned |= FaultKind_IsPlanned(f->kind);
                other |= !FaultKind_IsPlanned(f->kind);
            }
        }
        if (!planned || other) {
            continue;
        }
        checked++;
        if (r->truncated || r->outcome == RESULT_UNKNOWN ||
            r->outcome == RESULT_NO_RESPONSE) {
            violations++;
            printf("  interrupted by a planned stop: request %d at %.2f s, "
                   "status "
                   "%d id %s\n",
                   r->index, r->sent_s, r->status, r->id);
        }
    }
    return print_invariant("a planned stop interrupts no request", checked,
                           violations);
}

static int
check_evictions(const struct deployment *deployment)
{
    json_t *stats = BlockingHttp_GetJson(
        Deployment_Address(deployment, "control", 0), "/stats");
    const json_t *targets = json_object_get(stats, "targets");
    int violations = 0;
    for (size_t i = 0; i < json_array_size(targets); i++) {
        violations += (int)json_integer_value(
            json_object_get(json_array_get(targets, i), "evicted_in_use"));
    }
    int checked = (int)json_array_size(targets);
    json_decref(stats);
    return print_invariant("engines evict no adapter in use", checked,
                           violations);
}

void
RevisionMonitor_Init(struct revision_monitor *monitor,
                     struct deployment *deployment)
{
    memset(monitor, 0, sizeof(*monitor));
    monitor->deployment = deployment;
    monitor->last_revision =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
RevisionMonitor_Finish(struct revision_monitor *monitor)
{
    g_hash_table_destroy(monitor->last_revision);
}

/// @return the revision of an entry, or -1 if it doesn't respond.
static int64_t
entry_revision(const struct deployment *deployment, size_t entry)
{
    json_t *status = BlockingHttp_GetJson(
        Deployment_Address(deployment, "admin", entry), "/admin/status");
    int64_t revision =
        status != NULL
            ? json_integer_value(json_object_get(status, "revision"))
            : -1;
    json_decref(status);
    return revision;
}

static void
check_revisions(struct revision_monitor *monitor)
{
    for (size_t i = 0;
         i < Deployment_AddressCount(monitor->deployment, "admin"); i++) {
        int64_t revision = entry_revision(monitor->deployment, i);
        if (revision <= 0) {
            continue; // unreachable, or started and without a revision yet
        }
        const char *address =
            Deployment_Address(monitor->deployment, "admin", i);
        int64_t last_revision = GPOINTER_TO_SIZE(
            g_hash_table_lookup(monitor->last_revision, address));
        monitor->n_checks++;
        if (revision < last_revision) {
            monitor->decreases++;
            printf("  revision of %s decreased from %lld to %lld\n", address,
                   (long long)last_revision, (long long)revision);
        }
        g_hash_table_replace(monitor->last_revision, g_strdup(address),
                             GSIZE_TO_POINTER((gsize)revision));
    }
}

static gpointer
poll_revisions(gpointer context)
{
    struct revision_monitor *monitor = context;
    while (!g_atomic_int_get(&monitor->stop_requested)) {
        check_revisions(monitor);
        g_usleep(REVISION_POLL_US);
    }
    return NULL;
}

void
RevisionMonitor_Start(struct revision_monitor *monitor)
{
    monitor->thread = g_thread_new("revisions", poll_revisions, monitor);
}

void
RevisionMonitor_Stop(struct revision_monitor *monitor)
{
    g_atomic_int_set(&monitor->stop_requested, 1);
    g_thread_join(monitor->thread);
}

/// @param[out] checked number of entries and targets
/// @return how many of them aren't at revision `expected`.
static int
count_behind(const struct deployment *deployment, int64_t expected,
             int *checked)
{
    int behind = 0;
    *checked = 0;
    for (size_t i = 0; i < Deployment_AddressCount(deployment, "admin"); i++) {
        behind += entry_revision(deployment, i) != expected;
        (*checked)++;
    }
    json_t *status = BlockingHttp_GetJson(
        Deployment_Address(deployment, "admin", 0), "/admin/status");
    const json_t *targets = json_object_get(status, "targets");
    for (size_t i = 0; i < json_array_size(targets); i++) {
        behind += json_integer_value(json_object_get(
                      json_array_get(targets, i), "revision")) != expected;
        (*checked)++;
    }
    json_decref(status);
    return behind;
}

static int
check_rollout(const struct deployment *deployment)
{
    int64_t expected = 0;
    json_t *head =
        BlockingHttp_GetJson(Deployment_Address(deployment, "platform", 0),
                             "/apis/coriandermoor.io/v1/configheads/current");
    expected = json_integer_value(
        json_object_get(json_object_get(head, "spec"), "revision"));
    json_decref(head);
    struct timespec start = CmClock_Now(CmClock_System());
    int checked = 0;
    int behind = 1;
    while (behind > 0 && CmTime_DiffMs(CmClock_Now(CmClock_System()), start) <
                             ROLLOUT_TIMEOUT_MS) {
        behind = count_behind(deployment, expected, &checked);
        g_usleep(ROLLOUT_POLL_US);
    }
    return print_invariant("the accepted revision is in force within 5 s",
                           checked, behind);
}

static void
print_loss_by_fault(const struct sender *sender,
                    const struct fault_injector *injector)
{
    printf("\nshare of requests without a complete response, by concurrent "
           "fault:\n");
    for (int kind = 0; kind < FAULT_KIND_COUNT; kind++) {
        int affected = 0;
        int incomplete = 0;
        int faults = 0;
        for (guint j = 0; j < injector->faults->len; j++) {
            const struct fault *f =
                &g_array_index(injector->faults, struct fault, j);
            if (f->kind != (enum fault_kind)kind) {
                continue;
            }
            faults++;
            for (guint i = 0; i < sender->results->len; i++) {
                const struct result *r =
                    &g_array_index(sender->results, struct result, i);
                if (overlaps(f, r)) {
                    affected++;
                    incomplete += r->outcome != RESULT_RAN || r->truncated;
                }
            }
        }
        if (faults > 0) {
            printf("  %-28s %3d times, %6d requests, %5.2f %%\n",
                   FaultKind_Name((enum fault_kind)kind), faults, affected,
                   affected > 0 ? 100.0 * incomplete / affected : 0);
        }
    }
}

int
Invariants_Check(const struct sender *sender,
                 const struct fault_injector *injector,
                 const struct revision_monitor *monitor)
{
    struct executions executions;
    executions_load(&executions, injector->deployment);
    int counts[4] = {0};
    for (guint i = 0; i < sender->results->len; i++) {
        counts[g_array_index(sender->results, struct result, i).outcome]++;
    }
    printf(
        "\n%u results: %d ran, %d not-run, %d unknown, %d none; %u faults\n",
        sender->results->len, counts[0], counts[1], counts[2], counts[3],
        injector->faults->len);
    int violations = 0;
    violations += check_answers(sender);
    violations += check_evictions(injector->deployment);
    violations += check_not_run(sender, &executions);
    violations += check_at_most_once(&executions);
    violations += check_resends(sender);
    violations += check_draining(injector, &executions);
    violations += check_planned_stops(sender, injector);
    violations += print_invariant("one of two conflicting applies is rejected",
                                  injector->conflict_pairs,
                                  injector->conflict_pairs_both_accepted);
    violations += print_invariant("the revision of an entry never decreases",
                                  monitor->n_checks, monitor->decreases);
    violations += check_rollout(injector->deployment);
    print_loss_by_fault(sender, injector);
    executions_free(&executions);
    return violations;
}
