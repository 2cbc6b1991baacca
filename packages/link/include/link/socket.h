/// @file socket.h
/// ZeroMQ sockets on a libevent loop: an entry has a DEALER for each agent, an
/// agent one ROUTER for all entries. ZMQ_FD is edge-triggered, so the socket
/// is drained after each wake-up and each send.

#ifndef LINK_SOCKET_H
#define LINK_SOCKET_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "link/message.h"

/// Idle time after which TCP sends keepalive probes. Heartbeat messages detect
/// a lost peer sooner; the probes free the sockets of dead connections.
#define CM_LINK_KEEPALIVE_S 30
/// Messages queued per connection before sends fail.
#define CM_LINK_HIGH_WATER_MESSAGES 10000
#define CM_LINK_PEER_NAME_MAX_BYTES 64

/// Routing id of a ROUTER's peer.
struct cm_link_peer {
    char name[CM_LINK_PEER_NAME_MAX_BYTES];
};

/// Called for each well-formed message; `peer` is NULL on a DEALER.
typedef void (*cm_link_receive)(void *context, const struct cm_link_peer *peer,
                                const struct cm_message *message);

/// Traffic counters of one or several sockets.
struct cm_link_traffic {
    int64_t sent_messages;
    int64_t sent_bytes;
    int64_t received_messages;
    int64_t received_bytes;
    int64_t bad_frames; ///< malformed messages, which are dropped
};

struct cm_link_socket {
    void *socket;
    bool router;
    struct event *readable;
    struct event *drain; ///< receives what is left, without a new wake-up
    cm_link_receive receive;
    void *context;
    struct cm_link_traffic *traffic; ///< may be NULL
};

/// Opens a ROUTER bound to `endpoint` (tcp://IP:PORT).
/// @return false with `*error` if the endpoint cannot be bound.
bool
CmLink_Bind(struct cm_link_socket *link, void *zmq_context,
            struct event_base *base, const char *endpoint,
            cm_link_receive receive, void *context, GError **error);

/// Opens a DEALER with the routing id `name`, connected to `endpoint`. Sends
/// fail while there is no connection; they are not queued.
bool
CmLink_Connect(struct cm_link_socket *link, void *zmq_context,
               struct event_base *base, const char *name, const char *endpoint,
               cm_link_receive receive, void *context, GError **error);

/// Closes the socket and discards queued messages.
void
CmLink_Finish(struct cm_link_socket *link);

/// Sends one message without blocking.
/// @param peer recipient on a ROUTER; unused on a DEALER
/// @return false if the message was certainly not sent.
bool
CmLink_Send(struct cm_link_socket *link, const struct cm_link_peer *peer,
            const struct cm_message *message);

#endif
