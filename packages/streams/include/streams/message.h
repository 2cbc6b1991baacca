/// @file message.h
/// Datagrams between gateways and the agents that hold their records: one
/// msgpack array each.

#ifndef STREAMS_MESSAGE_H
#define STREAMS_MESSAGE_H

#include "streams/record.h"

/// Largest datagram.
#define CM_STREAM_MESSAGE_MAX 256

enum cm_stream_message_kind {
    CM_STREAM_KEEP,    ///< the holder is to keep the record
    CM_STREAM_ASK,     ///< asks for the record of an id
    CM_STREAM_KNOWN,   ///< answer: the record
    CM_STREAM_UNKNOWN, ///< answer: there is none
    CM_STREAM_N_KINDS
};

struct cm_stream_message {
    enum cm_stream_message_kind kind;
    struct cm_stream_record record; ///< only `id` unless kept or known
    int64_t age_ms;                 ///< of a known record
};

/// @param[out] data receives the datagram.
/// @return its size.
size_t
CmStreamMessage_Encode(const struct cm_stream_message *message,
                       char data[CM_STREAM_MESSAGE_MAX]);

/// @return whether the datagram is valid.
bool
CmStreamMessage_Decode(struct cm_stream_message *message, const char *data,
                       size_t size);

#endif
