/// @file socket.c
/// ZeroMQ sockets on a libevent loop.

#include "link/socket.h"

#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "base/error.h"

/// Delay of the first attempt to reconnect; doubles up to the maximum.
#define RECONNECT_MIN_MS 50
#define RECONNECT_MAX_MS 1000

static void
set_option(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

/// Receives the next frame without blocking.
/// @return false if there is none.
static bool
receive_frame(struct cm_link_socket *link, zmq_msg_t *frame)
{
    zmq_msg_init(frame);
    if (TEMP_FAILURE_RETRY(zmq_msg_recv(frame, link->socket, ZMQ_DONTWAIT)) <
        0) {
        zmq_msg_close(frame);
        return false;
    }
    return true;
}

static void
skip_remaining_frames(struct cm_link_socket *link, zmq_msg_t *last)
{
    while (zmq_msg_more(last)) {
        zmq_msg_close(last);
        if (!receive_frame(link, last)) {
            zmq_msg_init(last);
            return;
        }
    }
}

static void
count_bad_frame(struct cm_link_socket *link)
{
    if (link->traffic != NULL) {
        link->traffic->bad_frames++;
    }
}

static void
deliver(struct cm_link_socket *link, const struct cm_link_peer *peer,
        zmq_msg_t *frame)
{
    if (link->traffic != NULL) {
        link->traffic->received_messages++;
        link->traffic->received_bytes += (int64_t)zmq_msg_size(frame);
    }
    msgpack_zone zone;
    msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE);
    struct cm_message message;
    if (!zmq_msg_more(frame) &&
        CmMessage_Decode(zmq_msg_data(frame), zmq_msg_size(frame), &zone,
                         &message)) {
        link->receive(link->context, peer, &message);
    }
    else {
        count_bad_frame(link);
        skip_remaining_frames(link, frame);
    }
    msgpack_zone_destroy(&zone);
}

/// Reads the routing id frame of a ROUTER.
/// @return false for an id that is too long, contains a NUL or is not followed
///         by a message.
static bool
read_routing_id(zmq_msg_t *frame, struct cm_link_peer *peer)
{
    size_t size = zmq_msg_size(frame);
    if (size >= sizeof(peer->name) || !zmq_msg_more(frame)) {
        return false;
    }
    memset(peer, 0, sizeof(*peer));
    memcpy(peer->name, zmq_msg_data(frame), size);
    return strlen(peer->name) == size;
}

/// Receives one message and passes it to the handler.
/// @return false if the socket is empty.
static bool
receive_message(struct cm_link_socket *link)
{
    zmq_msg_t frame;
    if (!receive_frame(link, &frame)) {
        return false;
    }
    struct cm_link_peer peer;
    const struct cm_link_peer *from = NULL;
    if (link->router) {
        if (!read_routing_id(&frame, &peer)) {
            count_bad_frame(link);
            skip_remaining_frames(link, &frame);
            zmq_msg_close(&frame);
            return true;
        }
        from = &peer;
        zmq_msg_close(&frame);
        if (!receive_frame(link, &frame)) {
            return false;
        }
    }
    deliver(link, from, &frame);
    zmq_msg_close(&frame);
    return true;
}

/// Messages handled in one iteration of the event loop, so that timers still
/// run under load.
#define DRAIN_MAX_MESSAGES 256

static void
on_readable(evutil_socket_t fd, short what, void *context)
{
    struct cm_link_socket *link = context;
    for (int i = 0; i < DRAIN_MAX_MESSAGES; i++) {
        if (!receive_message(link)) {
            return;
        }
        if (link->socket == NULL) {
            return;
        }
    }
    event_active(link->drain, EV_TIMEOUT, 0);
}

