/// @file once_defs.h
/// Types of the idempotency records: records, operations and shards.

#ifndef ONCE_ONCE_DEFS_H
#define ONCE_ONCE_DEFS_H

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock_defs.h"
#include "base/list.h"
#include "platform/objects_defs.h"

#define CM_ONCE_SHARDS 64
/// Size limit of a serialized shard in bytes; the platform's limit is 1 MB.
#define CM_ONCE_SHARD_MAX (900 * 1024)
/// Longest response body that a record contains, in bytes. A repeat of
/// the request gets a longer one from the agent, which keeps it for a limited
/// time.
#define CM_ONCE_ANSWER_MAX (16 * 1024)
/// Buffer size of a hashed key: 32 hexadecimal digits and the terminator.
#define CM_ONCE_KEY_SIZE 33
/// Delay before a failed API call is retried.
#define CM_ONCE_RETRY_MS 100

enum cm_once_state {
    CM_ONCE_CLAIMED, ///< may run, or is running, at `target`
    CM_ONCE_DONE,    ///< ran; the record contains the response
    CM_ONCE_UNKNOWN, ///< may have run; no agent has its state any more
};

/// Record of one key. Texts belong to the owner of the struct.
struct cm_once_record {
    enum cm_once_state state;
    const char *digest;     ///< of the request; another body is refused
    const char *attempt_id; ///< of the attempt that may run; owns the record
    const char *target;     ///< name of the target where the attempt may run
    uint64_t incarnation;   ///< of the target's agent
    int64_t age_ms;         ///< since the record was written; set when read
    int64_t status;         ///< DONE: status of the response
    const char *headers;    ///< DONE: its header lines
    const char *body;       ///< DONE: its body, NULL if it was too long
};

enum cm_once_kind {
    CM_ONCE_CLAIM,   ///< add a record if the key has none
    CM_ONCE_REPLACE, ///< replace the record of attempt `expected`
    CM_ONCE_REMOVE,  ///< remove the record of attempt `expected`
};

enum cm_once_result {
    CM_ONCE_APPLIED,    ///< the record is now as requested
    CM_ONCE_CONFLICT,   ///< the key has another record, or none
    CM_ONCE_SHARD_FULL, ///< no room; refused rather than dropping records
};

struct cm_once_op;
struct cm_once_shard;

/// Called once, at the end of an operation.
/// @param present with CONFLICT the record of the key, or NULL if it has none;
///        valid during the call.
typedef void (*cm_once_callback)(void *context, enum cm_once_result result,
                                 const struct cm_once_record *present);

TAILQ_HEAD(cm_once_queue, cm_once_op);

/// One operation in progress, in the caller's memory.
struct cm_once_op {
    TAILQ_ENTRY(cm_once_op) link;
    struct cm_once_shard *shard; ///< NULL if not in progress
    struct cm_once_queue *queue; ///< list of the shard that contains it
    enum cm_once_result result;  ///< valid in the list of ended operations
    enum cm_once_kind kind;
    char key[CM_ONCE_KEY_SIZE];
    char *expected_attempt; ///< REPLACE, REMOVE: attempt id of the record
    json_t *record;         ///< to be written; NULL for REMOVE
    bool in_write;          ///< part of the write in progress
    cm_once_callback callback;
    void *context;
};

enum cm_once_phase {
    CM_ONCE_IDLE,
    CM_ONCE_READING,
    CM_ONCE_WRITING,
    CM_ONCE_PAUSED, ///< the API failed; waits for CM_ONCE_RETRY_MS
};

/// One object in the API with the records of a part of the keys.
struct cm_once_shard {
    struct cm_once *once;
    char name[16];
    enum cm_once_phase phase;
    char *version;           ///< resourceVersion, NULL if there is no object
    json_t *known_records;   ///< as last read or written, NULL if unknown
    json_t *pending_records; ///< content of the write in progress
    struct cm_object_call call;
    struct cm_once_queue queue; ///< operations in progress
    struct cm_once_queue ended; ///< operations whose callback comes next
    struct event *step_event;   ///< next step after a start or a pause
};

struct cm_once {
    struct cm_objects *objects;
    struct cm_clock *clock;
    int64_t window_ms; ///< age after which records expire
    struct cm_once_shard shards[CM_ONCE_SHARDS];
    int64_t write_conflicts;
    int64_t operations;
};

#endif
