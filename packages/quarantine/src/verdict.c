/// @file verdict.c
/// Attributes crashes to contents.

#include "quarantine/verdict.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/// Runs whose times overlap by no more than this count as consecutive, as
/// processes learn each other's times by messages.
#define OVERLAP_TOLERANCE_MS 5

/// Crashes of two targets within this time may have one cause, such as a rack.
#define SAME_MOMENT_MS 100

/// The end of one target, from the records of all that observed it.
struct crash {
    const char *target;
    struct timespec at;
    bool explained; ///< a refused content ran in it
};

/// What a crash counts against a content, twice as much if the run had just
/// started as if the target ended late in it.
#define EARLY_WEIGHT CM_VERDICT_CRASH_WEIGHT
#define LATE_WEIGHT 1

/// Part of one content in one crash.
struct involvement {
    struct crash *crash;
    int weight;
    struct timespec from; ///< when the run was sent
    struct timespec to;   ///< when the target ended
    bool trial;           ///< the content ran alone
};

/// A suspect with its crashes, ordered by time.
struct candidate {
    struct cm_suspect *suspect;
    GArray *involvements; ///< of struct involvement
    int weight;           ///< of its unexplained crashes
};

static void
candidate_free(void *data)
{
    struct candidate *candidate = data;
    g_array_free(candidate->involvements, TRUE);
    g_free(candidate);
}

/// Working state of one computation.
struct evaluation {
    int threshold;          ///< weight from which on a content is refused
    int min_records;        ///< of a content to be a suspect
    GHashTable *counts;     ///< content to the number of its crash records
    GHashTable *alive;      ///< target to the time of its last response
    GHashTable *cleared;    ///< content to the end of its last good run
    GHashTable *crashes;    ///< target to struct crash
    GHashTable *candidates; ///< content to struct candidate
    GHashTable *suspects;   ///< result
};

static void
keep_latest(GHashTable *times, const char *key, const struct timespec *at)
{
    const struct timespec *known = g_hash_table_lookup(times, key);
    if (known == NULL || CmTime_Before(*known, *at)) {
        g_hash_table_replace(times, (void *)key, (void *)at);
    }
}

/// @return whether `times` has a time for `key` that is not before `at`.
static bool
is_superseded(GHashTable *times, const char *key, struct timespec at)
{
    const struct timespec *known = g_hash_table_lookup(times, key);
    return known != NULL && !CmTime_Before(*known, at);
}

static void
collect_clearances(struct evaluation *evaluation,
                   const struct cm_crash_records *records)
{
    const struct cm_crash_record *record;
    CmTailq_FOREACH (record, records, link) {
        if (record->kind == CM_CRASH_RECORD_ALIVE) {
            keep_latest(evaluation->alive, record->target, &record->at);
        }
        else if (record->kind == CM_CRASH_RECORD_COMPLETED ||
                 record->kind == CM_CRASH_RECORD_LIFTED) {
            for (size_t i = 0; i < record->n_runs; i++) {
                keep_latest(evaluation->cleared, record->runs[i].content,
                            &record->at);
            }
        }
    }
}

static struct crash *
find_or_add_crash(struct evaluation *evaluation, const char *target,
                  struct timespec at)
{
    struct crash *crash = g_hash_table_lookup(evaluation->crashes, target);
    if (crash == NULL) {
        crash = g_new0(struct crash, 1);
        crash->target = target;
        crash->at = at;
        g_hash_table_insert(evaluation->crashes, (void *)target, crash);
    }
    return crash;
}

static struct candidate *
find_or_add_candidate(struct evaluation *evaluation, const char *content)
{
    struct candidate *candidate =
        g_hash_table_lookup(evaluation->candidates, content);
    if (candidate == NULL) {
        candidate = g_new0(struct candidate, 1);
        candidate->suspect = g_new0(struct cm_suspect, 1);
        candidate->involvements =
            g_array_new(FALSE, FALSE, sizeof(struct involvement));
        g_strlcpy(candidate->suspect->content, content, CM_CONTENT_SIZE);
        g_hash_table_insert(evaluation->candidates, (void *)content,
                            candidate);
        g_hash_table_insert(evaluation->suspects, candidate->suspect->content,
                            candidate->suspect);
    }
    return candidate;
}

/// Adds `observer` to the suspect's list, once.
static void
name_observer(struct cm_suspect *suspect, const char *observer)
{
    if (strstr(suspect->observers, observer) != NULL) {
        return;
    }
    if (suspect->observers[0] != '\0') {
        g_strlcat(suspect->observers, ",", sizeof(suspect->observers));
    }
    g_strlcat(suspect->observers, observer, sizeof(suspect->observers));
}

