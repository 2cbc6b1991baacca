/// @file record.h
/// What continues a stream at another gateway: the software version of the
/// target that began it, under the id of the caller's attempt that brought its
/// first event.

#ifndef STREAMS_RECORD_H
#define STREAMS_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"

/// Size of the buffer for an id, a service's name or a software version.
#define CM_STREAM_NAME_SIZE 64
/// Time after its last renewal at which a record is forgotten: longer than
/// callers wait for a stream.
#define CM_STREAM_RECORD_MS 60000
/// Most records of a table; beyond, the oldest ones are forgotten.
#define CM_STREAM_RECORDS_MAX 65536

struct cm_stream_record {
    char id[CM_STREAM_NAME_SIZE];
    char service[CM_STREAM_NAME_SIZE];
    char software[CM_STREAM_NAME_SIZE];
};

/// A record in a table.
struct cm_stream_entry {
    TAILQ_ENTRY(cm_stream_entry) link;
    struct cm_stream_record record;
    struct timespec renewed_at;
};

/// Records by id, and by age.
struct cm_stream_records {
    GHashTable *by_id;
    TAILQ_HEAD(, cm_stream_entry) by_age; ///< least recently renewed first
};

void
CmStreamRecords_Init(struct cm_stream_records *records);

void
CmStreamRecords_Finish(struct cm_stream_records *records);

/// Adds a record, or replaces or renews the one of this id.
void
CmStreamRecords_Keep(struct cm_stream_records *records,
                     const struct cm_stream_record *record,
                     struct timespec now);

/// @return the record under `id` with its age, or NULL.
const struct cm_stream_entry *
CmStreamRecords_Find(const struct cm_stream_records *records, const char *id,
                     struct timespec now);

/// Forgets the records that are too old.
void
CmStreamRecords_Expire(struct cm_stream_records *records, struct timespec now);

#endif
