/// @file message_fuzz.c
/// Fuzz target: frames between entries and agents. Every frame that decodes
/// must survive encoding and decoding again.

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "link/message.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    msgpack_zone zone;
    msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE);
    struct cm_message message;
    if (CmMessage_Decode(data, size, &zone, &message)) {
        msgpack_sbuffer frame;
        msgpack_sbuffer_init(&frame);
        CmMessage_Encode(&message, &frame);
        struct cm_message decoded;
        if (!CmMessage_Decode(frame.data, frame.size, &zone, &decoded) ||
            decoded.type != message.type) {
            abort();
        }
        msgpack_sbuffer_destroy(&frame);
    }
    msgpack_zone_destroy(&zone);
    return 0;
}
