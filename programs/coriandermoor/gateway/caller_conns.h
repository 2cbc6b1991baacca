/// @file caller_conns.h
/// Client connections: accept, read requests, keep-alive and idle timeouts.

#ifndef GATEWAY_CALLER_CONNS_H
#define GATEWAY_CALLER_CONNS_H

#include "gateway.h"
#include "h1/conn.h"
#include "memory/intake.h"

struct request;

/// One client connection. Pipelined requests are served one at a time.
struct caller_conn {
    TAILQ_ENTRY(caller_conn) link;
    struct gateway *gateway;
    struct cm_h1_conn conn;
    struct cm_intake_client client;
    GString *body;              ///< of the current request
    struct request *request;    ///< in progress, or NULL
    struct event *timer;        ///< idle and slow request timeout
    bool due;                   ///< the timeout has passed, input comes first
    struct timespec idle_since; ///< end of the last response, once written
    size_t unread;              ///< output when the timer was started
    struct cm_caller_limits limits; ///< of the request that is being read
    bool reading;       ///< a request has begun to arrive and is incomplete
    bool over_limit;    ///< beyond the connection limit: gets one 503
    bool has_no_memory; ///< there is none for its request: gets a 503
    struct timespec accepted_at;
};

/// Starts to accept connections.
gboolean
CallerConns_Listen(struct gateway *gateway, GError **error);

/// Stops listening, abandons requests in progress and closes all connections.
void
CallerConns_Finish(struct gateway *gateway);

/// Ends the requests in progress, and those that have not arrived completely,
/// at the end of a shutdown.
/// @param streams whether responses that have begun end, too.
void
CallerConns_EndRequests(struct gateway *gateway, bool streams);

/// Closes connections without a request in progress or on its way. A request
/// counts as on its way once a part has arrived, and for a short time after a
/// new connection was accepted.
void
CallerConns_CloseIdle(struct gateway *gateway);

/// Reads the next request after a complete response, or closes the connection.
/// @param keep whether the response allows the connection to stay open.
void
CallerConn_EndResponse(struct caller_conn *caller, bool keep);

/// Closes the connection without completing the response.
/// @param deliver whether the output so far is written first.
void
CallerConn_Abort(struct caller_conn *caller, bool deliver);

/// @return whether the connection may stay open after the current response.
bool
CallerConn_KeepsAlive(const struct caller_conn *caller);

#endif
