/// @file part_verdict.c
/// Attributes crashes to parts of prompts.
///
/// A part that crashes targets does so in any request, and is never cleared,
/// as no target lives on after it began to write an answer on it. Sound parts
/// of the same requests are cleared by other requests that have them. So a
/// part is not refused by counting: it goes on trial, and the trial decides.
///
/// - Crashes of several targets at the same moment count once.
/// - Of the parts of one crash the most suspicious one goes on trial: the one
///   with the most crashes, and among equals the deepest, which the fewest
///   requests have. It shadows the others, whose requests go on.
/// - A part with explained or shadowed crashes goes on trial after one crash
///   more, which must be unexplained.
/// - A content that is on trial after as many crashes shadows them, too.
/// - A crashed trial doesn't decide while a more suspicious part was in it, or
///   a content that was tried at the same target.
/// - Parts that were in the same crashes, also in that of the trial, are only
///   refused together: the request that is tried may have the guilty part
///   beside the one that it is tried for. Each of them is on trial elsewhere.

#include "part_verdict.h"

#include <string.h>

#include "base/clock.h"

static int
count_moments(const struct candidate *part)
{
    int n = 0;
    struct timespec moment = {0};
    for (guint i = 0; i < part->involvements->len; i++) {
        struct timespec at =
            g_array_index(part->involvements, struct involvement, i).to;
        if (n == 0 || CmTime_DiffMs(at, moment) > CM_SAME_MOMENT_MS) {
            n++;
            moment = at;
        }
    }
    return n;
}

static int
compare_parts(const void *a, const void *b)
{
    const struct candidate *left = *(struct candidate *const *)a;
    const struct candidate *right = *(struct candidate *const *)b;
    if (left->weight != right->weight) {
        return right->weight - left->weight;
    }
    if (left->suspect->position != right->suspect->position) {
        return right->suspect->position - left->suspect->position;
    }
    return strcmp(left->suspect->content, right->suspect->content);
}

/// @return all parts, the most suspicious one first.
static GPtrArray *
rank_parts(const struct evaluation *evaluation)
{
    GPtrArray *parts = g_ptr_array_new();
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, evaluation->candidates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct candidate *candidate = value;
        if (candidate->suspect->position > 0) {
            candidate->weight = count_moments(candidate);
            candidate->suspect->weight = candidate->weight * EARLY_WEIGHT;
            g_ptr_array_add(parts, candidate);
        }
    }
    g_ptr_array_sort(parts, compare_parts);
    return parts;
}

/// @return whether both parts were in the same crashes.
static bool
is_companion(const struct candidate *left, const struct candidate *right)
{
    bool same = left->involvements->len == right->involvements->len;
    for (guint i = 0; same && i < left->involvements->len; i++) {
        same = CmCandidate_WasIn(
            right,
            g_array_index(left->involvements, struct involvement, i).crash);
    }
    return same;
}

/// @return whether a more suspicious part than the one at `rank`, other than
/// its companions, was in the crash.
static bool
is_outranked(const GPtrArray *parts, guint rank, const struct crash *crash)
{
    for (guint i = 0; i < rank; i++) {
        const struct candidate *other = g_ptr_array_index(parts, i);
        if (CmCandidate_WasIn(other, crash) &&
            !is_companion(other, g_ptr_array_index(parts, rank))) {
            return true;
        }
    }
    return false;
}

/// @return whether a content was tried at the target that crashed.
static bool
had_content_trial(const struct evaluation *evaluation,
                  const struct crash *crash)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, evaluation->candidates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct candidate *content = value;
        for (guint i = 0;
             content->suspect->position == 0 && i < content->involvements->len;
             i++) {
            const struct involvement *involvement =
                &g_array_index(content->involvements, struct involvement, i);
            if (involvement->trial && involvement->crash == crash) {
                return true;
            }
        }
    }
    return false;
}

