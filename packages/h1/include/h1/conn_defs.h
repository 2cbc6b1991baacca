/// @file conn_defs.h
/// Types of one HTTP/1.1 connection.

#ifndef H1_CONN_DEFS_H
#define H1_CONN_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Input kept while no message is being read; the rest waits in the kernel.
#define CM_H1_INPUT_MAX_BYTES ((size_t)256 * 1024)
/// Longest header section that is accepted by default.
#define CM_H1_HEADER_MAX_BYTES ((size_t)32 * 1024)
/// Time after which unacknowledged data counts as a lost connection: twice
/// the slowest round trip with a few losses, below every request timeout.
#define CM_H1_TCP_USER_TIMEOUT_MS 2000
/// Keep-alive probes: first after this idle time, then at this interval.
#define CM_H1_TCP_KEEPALIVE_S 1
/// Unanswered probes after which the connection is lost.
#define CM_H1_TCP_KEEPALIVE_PROBES 2

/// One header field; offsets into the head's text.
struct cm_h1_field {
    uint32_t name;
    uint32_t value;
};

/// Start line and header fields of a message.
struct cm_h1_head {
    int status;          ///< of a response
    const char *method;  ///< of a request
    GString *target;     ///< path and query of a request, as received
    GString *text;       ///< names and values, each closed by a NUL
    GArray *fields;      ///< of struct cm_h1_field
    bool keep_alive;     ///< the connection outlives this message
    bool self_delimited; ///< the end of the body is marked
};

/// Why a connection ended.
enum cm_h1_close_reason {
    CM_H1_CLOSED,           ///< the other end closed it
    CM_H1_RESET,            ///< it was reset, or never established
    CM_H1_INVALID,          ///< the other end sent what is no HTTP message
    CM_H1_HEADER_TOO_LARGE, ///< a header section beyond the limit
};

struct cm_h1_conn;

/// What an owner hears; any may be NULL. The connection may be finished from
/// within each of them.
struct cm_h1_handler {
    /// The connection is established (outgoing ones only).
    void (*connected)(void *context);
    /// Start line and header have arrived.
    void (*head)(void *context, const struct cm_h1_head *head);
    /// A part of the body; `data` is valid during the call only.
    void (*body)(void *context, const void *data, size_t size);
    /// The message is whole; input rests until CmH1Conn_ReadNext().
    void (*message_complete)(void *context);
    /// All that was written has left the process.
    void (*drained)(void *context);
    /// The connection is over; it has still to be finished.
    void (*closed)(void *context, enum cm_h1_close_reason end);
};

struct cm_h1_io;

/// One connection on its owner's memory.
struct cm_h1_conn {
    struct cm_h1_io *io; ///< NULL when finished
    const struct cm_h1_handler *handler;
    void *context;
};

#endif
