/// @file datagram_port.c
/// Non-blocking UDP socket over libevent.

#include "streams/datagram_port.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "base/error.h"
#include "streams/message.h"

/// Datagrams that are read before other events get their turn.
#define BATCH_MAX 32
/// "255.255.255.255:65535" and the terminating NUL.
#define ADDRESS_SIZE 22

static bool
parse_address(const char *address, struct sockaddr_in *endpoint)
{
    int size = sizeof(*endpoint);
    return evutil_parse_sockaddr_port(address, (struct sockaddr *)endpoint,
                                      &size) == 0 &&
           endpoint->sin_family == AF_INET;
}

static void
on_readable(evutil_socket_t fd, short what, void *context)
{
    struct cm_datagram_port *port = context;
    for (int i = 0; i < BATCH_MAX; i++) {
        // One byte more, so that longer datagrams are recognized.
        char data[CM_STREAM_MESSAGE_MAX + 1];
        struct sockaddr_in from = {0};
        socklen_t from_size = sizeof(from);
        ssize_t size = recvfrom(fd, data, sizeof(data), MSG_DONTWAIT,
                                (struct sockaddr *)&from, &from_size);
        if (size < 0) {
            // An ICMP error of an earlier datagram is reported once.
            if (errno == ECONNREFUSED) {
                continue;
            }
            return;
        }
        char host[INET_ADDRSTRLEN];
        char address[ADDRESS_SIZE];
        if (size <= CM_STREAM_MESSAGE_MAX &&
            inet_ntop(AF_INET, &from.sin_addr, host, sizeof(host)) != NULL) {
            g_snprintf(address, sizeof(address), "%s:%d", host,
                       ntohs(from.sin_port));
            port->received(port->context, address, data, (size_t)size);
        }
    }
}

gboolean
CmDatagramPort_Init(struct cm_datagram_port *port, struct event_base *base,
                    const char *address,
                    void (*received)(void *context, const char *address,
                                     const char *data, size_t size),
                    void *context, GError **error)
{
    *port = (struct cm_datagram_port){
        .fd = -1, .received = received, .context = context};
    struct sockaddr_in endpoint;
    if (!parse_address(address, &endpoint)) {
        g_set_error(error, CM_ERROR, CM_ERROR_INVALID,
                    "\"%s\" is not of the form IP or IP:PORT", address);
        return FALSE;
    }
    port->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (port->fd < 0 ||
        bind(port->fd, (struct sockaddr *)&endpoint, sizeof(endpoint)) != 0) {
        g_set_error(error, CM_ERROR, CM_ERROR_IO,
                    "cannot receive datagrams on %s: %s", address,
                    g_strerror(errno));
        return FALSE;
    }
    port->event =
        event_new(base, port->fd, EV_READ | EV_PERSIST, on_readable, port);
    event_add(port->event, NULL);
    return TRUE;
}

void
CmDatagramPort_Finish(struct cm_datagram_port *port)
{
    if (port->event != NULL) {
        event_free(port->event);
        port->event = NULL;
    }
    if (port->fd >= 0) {
        evutil_closesocket(port->fd);
        port->fd = -1;
    }
}

bool
CmDatagramPort_Send(const struct cm_datagram_port *port, const char *address,
                    const char *data, size_t size)
{
    struct sockaddr_in endpoint;
    return port->fd >= 0 && parse_address(address, &endpoint) &&
           sendto(port->fd, data, size, MSG_DONTWAIT | MSG_NOSIGNAL,
                  (struct sockaddr *)&endpoint,
                  sizeof(endpoint)) == (ssize_t)size;
}
