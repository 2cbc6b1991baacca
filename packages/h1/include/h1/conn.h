/// @file conn.h
/// One HTTP/1.1 connection over a bufferevent, parsed by http-parser. Parsing
/// pauses between the end of one message and CmH1Conn_ReadNext(), while a
/// close by the peer is still reported. evhttp can do neither, and it accepts
/// requests with ambiguous framing (tests/evhttp_limits_test.c).

#ifndef H1_CONN_H
#define H1_CONN_H

#include <event2/event.h>
#include <event2/util.h>

#include "h1/conn_defs.h"

/// Takes over an accepted socket and reads requests from it.
void
CmH1Conn_Accept(struct cm_h1_conn *conn, struct event_base *base,
                evutil_socket_t fd, const struct cm_h1_handler *handler,
                void *context);

/// Connects to `address` ("IP:PORT") to read responses.
/// @return false if `address` is malformed or the socket cannot be created or
/// connected.
bool
CmH1Conn_Connect(struct cm_h1_conn *conn, struct event_base *base,
                 const char *address, const struct cm_h1_handler *handler,
                 void *context);

/// Closes the connection and discards pending output. Does nothing if it is
/// closed already.
void
CmH1Conn_Finish(struct cm_h1_conn *conn);

/// Detaches the connection from its owner and closes it in order: once all
/// output is written, or after 5 s in which the peer reads nothing, the
/// sending direction ends; then input is discarded until the peer ends, too,
/// within CM_H1_LINGER_MS and CM_H1_LINGER_MAX_BYTES. A lost connection is
/// closed at once. No callback follows.
void
CmH1Conn_FinishAfterWrite(struct cm_h1_conn *conn);

/// @return number of connections of the process that
/// CmH1Conn_FinishAfterWrite() has detached and that are still open.
size_t
CmH1Conn_Detached(void);

/// @return number of those that were detached with output to write, so that
/// their peers may lose some of it if the process ends.
size_t
CmH1Conn_Flushing(void);

/// Closes all detached connections at once.
void
CmH1Conn_FinishDetached(void);

/// Starts to read the next message after `message_complete`. Input that is
/// buffered already is parsed before the call returns.
void
CmH1Conn_ReadNext(struct cm_h1_conn *conn);

/// Pauses or resumes the reading of input. A close by the peer is not noticed
/// while it is paused.
void
CmH1Conn_SetReading(struct cm_h1_conn *conn, bool reading);

/// Declares that the next response has no body, as it answers a HEAD request.
void
CmH1Conn_ExpectNoBody(struct cm_h1_conn *conn);

/// Appends to the output buffer.
void
CmH1Conn_Write(struct cm_h1_conn *conn, const void *data, size_t size);

/// @return the number of bytes that are buffered for writing.
size_t
CmH1Conn_PendingOutput(const struct cm_h1_conn *conn);

/// @return the number of bytes of the output that the peer has not
/// acknowledged, as far as its output is watched (h1/output.h); otherwise,
/// that are buffered.
size_t
CmH1Conn_UnreadOutput(const struct cm_h1_conn *conn);

/// @return its socket.
evutil_socket_t
CmH1Conn_Socket(const struct cm_h1_conn *conn);

/// @return the number of received bytes that are not parsed yet.
size_t
CmH1Conn_PendingInput(const struct cm_h1_conn *conn);

/// @return memory in bytes that the head and input that is not parsed take.
size_t
CmH1Conn_HeldInput(const struct cm_h1_conn *conn);

/// @return whether a part of the message that is being read has arrived, or of
/// the last one until CmH1Conn_ReadNext().
bool
CmH1Conn_HasBegun(const struct cm_h1_conn *conn);

/// @return whether the head of the message that is being read has arrived.
bool
CmH1Conn_HeadDone(const struct cm_h1_conn *conn);

/// @return the head of the message that is being read or was read last.
const struct cm_h1_head *
CmH1Conn_Head(const struct cm_h1_conn *conn);

/// @return the value of the first header field `name`, in any letter case, or
/// NULL.
const char *
CmH1Head_Find(const struct cm_h1_head *head, const char *name);

/// @return the number of header fields.
size_t
CmH1Head_Count(const struct cm_h1_head *head);

/// @return the name of header field `i`; its value goes to `*value`.
const char *
CmH1Head_Field(const struct cm_h1_head *head, size_t i, const char **value);

/// @return whether a header field applies to one connection only and must not
/// be forwarded: the standard ones, and those listed in Connection.
bool
CmH1Head_IsHopByHop(const struct cm_h1_head *head, const char *name);

#endif
