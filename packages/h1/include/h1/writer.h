/// @file writer.h
/// Composes HTTP/1.1 messages into a text buffer.

#ifndef H1_WRITER_H
#define H1_WRITER_H

#include <glib.h>

/// Starts a request.
void
CmH1Writer_Request(GString *out, const char *method, const char *target);

/// Starts a response; the reason phrase follows from `status`.
void
CmH1Writer_Response(GString *out, int status);

/// Adds a header field.
void
CmH1Writer_Header(GString *out, const char *name, const char *value);

/// Adds a header field with a number.
void
CmH1Writer_NumberHeader(GString *out, const char *name, gint64 value);

/// Closes the header section and appends a body with its length.
void
CmH1Writer_Body(GString *out, const void *body, gsize size);

/// Closes the header section of a chunked message.
void
CmH1Writer_StartChunks(GString *out);

/// Appends one chunk; nothing for `size` 0.
void
CmH1Writer_Chunk(GString *out, const void *data, gsize size);

/// Ends a chunked message.
void
CmH1Writer_EndChunks(GString *out);

#endif
