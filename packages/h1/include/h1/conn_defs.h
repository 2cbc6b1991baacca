/// @file conn_defs.h
/// Types and limits of an HTTP/1.1 connection.

#ifndef H1_CONN_DEFS_H
#define H1_CONN_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Input buffered while no message is being read; the rest stays in the
/// kernel. Twice what libevent reads at once, so that reading doesn't pause
/// while messages are parsed.
#define CM_H1_INPUT_MAX_BYTES ((size_t)32 * 1024)
/// Longest request target plus header section that is accepted.
#define CM_H1_HEADER_MAX_BYTES ((size_t)32 * 1024)
/// Informational (1xx) responses before one response.
#define CM_H1_INFORMATIONAL_MAX 8
/// TCP_USER_TIMEOUT: a connection with data unacknowledged for this long is
/// lost. Twice the slowest round trip with a few lost packets, and below every
/// request timeout.
#define CM_H1_TCP_USER_TIMEOUT_MS 2000
/// TCP keepalive: idle time before the first probe, and probe interval.
#define CM_H1_TCP_KEEPALIVE_S 1
/// TCP keepalive: unanswered probes after which the connection is lost.
#define CM_H1_TCP_KEEPALIVE_PROBES 2
/// Time in which a peer may end its sending after the last output is written:
/// as long as its system may take to acknowledge that output.
#define CM_H1_LINGER_MS CM_H1_TCP_USER_TIMEOUT_MS
/// Input that is discarded meanwhile: twice the usual largest body (4 MiB).
#define CM_H1_LINGER_MAX_BYTES ((size_t)8 * 1024 * 1024)

/// One header field, as offsets into `text` of the head.
struct cm_h1_field {
    uint32_t name;
    uint32_t value;
};

/// Start line and header fields of a message.
struct cm_h1_head {
    int status;          ///< of a response
    const char *method;  ///< of a request
    GString *target;     ///< path and query of a request, as received
    GString *text;       ///< names and values, each NUL-terminated
    GArray *fields;      ///< of struct cm_h1_field
    int64_t body_bytes;  ///< named length of the body; -1 for none
    bool keep_alive;     ///< the connection persists after the message
    bool self_delimited; ///< the body does not end by a close
};

/// Why a connection was closed.
enum cm_h1_close_reason {
    CM_H1_CLOSED,           ///< closed by the peer
    CM_H1_RESET,            ///< reset by the peer, lost, or never established
    CM_H1_INVALID,          ///< the peer sent a malformed message
    CM_H1_HEADER_TOO_LARGE, ///< the header section exceeds the limit
    /// Too much output is held, and the peer reads slowly. As after
    /// CM_H1_RESET, the owner finishes the connection before it returns.
    CM_H1_UNREAD,
};

struct cm_h1_conn;

/// Callbacks of a connection; any may be NULL. Each may finish the connection.
struct cm_h1_handler {
    /// An outgoing connection is established.
    void (*connected)(void *context);
    /// The first byte of a message arrived.
    void (*begin)(void *context);
    /// The start line and header section arrived.
    void (*head)(void *context, const struct cm_h1_head *head);
    /// A part of the body arrived; `data` is valid until the callback returns.
    void (*body)(void *context, const void *data, size_t size);
    /// Input was read, and the message hasn't arrived whole yet. Once for all
    /// parts of the body that were read together.
    void (*progress)(void *context);
    /// The whole message arrived; parsing pauses until CmH1Conn_ReadNext().
    void (*message_complete)(void *context);
    /// All buffered output was passed to the kernel.
    void (*drained)(void *context);
    /// The connection is closed or unusable; the owner still has to finish it.
    void (*closed)(void *context, enum cm_h1_close_reason reason);
};

struct cm_h1_io;

/// One connection, in memory of its owner.
struct cm_h1_conn {
    struct cm_h1_io *io; ///< NULL once finished
    const struct cm_h1_handler *handler;
    void *context;
};

#endif
