/// @file openai.c
/// Orders to an OpenAI-compatible engine with vLLM's adapter endpoints:
/// POST /v1/load_lora_adapter, POST /v1/unload_lora_adapter, GET /v1/models.
/// Health checks use GET /health, load reports GET /load, and cancellation
/// POST /v1/cancel.

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine/engine.h"

#define STATUS_OK 200
#define STATUS_CONFLICT 409
/// Longest response, as of the list of adapters.
#define RESPONSE_MAX_BYTES ((size_t)4 * 1024 * 1024)

static void
on_head(void *context, int status, const struct cm_h1_head *head)
{
    ((struct cm_order *)context)->status = status;
}

static void
on_data(void *context, const void *data, size_t size)
{
    struct cm_order *order = context;
    g_string_append_len(order->body, data, (gssize)size);
}

static bool
is_fence_error(const char *body)
{
    return strstr(body, "stale_fence") != NULL;
}

static enum cm_order_end
classify_end(const struct cm_order *order, enum cm_http_result end)
{
    if (end == CM_HTTP_NOT_CONNECTED) {
        return CM_ORDER_UNREACHABLE;
    }
    if (end == CM_HTTP_INTERRUPTED) {
        return CM_ORDER_UNKNOWN;
    }
    if (order->status == STATUS_OK) {
        return CM_ORDER_DONE;
    }
    if (order->status == STATUS_CONFLICT && is_fence_error(order->body->str)) {
        return CM_ORDER_FENCED;
    }
    return CM_ORDER_FAILED;
}

/// @return the adapters in a model list, to be freed with g_strfreev(). Their
///         names are NAME@VERSION; the name of the base model has no "@".
static char **
parse_adapters(const char *body)
{
    json_t *json = json_loads(body, 0, NULL);
    json_t *data = json_object_get(json, "data");
    GPtrArray *names = g_ptr_array_new();
    size_t i;
    json_t *item;
    json_array_foreach(data, i, item)
    {
        const char *id = json_string_value(json_object_get(item, "id"));
        if (id != NULL && strchr(id, '@') != NULL) {
            g_ptr_array_add(names, g_strdup(id));
        }
    }
    json_decref(json);
    g_ptr_array_add(names, NULL);
    return (char **)g_ptr_array_free(names, FALSE);
}

static int64_t
parse_load(const char *body)
{
    json_t *json = json_loads(body, 0, NULL);
    int64_t busy = json_integer_value(json_object_get(json, "running")) +
                   json_integer_value(json_object_get(json, "waiting"));
    json_decref(json);
    return busy;
}

static void
on_end(void *context, enum cm_http_result http_end)
{
    struct cm_order *order = context;
    enum cm_order_end end = classify_end(order, http_end);
    struct cm_order_response response = {0};
    if (order->body_kind == CM_ORDER_BODY_ADAPTERS && end == CM_ORDER_DONE) {
        response.adapters = parse_adapters(order->body->str);
    }
    if (order->body_kind == CM_ORDER_BODY_LOAD && end == CM_ORDER_DONE) {
        response.busy = parse_load(order->body->str);
    }
    order->callback(order->context, end, &response);
    g_strfreev(response.adapters);
}

static const struct cm_http_handler order_handler = {on_head, on_data, on_end};

static void
start_order(struct cm_engine *engine, struct cm_order *order,
            enum evhttp_cmd_type method, const char *path, const char *body,
            int64_t timeout_ms)
{
    char fence[32];
    snprintf(fence, sizeof(fence), "%llu", (unsigned long long)engine->fence);
    struct cm_http_header headers[] = {{"X-Fence", fence},
                                       {"Content-Type", "application/json"}};
    struct cm_http_request request = {
        .address = engine->address,
        .method = method,
        .path = path,
        .headers = headers,
        .n_headers = G_N_ELEMENTS(headers),
        .body = body,
        .body_size = body != NULL ? strlen(body) : 0,
        .timeout_ms = timeout_ms,
        .body_max_bytes = RESPONSE_MAX_BYTES,
    };
    order->status = 0;
    g_string_truncate(order->body, 0);
    CmHttpCall_Start(&order->call, engine->client, &request, &order_handler,
                     order);
}

static void
start_adapter_order(struct cm_engine *engine, struct cm_order *order,
                    const char *path, const char *adapter, int64_t timeout_ms)
{
    json_t *json =
        json_pack("{s:s,s:s}", "lora_name", adapter, "lora_path", adapter);
    char *body = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    order->body_kind = CM_ORDER_BODY_IGNORED;
    start_order(engine, order, EVHTTP_REQ_POST, path, body, timeout_ms);
    free(body);
}

static void
load(struct cm_engine *engine, struct cm_order *order, const char *adapter)
{
    start_adapter_order(engine, order, "/v1/load_lora_adapter", adapter,
                        CM_LOAD_TIMEOUT_MS);
}

static void
unload(struct cm_engine *engine, struct cm_order *order, const char *adapter)
{
    start_adapter_order(engine, order, "/v1/unload_lora_adapter", adapter,
                        CM_ORDER_TIMEOUT_MS);
}

static void
list(struct cm_engine *engine, struct cm_order *order)
{
    order->body_kind = CM_ORDER_BODY_ADAPTERS;
    start_order(engine, order, EVHTTP_REQ_GET, "/v1/models", NULL,
                CM_ORDER_TIMEOUT_MS);
}

static void
health(struct cm_engine *engine, struct cm_order *order)
{
    order->body_kind = CM_ORDER_BODY_IGNORED;
    start_order(engine, order, EVHTTP_REQ_GET, "/health", NULL,
                CM_ORDER_TIMEOUT_MS);
}

static void
cancel(struct cm_engine *engine, struct cm_order *order, const char *id)
{
    json_t *json = json_pack("{s:s}", "id", id);
    char *body = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    order->body_kind = CM_ORDER_BODY_IGNORED;
    start_order(engine, order, EVHTTP_REQ_POST, "/v1/cancel", body,
                CM_ORDER_TIMEOUT_MS);
    free(body);
}

static void
report(struct cm_engine *engine, struct cm_order *order)
{
    order->body_kind = CM_ORDER_BODY_LOAD;
    start_order(engine, order, EVHTTP_REQ_GET, "/load", NULL,
                CM_ORDER_TIMEOUT_MS);
}

static const struct cm_engine_ops openai_ops = {load,   unload, list,
                                                health, report, cancel};

void
CmEngine_InitOpenAi(struct cm_engine *engine, struct cm_http_client *client,
                    const char *address, uint64_t fence)
{
    engine->ops = &openai_ops;
    engine->client = client;
    engine->address = address;
    engine->fence = fence;
}

void
CmOrder_Init(struct cm_order *order, cm_order_callback callback, void *context)
{
    memset(order, 0, sizeof(*order));
    order->callback = callback;
    order->context = context;
    order->body = g_string_new(NULL);
}

void
CmOrder_Finish(struct cm_order *order)
{
    CmHttpCall_Cancel(&order->call);
    g_string_free(order->body, TRUE);
}

bool
CmOrder_Active(const struct cm_order *order)
{
    return CmHttpCall_Active(&order->call);
}
