/// @file server.h
/// HTTP server helpers over evhttp: listening with limits, reading JSON
/// bodies and sending JSON answers.

#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/// All methods that callers of plain services use.
#define CM_HTTP_ALL_METHODS                                                   \
    (EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |    \
     EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH)

struct cm_http_limits {
    size_t header_bytes;
    size_t body_bytes;
    int64_t idle_timeout_ms;
};

/// Listens on `address` ("IP:PORT") and hands every request to `handle`.
/// @return the server, to be freed by evhttp_free(), or NULL with `*error`.
struct evhttp *
CmHttpServer_Listen(struct event_base *base, const char *address,
                    const struct cm_http_limits *limits,
                    void (*handle)(struct evhttp_request *, void *),
                    void *context, GError **error);

/// Has `gone` called once the client closes the connection of `request`, also
/// while no answer is being written. The connection's read limit is lifted.
void
CmHttp_WatchClose(struct evhttp_request *request,
                  void (*gone)(struct evhttp_connection *, void *),
                  void *context);

/// Ends CmHttp_WatchClose(); to be called before the last part of the answer.
void
CmHttp_UnwatchClose(struct evhttp_request *request);

/// Closes the connection under a request without an answer; frees both.
void
CmHttp_CloseWithoutReply(struct evhttp_request *request);

/// Lets go of a request whose connection has closed under it; for use in the
/// `gone` callback.
void
CmHttp_FreeDetached(struct evhttp_request *request);

/// @return path of the request without query.
const char *
CmHttp_Path(struct evhttp_request *request);

/// @return the value of a query parameter, to be freed, or NULL.
char *
CmHttp_QueryParameter(struct evhttp_request *request, const char *name);

/// @return the method as text, "GET" for example.
const char *
CmHttp_MethodName(enum evhttp_cmd_type method);

/// Finds a method by its name.
/// @return whether `name` is one of CM_HTTP_ALL_METHODS.
bool
CmHttp_ParseMethod(const char *name, enum evhttp_cmd_type *method);

/// @return the request's body as JSON, or NULL where it is none.
json_t *
CmHttp_JsonBody(struct evhttp_request *request);

/// Sends `json` with `status`; takes the reference.
void
CmHttp_ReplyJson(struct evhttp_request *request, int status, json_t *json);

/// Sends `text` with `status` and content type.
void
CmHttp_ReplyText(struct evhttp_request *request, int status, const char *type,
                 const char *text);

/// Sends an error in the shape of the OpenAI API: {"error": {...}}.
void
CmHttp_ReplyError(struct evhttp_request *request, int status, const char *type,
                  const char *message);

#endif
