/// @file revisions.h
/// Keeps a process at the latest accepted revision of the configuration and
/// submits new revisions. The head object is watched, and read again after an
/// error; a revision lower than the current one is never applied.

#ifndef REVISION_REVISIONS_H
#define REVISION_REVISIONS_H

#include <event2/event.h>

#include "platform/objects.h"
#include "revision/head.h"

/// Timeout of a submission, including all its retries.
#define CM_SUBMIT_TIMEOUT_MS 10000
/// Limit of concurrent chunk reads or writes.
#define CM_CHUNK_CALLS_MAX 8

/// Result of a submission.
enum cm_submit_result {
    CM_SUBMIT_ACCEPTED,
    CM_SUBMIT_CONFLICT, ///< the current revision isn't the base revision
    CM_SUBMIT_FAILED,   ///< timed out; definitely not accepted
    CM_SUBMIT_UNKNOWN,  ///< timed out after a head update without a response;
                        ///< the current revision tells whether it was applied
    CM_SUBMIT_BUSY,     ///< this process has another submission in progress
};

typedef void (*cm_submit_callback)(void *context, enum cm_submit_result result,
                                   uint64_t revision);

struct cm_revisions;
struct cm_revision_fetch;
struct cm_revision_submit;

/// Client of the configuration store in one process: its current revision,
/// the watch of the head, and at most one fetch and one submission.
struct cm_revisions {
    struct cm_objects *objects;
    struct event_base *base;
    /// Validates and applies the text of a newer revision.
    /// @return whether the text is valid; if not, the current revision stays.
    bool (*apply)(void *context, uint64_t revision, const char *text,
                  size_t size);
    void *context;
    uint64_t revision; ///< applied by this process, 0 before the first one
    char *text;
    size_t size;
    GHashTable *cached_chunks; ///< digest to GString, of the current text
    bool api_reachable;        ///< the last read of the head had a response
    struct cm_object_call head_call;
    struct cm_object_watch watch;
    struct event *head_retry;          ///< timer of the next read of the head
    struct cm_revision_fetch *fetch;   ///< in progress, or NULL
    struct cm_revision_submit *submit; ///< in progress, or NULL
};

/// Reads the head and starts to watch it.
/// @param apply called with each newer revision; see struct cm_revisions.
void
CmRevisions_Init(struct cm_revisions *revisions, struct cm_objects *objects,
                 struct event_base *base,
                 bool (*apply)(void *context, uint64_t revision,
                               const char *text, size_t size),
                 void *context);

/// Cancels all calls and frees all state. The callback of a submission in
/// progress is not called.
void
CmRevisions_Finish(struct cm_revisions *revisions);

/// Applies a revision that was fetched, submitted here or received from a
/// peer, if it is newer than the current one.
/// @return whether it was newer and valid.
bool
CmRevisions_ApplyIfNewer(struct cm_revisions *revisions, uint64_t revision,
                         const char *text, size_t size);

/// Submits a validated text as the next revision.
/// @param base            revision that the text was edited from; any other
///                        current revision is a conflict.
/// @param skip_base_check whether to ignore `base`.
/// @param callback        called once, possibly before this function returns.
void
CmRevisions_Submit(struct cm_revisions *revisions, const char *text,
                   size_t size, uint64_t base, bool skip_base_check,
                   cm_submit_callback callback, void *context);

#endif
