/// @file objects.h
/// Object store of the stand-in platform: objects by kind and name, one
/// resource version that grows with each change, and a bounded history of
/// changes for watches.

#ifndef OBJECTS_H
#define OBJECTS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/// Events kept for watches that start at an older resource version.
#define OBJECTS_HISTORY_MAX 4096
/// Size limit of a serialized object.
#define OBJECTS_VALUE_MAX_BYTES (1024 * 1024)

enum objects_result {
    OBJECTS_OK,
    OBJECTS_CREATED,
    OBJECTS_CONFLICT,
    OBJECTS_NOT_FOUND,
    OBJECTS_TOO_LARGE,
};

/// A change, as sent to watches.
struct objects_event {
    uint64_t resource_version;
    char *kind;
    const char *type; ///< "ADDED", "MODIFIED" or "DELETED"
    json_t *object;
};

struct objects {
    GHashTable *by_path;       ///< "KIND/NAME" to json_t
    GQueue history;            ///< of struct objects_event
    uint64_t resource_version; ///< of the latest change
    /// Called after each change; may be NULL.
    void (*notify)(void *context, const struct objects_event *event);
    void *context;
};

/// Initializes an empty store.
void
Objects_Init(struct objects *objects);

/// Frees all objects and the history.
void
Objects_Finish(struct objects *objects);

/// @return the object, borrowed, or NULL.
json_t *
Objects_Get(const struct objects *objects, const char *kind, const char *name);

/// Creates an object.
/// @return OBJECTS_CREATED, OBJECTS_CONFLICT if it exists, or
/// OBJECTS_TOO_LARGE.
enum objects_result
Objects_Create(struct objects *objects, const char *kind, const char *name,
               json_t *object);

/// Replaces an object.
/// @return OBJECTS_OK, OBJECTS_NOT_FOUND, OBJECTS_TOO_LARGE, or
/// OBJECTS_CONFLICT if `object` has a resourceVersion other than the stored
/// one.
enum objects_result
Objects_Update(struct objects *objects, const char *kind, const char *name,
               json_t *object);

/// Deletes an object.
/// @return OBJECTS_OK or OBJECTS_NOT_FOUND.
enum objects_result
Objects_Delete(struct objects *objects, const char *kind, const char *name);

/// @return a List object with all objects of `kind`; new reference.
json_t *
Objects_List(const struct objects *objects, const char *kind);

#endif