static void
add_run(struct evaluation *evaluation, const struct cm_crash_record *record,
        const struct cm_crash_run *run)
{
    if (GPOINTER_TO_INT(g_hash_table_lookup(
            evaluation->counts, run->content)) < evaluation->min_records ||
        is_superseded(evaluation->cleared, run->content, record->at)) {
        return;
    }
    struct crash *crash =
        find_or_add_crash(evaluation, record->target, record->at);
    struct candidate *candidate =
        find_or_add_candidate(evaluation, run->content);
    struct cm_suspect *suspect = candidate->suspect;
    struct involvement involvement = {
        crash, run->late ? LATE_WEIGHT : EARLY_WEIGHT,
        CmTime_AddMs(record->at, -run->ran_ms), record->at, run->trial};
    name_observer(suspect, record->observer);
    if (CmTime_Before(suspect->last_crash, record->at)) {
        suspect->last_crash = record->at;
    }
    for (guint i = 0; i < candidate->involvements->len; i++) {
        struct involvement *known =
            &g_array_index(candidate->involvements, struct involvement, i);
        if (known->crash == crash) {
            suspect->trial_crashes += run->trial && !known->trial;
            known->trial = known->trial || run->trial;
            return;
        }
    }
    g_array_append_val(candidate->involvements, involvement);
    suspect->crashes++;
    suspect->trial_crashes += run->trial;
}

/// Counts the trials since the content last completed.
static void
collect_trials(struct evaluation *evaluation,
               const struct cm_crash_records *records)
{
    const struct cm_crash_record *record;
    CmTailq_FOREACH (record, records, link) {
        bool granted = record->kind == CM_CRASH_RECORD_TRIAL;
        if ((!granted && record->kind != CM_CRASH_RECORD_UNUSED) ||
            record->n_runs == 0) {
            continue;
        }
        const char *content = record->runs[0].content;
        struct cm_suspect *suspect =
            g_hash_table_lookup(evaluation->suspects, content);
        if (suspect != NULL &&
            !is_superseded(evaluation->cleared, content, record->at)) {
            suspect->trials += granted ? 1 : -1;
            suspect->late_grants +=
                granted && CmTime_DiffMs(record->at, suspect->last_crash) >=
                               CM_CONTACT_MS;
            if (granted && CmTime_Before(suspect->last_trial, record->at)) {
                suspect->last_trial = record->at;
            }
        }
    }
}

static void
collect_crashes(struct evaluation *evaluation,
                const struct cm_crash_records *records)
{
    const struct cm_crash_record *record;
    CmTailq_FOREACH (record, records, link) {
        if (record->kind != CM_CRASH_RECORD_CRASH ||
            is_superseded(evaluation->alive, record->target, record->at)) {
            continue;
        }
        find_or_add_crash(evaluation, record->target, record->at);
        for (size_t i = 0; i < record->n_runs; i++) {
            add_run(evaluation, record, &record->runs[i]);
        }
    }
}

static int
compare_ends(const void *a, const void *b)
{
    const struct involvement *left = a;
    const struct involvement *right = b;
    if (CmTime_Before(left->to, right->to)) {
        return -1;
    }
    return CmTime_Before(right->to, left->to) ? 1 : 0;
}

static int
compare_candidates(const void *a, const void *b)
{
    const struct candidate *left = *(struct candidate *const *)a;
    const struct candidate *right = *(struct candidate *const *)b;
    if (left->involvements->len != right->involvements->len) {
        return left->involvements->len > right->involvements->len ? -1 : 1;
    }
    return strcmp(left->suspect->content, right->suspect->content);
}

static bool
was_in(const struct candidate *candidate, const struct crash *crash)
{
    for (guint i = 0; i < candidate->involvements->len; i++) {
        if (g_array_index(candidate->involvements, struct involvement, i)
                .crash == crash) {
            return true;
        }
    }
    return false;
}

/// @return whether another candidate, in as many crashes as this one, may have
/// caused the crash.
static bool
is_ambiguous(const struct candidate *candidate, const struct crash *crash,
             const GPtrArray *others)
{
    for (guint i = 0; others != NULL && i < others->len; i++) {
        const struct candidate *other = g_ptr_array_index(others, i);
        if (other != candidate && !other->suspect->refused &&
            other->weight >= candidate->weight && was_in(other, crash)) {
            return true;
        }
    }
    return false;
}

/// @return the weight of a candidate's unexplained crashes. Those with
/// overlapping runs count once, those that one of `others` may have caused not
/// at all.
static int
weigh_crashes(const struct candidate *candidate, const GPtrArray *others)
{
    int weight = 0;
    struct timespec last_end = {0};
    for (guint i = 0; i < candidate->involvements->len; i++) {
        const struct involvement *involvement =
            &g_array_index(candidate->involvements, struct involvement, i);
        if (involvement->crash->explained ||
            is_ambiguous(candidate, involvement->crash, others)) {
            continue;
        }
        if (weight == 0 || CmTime_DiffMs(last_end, involvement->from) <=
                               OVERLAP_TOLERANCE_MS) {
            weight += involvement->weight;
            last_end = involvement->to;
        }
    }
    return weight;
}