static void
open_socket(struct cm_link_socket *link, void *zmq_context, int type,
            cm_link_receive receive, void *context)
{
    memset(link, 0, sizeof(*link));
    link->socket = zmq_socket(zmq_context, type);
    link->receive = receive;
    link->context = context;
    set_option(link->socket, ZMQ_LINGER, 0);
    set_option(link->socket, ZMQ_SNDHWM, CM_LINK_HIGH_WATER_MESSAGES);
    set_option(link->socket, ZMQ_RCVHWM, CM_LINK_HIGH_WATER_MESSAGES);
    // No ZeroMQ heartbeats, as the messages include heartbeats.
    set_option(link->socket, ZMQ_TCP_KEEPALIVE, 1);
    set_option(link->socket, ZMQ_TCP_KEEPALIVE_IDLE, CM_LINK_KEEPALIVE_S);
    set_option(link->socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
    set_option(link->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
}

static void
watch_socket(struct cm_link_socket *link, struct event_base *base)
{
    int fd;
    size_t size = sizeof(fd);
    zmq_getsockopt(link->socket, ZMQ_FD, &fd, &size);
    link->readable =
        event_new(base, fd, EV_READ | EV_PERSIST, on_readable, link);
    link->drain = event_new(base, -1, 0, on_readable, link);
    event_add(link->readable, NULL);
    event_active(link->drain, EV_TIMEOUT, 0);
}

/// Registers the open socket with the event loop, or closes it if `ok` is
/// false.
/// @param what operation that `ok` is the result of, for the error message.
static bool
watch_or_close(struct cm_link_socket *link, struct event_base *base, bool ok,
               const char *what, const char *endpoint, GError **error)
{
    if (!ok) {
        g_set_error(error, CM_ERROR, CM_ERROR_IO, "cannot %s %s: %s", what,
                    endpoint, zmq_strerror(zmq_errno()));
        zmq_close(link->socket);
        link->socket = NULL;
        return false;
    }
    watch_socket(link, base);
    return true;
}

bool
CmLink_Bind(struct cm_link_socket *link, void *zmq_context,
            struct event_base *base, const char *endpoint,
            cm_link_receive receive, void *context, GError **error)
{
    open_socket(link, zmq_context, ZMQ_ROUTER, receive, context);
    link->router = true;
    set_option(link->socket, ZMQ_ROUTER_MANDATORY, 1);
    set_option(link->socket, ZMQ_ROUTER_HANDOVER, 1);
    int64_t frame_max = CM_FRAME_MAX_BYTES;
    zmq_setsockopt(link->socket, ZMQ_MAXMSGSIZE, &frame_max,
                   sizeof(frame_max));
    int result = TEMP_FAILURE_RETRY(zmq_bind(link->socket, endpoint));
    return watch_or_close(link, base, result == 0, "bind", endpoint, error);
}

bool
CmLink_Connect(struct cm_link_socket *link, void *zmq_context,
               struct event_base *base, const char *name, const char *endpoint,
               cm_link_receive receive, void *context, GError **error)
{
    open_socket(link, zmq_context, ZMQ_DEALER, receive, context);
    set_option(link->socket, ZMQ_IMMEDIATE, 1);
    zmq_setsockopt(link->socket, ZMQ_ROUTING_ID, name, strlen(name));
    int result = TEMP_FAILURE_RETRY(zmq_connect(link->socket, endpoint));
    return watch_or_close(link, base, result == 0, "connect", endpoint, error);
}

void
CmLink_Finish(struct cm_link_socket *link)
{
    if (link->socket == NULL) {
        return;
    }
    event_free(link->readable);
    event_free(link->drain);
    zmq_close(link->socket);
    link->socket = NULL;
}

static bool
send_frame(struct cm_link_socket *link, const void *data, size_t size,
           int flags)
{
    return TEMP_FAILURE_RETRY(zmq_send(link->socket, data, size, flags)) >= 0;
}

bool
CmLink_Send(struct cm_link_socket *link, const struct cm_link_peer *peer,
            const struct cm_message *message)
{
    if (link->socket == NULL) {
        return false;
    }
    msgpack_sbuffer frame;
    msgpack_sbuffer_init(&frame);
    CmMessage_Encode(message, &frame);
    bool sent = true;
    if (link->router) {
        sent = send_frame(link, peer->name, strlen(peer->name),
                          ZMQ_SNDMORE | ZMQ_DONTWAIT);
    }
    if (sent) {
        sent = send_frame(link, frame.data, frame.size, ZMQ_DONTWAIT);
    }
    if (sent && link->traffic != NULL) {
        link->traffic->sent_messages++;
        link->traffic->sent_bytes += (int64_t)frame.size;
    }
    msgpack_sbuffer_destroy(&frame);
    // A send may consume the edge of ZMQ_FD, so check for input again.
    event_active(link->drain, EV_TIMEOUT, 0);
    return sent;
}
