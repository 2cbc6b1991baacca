/// @file objects.h
/// The object store behind the stand-in's object API: objects by kind and
/// name, one growing resource version, a bounded history for watches.

#ifndef OBJECTS_H
#define OBJECTS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/// Events kept for watches that start at an older version.
#define OBJECTS_HISTORY_MAX 4096
/// Longest serialized object.
#define OBJECTS_VALUE_MAX_BYTES (1024 * 1024)

enum objects_result {
    OBJECTS_OK,
    OBJECTS_CREATED,
    OBJECTS_CONFLICT,
    OBJECTS_NOT_FOUND,
    OBJECTS_TOO_LARGE,
};

/// One change, as watches see it.
struct objects_event {
    uint64_t resource_version;
    char *kind;
    const char *type; ///< "ADDED", "MODIFIED" or "DELETED"
    json_t *object;
};

struct objects {
    GHashTable *by_path; ///< "KIND/NAME" to json_t
    GQueue history;      ///< of struct objects_event
    uint64_t resource_version;
    /// Told of each change; may be NULL.
    void (*notify)(void *context, const struct objects_event *event);
    void *context;
};

/// Prepares an empty store.
void
Objects_Init(struct objects *objects);

/// Frees everything.
void
Objects_Finish(struct objects *objects);

/// @return the object, borrowed, or NULL.
json_t *
Objects_Get(const struct objects *objects, const char *kind, const char *name);

/// Creates an object; a present one is a conflict.
enum objects_result
Objects_Create(struct objects *objects, const char *kind, const char *name,
               json_t *object);

/// Updates an object. Where the body names a resourceVersion, it has to be
/// the stored one.
enum objects_result
Objects_Update(struct objects *objects, const char *kind, const char *name,
               json_t *object);

/// Removes an object.
enum objects_result
Objects_Delete(struct objects *objects, const char *kind, const char *name);

/// @return a list object of `kind`; new reference.
json_t *
Objects_List(const struct objects *objects, const char *kind);

#endif
