/// @file message.h
/// Encoding and decoding of messages, driven by a table of fields for each
/// message type.

#ifndef LINK_MESSAGE_H
#define LINK_MESSAGE_H

#include <msgpack.h>
#include <stdbool.h>

#include "link/message_defs.h"

/// Appends the encoded frame of `message` to `out`.
void
CmMessage_Encode(const struct cm_message *message, msgpack_sbuffer *out);

/// Decodes the frame at `data`. Byte strings in `*message` point into it,
/// lists into `zone`.
/// @return false for a frame that is not a well-formed message of this
///         protocol version; `*message` is then undefined.
bool
CmMessage_Decode(const void *data, size_t size, msgpack_zone *zone,
                 struct cm_message *message);

/// @return a view of a NUL-terminated text; empty for NULL.
struct cm_bytes
CmBytes_FromText(const char *text);

/// @return a NUL-terminated copy; free with g_free().
char *
CmBytes_Dup(struct cm_bytes bytes);

/// @return whether `bytes` equal the NUL-terminated `text`.
bool
CmBytes_Equal(struct cm_bytes bytes, const char *text);

/// @return "ran", "not-run" or "unknown", as sent in X-Outcome.
const char *
CmOutcome_Name(enum cm_outcome outcome);

/// @return a short text for logs and error responses.
const char *
CmReason_Name(enum cm_reason reason);

#endif
