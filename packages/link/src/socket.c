/// @file socket.c
/// ZeroMQ sockets on a libevent loop.

#include "link/socket.h"

#include <string.h>
#include <zmq.h>

#include "base/error.h"

static void
set_option(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

/// Takes the next frame without waiting.
/// @return false where there is none.
static bool
receive_part(struct cm_link_socket *link, zmq_msg_t *part)
{
    zmq_msg_init(part);
    if (zmq_msg_recv(part, link->socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(part);
        return false;
    }
    return true;
}

static void
skip_rest(struct cm_link_socket *link, zmq_msg_t *last)
{
    while (zmq_msg_more(last)) {
        zmq_msg_close(last);
        if (!receive_part(link, last)) {
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
hand_on(struct cm_link_socket *link, const struct cm_link_peer *peer,
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
        skip_rest(link, frame);
    }
    msgpack_zone_destroy(&zone);
}

/// Reads the identity frame of a ROUTER.
static bool
read_peer(zmq_msg_t *frame, struct cm_link_peer *peer)
{
    size_t size = zmq_msg_size(frame);
    if (size >= sizeof(peer->name) || !zmq_msg_more(frame)) {
        return false;
    }
    memset(peer, 0, sizeof(*peer));
    memcpy(peer->name, zmq_msg_data(frame), size);
    return strlen(peer->name) == size;
}

/// Takes one message from the socket.
/// @return false where the socket is empty.
static bool
receive_one(struct cm_link_socket *link)
{
    zmq_msg_t frame;
    if (!receive_part(link, &frame)) {
        return false;
    }
    struct cm_link_peer peer;
    const struct cm_link_peer *from = NULL;
    if (link->router) {
        if (!read_peer(&frame, &peer)) {
            count_bad_frame(link);
            skip_rest(link, &frame);
            zmq_msg_close(&frame);
            return true;
        }
        from = &peer;
        zmq_msg_close(&frame);
        if (!receive_part(link, &frame)) {
            return false;
        }
    }
    hand_on(link, from, &frame);
    zmq_msg_close(&frame);
    return true;
}

/// Messages handled in one turn of the loop, so that timers keep running.
#define DRAIN_MAX 256

static void
on_readable(evutil_socket_t fd, short what, void *context)
{
    struct cm_link_socket *link = context;
    for (int i = 0; i < DRAIN_MAX; i++) {
        if (!receive_one(link)) {
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
    // No heartbeats of ZeroMQ's: the messages above it carry their own.
    set_option(link->socket, ZMQ_TCP_KEEPALIVE, 1);
    set_option(link->socket, ZMQ_TCP_KEEPALIVE_IDLE, CM_LINK_KEEPALIVE_S);
    set_option(link->socket, ZMQ_RECONNECT_IVL, 50);
    set_option(link->socket, ZMQ_RECONNECT_IVL_MAX, 1000);
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

/// Watches the socket, or closes it where it could not be opened.
static bool
finish_open(struct cm_link_socket *link, struct event_base *base, bool ok,
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
    return finish_open(link, base, zmq_bind(link->socket, endpoint) == 0,
                       "bind", endpoint, error);
}

bool
CmLink_Connect(struct cm_link_socket *link, void *zmq_context,
               struct event_base *base, const char *name, const char *endpoint,
               cm_link_receive receive, void *context, GError **error)
{
    open_socket(link, zmq_context, ZMQ_DEALER, receive, context);
    set_option(link->socket, ZMQ_IMMEDIATE, 1);
    zmq_setsockopt(link->socket, ZMQ_ROUTING_ID, name, strlen(name));
    return finish_open(link, base, zmq_connect(link->socket, endpoint) == 0,
                       "connect", endpoint, error);
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
        sent = zmq_send(link->socket, peer->name, strlen(peer->name),
                        ZMQ_SNDMORE | ZMQ_DONTWAIT) >= 0;
    }
    if (sent) {
        sent =
            zmq_send(link->socket, frame.data, frame.size, ZMQ_DONTWAIT) >= 0;
    }
    if (sent && link->traffic != NULL) {
        link->traffic->sent_messages++;
        link->traffic->sent_bytes += (int64_t)frame.size;
    }
    msgpack_sbuffer_destroy(&frame);
    // A send may consume the edge of ZMQ_FD: look for input once more.
    event_active(link->drain, EV_TIMEOUT, 0);
    return sent;
}
