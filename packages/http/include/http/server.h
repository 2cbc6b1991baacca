/// @file server.h
/// HTTP server helpers over evhttp: listening with size limits and an idle
/// timeout, detecting closed connections, and JSON bodies.

#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/// Methods that are accepted; callers of plain services use all of them.
#define CM_HTTP_ALL_METHODS                                                   \
    (EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |    \
     EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH)

struct cm_http_limits {
    size_t header_bytes;
    size_t body_bytes;
    int64_t idle_timeout_ms;
};

/// Listens on `address` ("IP:PORT") and passes every request to `handle`.
/// @return the server, to be freed by evhttp_free(), or NULL with `*error`
/// set.
struct evhttp *
CmHttpServer_Listen(struct event_base *base, const char *address,
                    const struct cm_http_limits *limits,
                    void (*handle)(struct evhttp_request *, void *),
                    void *context, GError **error);

/// Calls `closed` once the client closes the connection of `request`, also
/// while no response is being written. Removes the idle timeout of the
/// connection, as the response may take longer.
void
CmHttp_WatchClose(struct evhttp_request *request,
                  void (*closed)(struct evhttp_connection *, void *),
                  void *context);

/// Ends CmHttp_WatchClose() and restores an idle timeout; to be called before
/// the last part of the response is sent.
void
CmHttp_UnwatchClose(struct evhttp_request *request);

/// Closes the connection of a request without a response, and frees both.
void
CmHttp_CloseWithoutReply(struct evhttp_request *request);

/// Frees a request whose connection is closed already; for use in the
/// `closed` callback of CmHttp_WatchClose().
void
CmHttp_FreeDetached(struct evhttp_request *request);

/// @return the path of the request without query, "/" if it has none.
const char *
CmHttp_Path(struct evhttp_request *request);

/// @return the value of a query parameter, to be freed, or NULL.
char *
CmHttp_QueryParameter(struct evhttp_request *request, const char *name);

/// @return the name of a method, such as "GET", or "?" if it is unknown.
const char *
CmHttp_MethodName(enum evhttp_cmd_type method);

/// Parses the name of a method.
/// @return whether `name` is one of CM_HTTP_ALL_METHODS.
bool
CmHttp_ParseMethod(const char *name, enum evhttp_cmd_type *method);

/// @return the body of the request as JSON, a new reference, or NULL if it is
/// empty or malformed.
json_t *
CmHttp_JsonBody(struct evhttp_request *request);

/// Sends a JSON response; steals the reference to `json`.
void
CmHttp_ReplyJson(struct evhttp_request *request, int status, json_t *json);

/// Sends a response with a text body.
/// @param type content type, unless the response has one already.
void
CmHttp_ReplyText(struct evhttp_request *request, int status, const char *type,
                 const char *text);

/// Sends an error response in the format of the OpenAI API:
/// {"error": {...}}.
void
CmHttp_ReplyError(struct evhttp_request *request, int status, const char *type,
                  const char *message);

#endif