/// @return whether a trial of the part at `rank` shows that it or one of its
/// companions crashes targets.
static bool
failed_trial(const struct evaluation *evaluation, const GPtrArray *parts,
             guint rank)
{
    const struct candidate *part = g_ptr_array_index(parts, rank);
    for (guint i = 0; i < part->involvements->len; i++) {
        const struct involvement *involvement =
            &g_array_index(part->involvements, struct involvement, i);
        if (involvement->trial && !involvement->crash->explained &&
            !is_outranked(parts, rank, involvement->crash) &&
            !had_content_trial(evaluation, involvement->crash) &&
            !CmCandidate_OthersCrashed(evaluation, part, involvement->to)) {
            return true;
        }
    }
    return false;
}

/// Refuses the part at `rank`, or requests that have it with its companions.
static void
refuse_with_companions(const GPtrArray *parts, guint rank)
{
    struct candidate *part = g_ptr_array_index(parts, rank);
    GPtrArray *group = g_ptr_array_new();
    for (guint i = 0; i < parts->len; i++) {
        if (is_companion(part, g_ptr_array_index(parts, i))) {
            g_ptr_array_add(group, g_ptr_array_index(parts, i));
        }
    }
    CmCandidate_Refuse(part);
    for (guint i = 0; group->len > 1 && i < group->len; i++) {
        struct cm_suspect *suspect =
            ((struct candidate *)g_ptr_array_index(group, i))->suspect;
        suspect->refused = false;
        suspect->on_trial = true;
        suspect->group = (int)rank + 1;
        suspect->group_size = (int)group->len;
    }
    g_ptr_array_free(group, TRUE);
}

void
CmPartVerdict_Refuse(const struct evaluation *evaluation)
{
    GPtrArray *parts = rank_parts(evaluation);
    for (guint i = 0; i < parts->len; i++) {
        if (failed_trial(evaluation, parts, i)) {
            refuse_with_companions(parts, i);
        }
    }
    g_ptr_array_free(parts, TRUE);
}

/// @param tried suspects that are on trial.
/// @return whether one of them may have caused the crash rather than the part.
static bool
is_shadowed(const struct crash *crash, const struct candidate *part,
            const GPtrArray *tried)
{
    for (guint i = 0; i < tried->len; i++) {
        const struct candidate *other = g_ptr_array_index(tried, i);
        if (other->involvements->len >= part->involvements->len &&
            CmCandidate_WasIn(other, crash)) {
            return true;
        }
    }
    return false;
}

/// @param tried contents, and more suspicious parts, that are on trial.
static bool
needs_trial(const struct evaluation *evaluation, const struct candidate *part,
            const GPtrArray *tried)
{
    guint unexplained = 0;
    for (guint i = 0; i < part->involvements->len; i++) {
        const struct crash *crash =
            g_array_index(part->involvements, struct involvement, i).crash;
        unexplained += !crash->explained && !is_shadowed(crash, part, tried);
    }
    int crashes = evaluation->threshold / EARLY_WEIGHT;
    bool all_unexplained = unexplained == part->involvements->len;
    return unexplained > 0 &&
           part->weight >= (all_unexplained ? crashes : crashes + 1);
}

/// @return the contents that are on trial.
static GPtrArray *
collect_tried_contents(const struct evaluation *evaluation)
{
    GPtrArray *tried = g_ptr_array_new();
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, evaluation->candidates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct candidate *candidate = value;
        if (candidate->suspect->position == 0 &&
            candidate->suspect->on_trial) {
            g_ptr_array_add(tried, value);
        }
    }
    return tried;
}

void
CmPartVerdict_PutOnTrial(const struct evaluation *evaluation)
{
    GPtrArray *parts = rank_parts(evaluation);
    GPtrArray *tried = collect_tried_contents(evaluation);
    for (guint i = 0; i < parts->len; i++) {
        struct candidate *part = g_ptr_array_index(parts, i);
        if (!part->suspect->refused && !part->suspect->on_trial &&
            needs_trial(evaluation, part, tried)) {
            part->suspect->on_trial = true;
            g_ptr_array_add(tried, part);
        }
    }
    g_ptr_array_free(tried, TRUE);
    g_ptr_array_free(parts, TRUE);
}
