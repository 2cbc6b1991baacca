/// @file quarantine.c
/// Merges crash records and keeps the verdicts up to date.

#include "quarantine/quarantine.h"

#include "base/clock.h"
#include "base/hash.h"

/// Records that one search for the oldest ones finds to drop.
#define DROPPABLE_MAX 64

void
CmQuarantine_Init(struct cm_quarantine *quarantine, int crashes,
                  const struct cm_quarantine_listener *listener, void *context)
{
    *quarantine = (struct cm_quarantine){
        .crashes = crashes, .listener = listener, .context = context};
    TAILQ_INIT(&quarantine->records);
    quarantine->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    quarantine->counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    quarantine->sizes = g_hash_table_new(NULL, NULL);
    quarantine->clearances = g_hash_table_new(g_str_hash, g_str_equal);
    quarantine->droppable = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    quarantine->suspects = CmVerdict_Compute(
        &quarantine->records, quarantine->crashes, quarantine->counts);
}

/// Counts the runs of a record that is added (1) or removed (-1).
static void
count_runs(struct cm_quarantine *quarantine,
           const struct cm_crash_record *record, int change)
{
    if (record->kind != CM_CRASH_RECORD_CRASH) {
        quarantine->outdated = true;
        return;
    }
    for (size_t i = 0; i < record->n_runs; i++) {
        const char *content = record->runs[i].content;
        int before =
            GPOINTER_TO_INT(g_hash_table_lookup(quarantine->counts, content));
        int after = before + change;
        if (MAX(before, after) >= quarantine->crashes - 1) {
            quarantine->outdated = true;
        }
        if (after > 0) {
            g_hash_table_replace(quarantine->counts, g_strdup(content),
                                 GINT_TO_POINTER(after));
        }
        else {
            g_hash_table_remove(quarantine->counts, content);
        }
    }
}

static bool
is_clearance(const struct cm_crash_record *record)
{
    return record->kind == CM_CRASH_RECORD_COMPLETED ||
           record->kind == CM_CRASH_RECORD_LIFTED;
}

/// Remembers what an added record clears. The table's keys are those of the
/// records that are its values.
static void
remember_clearances(struct cm_quarantine *quarantine,
                    struct cm_crash_record *record)
{
    for (size_t i = 0; is_clearance(record) && i < record->n_runs; i++) {
        char *content = record->runs[i].content;
        const struct cm_crash_record *known =
            g_hash_table_lookup(quarantine->clearances, content);
        if (known == NULL || CmTime_Before(known->at, record->at)) {
            g_hash_table_replace(quarantine->clearances, content, record);
        }
    }
}

/// Older records that clear the same contents have been dropped before.
static void
forget_clearances(struct cm_quarantine *quarantine,
                  const struct cm_crash_record *record)
{
    for (size_t i = 0; is_clearance(record) && i < record->n_runs; i++) {
        const char *content = record->runs[i].content;
        if (g_hash_table_lookup(quarantine->clearances, content) == record) {
            g_hash_table_remove(quarantine->clearances, content);
        }
    }
}

static void
remove_record(struct cm_quarantine *quarantine, struct cm_crash_record *record)
{
    TAILQ_REMOVE(&quarantine->records, record, link);
    g_hash_table_remove(quarantine->by_id, &record->id);
    quarantine->n_records--;
    quarantine->digest ^= record->id;
    count_runs(quarantine, record, -1);
    forget_clearances(quarantine, record);
    CmCrashRecord_Free(record);
}

void
CmQuarantine_Finish(struct cm_quarantine *quarantine)
{
    struct cm_crash_record *record;
    while ((record = TAILQ_FIRST(&quarantine->records)) != NULL) {
        remove_record(quarantine, record);
    }
    g_hash_table_destroy(quarantine->by_id);
    g_hash_table_destroy(quarantine->suspects);
    g_hash_table_destroy(quarantine->sizes);
    g_hash_table_destroy(quarantine->counts);
    g_hash_table_destroy(quarantine->clearances);
    g_array_free(quarantine->droppable, TRUE);
}

static const struct cm_suspect *
find_suspect(GHashTable *suspects, const char *content)
{
    char name[CM_CONTENT_SIZE];
    g_strlcpy(name, content, sizeof(name));
    return g_hash_table_lookup(suspects, name);
}

static bool
is_refused(GHashTable *suspects, const char *content)
{
    const struct cm_suspect *suspect = find_suspect(suspects, content);
    return suspect != NULL && suspect->refused;
}

/// Tells the listener of contents that are refused in `suspects`, but not in
/// `others`.
static size_t
report_changes(const struct cm_quarantine *quarantine, GHashTable *suspects,
               GHashTable *others, bool refused)
{
    size_t n_refused = 0;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, suspects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct cm_suspect *suspect = value;
        n_refused += suspect->refused;
        if (suspect->refused && quarantine->listener != NULL &&
            !is_refused(others, suspect->content)) {
            quarantine->listener->decided(quarantine->context, suspect,
                                          refused);
        }
    }
    return n_refused;
}

