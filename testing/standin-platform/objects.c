/// @file objects.c
/// Object store with optimistic concurrency control by resource version.

#include "objects.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

static void
free_event(gpointer data)
{
    struct objects_event *event = data;
    json_decref(event->object);
    g_free(event->kind);
    g_free(event);
}

void
Objects_Init(struct objects *objects)
{
    memset(objects, 0, sizeof(*objects));
    objects->by_path = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             (GDestroyNotify)json_decref);
    g_queue_init(&objects->history);
    objects->resource_version = 1;
}

void
Objects_Finish(struct objects *objects)
{
    g_hash_table_destroy(objects->by_path);
    g_queue_clear_full(&objects->history, free_event);
}

static char *
make_path(const char *kind, const char *name)
{
    return g_strconcat(kind, "/", name, NULL);
}

json_t *
Objects_Get(const struct objects *objects, const char *kind, const char *name)
{
    char *path = make_path(kind, name);
    json_t *object = g_hash_table_lookup(objects->by_path, path);
    g_free(path);
    return object;
}

/// Adds a change to the history, drops the oldest one if there are too many,
/// and calls `notify`.
static void
record_event(struct objects *objects, const char *kind, const char *type,
             json_t *object)
{
    struct objects_event *event = g_new0(struct objects_event, 1);
    event->resource_version = objects->resource_version;
    event->kind = g_strdup(kind);
    event->type = type;
    event->object = json_incref(object);
    g_queue_push_tail(&objects->history, event);
    if (objects->notify != NULL) {
        objects->notify(objects->context, event);
    }
    if (g_queue_get_length(&objects->history) > OBJECTS_HISTORY_MAX) {
        free_event(g_queue_pop_head(&objects->history));
    }
}

/// @return the resource version in the object's metadata, or NULL.
static const char *
get_resource_version(const json_t *object)
{
    const json_t *metadata = json_object_get(object, "metadata");
    return json_string_value(json_object_get(metadata, "resourceVersion"));
}

/// Sets the name and the next resource version in the object's metadata.
static void
set_metadata(struct objects *objects, json_t *object, const char *name)
{
    json_t *metadata = json_object_get(object, "metadata");
    if (!json_is_object(metadata)) {
        metadata = json_object();
        json_object_set_new(object, "metadata", metadata);
    }
    char text[32];
    snprintf(text, sizeof(text), "%" PRIu64, ++objects->resource_version);
    json_object_set_new(metadata, "resourceVersion", json_string(text));
    json_object_set_new(metadata, "name", json_string(name));
}

static bool
too_large(const json_t *object)
{
    return json_dumpb(object, NULL, 0, JSON_COMPACT) > OBJECTS_VALUE_MAX_BYTES;
}

/// Stores an object under the next resource version and records the change.
static void
store(struct objects *objects, const char *kind, const char *name,
      json_t *object, const char *type)
{
    set_metadata(objects, object, name);
    g_hash_table_replace(objects->by_path, make_path(kind, name),
                         json_incref(object));
    record_event(objects, kind, type, object);
}

enum objects_result
Objects_Create(struct objects *objects, const char *kind, const char *name,
               json_t *object)
{
    if (Objects_Get(objects, kind, name) != NULL) {
        return OBJECTS_CONFLICT;
    }
    if (too_large(object)) {
        return OBJECTS_TOO_LARGE;
    }
    store(objects, kind, name, object, "ADDED");
    return OBJECTS_CREATED;
}

enum objects_result
Objects_Update(struct objects *objects, const char *kind, const char *name,
               json_t *object)
{
    const json_t *current = Objects_Get(objects, kind, name);
    if (current == NULL) {
        return OBJECTS_NOT_FOUND;
    }
    const char *expected = get_resource_version(object);
    if (expected != NULL &&
        strcmp(expected, get_resource_version(current)) != 0) {
        return OBJECTS_CONFLICT;
    }
    if (too_large(object)) {
        return OBJECTS_TOO_LARGE;
    }
    store(objects, kind, name, object, "MODIFIED");
    return OBJECTS_OK;
}

enum objects_result
Objects_Delete(struct objects *objects, const char *kind, const char *name)
{
    json_t *current = Objects_Get(objects, kind, name);
    if (current == NULL) {
        return OBJECTS_NOT_FOUND;
    }
    json_t *last = json_deep_copy(current);
    set_metadata(objects, last, name);
    char *path = make_path(kind, name);
    g_hash_table_remove(objects->by_path, path);
    g_free(path);
    record_event(objects, kind, "DELETED", last);
    json_decref(last);
    return OBJECTS_OK;
}

json_t *
Objects_List(const struct objects *objects, const char *kind)
{
    json_t *items = json_array();
    char *prefix = g_strconcat(kind, "/", NULL);
    GHashTableIter iter;
    gpointer path;
    gpointer object;
    g_hash_table_iter_init(&iter, objects->by_path);
    while (g_hash_table_iter_next(&iter, &path, &object)) {
        if (g_str_has_prefix(path, prefix)) {
            json_array_append(items, object);
        }
    }
    g_free(prefix);
    char resource_version[32];
    snprintf(resource_version, sizeof(resource_version), "%" PRIu64,
             objects->resource_version);
    return json_pack("{s:s,s:{s:s},s:o}", "kind", "List", "metadata",
                     "resourceVersion", resource_version, "items", items);
}
