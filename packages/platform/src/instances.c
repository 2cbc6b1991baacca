/// @file instances.c
/// Client of the instance list over HTTP: GET /instances.

#include "platform/instances.h"

#include <jansson.h>
#include <string.h>

#include "http/client.h"
#include "platform/objects_defs.h"

#define STATUS_OK 200
/// Longest instance list: 1 KiB for each of 16,384 instances.
#define LIST_MAX_BYTES ((size_t)16 * 1024 * 1024)

static void
on_head(void *context, int status, const struct cm_h1_head *head)
{
    ((struct cm_http_instances *)context)->status = status;
}

static void
on_data(void *context, const void *data, size_t size)
{
    struct cm_http_instances *instances = context;
    g_string_append_len(instances->body, data, (gssize)size);
}

static const char *
string_field(const json_t *item, const char *name)
{
    const char *text = json_string_value(json_object_get(item, name));
    return text != NULL ? text : "";
}

static void
deliver_items(struct cm_http_instances *instances, const json_t *items)
{
    size_t n = json_array_size(items);
    struct cm_instance *list = g_new0(struct cm_instance, n + 1);
    for (size_t i = 0; i < n; i++) {
        const json_t *item = json_array_get(items, i);
        list[i].name = string_field(item, "name");
        list[i].role = string_field(item, "role");
        list[i].zone = string_field(item, "zone");
        list[i].address = string_field(item, "address");
        list[i].shutting_down =
            strcmp(string_field(item, "state"), "leaving") == 0;
    }
    instances->base.done(instances->base.context, true, list, n);
    g_free(list);
}

static void
on_done(void *context, enum cm_http_result result)
{
    struct cm_http_instances *instances = context;
    json_t *json = NULL;
    if (result == CM_HTTP_COMPLETE && instances->status == STATUS_OK) {
        json = json_loadb(instances->body->str, instances->body->len, 0, NULL);
    }
    json_t *items = json_object_get(json, "items");
    if (json_is_array(items)) {
        deliver_items(instances, items);
    }
    else {
        instances->base.done(instances->base.context, false, NULL, 0);
    }
    json_decref(json);
}

static const struct cm_http_handler handler = {on_head, on_data, on_done};

static void
list_instances(struct cm_instances *base)
{
    struct cm_http_instances *instances = (struct cm_http_instances *)base;
    if (CmHttpCall_Active(&instances->http)) {
        return;
    }
    struct cm_http_request request = {
        .address = instances->address,
        .method = EVHTTP_REQ_GET,
        .path = "/instances",
        .timeout_ms = CM_OBJECT_TIMEOUT_MS,
        .body_max_bytes = LIST_MAX_BYTES,
    };
    base->reads++;
    g_string_truncate(instances->body, 0);
    CmHttpCall_Start(&instances->http, instances->client, &request, &handler,
                     instances);
}

static void
cancel_list(struct cm_instances *base)
{
    CmHttpCall_Cancel(&((struct cm_http_instances *)base)->http);
}

static const struct cm_instances_ops http_ops = {list_instances, cancel_list};

void
CmHttpInstances_Init(struct cm_http_instances *instances,
                     struct cm_http_client *client, const char *address,
                     cm_instances_done done, void *context)
{
    memset(instances, 0, sizeof(*instances));
    instances->base.ops = &http_ops;
    instances->base.done = done;
    instances->base.context = context;
    instances->client = client;
    instances->address = address;
    instances->body = g_string_new(NULL);
}

void
CmHttpInstances_Finish(struct cm_http_instances *instances)
{
    CmHttpCall_Cancel(&instances->http);
    g_string_free(instances->body, TRUE);
}