/// Counts the contents on trial and tells the listener of those that were not
/// on trial in `before`.
static void
report_on_trial(struct cm_quarantine *quarantine, GHashTable *before)
{
    quarantine->n_on_trial = 0;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, quarantine->suspects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct cm_suspect *suspect = value;
        const struct cm_suspect *known =
            find_suspect(before, suspect->content);
        quarantine->n_on_trial += suspect->on_trial;
        if (suspect->on_trial && quarantine->listener != NULL &&
            quarantine->listener->on_trial != NULL &&
            (known == NULL || !known->on_trial)) {
            quarantine->listener->on_trial(quarantine->context, suspect);
        }
    }
}

/// Collects the contents' sizes and counts the parts among the suspects.
static void
collect_sizes(struct cm_quarantine *quarantine)
{
    g_hash_table_remove_all(quarantine->sizes);
    quarantine->n_parts = 0;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, quarantine->suspects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct cm_suspect *suspect = value;
        size_t size = CmContentName_ContentSize(suspect->content);
        if (suspect->position > 0) {
            quarantine->n_parts++;
        }
        else {
            g_hash_table_add(quarantine->sizes, GSIZE_TO_POINTER(size));
        }
    }
}

void
CmQuarantine_Update(struct cm_quarantine *quarantine)
{
    if (!quarantine->outdated) {
        return;
    }
    quarantine->outdated = false;
    GHashTable *before = quarantine->suspects;
    quarantine->suspects = CmVerdict_Compute(
        &quarantine->records, quarantine->crashes, quarantine->counts);
    collect_sizes(quarantine);
    report_changes(quarantine, before, quarantine->suspects, false);
    quarantine->n_refused =
        report_changes(quarantine, quarantine->suspects, before, true);
    report_on_trial(quarantine, before);
    g_hash_table_destroy(before);
}

/// @return whether no later record clears one of the contents that the record
/// clears, whose crashes would count again without it.
static bool
clears_suspect(const struct cm_quarantine *quarantine,
               const struct cm_crash_record *record)
{
    for (size_t i = 0; is_clearance(record) && i < record->n_runs; i++) {
        const char *content = record->runs[i].content;
        const struct cm_crash_record *last =
            g_hash_table_lookup(quarantine->clearances, content);
        if (g_hash_table_contains(quarantine->counts, content) &&
            (last == NULL || last == record ||
             CmTime_Before(last->at, record->at))) {
            return true;
        }
    }
    return false;
}

static bool
supports_verdict(const struct cm_quarantine *quarantine,
                 const struct cm_crash_record *record)
{
    if (quarantine->n_refused + quarantine->n_on_trial == 0) {
        return false;
    }
    for (size_t i = 0; i < record->n_runs; i++) {
        const struct cm_suspect *suspect =
            g_hash_table_lookup(quarantine->suspects, record->runs[i].content);
        if (suspect != NULL && (suspect->refused || suspect->on_trial)) {
            return true;
        }
    }
    return false;
}

static bool
is_kept(const struct cm_quarantine *quarantine,
        const struct cm_crash_record *record)
{
    return supports_verdict(quarantine, record) ||
           clears_suspect(quarantine, record);
}

static int
compare_ages(const void *a, const void *b)
{
    const struct cm_crash_record *left = *(struct cm_crash_record *const *)a;
    const struct cm_crash_record *right = *(struct cm_crash_record *const *)b;
    if (CmTime_Before(left->at, right->at)) {
        return -1;
    }
    return CmTime_Before(right->at, left->at) ? 1 : 0;
}

static void
collect_droppable(struct cm_quarantine *quarantine)
{
    GPtrArray *found = g_ptr_array_new();
    struct cm_crash_record *record;
    CmTailq_FOREACH (record, &quarantine->records, link) {
        if (!is_kept(quarantine, record)) {
            g_ptr_array_add(found, record);
        }
    }
    g_ptr_array_sort(found, compare_ages);
    for (guint i = MIN(found->len, DROPPABLE_MAX); i > 0; i--) {
        record = g_ptr_array_index(found, i - 1);
        g_array_append_val(quarantine->droppable, record->id);
    }
    g_ptr_array_free(found, TRUE);
}

/// @return the next one of the collected records that is still to be dropped,
/// or NULL.
static struct cm_crash_record *
take_droppable(struct cm_quarantine *quarantine)
{
    GArray *droppable = quarantine->droppable;
    while (droppable->len > 0) {
        struct cm_crash_record *record = g_hash_table_lookup(
            quarantine->by_id,
            &g_array_index(droppable, uint64_t, droppable->len - 1));
        g_array_set_size(droppable, droppable->len - 1);
        if (record != NULL && !is_kept(quarantine, record)) {
            return record;
        }
    }
    return NULL;
}

