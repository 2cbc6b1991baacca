/// @file blocking_http.c
/// Blocking HTTP calls on a loop of their own.

#include "blocking_http.h"

#include <string.h>

#include <glib.h>

#include "http/client.h"

#define TIMEOUT_MS 12000

struct blocking {
    struct event_base *base;
    GString *body;
    int status;
    bool complete;
};

static void
on_head(void *context, int status, struct evkeyvalq *headers)
{
    ((struct blocking *)context)->status = status;
}

static void
on_data(void *context, const void *data, size_t size)
{
    g_string_append_len(((struct blocking *)context)->body, data,
                        (gssize)size);
}

static void
on_end(void *context, enum cm_http_result end)
{
    struct blocking *blocking = context;
    blocking->complete = end == CM_HTTP_COMPLETE;
    event_base_loopbreak(blocking->base);
}

static char *
call(const char *address, enum evhttp_cmd_type method, const char *path,
     const char *match, const char *body, int *status)
{
    static const struct cm_http_handler handler = {on_head, on_data, on_end};
    struct blocking blocking = {.base = event_base_new(),
                                .body = g_string_new(NULL)};
    struct cm_http_client client;
    CmHttpClient_Init(&client, blocking.base);
    struct cm_http_call http = {0};
    struct cm_http_header header = {"If-Match", match};
    struct cm_http_request request = {
        .address = address,
        .method = method,
        .path = path,
        .headers = &header,
        .n_headers = match != NULL,
        .body = body,
        .body_size = body != NULL ? strlen(body) : 0,
        .timeout_ms = TIMEOUT_MS,
    };
    CmHttpCall_Start(&http, &client, &request, &handler, &blocking);
    event_base_dispatch(blocking.base);
    CmHttpClient_Finish(&client);
    event_base_free(blocking.base);
    if (status != NULL) {
        *status = blocking.status;
    }
    char *text = g_string_free(blocking.body, FALSE);
    if (!blocking.complete) {
        g_free(text);
        return NULL;
    }
    return text;
}

char *
Blocking_Call(const char *address, enum evhttp_cmd_type method,
              const char *path, const char *body, int *status)
{
    return call(address, method, path, NULL, body, status);
}

char *
Blocking_Put(const char *address, const char *path, const char *match,
             const char *body, int *status)
{
    return call(address, EVHTTP_REQ_PUT, path, match, body, status);
}

json_t *
Blocking_GetJson(const char *address, const char *path)
{
    char *text = Blocking_Call(address, EVHTTP_REQ_GET, path, NULL, NULL);
    json_t *json = text != NULL ? json_loads(text, 0, NULL) : NULL;
    g_free(text);
    return json;
}
