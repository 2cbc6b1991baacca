/// @file server.c
/// HTTP server helpers over evhttp.

#include "http/server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "http/client.h"

static const struct {
    const char *name;
    enum evhttp_cmd_type method;
} methods[] = {
    {"GET", EVHTTP_REQ_GET},       {"POST", EVHTTP_REQ_POST},
    {"HEAD", EVHTTP_REQ_HEAD},     {"PUT", EVHTTP_REQ_PUT},
    {"DELETE", EVHTTP_REQ_DELETE}, {"OPTIONS", EVHTTP_REQ_OPTIONS},
    {"PATCH", EVHTTP_REQ_PATCH},
};

struct evhttp *
CmHttpServer_Listen(struct event_base *base, const char *address,
                    const struct cm_http_limits *limits,
                    void (*handle)(struct evhttp_request *, void *),
                    void *context, GError **error)
{
    char host[CM_HTTP_ADDRESS_MAX_BYTES];
    uint16_t port;
    if (!CmHttp_SplitAddress(address, host, &port)) {
        g_set_error(error, CM_ERROR, CM_ERROR_INVALID,
                    "\"%s\" is not of the form IP:PORT", address);
        return NULL;
    }
    struct evhttp *server = evhttp_new(base);
    evhttp_set_allowed_methods(server, CM_HTTP_ALL_METHODS);
    evhttp_set_max_headers_size(server, (ev_ssize_t)limits->header_bytes);
    evhttp_set_max_body_size(server, (ev_ssize_t)limits->body_bytes);
    struct timeval idle = CmTime_Timeval(limits->idle_timeout_ms);
    evhttp_set_timeout_tv(server, &idle);
    evhttp_set_gencb(server, handle, context);
    // The rest of a refused body is read, so that its sender sees the answer.
    evhttp_set_flags(server, EVHTTP_SERVER_LINGERING_CLOSE);
    if (evhttp_bind_socket(server, host, port) != 0) {
        g_set_error(error, CM_ERROR, CM_ERROR_IO, "cannot listen on %s",
                    address);
        evhttp_free(server);
        return NULL;
    }
    return server;
}

/// Longest input kept while an answer is pending; more waits in the kernel.
#define PENDING_INPUT_MAX 4096
/// Idle limit that a connection gets back once its answer is on its way.
#define IDLE_AFTER_REPLY_MS 120000

void
CmHttp_WatchClose(struct evhttp_request *request,
                  void (*gone)(struct evhttp_connection *, void *),
                  void *context)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    // evhttp's read callback ends the process when input arrives in this
    // state: input is left in the buffer, only the close is reported.
    bufferevent_event_cb on_event;
    bufferevent_data_cb on_write;
    void *argument;
    bufferevent_getcb(bev, NULL, &on_write, &on_event, &argument);
    bufferevent_setcb(bev, NULL, on_write, on_event, argument);
    bufferevent_setwatermark(bev, EV_READ, 0, PENDING_INPUT_MAX);
    bufferevent_set_timeouts(bev, NULL, NULL);
    bufferevent_enable(bev, EV_READ);
    evhttp_connection_set_closecb(connection, gone, context);
}

void
CmHttp_UnwatchClose(struct evhttp_request *request)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    if (connection == NULL) {
        return;
    }
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    struct timeval idle = CmTime_Timeval(IDLE_AFTER_REPLY_MS);
    bufferevent_set_timeouts(bev, &idle, &idle);
    bufferevent_setwatermark(bev, EV_READ, 0, 0);
    evhttp_connection_set_closecb(connection, NULL, NULL);
}

void
CmHttp_CloseWithoutReply(struct evhttp_request *request)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    if (connection == NULL) {
        evhttp_request_free(request);
        return;
    }
    evhttp_connection_set_closecb(connection, NULL, NULL);
    evhttp_connection_free(connection);
}

void
CmHttp_FreeDetached(struct evhttp_request *request)
{
    if (evhttp_request_get_connection(request) == NULL) {
        evhttp_request_free(request);
    }
}

const char *
CmHttp_Path(struct evhttp_request *request)
{
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = uri != NULL ? evhttp_uri_get_path(uri) : NULL;
    return path != NULL ? path : "/";
}

char *
CmHttp_QueryParameter(struct evhttp_request *request, const char *name)
{
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *query = uri != NULL ? evhttp_uri_get_query(uri) : NULL;
    if (query == NULL) {
        return NULL;
    }
    struct evkeyvalq parameters;
    if (evhttp_parse_query_str(query, &parameters) != 0) {
        return NULL;
    }
    char *value = g_strdup(evhttp_find_header(&parameters, name));
    evhttp_clear_headers(&parameters);
    return value;
}

const char *
CmHttp_MethodName(enum evhttp_cmd_type method)
{
    for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (methods[i].method == method) {
            return methods[i].name;
        }
    }
    return "?";
}

bool
CmHttp_ParseMethod(const char *name, enum evhttp_cmd_type *method)
{
    for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (strcmp(methods[i].name, name) == 0) {
            *method = methods[i].method;
            return true;
        }
    }
    return false;
}

json_t *
CmHttp_JsonBody(struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(input);
    if (size == 0) {
        return NULL;
    }
    return json_loadb((const char *)evbuffer_pullup(input, -1), size,
                      JSON_REJECT_DUPLICATES, NULL);
}

static void
reply(struct evhttp_request *request, int status, const char *type,
      const char *text)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    if (evhttp_find_header(headers, "Content-Type") == NULL) {
        evhttp_add_header(headers, "Content-Type", type);
    }
    struct evbuffer *body = evbuffer_new();
    evbuffer_add(body, text, strlen(text));
    evhttp_send_reply(request, status, NULL, body);
    evbuffer_free(body);
}

void
CmHttp_ReplyJson(struct evhttp_request *request, int status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    reply(request, status, "application/json", text != NULL ? text : "{}");
    free(text);
}

void
CmHttp_ReplyText(struct evhttp_request *request, int status, const char *type,
                 const char *text)
{
    reply(request, status, type, text);
}

void
CmHttp_ReplyError(struct evhttp_request *request, int status, const char *type,
                  const char *message)
{
    json_t *error = json_pack("{s:{s:s,s:s,s:i}}", "error", "message", message,
                              "type", type, "code", status);
    CmHttp_ReplyJson(request, status, error);
}
