/// @file datagram_port.h
/// UDP socket on the event loop.

#ifndef STREAMS_DATAGRAM_PORT_H
#define STREAMS_DATAGRAM_PORT_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

struct cm_datagram_port {
    evutil_socket_t fd; ///< -1 unless open
    struct event *event;
    /// A datagram has arrived from `address`, an IP:PORT.
    void (*received)(void *context, const char *address, const char *data,
                     size_t size);
    void *context;
};

/// Opens the port.
/// @param address IP:PORT, or an IP for any port.
/// @return whether it is open; sets `error` otherwise. It can be finished in
/// both cases.
gboolean
CmDatagramPort_Init(struct cm_datagram_port *port, struct event_base *base,
                    const char *address,
                    void (*received)(void *context, const char *address,
                                     const char *data, size_t size),
                    void *context, GError **error);

void
CmDatagramPort_Finish(struct cm_datagram_port *port);

/// Sends a datagram, which may get lost.
/// @return whether it was sent.
bool
CmDatagramPort_Send(const struct cm_datagram_port *port, const char *address,
                    const char *data, size_t size);

#endif
