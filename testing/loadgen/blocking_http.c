/// @file blocking_http.c
/// Synchronous HTTP client. Each call runs a private event loop, so that any
/// thread can make calls.

#include "blocking_http.h"

#include <string.h>

#include <glib.h>

#include "http/client.h"

#define TIMEOUT_MS 12000

struct blocking_call {
    struct event_base *base;
    GString *body;
    int status;
    bool completed;
};

static void
store_status(void *context, int status, const struct cm_h1_head *head)
{
    ((struct blocking_call *)context)->status = status;
}

static void
append_body(void *context, const void *data, size_t size)
{
    g_string_append_len(((struct blocking_call *)context)->body, data,
                        (gssize)size);
}

static void
stop_loop(void *context, enum cm_http_result result)
{
    struct blocking_call *blocking_call = context;
    blocking_call->completed = result == CM_HTTP_COMPLETE;
    event_base_loopbreak(blocking_call->base);
}

static char *
call_and_wait(const char *address, enum evhttp_cmd_type method,
              const char *path, const char *if_match, const char *body,
              int *status)
{
    static const struct cm_http_handler handler = {store_status, append_body,
                                                   stop_loop};
    struct blocking_call blocking_call = {.base = event_base_new(),
                                          .body = g_string_new(NULL)};
    struct cm_http_client client;
    CmHttpClient_Init(&client, blocking_call.base);
    struct cm_http_call http = {0};
    struct cm_http_header header = {"If-Match", if_match};
    struct cm_http_request request = {
        .address = address,
        .method = method,
        .path = path,
        .headers = &header,
        .n_headers = if_match != NULL,
        .body = body,
        .body_size = body != NULL ? strlen(body) : 0,
        .timeout_ms = TIMEOUT_MS,
    };
    CmHttpCall_Start(&http, &client, &request, &handler, &blocking_call);
    event_base_dispatch(blocking_call.base);
    CmHttpClient_Finish(&client);
    event_base_free(blocking_call.base);
    if (status != NULL) {
        *status = blocking_call.status;
    }
    char *text = g_string_free(blocking_call.body, FALSE);
    if (!blocking_call.completed) {
        g_free(text);
        return NULL;
    }
    return text;
}

char *
BlockingHttp_Call(const char *address, enum evhttp_cmd_type method,
                  const char *path, const char *body, int *status)
{
    return call_and_wait(address, method, path, NULL, body, status);
}

char *
BlockingHttp_Put(const char *address, const char *path, const char *if_match,
                 const char *body, int *status)
{
    return call_and_wait(address, EVHTTP_REQ_PUT, path, if_match, body,
                         status);
}

json_t *
BlockingHttp_GetJson(const char *address, const char *path)
{
    char *text = BlockingHttp_Call(address, EVHTTP_REQ_GET, path, NULL, NULL);
    json_t *json = text != NULL ? json_loads(text, 0, NULL) : NULL;
    g_free(text);
    return json;
}
