/// @file objects_defs.h
/// Types and limits of the object API client.

#ifndef PLATFORM_OBJECTS_DEFS_H
#define PLATFORM_OBJECTS_DEFS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "http/client_defs.h"

/// Timeout of a call without progress.
#define CM_OBJECT_TIMEOUT_MS 2000
/// Idle timeout of a watch: the API sends a bookmark each second, so a watch
/// without any event for this long has failed.
#define CM_WATCH_IDLE_TIMEOUT_MS 4000
/// Largest object that the API accepts.
#define CM_OBJECT_MAX_BYTES (1024 * 1024)
/// Largest response with one object, or event of a watch.
#define CM_OBJECT_RESPONSE_MAX_BYTES ((size_t)2 * CM_OBJECT_MAX_BYTES)

/// Result of a call.
enum cm_object_result {
    CM_OBJECT_OK,
    CM_OBJECT_CONFLICT, ///< another version is stored, or the object exists
    CM_OBJECT_NOT_FOUND,
    CM_OBJECT_LIMIT,         ///< too large, or rate limited: had no effect
    CM_OBJECT_REFUSED,       ///< not connected, or rejected: had no effect
    CM_OBJECT_INDETERMINATE, ///< no usable response: may have taken effect
};

struct cm_objects;
struct cm_object_call;
struct cm_object_watch;

/// Called once for each call, unless it is cancelled. `object` is borrowed,
/// and NULL unless the result is CM_OBJECT_OK.
typedef void (*cm_object_done)(void *context, enum cm_object_result result,
                               json_t *object);

/// Called for each event of a watch. `type` is "ADDED", "MODIFIED", "DELETED"
/// or "BOOKMARK"; `object` is borrowed.
typedef void (*cm_object_event)(void *context, const char *type,
                                json_t *object);

/// Operations of an object API client. Objects have the form
/// {"metadata": {"name", "resourceVersion"}, "spec"}.
struct cm_objects_ops {
    void (*get)(struct cm_objects *objects, struct cm_object_call *call,
                const char *kind, const char *name);
    void (*create)(struct cm_objects *objects, struct cm_object_call *call,
                   const char *kind, const char *name, const json_t *object);
    /// Replaces the object if the stored version is its
    /// metadata.resourceVersion.
    void (*update)(struct cm_objects *objects, struct cm_object_call *call,
                   const char *kind, const char *name, const json_t *object);
    void (*remove)(struct cm_objects *objects, struct cm_object_call *call,
                   const char *kind, const char *name);
    /// Starts a watch of all objects of a kind from resourceVersion
    /// `version`; its `ended` is called once it ends by itself.
    void (*watch)(struct cm_objects *objects, struct cm_object_watch *watch,
                  const char *kind, const char *version);
    /// Cancels a call without a callback.
    void (*cancel)(struct cm_objects *objects, struct cm_object_call *call);
    /// Cancels a watch without a callback.
    void (*unwatch)(struct cm_objects *objects, struct cm_object_watch *watch);
};

struct cm_objects {
    const struct cm_objects_ops *ops;
    int64_t reads;   ///< `get` calls made, for the metrics
    int64_t writes;  ///< `create`, `update` and `remove` calls made
    int64_t watches; ///< watches started
};

/// Handle of one call, in memory of its user.
struct cm_object_call {
    cm_object_done done;
    void *context;
    bool active;
    struct cm_http_call http;
    int status;
    GString *body;
};

/// Handle of one watch, in memory of its user.
struct cm_object_watch {
    cm_object_event event;
    void (*ended)(void *context);
    void *context;
    struct cm_http_call http;
    GString *partial_line; ///< received start of the next line
};

/// The object API over HTTP.
struct cm_http_objects {
    struct cm_objects base;
    struct cm_http_client *client;
    const char *address; ///< IP:PORT
};

#endif
