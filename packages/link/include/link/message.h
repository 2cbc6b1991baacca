/// @file message.h
/// Encoding and decoding of messages, driven by one table of fields a type.

#ifndef LINK_MESSAGE_H
#define LINK_MESSAGE_H

#include <msgpack.h>
#include <stdbool.h>

#include "link/message_defs.h"

/// Appends the frame of `message` to `out`.
void
CmMessage_Encode(const struct cm_message *message, msgpack_sbuffer *out);

/// Decodes a frame. Texts point into the frame, lists into `zone`.
/// @return false for a frame that is not a well-formed message of this
///         protocol version; `*message` is then not to be used.
bool
CmMessage_Decode(const void *frame, size_t size, msgpack_zone *zone,
                 struct cm_message *message);

/// @return the bytes of a NUL-terminated text; NULL gives none.
struct cm_bytes
CmBytes_FromText(const char *text);

/// @return a NUL-terminated copy, to be freed.
char *
CmBytes_Dup(struct cm_bytes bytes);

/// @return whether `bytes` spell `text`.
bool
CmBytes_Equal(struct cm_bytes bytes, const char *text);

/// @return "ran", "not-run" or "unknown".
const char *
CmOutcome_Name(enum cm_outcome outcome);

/// @return a short text for `reason`.
const char *
CmReason_Name(enum cm_reason reason);

#endif
