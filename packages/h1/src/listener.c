/// @file listener.c
/// TCP listener over evconnlistener.

#include "h1/listener.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "base/error.h"

static void
on_accept(struct evconnlistener *listener_socket, evutil_socket_t fd,
          struct sockaddr *peer_address, int size, void *context)
{
    struct cm_h1_listener *listener = context;
    listener->accepted(listener->context, fd);
}

gboolean
CmH1Listener_Init(struct cm_h1_listener *listener, struct event_base *base,
                  const char *address,
                  void (*accepted)(void *context, evutil_socket_t fd),
                  void *context, GError **error)
{
    *listener = (struct cm_h1_listener){NULL, accepted, context};
    struct sockaddr_in endpoint;
    int size = sizeof(endpoint);
    if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&endpoint,
                                   &size) != 0) {
        g_set_error(error, CM_ERROR, CM_ERROR_INVALID,
                    "\"%s\" is not of the form IP:PORT", address);
        return FALSE;
    }
    listener->listener = evconnlistener_new_bind(
        base, on_accept, listener,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        CM_H1_LISTEN_BACKLOG, (struct sockaddr *)&endpoint, size);
    if (listener->listener == NULL) {
        g_set_error(error, CM_ERROR, CM_ERROR_IO, "cannot listen on %s: %s",
                    address, g_strerror(errno));
        return FALSE;
    }
    return TRUE;
}

void
CmH1Listener_AcceptWaiting(struct cm_h1_listener *listener)
{
    if (listener->listener == NULL) {
        return;
    }
    evutil_socket_t fd;
    while ((fd = accept4(evconnlistener_get_fd(listener->listener), NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        listener->accepted(listener->context, fd);
    }
}

void
CmH1Listener_Finish(struct cm_h1_listener *listener)
{
    if (listener->listener != NULL) {
        evconnlistener_free(listener->listener);
        listener->listener = NULL;
    }
}
