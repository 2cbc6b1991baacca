/// @file listener.h
/// TCP listener that passes accepted sockets to a callback.

#ifndef H1_LISTENER_H
#define H1_LISTENER_H

#include <event2/event.h>
#include <event2/util.h>
#include <glib.h>

/// Backlog of the listening socket: connections not accepted yet.
#define CM_H1_LISTEN_BACKLOG 1024

struct evconnlistener;

struct cm_h1_listener {
    struct evconnlistener *listener;
    void (*accepted)(void *context, evutil_socket_t fd);
    void *context;
};

/// Listens on `address` ("IP:PORT") and passes the socket of each connection
/// to `accepted`, which then owns it.
/// @return whether it listens; otherwise `*error` is set.
gboolean
CmH1Listener_Init(struct cm_h1_listener *listener, struct event_base *base,
                  const char *address,
                  void (*accepted)(void *context, evutil_socket_t fd),
                  void *context, GError **error);

/// Accepts the connections that are established and wait for that. A close of
/// the listener resets them. Does nothing if it does not listen.
void
CmH1Listener_AcceptWaiting(struct cm_h1_listener *listener);

/// Stops listening. Does nothing if it did not listen.
void
CmH1Listener_Finish(struct cm_h1_listener *listener);

#endif
