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
#include "h1/pool.h"

/// Connections idle for longer are closed instead of reused, so that a call
/// does not race with the server's own idle timeout.
#define CM_HTTP_IDLE_MAX_MS 10000
/// Longest "HOST:PORT" and its host part, with the terminating NUL.
#define CM_HTTP_ADDRESS_MAX_BYTES 128

/// Result of a call.
enum cm_http_result {
    CM_HTTP_COMPLETE,      ///< the whole response arrived
    CM_HTTP_NOT_CONNECTED, ///< no connection: the server received nothing
    CM_HTTP_INTERRUPTED,   ///< failed after sending: may have taken effect
};

/// Callbacks of one call; any may be NULL. None is called after `done`.
struct cm_http_handler {
    /// The status line and header section arrived.
    void (*head)(void *context, int status, const struct cm_h1_head *head);
    /// A part of the body arrived; `data` is valid until the callback returns.
    void (*data)(void *context, const void *data, size_t size);
    /// The call is over.
    void (*done)(void *context, enum cm_http_result result);
};

struct cm_http_header {
    const char *name;
    const char *value;
};

/// Request to send. CmHttpCall_Start() copies everything, so the caller may
/// free the memory once it returns.
struct cm_http_request {
    const char *address; ///< HOST:PORT
    enum evhttp_cmd_type method;
    const char *path; ///< path and query
    const struct cm_http_header *headers;
    size_t n_headers;
    const void *body;
    size_t body_size;
    int64_t timeout_ms; ///< longest time without progress
    /// Largest body of the response; a longer one interrupts the call. 0 for
    /// no limit, where `data` holds on to no more than it can bound.
    size_t body_max_bytes;
};

struct cm_http_exchange;

struct cm_http_client {
    struct event_base *base;
    struct cm_h1_pool pool;
    struct timespec expired_at; ///< when old connections were last closed
    LIST_HEAD(, cm_http_exchange) exchanges;
};

/// Handle of one call, in memory of its user; zero it before the first use.
struct cm_http_call {
    struct cm_http_exchange *exchange; ///< NULL while idle
    const struct cm_http_handler *handler;
    void *context;
};

#endif
