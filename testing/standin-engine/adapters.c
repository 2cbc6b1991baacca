/// @file adapters.c
/// Loading and unloading of adapters. A load fetches the weights from the
/// weight store and then occupies a slot.

#include "adapters.h"

#include <stdlib.h>
#include <string.h>

#include "http/server.h"

#define WEIGHTS_TIMEOUT_MS 60000

/// A load in progress.
struct engine_load {
    LIST_ENTRY(engine_load) link;
    struct engine *engine;
    struct evhttp_request *request; ///< NULL once the client has disconnected
    char *name;                     ///< of the adapter
    struct cm_http_call call;       ///< to the weight store
};

void
Adapters_Free(gpointer data)
{
    struct engine_adapter *adapter = data;
    g_free(adapter->name);
    g_free(adapter);
}

struct engine_adapter *
Adapters_Find(const struct engine *engine, const char *name)
{
    return g_hash_table_lookup(engine->adapters, name);
}

/// Checks the fencing token and the adapter name of an order to load or unload
/// an adapter.
/// @param body set to the parsed body, which the caller frees.
/// @return the name, owned by `*body`, or NULL if an error has been sent.
static const char *
check_order(struct engine *engine, struct evhttp_request *request,
            json_t **body)
{
    *body = CmHttp_JsonBody(request);
    const char *name = json_string_value(json_object_get(*body, "lora_name"));
    const char *text = evhttp_find_header(
        evhttp_request_get_input_headers(request), "X-Fence");
    uint64_t fence = text != NULL ? strtoull(text, NULL, 10) : 0;
    if (engine->shared->reject_stale_fence && fence < engine->last_fence) {
        CmHttp_ReplyError(request, 409, "stale_fence",
                          "the order has a stale fencing token");
        return NULL;
    }
    if (fence > engine->last_fence) {
        engine->last_fence = fence;
    }
    if (name == NULL) {
        CmHttp_ReplyError(request, 400, "invalid_request_error",
                          "the body has no lora_name");
    }
    return name;
}

static void
free_load(struct engine_load *load)
{
    CmHttpCall_Cancel(&load->call);
    LIST_REMOVE(load, link);
    g_free(load->name);
    g_free(load);
}

void
Adapters_AbortLoads(struct engine *engine)
{
    struct engine_load *load;
    while ((load = LIST_FIRST(&engine->loads)) != NULL) {
        if (load->request != NULL) {
            CmHttp_CloseWithoutReply(load->request);
        }
        free_load(load);
    }
}

/// Handles a closed client connection. The load continues without a client.
static void
abandon_load_request(struct evhttp_connection *connection, void *context)
{
    struct engine_load *load = context;
    CmHttp_FreeDetached(load->request);
    load->request = NULL;
}

/// Puts an adapter into a free slot.
static void
occupy_slot(struct engine *engine, const char *name)
{
    struct engine_adapter *adapter = g_new0(struct engine_adapter, 1);
    adapter->name = g_strdup(name);
    g_hash_table_insert(engine->adapters, adapter->name, adapter);
}

/// Completes a load: fills a slot unless the transfer or, by an injected
/// fault, the load failed, and answers the client if it is still connected.
static void
finish_load(void *context, enum cm_http_result end)
{
    struct engine_load *load = context;
    struct engine *engine = load->engine;
    struct evhttp_request *request = load->request;
    double failure = engine->faults.load_failure_rate;
    bool failed = end != CM_HTTP_COMPLETE ||
                  g_rand_double(engine->shared->random) < failure;
    bool full =
        g_hash_table_size(engine->adapters) >= (guint)engine->shared->slots;
    if (!failed && !full && Adapters_Find(engine, load->name) == NULL) {
        occupy_slot(engine, load->name);
    }
    free_load(load);
    if (request == NULL) {
        return;
    }
    CmHttp_UnwatchClose(request);
    if (failed) {
        CmHttp_ReplyError(request, 500, "load_failed",
                          "loading the adapter failed");
    }
    else if (full) {
        CmHttp_ReplyError(request, 409, "no_slot", "no adapter slot is free");
    }
    else {
        CmHttp_ReplyText(request, HTTP_OK, "text/plain", "Success");
    }
}

void
Adapters_Load(struct engine *engine, struct evhttp_request *request)
{
    json_t *body;
    const char *name = check_order(engine, request, &body);
    if (name == NULL) {
        json_decref(body);
        return;
    }
    static const struct cm_http_handler handler = {.done = finish_load};
    struct engine_load *load = g_new0(struct engine_load, 1);
    load->engine = engine;
    load->request = request;
    load->name = g_strdup(name);
    LIST_INSERT_HEAD(&engine->loads, load, link);
    CmHttp_WatchClose(request, abandon_load_request, load);
    char *path = g_strconcat("/weights/", name, NULL);
    struct cm_http_request fetch = {.address = engine->shared->weights,
                                    .method = EVHTTP_REQ_GET,
                                    .path = path,
                                    .timeout_ms = WEIGHTS_TIMEOUT_MS};
    CmHttpCall_Start(&load->call, &engine->shared->client, &fetch, &handler,
                     load);
    g_free(path);
    json_decref(body);
}

void
Adapters_Unload(struct engine *engine, struct evhttp_request *request)
{
    json_t *body;
    const char *name = check_order(engine, request, &body);
    if (name != NULL) {
        struct engine_adapter *adapter = Adapters_Find(engine, name);
        if (adapter != NULL && adapter->users > 0) {
            engine->evicted_in_use++;
        }
        g_hash_table_remove(engine->adapters, name);
        CmHttp_ReplyText(request, HTTP_OK, "text/plain", "Success");
    }
    json_decref(body);
}
