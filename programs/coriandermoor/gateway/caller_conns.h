/// @file caller_conns.h
/// Connections of callers: reads requests, writes answers.

#ifndef GATEWAY_CALLER_CONNS_H
#define GATEWAY_CALLER_CONNS_H

#include "gateway.h"
#include "h1/conn.h"

struct request;

/// One connection of a caller. Requests on it are served one by one.
struct caller_conn {
    TAILQ_ENTRY(caller_conn) link;
    struct gateway *gateway;
    struct cm_h1_conn conn;
    GString *body;           ///< of the request being read or served
    struct request *request; ///< being served, or NULL
    struct event *timer;     ///< limit on idleness and slow headers
    bool too_large;
    bool reading;    ///< a part of a request has arrived
    bool over_limit; ///< accepted beyond the limit: one refusal, then closed
};

/// Starts to listen.
gboolean
CallerConns_Listen(struct gateway *gateway, GError **error);

/// Closes all connections.
void
CallerConns_Finish(struct gateway *gateway);

/// The process stops: answers all requests in progress.
void
CallerConns_EndRequests(struct gateway *gateway);

/// Closes connections that wait for a request.
void
CallerConns_CloseIdle(struct gateway *gateway);

/// The request has been answered in full: goes on with the next one.
/// @param keep whether the answer left the connection open.
void
CallerConn_EndResponse(struct caller_conn *caller, bool keep);

/// Breaks the connection off without completing the answer.
void
CallerConn_Abort(struct caller_conn *caller);

/// @return whether the connection stays open after the current answer.
bool
CallerConn_KeepsAlive(const struct caller_conn *caller);

#endif
