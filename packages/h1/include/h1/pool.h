/// @file pool.h
/// HTTP/1.1 client that keeps connections per address and tells "never sent"
/// from "broke off after sending".

#ifndef H1_POOL_H
#define H1_POOL_H

#include "base/clock.h"
#include "base/list.h"
#include "h1/conn.h"

/// Time for a connection to be established: a few round trips between zones
/// with one lost packet (a second) left out, as another target is quicker.
#define CM_H1_CONNECT_TIMEOUT_MS 500
/// Idle time after which a connection is not used again if the other end
/// announces no limit of its own.
#define CM_H1_KEEP_ALIVE_DEFAULT_MS 900
/// Taken off an announced limit, for the request's way to the other end.
#define CM_H1_KEEP_ALIVE_MARGIN_MS 150
/// Responses to other requests that are skipped before the connection counts
/// as broken.
#define CM_H1_SKIPPED_RESPONSES_MAX 3

/// How a call ended.
enum cm_h1_call_result {
    CM_H1_CALL_COMPLETE,      ///< the whole response arrived
    CM_H1_CALL_NOT_CONNECTED, ///< no connection: the other end saw nothing
    CM_H1_CALL_INTERRUPTED, ///< broke off after sending: may have taken effect
    CM_H1_CALL_INVALID,     ///< the response was no HTTP message
};

/// Callbacks of one call. After `end` nothing follows.
struct cm_h1_call_handler {
    /// @return whether the response belongs to this call; others are skipped.
    bool (*head)(void *context, const struct cm_h1_head *head);
    void (*body)(void *context, const void *data, size_t size);
    void (*done)(void *context, enum cm_h1_call_result end);
};

struct cm_h1_pool_conn;
struct cm_h1_peer;

struct cm_h1_pool {
    struct event_base *base;
    struct cm_clock *clock;
    GHashTable *peers;          ///< address to struct cm_h1_peer
    int64_t connections_opened; ///< connections opened, for the metrics
};

/// One call on its owner's memory.
struct cm_h1_call {
    struct cm_h1_pool_conn *pooled; ///< NULL while idle
    const struct cm_h1_call_handler *handler;
    void *context;
};

/// What to send.
struct cm_h1_call_request {
    const char *address; ///< IP:PORT
    const GString *message;
    int64_t idle_max_ms; ///< longest idle time of a connection to be reused
    bool no_body;        ///< a HEAD request
};

/// Prepares a pool.
void
CmH1Pool_Init(struct cm_h1_pool *pool, struct event_base *base,
              struct cm_clock *clock);

/// Closes all connections; calls in progress end without callbacks.
void
CmH1Pool_Finish(struct cm_h1_pool *pool);

/// Closes kept connections that are no longer good, and forgets addresses
/// without any; to be called now and then.
void
CmH1Pool_CloseExpired(struct cm_h1_pool *pool);

/// Starts a call. `end` is never called from inside this function.
/// @return false if no connection could be tried; no callback follows then.
bool
CmH1Call_Start(struct cm_h1_call *call, struct cm_h1_pool *pool,
               const struct cm_h1_call_request *request,
               const struct cm_h1_call_handler *handler, void *context);

/// Gives a call up: the connection is closed, no callback follows.
void
CmH1Call_Cancel(struct cm_h1_call *call);

/// @return whether the call is in progress.
bool
CmH1Call_Active(const struct cm_h1_call *call);

#endif
