/// @file record.c
/// Table of records that expire.

#include "streams/record.h"

#include "base/clock.h"

void
CmStreamRecords_Init(struct cm_stream_records *records)
{
    records->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    TAILQ_INIT(&records->by_age);
}

static void
remove_entry(struct cm_stream_records *records, struct cm_stream_entry *entry)
{
    g_hash_table_remove(records->by_id, entry->record.id);
    TAILQ_REMOVE(&records->by_age, entry, link);
    g_free(entry);
}

void
CmStreamRecords_Finish(struct cm_stream_records *records)
{
    struct cm_stream_entry *entry;
    while ((entry = TAILQ_FIRST(&records->by_age)) != NULL) {
        remove_entry(records, entry);
    }
    g_hash_table_destroy(records->by_id);
}

void
CmStreamRecords_Keep(struct cm_stream_records *records,
                     const struct cm_stream_record *record,
                     struct timespec now)
{
    struct cm_stream_entry *entry =
        g_hash_table_lookup(records->by_id, record->id);
    if (entry != NULL) {
        TAILQ_REMOVE(&records->by_age, entry, link);
    }
    else {
        if (g_hash_table_size(records->by_id) >= CM_STREAM_RECORDS_MAX) {
            remove_entry(records, TAILQ_FIRST(&records->by_age));
        }
        entry = g_new0(struct cm_stream_entry, 1);
        g_strlcpy(entry->record.id, record->id, sizeof(entry->record.id));
        g_hash_table_insert(records->by_id, entry->record.id, entry);
    }
    entry->record = *record;
    entry->renewed_at = now;
    TAILQ_INSERT_TAIL(&records->by_age, entry, link);
}

static bool
is_expired(const struct cm_stream_entry *entry, struct timespec now)
{
    return CmTime_DiffMs(now, entry->renewed_at) >= CM_STREAM_RECORD_MS;
}

const struct cm_stream_entry *
CmStreamRecords_Find(const struct cm_stream_records *records, const char *id,
                     struct timespec now)
{
    const struct cm_stream_entry *entry =
        g_hash_table_lookup(records->by_id, id);
    return entry != NULL && !is_expired(entry, now) ? entry : NULL;
}

void
CmStreamRecords_Expire(struct cm_stream_records *records, struct timespec now)
{
    struct cm_stream_entry *entry;
    while ((entry = TAILQ_FIRST(&records->by_age)) != NULL &&
           is_expired(entry, now)) {
        remove_entry(records, entry);
    }
}