/// @return the crashes of the candidate that no refused content explains.
static int
count_unexplained(const struct candidate *candidate)
{
    int n = 0;
    for (guint i = 0; i < candidate->involvements->len; i++) {
        n += !g_array_index(candidate->involvements, struct involvement, i)
                  .crash->explained;
    }
    return n;
}

/// @return whether a target without the candidate crashed at the same moment.
static bool
others_crashed_with(const struct evaluation *evaluation,
                    const struct candidate *candidate, struct timespec at)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, evaluation->crashes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct crash *crash = value;
        if (llabs(CmTime_DiffMs(crash->at, at)) <= SAME_MOMENT_MS &&
            !was_in(candidate, crash)) {
            return true;
        }
    }
    return false;
}

/// @return whether a target crashed while the candidate was tried alone, and
/// nothing else explains that.
static bool
failed_trial(const struct evaluation *evaluation,
             const struct candidate *candidate)
{
    for (guint i = 0; i < candidate->involvements->len; i++) {
        const struct involvement *involvement =
            &g_array_index(candidate->involvements, struct involvement, i);
        if (involvement->trial && !involvement->crash->explained &&
            !others_crashed_with(evaluation, candidate, involvement->to)) {
            return true;
        }
    }
    return false;
}

static void
refuse(struct candidate *candidate)
{
    candidate->suspect->refused = true;
    for (guint i = 0; i < candidate->involvements->len; i++) {
        g_array_index(candidate->involvements, struct involvement, i)
            .crash->explained = true;
    }
}

/// Refuses one more content, if any is due.
/// @param repeated the candidates with enough crashes to be refused.
static bool
refuse_next(const struct evaluation *evaluation, const GPtrArray *repeated)
{
    for (guint i = 0; i < repeated->len; i++) {
        struct candidate *candidate = g_ptr_array_index(repeated, i);
        if (!candidate->suspect->refused) {
            candidate->weight = weigh_crashes(candidate, NULL);
        }
    }
    for (guint i = 0; i < repeated->len; i++) {
        struct candidate *candidate = g_ptr_array_index(repeated, i);
        if (!candidate->suspect->refused &&
            (failed_trial(evaluation, candidate) ||
             weigh_crashes(candidate, repeated) >= evaluation->threshold)) {
            refuse(candidate);
            return true;
        }
    }
    return false;
}

static void
refuse_all(const struct evaluation *evaluation)
{
    GPtrArray *repeated = g_ptr_array_new();
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, evaluation->candidates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct candidate *candidate = value;
        g_array_sort(candidate->involvements, compare_ends);
        candidate->weight = weigh_crashes(candidate, NULL);
        if (candidate->weight >= evaluation->threshold ||
            failed_trial(evaluation, candidate)) {
            g_ptr_array_add(repeated, candidate);
        }
    }
    // Which of two contents is refused must not depend on the table's order.
    g_ptr_array_sort(repeated, compare_candidates);
    while (refuse_next(evaluation, repeated)) {
    }
    g_hash_table_iter_init(&iter, evaluation->candidates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct candidate *candidate = value;
        struct cm_suspect *suspect = candidate->suspect;
        suspect->weight = weigh_crashes(candidate, repeated);
        suspect->on_trial =
            !suspect->refused && count_unexplained(candidate) * EARLY_WEIGHT >=
                                     evaluation->threshold;
    }
    g_ptr_array_free(repeated, TRUE);
}

GHashTable *
CmVerdict_Compute(const struct cm_crash_records *records, int crashes,
                  GHashTable *counts)
{
    struct evaluation evaluation = {
        .threshold = crashes * EARLY_WEIGHT,
        .min_records = crashes - 1,
        .counts = counts,
        .alive = g_hash_table_new(g_str_hash, g_str_equal),
        .cleared = g_hash_table_new(g_str_hash, g_str_equal),
        .crashes =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free),
        .candidates = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                            candidate_free),
        .suspects =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free),
    };
    collect_clearances(&evaluation, records);
    collect_crashes(&evaluation, records);
    collect_trials(&evaluation, records);
    refuse_all(&evaluation);
    g_hash_table_destroy(evaluation.candidates);
    g_hash_table_destroy(evaluation.crashes);
    g_hash_table_destroy(evaluation.cleared);
    g_hash_table_destroy(evaluation.alive);
    return evaluation.suspects;
}
