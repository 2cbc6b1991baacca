/// @file socket.h
/// ZeroMQ sockets on a libevent loop: an entry's DEALER towards one agent and
/// an agent's ROUTER towards all entries. ZMQ_FD is edge-triggered, so each
/// wake-up and each send drains the socket.

#ifndef LINK_SOCKET_H
#define LINK_SOCKET_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "link/message.h"

/// Idle time after which TCP looks whether the other end is still there. The
/// entry's own heartbeats find silence sooner; this frees what is left over.
#define CM_LINK_KEEPALIVE_S 30
/// Messages queued per connection before sends are refused.
#define CM_LINK_HIGH_WATER_MESSAGES 10000
#define CM_LINK_PEER_NAME_MAX_BYTES 64

/// Identity of a peer of a ROUTER.
struct cm_link_peer {
    char name[CM_LINK_PEER_NAME_MAX_BYTES];
};

/// Called for each well-formed message; `peer` is NULL on a DEALER.
typedef void (*cm_link_receive)(void *context, const struct cm_link_peer *peer,
                                const struct cm_message *message);

/// What went over one or several sockets.
struct cm_link_traffic {
    int64_t sent_messages;
    int64_t sent_bytes;
    int64_t received_messages;
    int64_t received_bytes;
    int64_t bad_frames; ///< dropped
};

struct cm_link_socket {
    void *socket;
    bool router;
    struct event *readable;
    struct event *drain;
    cm_link_receive receive;
    void *context;
    struct cm_link_traffic *traffic; ///< counted there; may be NULL
};

/// Opens a ROUTER bound to `endpoint` (tcp://IP:PORT).
/// @return false with `*error` where the endpoint cannot be bound.
bool
CmLink_Bind(struct cm_link_socket *link, void *zmq_context,
            struct event_base *base, const char *endpoint,
            cm_link_receive receive, void *context, GError **error);

/// Opens a DEALER called `name`, connected to `endpoint`. What is sent while
/// no connection stands is refused, not queued.
bool
CmLink_Connect(struct cm_link_socket *link, void *zmq_context,
               struct event_base *base, const char *name, const char *endpoint,
               cm_link_receive receive, void *context, GError **error);

/// Closes the socket; nothing that is still queued is sent.
void
CmLink_Finish(struct cm_link_socket *link);

/// Sends one message; `peer` is needed on a ROUTER only.
/// @return false where it was certainly not sent.
bool
CmLink_Send(struct cm_link_socket *link, const struct cm_link_peer *peer,
            const struct cm_message *message);

#endif
