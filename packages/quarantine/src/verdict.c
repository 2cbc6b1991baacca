/// @file verdict.c
/// Attributes crashes to contents.

#include "verdict_defs.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "part_verdict.h"

/// Runs whose times overlap by no more than this count as consecutive, as
/// processes learn each other's times by messages.
#define OVERLAP_TOLERANCE_MS 5

#define WORD_BITS 64

/// Time after which the crash of a trial is taken for one of another cause, as
/// a content crashes a target when it starts to run. Only another trial
/// decides then.
#define LATE_TRIAL_MS 1000

static void
candidate_free(void *data)
{
    struct candidate *candidate = data;
    g_array_free(candidate->involvements, TRUE);
    g_free(candidate->seen);
    g_free(candidate);
}

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
        crash->number = g_hash_table_size(evaluation->crashes);
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
        candidate->seen = g_new0(uint64_t, evaluation->seen_words);
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

/// Records that the candidate's run in a known crash was its trial.
static void
mark_trial(struct candidate *candidate, const struct crash *crash)
{
    for (guint i = 0; i < candidate->involvements->len; i++) {
        struct involvement *known =
            &g_array_index(candidate->involvements, struct involvement, i);
        if (known->crash == crash) {
            candidate->suspect->trial_crashes += !known->trial;
            known->trial = true;
            return;
        }
    }
}

static void
add_run(struct evaluation *evaluation, const struct cm_crash_record *record,
        struct crash *crash, const struct cm_crash_run *run)
{
    if (GPOINTER_TO_INT(g_hash_table_lookup(
            evaluation->counts, run->content)) < evaluation->min_records ||
        is_superseded(evaluation->cleared, run->content, record->at)) {
        return;
    }
    struct candidate *candidate =
        find_or_add_candidate(evaluation, run->content);
    struct cm_suspect *suspect = candidate->suspect;
    struct involvement involvement = {
        crash, run->late ? LATE_WEIGHT : EARLY_WEIGHT,
        CmTime_AddMs(record->at, -run->ran_ms), record->at, run->trial};
    suspect->position = MAX(suspect->position, run->position);
    name_observer(suspect, record->observer);
    if (CmTime_Before(suspect->last_crash, record->at)) {
        suspect->last_crash = record->at;
    }
    if (CmCandidate_WasIn(candidate, crash)) {
        if (run->trial) {
            mark_trial(candidate, crash);
        }
        return;
    }
    candidate->seen[crash->number / WORD_BITS] |= UINT64_C(1)
                                                  << crash->number % WORD_BITS;
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
        struct crash *crash =
            find_or_add_crash(evaluation, record->target, record->at);
        for (size_t i = 0; i < record->n_runs; i++) {
            add_run(evaluation, record, crash, &record->runs[i]);
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

static void
sort_involvements(const struct evaluation *evaluation)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, evaluation->candidates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct candidate *candidate = value;
        g_array_sort(candidate->involvements, compare_ends);
    }
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

bool
CmCandidate_WasIn(const struct candidate *candidate, const struct crash *crash)
{
    return (candidate->seen[crash->number / WORD_BITS] >>
                crash->number % WORD_BITS &
            1) != 0;
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
            other->weight >= candidate->weight &&
            CmCandidate_WasIn(other, crash)) {
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

bool
CmCandidate_OthersCrashed(const struct evaluation *evaluation,
                          const struct candidate *candidate,
                          struct timespec at)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, evaluation->crashes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct crash *crash = value;
        if (llabs(CmTime_DiffMs(crash->at, at)) <= CM_SAME_MOMENT_MS &&
            !CmCandidate_WasIn(candidate, crash)) {
            return true;
        }
    }
    return false;
}

/// @return whether the target had run the content for long. When a silent
/// target crashed is unknown; such a run isn't marked as late.
static bool
is_late_trial(const struct involvement *involvement)
{
    return involvement->weight == LATE_WEIGHT &&
           CmTime_DiffMs(involvement->to, involvement->from) >= LATE_TRIAL_MS;
}

/// @return whether a target crashed soon after the candidate was sent alone,
/// and nothing else explains that.
static bool
failed_trial(const struct evaluation *evaluation,
             const struct candidate *candidate)
{
    for (guint i = 0; i < candidate->involvements->len; i++) {
        const struct involvement *involvement =
            &g_array_index(candidate->involvements, struct involvement, i);
        if (involvement->trial && !is_late_trial(involvement) &&
            !involvement->crash->explained &&
            !CmCandidate_OthersCrashed(evaluation, candidate,
                                       involvement->to)) {
            return true;
        }
    }
    return false;
}

void
CmCandidate_Refuse(struct candidate *candidate)
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
            CmCandidate_Refuse(candidate);
            return true;
        }
    }
    return false;
}

static void
judge_contents(const struct evaluation *evaluation)
{
    GPtrArray *repeated = g_ptr_array_new();
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, evaluation->candidates);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct candidate *candidate = value;
        if (candidate->suspect->position > 0) {
            continue;
        }
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
        if (suspect->position > 0) {
            continue;
        }
        suspect->weight = weigh_crashes(candidate, repeated);
        suspect->on_trial =
            !suspect->refused && count_unexplained(candidate) * EARLY_WEIGHT >=
                                     evaluation->threshold;
    }
    g_ptr_array_free(repeated, TRUE);
}

/// @return the number of crash records, which is at least that of crashes.
static size_t
count_crash_records(const struct cm_crash_records *records)
{
    size_t n = 0;
    const struct cm_crash_record *record;
    CmTailq_FOREACH (record, records, link) {
        n += record->kind == CM_CRASH_RECORD_CRASH;
    }
    return n;
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
    evaluation.seen_words = count_crash_records(records) / WORD_BITS + 1;
    collect_clearances(&evaluation, records);
    collect_crashes(&evaluation, records);
    collect_trials(&evaluation, records);
    sort_involvements(&evaluation);
    // Crashes that a refused part explains don't count for contents. A content
    // that its own part crashes is refused, too; it explains other parts only
    // after the part's verdict.
    CmPartVerdict_Refuse(&evaluation);
    judge_contents(&evaluation);
    CmPartVerdict_PutOnTrial(&evaluation);
    g_hash_table_destroy(evaluation.candidates);
    g_hash_table_destroy(evaluation.crashes);
    g_hash_table_destroy(evaluation.cleared);
    g_hash_table_destroy(evaluation.alive);
    return evaluation.suspects;
}
