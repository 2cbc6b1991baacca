/// @file once_defs.h
/// Types of the at-most-once records.

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
/// Longest serialized shard; the platform's limit is 1 MB.
#define CM_ONCE_SHARD_MAX (900 * 1024)
/// Longest answer kept in a record; the agent keeps longer ones for a while.
#define CM_ONCE_ANSWER_MAX (16 * 1024)
/// Digits of a hashed key.
#define CM_ONCE_KEY_SIZE 33
/// Pause before a failed call is made again.
#define CM_ONCE_RETRY_MS 100

enum cm_once_state {
    CM_ONCE_CLAIMED, ///< may run, or be running, at the named agent
    CM_ONCE_DONE,    ///< ran; the answer is kept
    CM_ONCE_UNKNOWN, ///< may have run; nobody can tell any more
};

/// What is kept of one key. Texts belong to the owner of the struct.
struct cm_once_record {
    enum cm_once_state state;
    const char *digest;     ///< of the request, to refuse another body
    const char *attempt_id; ///< id of the attempt that may run: its token
    const char *target;     ///< where it may run
    uint64_t incarnation;   ///< of the agent there
    int64_t age_ms;         ///< since it was written; set when read
    int64_t status;         ///< DONE: status of the answer
    const char *headers;    ///< DONE: header lines of the answer
    const char *body;       ///< DONE: its body, NULL where it was too long
};

enum cm_once_kind {
    CM_ONCE_CLAIM,   ///< enter a record where there is none
    CM_ONCE_REPLACE, ///< change the record that holds `expected`
    CM_ONCE_REMOVE,  ///< drop the record that holds `expected`
};

enum cm_once_result {
    CM_ONCE_APPLIED,    ///< the record is now as asked for
    CM_ONCE_CONFLICT,   ///< another record stands there
    CM_ONCE_SHARD_FULL, ///< the shard has no room: refused, not forgotten
};

struct cm_once_op;
struct cm_once_shard;

/// Called once; `present` is set with PRESENT (NULL where there is none) and
/// valid during the call.
typedef void (*cm_once_callback)(void *context, enum cm_once_result result,
                                 const struct cm_once_record *present);

TAILQ_HEAD(cm_once_queue, cm_once_op);

/// One operation under way, on the caller's memory.
struct cm_once_op {
    TAILQ_ENTRY(cm_once_op) link;
    struct cm_once_shard *shard; ///< NULL while idle
    struct cm_once_queue *queue; ///< of the shard, in which it stands
    enum cm_once_result result;  ///< once it stands among the ready ones
    enum cm_once_kind kind;
    char key[CM_ONCE_KEY_SIZE];
    char *expected_attempt;
    json_t *record;
    bool in_write; ///< the write under way contains it
    cm_once_callback callback;
    void *context;
};

enum cm_once_phase {
    CM_ONCE_IDLE,
    CM_ONCE_READING,
    CM_ONCE_WRITING,
    CM_ONCE_PAUSED, ///< the API failed; waits before the next call
};

/// One object in the API that holds the records of a part of all keys.
struct cm_once_shard {
    struct cm_once *once;
    char name[16];
    enum cm_once_phase phase;
    char *version; ///< resourceVersion of `records`, NULL if none exists
    json_t *known_records;   ///< as last read or written; NULL if not known
    json_t *pending_records; ///< what the write under way would make them
    struct cm_object_call call;
    struct cm_once_queue queue;
    struct cm_once_queue ended; ///< ended, to be told so
    struct event *step_event;
};

struct cm_once {
    struct cm_objects *objects;
    struct cm_clock *clock;
    int64_t window_ms; ///< age at which records are dropped
    struct cm_once_shard shards[CM_ONCE_SHARDS];
    int64_t write_conflicts;
    int64_t operations;
};

#endif
