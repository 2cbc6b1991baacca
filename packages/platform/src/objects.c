/// @file objects.c
/// Client of the object API over HTTP.

#include "platform/objects.h"

#include <stdlib.h>
#include <string.h>

#include "http/client.h"

#define API_PREFIX "/apis/coriandermoor.io/v1/"
#define STATUS_OK 200
#define STATUS_CREATED 201
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_TOO_LARGE 413
#define STATUS_TOO_MANY 429
#define STATUS_SERVER_ERROR 500

static void
on_head(void *context, int status, const struct cm_h1_head *head)
{
    ((struct cm_object_call *)context)->status = status;
}

static void
on_data(void *context, const void *data, size_t size)
{
    struct cm_object_call *call = context;
    g_string_append_len(call->body, data, (gssize)size);
}

static enum cm_object_result
classify(const struct cm_object_call *call, enum cm_http_result http_result)
{
    if (http_result == CM_HTTP_NOT_CONNECTED) {
        return CM_OBJECT_REFUSED;
    }
    if (http_result == CM_HTTP_INTERRUPTED ||
        call->status >= STATUS_SERVER_ERROR) {
        return CM_OBJECT_INDETERMINATE;
    }
    switch (call->status) {
    case STATUS_OK:
    case STATUS_CREATED:
        return CM_OBJECT_OK;
    case STATUS_NOT_FOUND:
        return CM_OBJECT_NOT_FOUND;
    case STATUS_CONFLICT:
        return CM_OBJECT_CONFLICT;
    case STATUS_TOO_LARGE:
    case STATUS_TOO_MANY:
        return CM_OBJECT_LIMIT;
    default:
        return CM_OBJECT_REFUSED;
    }
}

static void
on_done(void *context, enum cm_http_result http_result)
{
    struct cm_object_call *call = context;
    enum cm_object_result result = classify(call, http_result);
    json_t *object = NULL;
    if (result == CM_OBJECT_OK) {
        object = json_loadb(call->body->str, call->body->len, 0, NULL);
        if (object == NULL) {
            result = CM_OBJECT_INDETERMINATE;
        }
    }
    call->active = false;
    call->done(call->context, result, object);
    json_decref(object);
}

static const struct cm_http_handler call_handler = {on_head, on_data, on_done};

static void
start_call(struct cm_objects *base, struct cm_object_call *call,
           enum evhttp_cmd_type method, const char *kind, const char *name,
           const json_t *object)
{
    struct cm_http_objects *objects = (struct cm_http_objects *)base;
    char *path = g_strconcat(API_PREFIX, kind, "/", name, NULL);
    char *body = object != NULL ? json_dumps(object, JSON_COMPACT) : NULL;
    static const struct cm_http_header headers[] = {
        {"Content-Type", "application/json"}};
    struct cm_http_request request = {
        .address = objects->address,
        .method = method,
        .path = path,
        .headers = headers,
        .n_headers = body != NULL,
        .body = body,
        .body_size = body != NULL ? strlen(body) : 0,
        .timeout_ms = CM_OBJECT_TIMEOUT_MS,
        .body_max_bytes = CM_OBJECT_RESPONSE_MAX_BYTES,
    };
    call->active = true;
    call->status = 0;
    g_string_truncate(call->body, 0);
    if (method == EVHTTP_REQ_GET) {
        base->reads++;
    }
    else {
        base->writes++;
    }
    CmHttpCall_Start(&call->http, objects->client, &request, &call_handler,
                     call);
    free(body);
    g_free(path);
}

static void
get_object(struct cm_objects *objects, struct cm_object_call *call,
           const char *kind, const char *name)
{
    start_call(objects, call, EVHTTP_REQ_GET, kind, name, NULL);
}

static void
create_object(struct cm_objects *objects, struct cm_object_call *call,
              const char *kind, const char *name, const json_t *object)
{
    start_call(objects, call, EVHTTP_REQ_POST, kind, name, object);
}

static void
update_object(struct cm_objects *objects, struct cm_object_call *call,
              const char *kind, const char *name, const json_t *object)
{
    start_call(objects, call, EVHTTP_REQ_PUT, kind, name, object);
}

static void
remove_object(struct cm_objects *objects, struct cm_object_call *call,
              const char *kind, const char *name)
{
    start_call(objects, call, EVHTTP_REQ_DELETE, kind, name, NULL);
}