static struct cm_crash_record *
find_oldest(const struct cm_quarantine *quarantine)
{
    struct cm_crash_record *oldest = TAILQ_FIRST(&quarantine->records);
    struct cm_crash_record *record;
    CmTailq_FOREACH (record, &quarantine->records, link) {
        if (CmTime_Before(record->at, oldest->at)) {
            oldest = record;
        }
    }
    return oldest;
}

/// Drops the oldest record that supports no verdict, or the oldest one.
static void
drop_oldest(struct cm_quarantine *quarantine)
{
    struct cm_crash_record *record = take_droppable(quarantine);
    if (record == NULL) {
        collect_droppable(quarantine);
        record = take_droppable(quarantine);
    }
    if (record == NULL) {
        record = find_oldest(quarantine);
    }
    if (CmTime_Before(quarantine->horizon, record->at)) {
        quarantine->horizon = record->at;
    }
    remove_record(quarantine, record);
}

/// @return whether the record would be the next one to be dropped, as what was
/// dropped before is newer.
static bool
is_beyond_horizon(const struct cm_quarantine *quarantine,
                  const struct cm_crash_record *record)
{
    return quarantine->horizon.tv_sec != 0 &&
           !CmTime_Before(quarantine->horizon, record->at) &&
           !is_kept(quarantine, record);
}

static bool
is_expired(const struct cm_crash_record *record, struct timespec now)
{
    return CmTime_DiffMs(now, record->at) >= CM_QUARANTINE_EXPIRY_MS;
}

bool
CmQuarantine_Add(struct cm_quarantine *quarantine,
                 struct cm_crash_record *record, struct timespec now)
{
    if (is_expired(record, now) ||
        g_hash_table_contains(quarantine->by_id, &record->id) ||
        is_beyond_horizon(quarantine, record)) {
        CmCrashRecord_Free(record);
        return false;
    }
    TAILQ_INSERT_TAIL(&quarantine->records, record, link);
    g_hash_table_insert(quarantine->by_id, &record->id, record);
    quarantine->n_records++;
    quarantine->digest ^= record->id;
    count_runs(quarantine, record, 1);
    remember_clearances(quarantine, record);
    if (quarantine->n_records > CM_QUARANTINE_RECORDS_MAX) {
        drop_oldest(quarantine);
    }
    return true;
}

void
CmQuarantine_Expire(struct cm_quarantine *quarantine, struct timespec now)
{
    size_t before = quarantine->n_records;
    struct cm_crash_record *record;
    struct cm_crash_record *next;
    CmTailq_FOREACH_SAFE (record, &quarantine->records, link, next) {
        if (is_expired(record, now)) {
            remove_record(quarantine, record);
        }
    }
    if (quarantine->n_records != before) {
        CmQuarantine_Update(quarantine);
    }
}

bool
CmQuarantine_HasSize(const struct cm_quarantine *quarantine, size_t size)
{
    return g_hash_table_contains(quarantine->sizes, GSIZE_TO_POINTER(size));
}

const struct cm_suspect *
CmQuarantine_Find(const struct cm_quarantine *quarantine, const char *content)
{
    return find_suspect(quarantine->suspects, content);
}

bool
CmQuarantine_IsRefused(const struct cm_quarantine *quarantine,
                       const char *content)
{
    return is_refused(quarantine->suspects, content);
}

void
CmQuarantine_RecordCrash(struct cm_quarantine *quarantine, const char *crash,
                         const char *const *contents, size_t n,
                         struct timespec now)
{
    struct cm_crash_record *record = CmCrashRecord_New(
        CM_CRASH_RECORD_CRASH, CmHash_Text(crash, 0), crash, "", now);
    for (size_t i = 0; i < n; i++) {
        CmCrashRecord_AddContent(record, contents[i]);
    }
    CmQuarantine_Add(quarantine, record, now);
    CmQuarantine_Update(quarantine);
}

void
CmQuarantine_ClearSuspect(struct cm_quarantine *quarantine,
                          const char *content, struct timespec now)
{
    const struct cm_suspect *suspect = CmQuarantine_Find(quarantine, content);
    if (suspect == NULL || suspect->refused) {
        return;
    }
    uint64_t id = CmHash_Bytes(&now, sizeof(now), CmHash_Text(content, 0));
    struct cm_crash_record *record =
        CmCrashRecord_New(CM_CRASH_RECORD_COMPLETED, id, "", "", now);
    CmCrashRecord_AddContent(record, content);
    CmQuarantine_Add(quarantine, record, now);
    CmQuarantine_Update(quarantine);
}

void
CmQuarantine_ForEach(const struct cm_quarantine *quarantine,
                     void (*each)(void *context,
                                  const struct cm_suspect *suspect),
                     void *context)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, quarantine->suspects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct cm_suspect *suspect = value;
        if (suspect->refused || suspect->on_trial) {
            each(context, suspect);
        }
    }
}
