/// @file once.h
/// Idempotency records, by which a request with a key runs at most once. Each
/// key has one record in the platform's object API, written by conditional
/// update. Keys are spread over shards, and one write contains all operations
/// that wait for its shard (group commit). If the result of a write is lost,
/// the shard is read again: a record with the operation's own attempt id shows
/// that the write took effect.

#ifndef ONCE_ONCE_H
#define ONCE_ONCE_H

#include "once/once_defs.h"

/// @param window_ms age after which records expire.
void
CmOnce_Init(struct cm_once *once, struct cm_objects *objects,
            struct event_base *base, struct cm_clock *clock,
            int64_t window_ms);

/// Cancels all operations, without their callbacks, and frees the shards.
void
CmOnce_Finish(struct cm_once *once);

/// Hashes a caller's idempotency key together with its service.
void
CmOnce_HashKey(const char *service, const char *key,
               char hashed[CM_ONCE_KEY_SIZE]);

/// Starts an operation. While the API is unreachable it is retried without
/// limit, until CmOnce_Cancel().
/// @param op is owned by the caller and must outlive the operation.
/// @param key as hashed by CmOnce_HashKey().
/// @param expected attempt id that the present record must have; for REPLACE
///        and REMOVE only, else NULL.
/// @param record to be written; NULL for REMOVE.
/// @param done is called once with the result, from the event loop.
void
CmOnce_Start(struct cm_once *once, struct cm_once_op *op,
             enum cm_once_kind kind, const char *key, const char *expected,
             const struct cm_once_record *record, cm_once_callback done,
             void *context);

/// Cancels an operation without its callback. If its write is in progress, it
/// may still take effect. Does nothing if the operation is not in progress.
void
CmOnce_Cancel(struct cm_once_op *op);

/// @return whether the operation is in progress.
bool
CmOnce_IsActive(const struct cm_once_op *op);

#endif
