/// @file guard.h
/// Bounds the memory and the number of connections of evhttp servers, which
/// have limits of one request only. evhttp frees its connections itself: the
/// guard ends one by a shutdown of its socket, and keeps a reference to its
/// bufferevent until evhttp has freed it.

#ifndef HTTP_GUARD_H
#define HTTP_GUARD_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "memory/intake.h"

/// A server that is guarded.
struct cm_http_guarded {
    struct cm_http_guard *guard;
    /// Its messages may need more than the limit of a class of memory: one at
    /// a time goes beyond it.
    bool has_large_messages;
};

struct cm_http_guard {
    struct event_base *base;
    struct cm_memory_budget budget;
    struct cm_intake intake;
    GHashTable *peers; ///< bufferevent to struct http_peer
    struct event *sweep;
    bool frees_memory; ///< connections have been ended for their memory
};

/// Initializes a guard.
/// @param max_bytes limit of the memory held for all connections.
/// @param max_connections without a request in progress.
void
CmHttpGuard_Init(struct cm_http_guard *guard, struct event_base *base,
                 struct cm_clock *clock, size_t max_bytes,
                 int64_t max_connections);

/// Guards the connections that a server accepts from now on. `guarded` is
/// memory of the caller, for as long as the server.
void
CmHttpGuard_Watch(struct cm_http_guard *guard, struct evhttp *server,
                  struct cm_http_guarded *guarded, bool has_large_messages);

/// Records that a request has arrived whole. To be called first by the handler
/// of a server that is watched.
/// @return whether there is memory to serve it.
bool
CmHttpGuard_Begin(struct cm_http_guard *guard, struct evhttp_request *request);

/// @return whether clients have output to read.
bool
CmHttpGuard_HasOutput(const struct cm_http_guard *guard);

/// Frees the guard, after its servers.
void
CmHttpGuard_Finish(struct cm_http_guard *guard);

#endif
