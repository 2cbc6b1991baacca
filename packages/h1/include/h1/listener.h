/// @file listener.h
/// Accepts connections on an address.

#ifndef H1_LISTENER_H
#define H1_LISTENER_H

#include <event2/event.h>
#include <event2/util.h>
#include <glib.h>

/// Connections that wait to be accepted.
#define CM_H1_LISTEN_BACKLOG 1024

struct evconnlistener;

struct cm_h1_listener {
    struct evconnlistener *listener;
    void (*accepted)(void *context, evutil_socket_t fd);
    void *context;
};

/// Listens on `address` ("IP:PORT"); hands each connection to `accepted`.
/// @return whether it listens; otherwise `*error` is set.
gboolean
CmH1Listener_Init(struct cm_h1_listener *listener, struct event_base *base,
                  const char *address,
                  void (*accepted)(void *context, evutil_socket_t fd),
                  void *context, GError **error);

/// Stops listening.
void
CmH1Listener_Finish(struct cm_h1_listener *listener);

#endif
