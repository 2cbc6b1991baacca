/// @file conn.h
/// One HTTP/1.1 connection over a bufferevent, parsed by http-parser. Input
/// rests between the end of one message and CmH1Conn_ReadNext(), while a close
/// by the other end is still noticed. evhttp can do neither of these; see
/// tests/evhttp_limits_test.c for the cases.

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
/// @return false if `address` is malformed or no socket could be had.
bool
CmH1Conn_Connect(struct cm_h1_conn *conn, struct event_base *base,
                 const char *address, const struct cm_h1_handler *handler,
                 void *context);

/// Closes the connection; what was not written yet is dropped.
void
CmH1Conn_Finish(struct cm_h1_conn *conn);

/// Closes the connection once all output is written, without an owner.
void
CmH1Conn_FinishAfterWrite(struct cm_h1_conn *conn);

/// Goes on to the next message.
void
CmH1Conn_ReadNext(struct cm_h1_conn *conn);

/// Announces that the response to come has no body (to HEAD).
void
CmH1Conn_ExpectNoBody(struct cm_h1_conn *conn);

/// Appends to the output.
void
CmH1Conn_Write(struct cm_h1_conn *conn, const void *data, size_t size);

/// @return bytes of output that are not written yet.
size_t
CmH1Conn_PendingOutput(const struct cm_h1_conn *conn);

/// @return bytes of input that no message has taken.
size_t
CmH1Conn_PendingInput(const struct cm_h1_conn *conn);

/// @return the head of the message that is being read.
const struct cm_h1_head *
CmH1Conn_Head(const struct cm_h1_conn *conn);

/// @return the value of header `name`, or NULL.
const char *
CmH1Head_Find(const struct cm_h1_head *head, const char *name);

/// @return number of header fields.
size_t
CmH1Head_Count(const struct cm_h1_head *head);

/// @return name and, by `value`, value of field `i`.
const char *
CmH1Head_Field(const struct cm_h1_head *head, size_t i, const char **value);

/// @return whether a header concerns one connection only and is never passed
/// on: the standard ones, and those that Connection names.
bool
CmH1Head_IsHopByHop(const struct cm_h1_head *head, const char *name);

#endif
