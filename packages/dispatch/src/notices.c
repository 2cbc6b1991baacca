/// @file notices.c
/// What targets say of themselves in their responses.
///
/// A notice belongs to an incarnation, not to an entry of the table: entries
/// expire while the store is away and are written again, also from an older
/// copy of the store.

#include "dispatch/notices.h"

#include <inttypes.h>

#include "base/clock.h"

/// Time after its last word for which an incarnation without an entry is
/// remembered: longer than the store keeps copies.
#define NOTICE_KEPT_MS ((int64_t)60 * 60 * 1000)
/// Longest random time that a gateway adds to a pause.
#define PAUSE_SPREAD_MS 300

static void
notice_clear(void *value)
{
    struct cm_notice *notice = value;
    g_free(notice->id);
    g_free(notice->incarnation);
}

static void
notice_unref(void *value)
{
    g_rc_box_release_full(value, notice_clear);
}

static char *
incarnation_key(const struct cm_live_target *target)
{
    return g_strdup_printf("%s/%" PRId64, target->id, target->started_ms);
}

void
CmNotices_Init(struct cm_targets *targets)
{
    targets->notices =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, notice_unref);
}

void
CmNotices_Finish(struct cm_targets *targets)
{
    g_hash_table_destroy(targets->notices);
}

/// @return the notice kept under the id of a target that was not listed yet,
/// which becomes that of its incarnation, or NULL.
static struct cm_notice *
take_unlisted(const struct cm_targets *targets,
              const struct cm_live_target *target)
{
    struct cm_notice *notice =
        g_hash_table_lookup(targets->notices, target->id);
    if (notice != NULL) {
        g_rc_box_acquire(notice);
        g_hash_table_remove(targets->notices, target->id);
        g_free(notice->incarnation);
        notice->incarnation = incarnation_key(target);
        g_hash_table_insert(targets->notices, notice->incarnation, notice);
    }
    return notice;
}

void
CmNotices_Attach(const struct cm_targets *targets,
                 struct cm_live_target *target)
{
    if (target->notice != NULL) {
        return;
    }
    char *incarnation = incarnation_key(target);
    struct cm_notice *notice =
        g_hash_table_lookup(targets->notices, incarnation);
    g_free(incarnation);
    if (notice == NULL) {
        notice = take_unlisted(targets, target);
    }
    if (notice != NULL) {
        target->notice = g_rc_box_acquire(notice);
        notice->listed = true;
    }
}

void
CmNotices_Detach(struct cm_live_target *target)
{
    if (target->notice != NULL) {
        notice_unref(target->notice);
        target->notice = NULL;
    }
}

/// @return the entry of a notice's incarnation in the table, or NULL.
static struct cm_live_target *
find_target(const struct cm_targets *targets, const struct cm_notice *notice)
{
    struct cm_live_target *target = CmTargets_Find(targets, notice->id);
    return target != NULL && target->notice == notice ? target : NULL;
}

/// @return the notice of the target's incarnation, added if there is none.
static struct cm_notice *
find_or_add(struct cm_targets *targets, struct cm_live_target *target,
            struct timespec now)
{
    CmNotices_Attach(targets, target);
    if (target->notice == NULL) {
        target->notice = g_rc_box_new0(struct cm_notice);
        target->notice->id = g_strdup(target->id);
        target->notice->listed = true;
        target->notice->incarnation = incarnation_key(target);
        g_hash_table_insert(targets->notices, target->notice->incarnation,
                            g_rc_box_acquire(target->notice));
    }
    // The response may be to an entry that has been replaced meanwhile.
    struct cm_live_target *current = CmTargets_Find(targets, target->id);
    if (current != NULL) {
        CmNotices_Attach(targets, current);
    }
    target->notice->heard = now;
    return target->notice;
}

bool
CmNotices_AddLeaving(struct cm_targets *targets, struct cm_live_target *target,
                     struct timespec now)
{
    struct cm_notice *notice = find_or_add(targets, target, now);
    if (notice->leaving) {
        return false;
    }
    notice->leaving = true;
    notice->leaving_since = now;
    return true;
}

bool
CmNotices_AddPause(struct cm_targets *targets, struct cm_live_target *target,
                   int64_t pause_ms, double draw, struct timespec now)
{
    if (pause_ms <= 0) {
        return false;
    }
    struct cm_notice *notice = find_or_add(targets, target, now);
    int64_t spread_ms = MIN(pause_ms, PAUSE_SPREAD_MS);
    struct timespec until =
        CmTime_AddMs(now, pause_ms + (int64_t)(draw * (double)spread_ms));
    if (CmTime_Before(notice->paused_until, until)) {
        notice->paused_until = until;
    }
    bool begins = !notice->pausing;
    if (begins) {
        notice->pausing = true;
        notice->pause_began = now;
    }
    return begins;
}

bool
CmNotices_AddLeavingById(struct cm_targets *targets, const char *id,
                         struct timespec now)
{
    struct cm_live_target *target = CmTargets_Find(targets, id);
    if (target != NULL) {
        return CmNotices_AddLeaving(targets, target, now);
    }
    bool known = g_hash_table_contains(targets->notices, id);
    if (!known) {
        struct cm_notice *notice = g_rc_box_new0(struct cm_notice);
        notice->id = g_strdup(id);
        notice->incarnation = g_strdup(id);
        notice->leaving = true;
        notice->leaving_since = now;
        notice->heard = now;
        g_hash_table_insert(targets->notices, notice->incarnation, notice);
    }
    return !known;
}

static bool
is_paused(const struct cm_live_target *target, struct timespec now)
{
    return target->notice != NULL &&
           CmTime_Before(now, target->notice->paused_until);
}

int64_t
CmNotices_PauseLeftMs(const struct cm_targets *targets, const char *service,
                      bool needs_model, struct timespec now)
{
    const GPtrArray *of_service =
        CmTargetIndex_OfService(&targets->index, service);
    int64_t least_ms = 0;
    for (guint i = 0; of_service != NULL && i < of_service->len; i++) {
        const struct cm_live_target *target = g_ptr_array_index(of_service, i);
        if (CmTarget_IsLeaving(target) ||
            (needs_model && !target->has_model)) {
            continue;
        }
        if (!is_paused(target, now)) {
            return 0;
        }
        int64_t left_ms =
            MAX(CmTime_DiffMs(target->notice->paused_until, now), 1);
        least_ms = least_ms == 0 ? left_ms : MIN(least_ms, left_ms);
    }
    return least_ms;
}

bool
CmTarget_IsLeaving(const struct cm_live_target *target)
{
    return target->draining ||
           (target->notice != NULL && target->notice->leaving);
}

bool
CmTarget_MayGetWork(const struct cm_live_target *target, struct timespec now)
{
    return !target->removed && !CmTarget_IsLeaving(target) &&
           !is_paused(target, now);
}

void
CmNotices_ForEach(struct cm_targets *targets,
                  void (*visit)(void *context, struct cm_notice *notice,
                                struct cm_live_target *target),
                  void *context)
{
    GHashTableIter iter;
    void *notice;
    g_hash_table_iter_init(&iter, targets->notices);
    while (g_hash_table_iter_next(&iter, NULL, &notice)) {
        visit(context, notice, find_target(targets, notice));
    }
}

void
CmNotices_Expire(struct cm_targets *targets, struct timespec now)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, targets->notices);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct cm_notice *notice = value;
        if (find_target(targets, notice) == NULL &&
            CmTime_DiffMs(now, notice->heard) > NOTICE_KEPT_MS) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
