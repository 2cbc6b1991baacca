/// @file pool.h
/// HTTP/1.1 client with a connection pool for each address. The result of a
/// call tells whether the server may have received the request.

#ifndef H1_POOL_H
#define H1_POOL_H

#include "base/clock.h"
#include "base/list.h"
#include "h1/conn.h"

/// Connect timeout: a few round trips between zones. Shorter than the 1 s
/// after which a lost SYN is sent again, as trying another target is quicker.
#define CM_H1_CONNECT_TIMEOUT_MS 500
/// Initial keep_alive_default_ms of a pool.
#define CM_H1_KEEP_ALIVE_DEFAULT_MS 900
/// Subtracted from an announced Keep-Alive timeout, as the request takes time
/// to reach the server.
#define CM_H1_KEEP_ALIVE_MARGIN_MS 150
/// Responses to other requests that are skipped before the call fails as
/// CM_H1_CALL_INVALID.
#define CM_H1_SKIPPED_RESPONSES_MAX 3

/// Largest body of a skipped response.
#define CM_H1_SKIPPED_BODY_MAX_BYTES ((size_t)8 * 1024 * 1024)

/// Result of a call.
enum cm_h1_call_result {
    CM_H1_CALL_COMPLETE,      ///< the whole response arrived
    CM_H1_CALL_NOT_CONNECTED, ///< no connection: the server received nothing
    CM_H1_CALL_INTERRUPTED,   ///< failed after sending: may have taken effect
    /// The response was malformed, not to this request, or too long.
    CM_H1_CALL_INVALID,
};

/// Callbacks of one call; `body` may be NULL. None is called after `done`.
struct cm_h1_call_handler {
    /// The start line and header section of a response arrived. Must not
    /// cancel the call.
    /// @return whether the response is to this call; others are skipped.
    bool (*head)(void *context, const struct cm_h1_head *head);
    void (*body)(void *context, const void *data, size_t size);
    void (*done)(void *context, enum cm_h1_call_result result);
};

struct cm_h1_pool_conn;
struct cm_h1_peer;

struct cm_h1_pool {
    struct event_base *base;
    struct cm_clock *clock;
    GHashTable *peers; ///< address to struct cm_h1_peer
    /// Idle time after which a connection is not reused if the server
    /// announces no Keep-Alive timeout.
    int64_t keep_alive_default_ms;
    int64_t connections_opened; ///< for the metrics
    uint64_t last_call_id;
};

/// Handle of one call, in memory of its owner.
struct cm_h1_call {
    struct cm_h1_pool_conn *pool_conn; ///< NULL while idle
    const struct cm_h1_call_handler *handler;
    void *context;
    bool reused; ///< its connection has carried another call before
};

/// Request to send.
struct cm_h1_call_request {
    const char *address; ///< IP:PORT
    const GString *message;
    int64_t idle_max_ms; ///< use only connections idle for at most this
    bool unused_only;    ///< use no connection that has carried a call
    bool no_body;        ///< a HEAD request
    /// Named in the message (CmH1Writer_CallId()): responses that name another
    /// one are skipped. 0 for none.
    uint64_t call_id;
    /// Largest response body; beyond it the connection is closed. 0 for no
    /// limit, for streams only.
    size_t body_max_bytes;
};

/// Initializes an empty pool.
void
CmH1Pool_Init(struct cm_h1_pool *pool, struct event_base *base,
              struct cm_clock *clock);

/// @return an id for a call that no other call of the pool has.
uint64_t
CmH1Pool_NextCallId(struct cm_h1_pool *pool);

/// Cancels all calls without callbacks and closes all connections.
void
CmH1Pool_Finish(struct cm_h1_pool *pool);

/// Closes idle connections past their Keep-Alive timeout and removes addresses
/// without connections. To be called periodically, as the pool has no timer.
void
CmH1Pool_CloseExpired(struct cm_h1_pool *pool);

/// Starts a call. `done` is never called from within this function.
/// @return false if no connection could be started; no callback follows.
bool
CmH1Call_Start(struct cm_h1_call *call, struct cm_h1_pool *pool,
               const struct cm_h1_call_request *request,
               const struct cm_h1_call_handler *handler, void *context);

/// Opens a connection that a later call to `address` can use. `done` is called
/// later, with CM_H1_CALL_COMPLETE once the pool has the connection and with
/// CM_H1_CALL_NOT_CONNECTED if there is none; no other callback is.
/// @return false if no connection could be started; no callback follows.
bool
CmH1Call_Connect(struct cm_h1_call *call, struct cm_h1_pool *pool,
                 const char *address, const struct cm_h1_call_handler *handler,
                 void *context);

/// @return whether a call that is started now would use an open connection.
bool
CmH1Pool_HasConnection(struct cm_h1_pool *pool,
                       const struct cm_h1_call_request *request);

/// Cancels a call: the connection is closed and no callback follows. Does
/// nothing if no call is in progress.
void
CmH1Call_Cancel(struct cm_h1_call *call);

/// Pauses or resumes the reading of the response.
void
CmH1Call_SetReading(struct cm_h1_call *call, bool reading);

/// @return whether the connection of a call in progress is established.
bool
CmH1Call_IsConnected(const struct cm_h1_call *call);

/// @return bytes of the request of a call in progress that are still to be
/// passed to the kernel.
size_t
CmH1Call_Unsent(const struct cm_h1_call *call);

/// @return whether the call is in progress.
bool
CmH1Call_Active(const struct cm_h1_call *call);

#endif
