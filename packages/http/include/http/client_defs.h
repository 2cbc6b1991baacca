/// @file client_defs.h
/// Types of the pooled HTTP client.

#ifndef HTTP_CLIENT_DEFS_H
#define HTTP_CLIENT_DEFS_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/// Idle connections older than this are closed, not used again, so that a
/// call never races the server's own idle limit.
#define CM_HTTP_IDLE_MAX_MS 10000
#define CM_HTTP_ADDRESS_MAX_BYTES 128

/// How an exchange ended.
enum cm_http_result {
    CM_HTTP_COMPLETE,      ///< the whole answer arrived
    CM_HTTP_NOT_CONNECTED, ///< never connected: the other end saw nothing
    CM_HTTP_INTERRUPTED,   ///< broke off after sending: may have taken effect
};

/// Callbacks of one call; any may be NULL. After `end` nothing follows.
struct cm_http_handler {
    /// The status line and header arrived.
    void (*head)(void *context, int status, struct evkeyvalq *headers);
    /// A piece of the body arrived; `data` is valid during the call only.
    void (*data)(void *context, const void *data, size_t size);
    /// The exchange is over.
    void (*done)(void *context, enum cm_http_result end);
};

struct cm_http_header {
    const char *name;
    const char *value;
};

/// What to send. All memory may go away once CmHttpCall_Start() returned.
struct cm_http_request {
    const char *address; ///< IP:PORT
    enum evhttp_cmd_type method;
    const char *path; ///< with query
    const struct cm_http_header *headers;
    size_t n_headers;
    const void *body;
    size_t body_size;
    int64_t timeout_ms; ///< longest silence of the connection
};

struct cm_http_exchange;
struct cm_http_pool;

struct cm_http_client {
    struct event_base *base;
    LIST_HEAD(, cm_http_pool) pools; ///< one an address
    LIST_HEAD(, cm_http_exchange) exchanges;
};

/// Handle of one call in progress, on the caller's memory.
struct cm_http_call {
    struct cm_http_exchange *exchange; ///< NULL while idle
    const struct cm_http_handler *handler;
    void *context;
};

#endif
