/// @file listener.c
/// Accepts connections on an address.

#include "h1/listener.h"

#include <event2/listener.h>
#include <netinet/in.h>

#include "base/error.h"

static void
on_accept(struct evconnlistener *source, evutil_socket_t fd,
          struct sockaddr *from, int size, void *context)
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
    struct sockaddr_in where;
    int size = sizeof(where);
    if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&where,
                                   &size) != 0) {
        g_set_error(error, CM_ERROR, CM_ERROR_INVALID,
                    "\"%s\" is not of the form IP:PORT", address);
        return FALSE;
    }
    listener->listener = evconnlistener_new_bind(
        base, on_accept, listener,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        CM_H1_LISTEN_BACKLOG, (struct sockaddr *)&where, size);
    if (listener->listener == NULL) {
        g_set_error(error, CM_ERROR, CM_ERROR_IO, "cannot listen on %s: %s",
                    address, g_strerror(errno));
        return FALSE;
    }
    return TRUE;
}

void
CmH1Listener_Finish(struct cm_h1_listener *listener)
{
    if (listener->listener != NULL) {
        evconnlistener_free(listener->listener);
        listener->listener = NULL;
    }
}