static void
cancel_call(struct cm_objects *objects, struct cm_object_call *call)
{
    call->active = false;
    CmHttpCall_Cancel(&call->http);
}

static void
deliver_event(struct cm_object_watch *watch, const char *line, size_t size)
{
    json_t *event = json_loadb(line, size, 0, NULL);
    const char *type = json_string_value(json_object_get(event, "type"));
    json_t *object = json_object_get(event, "object");
    if (type != NULL && object != NULL) {
        watch->event(watch->context, type, object);
    }
    json_decref(event);
}

static void
on_watch_data(void *context, const void *data, size_t size)
{
    struct cm_object_watch *watch = context;
    g_string_append_len(watch->partial_line, data, (gssize)size);
    char *newline;
    while ((newline = memchr(watch->partial_line->str, '\n',
                             watch->partial_line->len)) != NULL) {
        size_t length = (size_t)(newline - watch->partial_line->str);
        deliver_event(watch, watch->partial_line->str, length);
        g_string_erase(watch->partial_line, 0, (gssize)length + 1);
    }
    // Bounds the memory of a line without end. The rest of such a line is
    // skipped as malformed JSON.
    if (watch->partial_line->len > CM_OBJECT_RESPONSE_MAX_BYTES) {
        g_string_truncate(watch->partial_line, 0);
    }
}

static void
on_watch_done(void *context, enum cm_http_result http_result)
{
    struct cm_object_watch *watch = context;
    watch->ended(watch->context);
}

static const struct cm_http_handler watch_handler = {NULL, on_watch_data,
                                                     on_watch_done};

static void
start_watch(struct cm_objects *base, struct cm_object_watch *watch,
            const char *kind, const char *version)
{
    struct cm_http_objects *objects = (struct cm_http_objects *)base;
    char *path = g_strdup_printf(
        "%s%s?watch=true&allowWatchBookmarks=true&resourceVersion=%s",
        API_PREFIX, kind, version);
    struct cm_http_request request = {
        .address = objects->address,
        .method = EVHTTP_REQ_GET,
        .path = path,
        .timeout_ms = CM_WATCH_IDLE_TIMEOUT_MS,
    };
    base->watches++;
    g_string_truncate(watch->partial_line, 0);
    CmHttpCall_Start(&watch->http, objects->client, &request, &watch_handler,
                     watch);
    g_free(path);
}

static void
cancel_watch(struct cm_objects *objects, struct cm_object_watch *watch)
{
    CmHttpCall_Cancel(&watch->http);
}

static const struct cm_objects_ops http_ops = {
    get_object,  create_object, update_object, remove_object,
    start_watch, cancel_call,   cancel_watch};

void
CmHttpObjects_Init(struct cm_http_objects *objects,
                   struct cm_http_client *client, const char *address)
{
    memset(objects, 0, sizeof(*objects));
    objects->base.ops = &http_ops;
    objects->client = client;
    objects->address = address;
}

void
CmObjectCall_Init(struct cm_object_call *call, cm_object_done done,
                  void *context)
{
    memset(call, 0, sizeof(*call));
    call->done = done;
    call->context = context;
    call->body = g_string_new(NULL);
}

void
CmObjectCall_Finish(struct cm_objects *objects, struct cm_object_call *call)
{
    objects->ops->cancel(objects, call);
    g_string_free(call->body, TRUE);
}

void
CmObjectWatch_Init(struct cm_object_watch *watch, cm_object_event event,
                   void (*ended)(void *context), void *context)
{
    memset(watch, 0, sizeof(*watch));
    watch->event = event;
    watch->ended = ended;
    watch->context = context;
    watch->partial_line = g_string_new(NULL);
}

void
CmObjectWatch_Finish(struct cm_objects *objects, struct cm_object_watch *watch)
{
    objects->ops->unwatch(objects, watch);
    g_string_free(watch->partial_line, TRUE);
}

const char *
CmObject_Version(const json_t *object)
{
    return json_string_value(json_object_get(
        json_object_get(object, "metadata"), "resourceVersion"));
}

json_t *
CmObject_Spec(const json_t *object)
{
    return json_object_get(object, "spec");
}

json_t *
CmObject_New(const char *version, json_t *spec)
{
    json_t *metadata = json_object();
    if (version != NULL) {
        json_object_set_new(metadata, "resourceVersion", json_string(version));
    }
    return json_pack("{s:o,s:o}", "metadata", metadata, "spec", spec);
}
