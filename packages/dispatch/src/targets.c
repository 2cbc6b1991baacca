/// @file targets.c
/// Table of the targets with their load, failures and adapters.

#include "dispatch/targets.h"

#include <math.h>
#include <stdlib.h>
#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "dispatch/notices.h"

/// Lost attempts in a row after which a target is ejected.
#define EJECT_FAILURES 3
/// Time for which a target is ejected: a crashed one needs seconds to restart.
#define EJECT_MS 2000
/// Weight of one outcome in a target's failure ratio, and the ratio's
/// half-life: a few failures raise it clearly, and a few seconds lower it
/// again.
#define FAILURE_WEIGHT 0.25
#define FAILURE_HALF_LIFE_MS 3000.0
/// Age at which a reported load no longer counts: several service times.
#define LOAD_REPORT_MAX_AGE_MS 1000

void
CmTargets_Init(struct cm_targets *targets, const char *zone, int agent_port)
{
    *targets = (struct cm_targets){.zone = zone, .agent_port = agent_port};
    LIST_INIT(&targets->list);
    CmTargetIndex_Init(&targets->index);
    CmNotices_Init(targets);
    targets->versions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
remove_target(struct cm_targets *targets, struct cm_live_target *target)
{
    LIST_REMOVE(target, link);
    CmTargetIndex_Remove(&targets->index, target);
    targets->count--;
    target->table = NULL;
    target->removed = true;
    CmTarget_Unref(target);
}

void
CmTargets_Finish(struct cm_targets *targets)
{
    g_hash_table_destroy(targets->versions);
    struct cm_live_target *target;
    while ((target = LIST_FIRST(&targets->list)) != NULL) {
        remove_target(targets, target);
    }
    CmTargetIndex_Finish(&targets->index);
    CmNotices_Finish(targets);
}

struct cm_live_target *
CmTarget_Ref(struct cm_live_target *target)
{
    target->references++;
    return target;
}

void
CmTarget_Unref(struct cm_live_target *target)
{
    if (--target->references > 0) {
        return;
    }
    CmNotices_Detach(target);
    g_free(target->id);
    g_free(target->service);
    g_free(target->address);
    g_free(target->zone);
    g_free(target->software);
    g_free(target->agent_address);
    g_hash_table_destroy(target->copies);
    g_free(target);
}

struct cm_live_target *
CmTargets_Find(const struct cm_targets *targets, const char *id)
{
    return CmTargetIndex_Find(&targets->index, id);
}

static struct cm_live_target *
add_target(struct cm_targets *targets, const struct cm_target_info *info)
{
    struct cm_live_target *target = g_new0(struct cm_live_target, 1);
    target->references = 1;
    target->id = g_strdup(info->id);
    target->service = g_strdup(info->service);
    target->address = g_strdup(info->address);
    target->zone = g_strdup(info->zone);
    target->software = g_strdup(info->software != NULL ? info->software : "");
    size_t host = strcspn(info->address, ":");
    target->agent_address = g_strdup_printf(
        "%.*s:%d", (int)host, info->address, targets->agent_port);
    // Hash of the instance's address, not of the incarnation: adapter copies
    // on its disk and in its memory survive a restart of the engine.
    target->hash = CmHash_Text(info->address, 0);
    target->copies =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    target->started_ms = info->started_ms;
    target->is_engine = info->is_engine;
    target->table = targets;
    LIST_INSERT_HEAD(&targets->list, target, link);
    CmTargetIndex_Add(&targets->index, target);
    CmNotices_Attach(targets, target);
    targets->count++;
    return target;
}

/// @return whether the entry describes another target than the one of the same
/// id in the table.
static bool
is_different(const struct cm_live_target *target,
             const struct cm_target_info *info)
{
    return strcmp(target->address, info->address) != 0 ||
           strcmp(target->service, info->service) != 0 ||
           strcmp(target->software,
                  info->software != NULL ? info->software : "") != 0 ||
           (info->is_engine && !target->is_engine) ||
           target->started_ms != info->started_ms;
}

/// @return a target of another id at the same address that started later, or
/// NULL.
static struct cm_live_target *
find_successor(const struct cm_targets *targets,
               const struct cm_target_info *info)
{
    const GPtrArray *at_address =
        CmTargetIndex_AtAddress(&targets->index, info->address);
    for (guint i = 0; at_address != NULL && i < at_address->len; i++) {
        struct cm_live_target *target = g_ptr_array_index(at_address, i);
        if (target->started_ms > info->started_ms &&
            strcmp(target->id, info->id) != 0) {
            return target;
        }
    }
    return NULL;
}

/// Removes the targets whose address `successor` has taken over. They no
/// longer exist, although their entries in the platform's list have yet to
/// expire.
static void
remove_predecessors(struct cm_targets *targets,
                    const struct cm_live_target *successor)
{
    const GPtrArray *at_address =
        CmTargetIndex_AtAddress(&targets->index, successor->address);
    // The array is not freed in the loop, as it still contains the successor.
    for (guint i = at_address->len; i > 0; i--) {
        struct cm_live_target *target = g_ptr_array_index(at_address, i - 1);
        if (target->started_ms < successor->started_ms) {
            remove_target(targets, target);
        }
    }
}

struct cm_live_target *
CmTargets_Update(struct cm_targets *targets, const struct cm_target_info *info)
{
    struct cm_live_target *target = CmTargets_Find(targets, info->id);
    if (target != NULL && is_different(target, info)) {
        remove_target(targets, target);
        target = NULL;
    }
    if (find_successor(targets, info) != NULL) {
        if (target != NULL) {
            remove_target(targets, target);
        }
        return NULL;
    }
    bool is_new = target == NULL;
    if (is_new) {
        target = add_target(targets, info);
        remove_predecessors(targets, target);
    }
    target->is_new = is_new;
    target->same_zone = strcmp(info->zone, targets->zone) == 0;
    // Draining is final: a draining engine gets no new work any more.
    target->draining = target->draining || info->draining;
    // A model is never unloaded, and the list lags behind the agents' reports.
    target->has_model = target->has_model || info->has_model;
    target->max_requests = info->max_requests;
    target->listed = true;
    return target;
}

void
CmTargets_Remove(struct cm_targets *targets, const char *id)
{
    struct cm_live_target *target = CmTargets_Find(targets, id);
    if (target != NULL) {
        remove_target(targets, target);
    }
}

void
CmTargets_BeginList(struct cm_targets *targets)
{
    struct cm_live_target *target;
    CmList_FOREACH (target, &targets->list, link) {
        target->listed = false;
    }
}

size_t
CmTargets_EndList(struct cm_targets *targets)
{
    size_t removed = 0;
    struct cm_live_target *target;
    struct cm_live_target *next;
    CmList_FOREACH_SAFE (target, &targets->list, link, next) {
        if (!target->listed) {
            remove_target(targets, target);
            removed++;
        }
    }
    return removed;
}

static struct cm_adapter_copy *
add_copy(struct cm_live_target *target, const char *adapter)
{
    struct cm_adapter_copy *copy =
        g_hash_table_lookup(target->copies, adapter);
    if (copy == NULL) {
        copy = g_new0(struct cm_adapter_copy, 1);
        g_hash_table_insert(target->copies, g_strdup(adapter), copy);
        if (target->table != NULL) {
            CmTargetIndex_AddCopy(&target->table->index, adapter, target);
        }
    }
    return copy;
}

void
CmTarget_SetResident(struct cm_live_target *target, const char *adapter,
                     bool resident, struct timespec now)
{
    if (resident) {
        struct cm_adapter_copy *copy = add_copy(target, adapter);
        copy->resident = true;
        copy->last_resident = now;
        return;
    }
    struct cm_adapter_copy *copy =
        g_hash_table_lookup(target->copies, adapter);
    if (copy != NULL) {
        copy->resident = false;
    }
}

void
CmTarget_BeginAdapterList(struct cm_live_target *target)
{
    GHashTableIter iter;
    void *copy;
    g_hash_table_iter_init(&iter, target->copies);
    while (g_hash_table_iter_next(&iter, NULL, &copy)) {
        ((struct cm_adapter_copy *)copy)->listed = false;
    }
}

void
CmTarget_ListAdapter(struct cm_live_target *target, const char *adapter,
                     struct timespec now)
{
    struct cm_adapter_copy *copy = add_copy(target, adapter);
    copy->listed = true;
    copy->resident = true;
    copy->last_resident = now;
}

void
CmTarget_EndAdapterList(struct cm_live_target *target, struct timespec now)
{
    GHashTableIter iter;
    void *adapter;
    void *value;
    g_hash_table_iter_init(&iter, target->copies);
    while (g_hash_table_iter_next(&iter, &adapter, &value)) {
        struct cm_adapter_copy *copy = value;
        int64_t age_ms = CmTime_DiffMs(now, copy->last_resident);
        if (!copy->listed && age_ms > CM_COPY_FRESH_MS) {
            copy->resident = false;
        }
        if (age_ms > CM_COPY_WARM_MS) {
            if (target->table != NULL) {
                CmTargetIndex_RemoveCopy(&target->table->index, adapter,
                                         target);
            }
            g_hash_table_iter_remove(&iter);
        }
    }
}

const struct cm_adapter_copy *
CmTarget_AdapterCopy(const struct cm_live_target *target, const char *adapter)
{
    return g_hash_table_lookup(target->copies, adapter);
}

void
CmTargets_SetVersion(struct cm_targets *targets, const char *adapter,
                     int64_t version)
{
    int64_t *known = g_hash_table_lookup(targets->versions, adapter);
    if (known == NULL) {
        known = g_new0(int64_t, 1);
        g_hash_table_insert(targets->versions, g_strdup(adapter), known);
    }
    *known = MAX(*known, version);
}

int64_t
CmTargets_Version(const struct cm_targets *targets, const char *adapter)
{
    const int64_t *known = g_hash_table_lookup(targets->versions, adapter);
    return known != NULL ? *known : 0;
}

void
CmTarget_SetReportedLoad(struct cm_live_target *target, int64_t running,
                         int64_t waiting, struct timespec now)
{
    target->reported_requests = running + waiting;
    target->in_flight_at_report = target->in_flight;
    target->reported_at = now;
}

double
CmTarget_Load(const struct cm_live_target *target, struct timespec now)
{
    int64_t age_ms = CmTime_DiffMs(now, target->reported_at);
    if (target->reported_at.tv_sec == 0 || age_ms > LOAD_REPORT_MAX_AGE_MS) {
        return (double)target->in_flight;
    }
    // The load from other gateways counts less as the report ages.
    double others = (double)MAX(
        target->reported_requests - target->in_flight_at_report, 0);
    double weight = 1.0 - (double)age_ms / LOAD_REPORT_MAX_AGE_MS;
    return (double)target->in_flight + others * weight;
}

size_t
CmTargets_CountSlow(const struct cm_targets *targets, struct timespec now)
{
    size_t slow = 0;
    const struct cm_live_target *target;
    CmList_FOREACH (target, &targets->list, link) {
        slow += CmPace_Factor(&target->pace, now) >= CM_PACE_SLOW_FACTOR;
    }
    return slow;
}

double
CmTarget_BacklogMs(const struct cm_live_target *target, struct timespec now)
{
    double age_ms =
        (double)CmTime_DiffMs(now, target->agent_report.received_at);
    return MAX(target->agent_report.backlog_ms - age_ms, 0);
}

void
CmTarget_AddPrompt(struct cm_live_target *target, int64_t tokens,
                   struct timespec now)
{
    double previous = CmTarget_BacklogMs(target, now);
    double age_ms =
        (double)CmTime_DiffMs(now, target->agent_report.received_at);
    // Stored as of the time of the agent's report, as the rest of it.
    target->agent_report.backlog_ms =
        previous + age_ms + (double)tokens / CM_PREFILL_TOKENS_PER_MS;
}

double
CmTarget_FailureRatio(const struct cm_live_target *target, struct timespec now)
{
    double age_ms = (double)CmTime_DiffMs(now, target->last_outcome_at);
    return target->failure_ratio * exp2(-age_ms / FAILURE_HALF_LIFE_MS);
}

static void
count_outcome(struct cm_live_target *target, bool failed, struct timespec now)
{
    double previous = CmTarget_FailureRatio(target, now);
    target->failure_ratio =
        previous + FAILURE_WEIGHT * ((failed ? 1 : 0) - previous);
    target->last_outcome_at = now;
}

void
CmTarget_CountAnswer(struct cm_live_target *target, bool failed,
                     struct timespec now)
{
    target->consecutive_failures = 0;
    count_outcome(target, failed, now);
}

void
CmTarget_CountLost(struct cm_live_target *target, struct timespec now)
{
    count_outcome(target, true, now);
    if (++target->consecutive_failures >= EJECT_FAILURES) {
        target->ejected_until = CmTime_AddMs(now, EJECT_MS);
        target->consecutive_failures = EJECT_FAILURES - 1;
    }
}

void
CmTarget_CountAbsent(struct cm_live_target *target, struct timespec now)
{
    target->ejected_until = CmTime_AddMs(now, EJECT_MS);
}

void
CmTarget_WriteIncarnation(const struct cm_live_target *target, char *name,
                          size_t size)
{
    g_snprintf(name, size, "%s/%" PRId64, target->id, target->started_ms);
}
