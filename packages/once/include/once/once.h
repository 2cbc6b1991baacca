/// @file once.h
/// At most once: a record a key in the platform's object API, written by
/// conditional update. All operations that wait for a shard go into one write
/// (group commit). After a lost answer the shard is read back: a record that
/// bears the operation's own attempt id shows that the write took effect.

#ifndef ONCE_ONCE_H
#define ONCE_ONCE_H

#include "once/once_defs.h"

/// Prepares the records.
/// @param window_ms age at which records are dropped.
void
CmOnce_Init(struct cm_once *once, struct cm_objects *objects,
            struct event_base *base, struct cm_clock *clock,
            int64_t window_ms);

/// Gives all operations up and frees the shards.
void
CmOnce_Finish(struct cm_once *once);

/// Hashes a caller's key within a service.
void
CmOnce_HashKey(const char *service, const char *key,
               char hashed[CM_ONCE_KEY_SIZE]);

/// Starts an operation. `expected` is needed for REPLACE and REMOVE: the
/// attempt id that the present record has to bear. Waits as long as the API
/// is out of reach; CmOnce_Cancel() ends the wait.
void
CmOnce_Start(struct cm_once *once, struct cm_once_op *op,
             enum cm_once_kind kind, const char *key, const char *expected,
             const struct cm_once_record *record, cm_once_callback done,
             void *context);

/// Gives an operation up without a callback. It may still take effect where
/// its write is under way. Harmless on an idle one.
void
CmOnce_Cancel(struct cm_once_op *op);

/// @return whether the operation is under way.
bool
CmOnce_IsActive(const struct cm_once_op *op);

#endif
