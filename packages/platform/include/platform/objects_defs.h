/// @file objects_defs.h
/// Types of the object API client.

#ifndef PLATFORM_OBJECTS_DEFS_H
#define PLATFORM_OBJECTS_DEFS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "http/client_defs.h"

/// Longest time a call waits for its answer.
#define CM_OBJECT_TIMEOUT_MS 2000
/// Silence after which a watch counts as broken; the API sends a bookmark
/// each second.
#define CM_WATCH_IDLE_TIMEOUT_MS 4000
/// Longest value the API takes.
#define CM_OBJECT_MAX_BYTES (1024 * 1024)

enum cm_object_result {
    CM_OBJECT_OK,
    CM_OBJECT_CONFLICT, ///< another version is stored, or it exists already
    CM_OBJECT_NOT_FOUND,
    CM_OBJECT_LIMIT,         ///< too large, or too many calls: had no effect
    CM_OBJECT_REFUSED,       ///< had no effect: never reached the API
    CM_OBJECT_INDETERMINATE, ///< no answer: may have taken effect
};

struct cm_objects;
struct cm_object_call;
struct cm_object_watch;

/// Called once. `object` is borrowed; NULL unless the result is OK.
typedef void (*cm_object_done)(void *context, enum cm_object_result result,
                               json_t *object);

/// Called for each event of a watch; type "ADDED", "MODIFIED", "DELETED" or
/// "BOOKMARK". `object` is borrowed.
typedef void (*cm_object_event)(void *context, const char *type,
                                json_t *object);

/// Objects have the form {"metadata": {"name", "resourceVersion"}, "spec"}.
struct cm_objects_ops {
    void (*get)(struct cm_objects *objects, struct cm_object_call *call,
                const char *kind, const char *name);
    void (*create)(struct cm_objects *objects, struct cm_object_call *call,
                   const char *kind, const char *name, const json_t *object);
    /// Conditional on the object's metadata.resourceVersion.
    void (*update)(struct cm_objects *objects, struct cm_object_call *call,
                   const char *kind, const char *name, const json_t *object);
    void (*remove)(struct cm_objects *objects, struct cm_object_call *call,
                   const char *kind, const char *name);
    /// Starts a watch at a version; `ended` of the watch tells when it broke.
    void (*watch)(struct cm_objects *objects, struct cm_object_watch *watch,
                  const char *kind, const char *version);
    /// Gives a call up without a callback.
    void (*cancel)(struct cm_objects *objects, struct cm_object_call *call);
    /// Ends a watch without a callback.
    void (*unwatch)(struct cm_objects *objects, struct cm_object_watch *watch);
};

struct cm_objects {
    const struct cm_objects_ops *ops;
    int64_t reads; ///< calls made, for the metrics
    int64_t writes;
    int64_t watches;
};

/// One call under way, on the caller's memory.
struct cm_object_call {
    cm_object_done done;
    void *context;
    bool active;
    struct cm_http_call http;
    int status;
    GString *body;
};

/// One watch, on the caller's memory.
struct cm_object_watch {
    cm_object_event event;
    void (*ended)(void *context);
    void *context;
    struct cm_http_call http;
    GString *partial_line; ///< start of a line that is not whole yet
};

/// The object API over HTTP.
struct cm_http_objects {
    struct cm_objects base;
    struct cm_http_client *client;
    const char *address; ///< IP:PORT
};

#endif
