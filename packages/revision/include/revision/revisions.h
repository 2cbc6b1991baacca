/// @file revisions.h
/// Keeps a process at the last accepted revision, and submits new ones.
/// Reads by watch and by asking again; never goes back to a lower revision.

#ifndef REVISION_REVISIONS_H
#define REVISION_REVISIONS_H

#include <event2/event.h>

#include "platform/objects.h"
#include "revision/head.h"

/// Longest time a submission tries before it ends unsure.
#define CM_SUBMIT_TIMEOUT_MS 10000
/// Chunks fetched or written at once.
#define CM_CHUNK_CALLS_MAX 8

/// How a submission ended.
enum cm_submit_result {
    CM_SUBMIT_ACCEPTED,
    CM_SUBMIT_CONFLICT, ///< another revision is in force
    CM_SUBMIT_FAILED,   ///< certainly not accepted
    CM_SUBMIT_UNKNOWN,  ///< may be accepted or not; ask for what is in force
    CM_SUBMIT_BUSY,     ///< another submission is under way here
};

typedef void (*cm_submit_callback)(void *context, enum cm_submit_result result,
                                   uint64_t revision);

struct cm_revisions;
struct cm_revision_fetch;
struct cm_revision_submit;

struct cm_revisions {
    struct cm_objects *objects;
    struct event_base *base;
    /// A newer revision is whole. @return whether the text is sound; an
    /// unsound one is not taken.
    bool (*apply)(void *context, uint64_t revision, const char *text,
                  size_t size);
    void *context;
    uint64_t revision; ///< in force here, 0 before the first one
    char *text;
    size_t size;
    GHashTable *chunks; ///< digest to GString, of the text in force
    bool api_reachable; ///< the API answered the last call
    struct cm_object_call head_call;
    struct cm_object_watch watch;
    struct event *head_retry;
    struct cm_revision_fetch *fetch;
    struct cm_revision_submit *submit;
};

/// Starts following the head.
void
CmRevisions_Init(struct cm_revisions *revisions, struct cm_objects *objects,
                 struct event_base *base,
                 bool (*arrived)(void *context, uint64_t revision,
                                 const char *text, size_t size),
                 void *context);

/// Stops and frees everything.
void
CmRevisions_Finish(struct cm_revisions *revisions);

/// Takes a revision that a peer has in force.
/// @return whether it was newer and sound.
bool
CmRevisions_ApplyIfNewer(struct cm_revisions *revisions, uint64_t revision,
                         const char *text, size_t size);

/// Submits a checked text.
/// @param base revision it was made from; it has to be in force still.
/// @param any  whether `base` does not matter.
void
CmRevisions_Submit(struct cm_revisions *revisions, const char *text,
                   size_t size, uint64_t base, bool any,
                   cm_submit_callback done, void *context);

#endif
