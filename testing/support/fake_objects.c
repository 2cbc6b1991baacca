/// @file fake_objects.c
/// The object API in memory.

#include "fake_objects.h"

#include <stdio.h>
#include <string.h>

enum fake_method { FAKE_GET, FAKE_CREATE, FAKE_UPDATE, FAKE_REMOVE };

struct fake_call {
    struct cm_object_call *call;
    enum fake_method method;
    char *path;
    json_t *object;
};

void
FakeStore_Init(struct fake_store *store)
{
    memset(store, 0, sizeof(*store));
    store->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                           (GDestroyNotify)json_decref);
}

void
FakeStore_Finish(struct fake_store *store)
{
    g_hash_table_destroy(store->objects);
}

static void
enqueue(struct cm_objects *base, struct cm_object_call *call,
        enum fake_method method, const char *kind, const char *name,
        const json_t *object)
{
    struct fake_objects *objects = (struct fake_objects *)base;
    struct fake_call *fake = g_new0(struct fake_call, 1);
    fake->call = call;
    fake->method = method;
    fake->path = g_strconcat(kind, "/", name, NULL);
    fake->object = object != NULL ? json_deep_copy(object) : NULL;
    call->active = true;
    g_queue_push_tail(&objects->calls, fake);
}

static void
get(struct cm_objects *objects, struct cm_object_call *call, const char *kind,
    const char *name)
{
    enqueue(objects, call, FAKE_GET, kind, name, NULL);
}

static void
create(struct cm_objects *objects, struct cm_object_call *call,
       const char *kind, const char *name, const json_t *object)
{
    enqueue(objects, call, FAKE_CREATE, kind, name, object);
}

static void
update(struct cm_objects *objects, struct cm_object_call *call,
       const char *kind, const char *name, const json_t *object)
{
    enqueue(objects, call, FAKE_UPDATE, kind, name, object);
}

static void
remove_object(struct cm_objects *objects, struct cm_object_call *call,
              const char *kind, const char *name)
{
    enqueue(objects, call, FAKE_REMOVE, kind, name, NULL);
}

static void
watch(struct cm_objects *base, struct cm_object_watch *watch, const char *kind,
      const char *version)
{
    ((struct fake_objects *)base)->watch = watch;
}

static void
unwatch(struct cm_objects *base, struct cm_object_watch *watch)
{
    ((struct fake_objects *)base)->watch = NULL;
}

static void
call_free(struct fake_call *fake)
{
    g_free(fake->path);
    json_decref(fake->object);
    g_free(fake);
}

static void
cancel(struct cm_objects *base, struct cm_object_call *call)
{
    struct fake_objects *objects = (struct fake_objects *)base;
    GList *item = objects->calls.head;
    while (item != NULL) {
        GList *next = item->next;
        struct fake_call *fake = item->data;
        if (fake->call == call) {
            g_queue_delete_link(&objects->calls, item);
            call_free(fake);
        }
        item = next;
    }
    call->active = false;
}

static const struct cm_objects_ops fake_ops = {
    get, create, update, remove_object, watch, cancel, unwatch};

void
FakeObjects_Init(struct fake_objects *objects, struct fake_store *store)
{
    memset(objects, 0, sizeof(*objects));
    objects->base.ops = &fake_ops;
    objects->store = store;
    g_queue_init(&objects->calls);
}

void
FakeObjects_Finish(struct fake_objects *objects)
{
    struct fake_call *fake;
    while ((fake = g_queue_pop_head(&objects->calls)) != NULL) {
        call_free(fake);
    }
}

static enum cm_object_result
store_object(struct fake_store *store, struct fake_call *fake)
{
    const json_t *present = g_hash_table_lookup(store->objects, fake->path);
    const char *expected = CmObject_Version(fake->object);
    store->writes++;
    if (fake->method == FAKE_CREATE && present != NULL) {
        return CM_OBJECT_CONFLICT;
    }
    if (fake->method == FAKE_UPDATE && present == NULL) {
        return CM_OBJECT_NOT_FOUND;
    }
    if (fake->method == FAKE_UPDATE && expected != NULL &&
        strcmp(expected, CmObject_Version(present)) != 0) {
        return CM_OBJECT_CONFLICT;
    }
    if (store->value_max > 0 &&
        json_dumpb(fake->object, NULL, 0, JSON_COMPACT) > store->value_max) {
        return CM_OBJECT_LIMIT;
    }
    char version[24];
    snprintf(version, sizeof(version), "%llu",
             (unsigned long long)++store->version);
    json_object_set_new(json_object_get(fake->object, "metadata"),
                        "resourceVersion", json_string(version));
    g_hash_table_replace(store->objects, g_strdup(fake->path),
                         json_incref(fake->object));
    return CM_OBJECT_OK;
}

static enum cm_object_result
carry_out(struct fake_store *store, struct fake_call *fake)
{
    switch (fake->method) {
    case FAKE_GET:
        store->reads++;
        return g_hash_table_contains(store->objects, fake->path)
                   ? CM_OBJECT_OK
                   : CM_OBJECT_NOT_FOUND;
    case FAKE_REMOVE:
        store->writes++;
        return g_hash_table_remove(store->objects, fake->path)
                   ? CM_OBJECT_OK
                   : CM_OBJECT_NOT_FOUND;
    default:
        return store_object(store, fake);
    }
}

bool
FakeObjects_CompleteNext(struct fake_objects *objects)
{
    struct fake_call *fake = g_queue_pop_head(&objects->calls);
    if (fake == NULL) {
        return false;
    }
    enum fake_fault fault = FAKE_NO_FAULT;
    if (objects->faults_left > 0) {
        objects->faults_left--;
        fault = objects->fault;
    }
    enum cm_object_result result = CM_OBJECT_INDETERMINATE;
    if (fault == FAKE_NO_FAULT || fault == FAKE_RESPONSE_LOST) {
        result = carry_out(objects->store, fake);
    }
    if (fault == FAKE_RESPONSE_LOST) {
        result = CM_OBJECT_INDETERMINATE;
    }
    if (fault == FAKE_CONNECTION_REFUSED) {
        result = CM_OBJECT_REFUSED;
    }
    json_t *object = NULL;
    if (result == CM_OBJECT_OK && fake->method != FAKE_REMOVE) {
        object = json_deep_copy(
            g_hash_table_lookup(objects->store->objects, fake->path));
    }
    struct cm_object_call *call = fake->call;
    call_free(fake);
    call->active = false;
    call->done(call->context, result, object);
    json_decref(object);
    return true;
}
