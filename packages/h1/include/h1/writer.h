/// @file writer.h
/// Composes HTTP/1.1 messages in a string buffer.

#ifndef H1_WRITER_H
#define H1_WRITER_H

#include <glib.h>
#include <stdint.h>

#include "h1/conn_defs.h"

/// Header with the id of a call between processes of this project. The server
/// repeats it in the response, so that a late second response to another call
/// on the same connection isn't taken for the one that is awaited.
#define CM_H1_CALL_ID "Call-Id"

/// Appends the request line.
void
CmH1Writer_Request(GString *out, const char *method, const char *target);

/// Appends the status line with the standard reason phrase of `status`.
void
CmH1Writer_Response(GString *out, int status);

/// Appends a header field. `name` and `value` must not contain line breaks.
void
CmH1Writer_Header(GString *out, const char *name, const char *value);

/// Appends a header field with a decimal number.
void
CmH1Writer_NumberHeader(GString *out, const char *name, gint64 value);

/// Appends the id of a call.
void
CmH1Writer_CallId(GString *out, uint64_t id);

/// Appends the id of the call that a request names, if it names one.
void
CmH1Writer_RepeatCallId(GString *out, const struct cm_h1_head *request);

/// Appends Content-Length, the end of the header section and the body.
void
CmH1Writer_Body(GString *out, const void *body, gsize size);

/// Appends Transfer-Encoding: chunked and the end of the header section.
void
CmH1Writer_StartChunks(GString *out);

/// Appends one chunk, or nothing if `size` is 0, as an empty chunk ends the
/// message.
void
CmH1Writer_Chunk(GString *out, const void *data, gsize size);

/// Appends the last chunk, which ends the message.
void
CmH1Writer_EndChunks(GString *out);

#endif
