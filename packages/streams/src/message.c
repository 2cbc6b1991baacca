/// @file message.c
/// Msgpack codec of the datagrams: [format, kind, id, service, software, age].

#include "streams/message.h"

#include <msgpack.h>
#include <string.h>

/// Value of the first field; other formats are ignored.
#define FORMAT 1
#define N_FIELDS 6
/// First byte of an array of so many values.
#define ARRAY_HEADER (0x90 | N_FIELDS)

static void
pack_text(msgpack_packer *packer, const char *text)
{
    size_t size = strlen(text);
    msgpack_pack_str(packer, size);
    msgpack_pack_str_body(packer, text, size);
}

size_t
CmStreamMessage_Encode(const struct cm_stream_message *message,
                       char data[CM_STREAM_MESSAGE_MAX])
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, N_FIELDS);
    msgpack_pack_uint8(&packer, FORMAT);
    msgpack_pack_uint8(&packer, (uint8_t)message->kind);
    pack_text(&packer, message->record.id);
    pack_text(&packer, message->record.service);
    pack_text(&packer, message->record.software);
    msgpack_pack_int64(&packer, message->age_ms);
    size_t size = MIN(buffer.size, CM_STREAM_MESSAGE_MAX);
    memcpy(data, buffer.data, size);
    msgpack_sbuffer_destroy(&buffer);
    return size;
}

static bool
read_text(const msgpack_object *object, char text[CM_STREAM_NAME_SIZE])
{
    if (object->type != MSGPACK_OBJECT_STR ||
        object->via.str.size >= CM_STREAM_NAME_SIZE) {
        return false;
    }
    size_t size = object->via.str.size;
    // The pointer of an empty text may be NULL.
    if (size > 0) {
        memcpy(text, object->via.str.ptr, size);
    }
    text[size] = '\0';
    return strlen(text) == size;
}

static bool
read_number(const msgpack_object *object, int64_t max, int64_t *number)
{
    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        object->via.u64 > (uint64_t)max) {
        return false;
    }
    *number = (int64_t)object->via.u64;
    return true;
}

/// @return whether a value that begins with `byte` is an array or a map, for
/// which msgpack would allocate whatever size it declares.
static bool
is_container(unsigned char byte)
{
    return (byte >= 0x80 && byte <= 0x9f) || (byte >= 0xdc && byte <= 0xdf);
}

static bool
read_field(struct cm_stream_message *message, int field,
           const msgpack_object *value)
{
    struct cm_stream_record *record = &message->record;
    int64_t number = 0;
    switch (field) {
    case 0:
        return read_number(value, FORMAT, &number) && number == FORMAT;
    case 1:
        if (!read_number(value, CM_STREAM_N_KINDS - 1, &number)) {
            return false;
        }
        message->kind = (enum cm_stream_message_kind)number;
        return true;
    case 2:
        return read_text(value, record->id) && record->id[0] != '\0';
    case 3:
        return read_text(value, record->service);
    case 4:
        return read_text(value, record->software);
    default:
        return read_number(value, INT32_MAX, &message->age_ms);
    }
}

bool
CmStreamMessage_Decode(struct cm_stream_message *message, const char *data,
                       size_t size)
{
    *message = (struct cm_stream_message){0};
    if (size == 0 || (unsigned char)data[0] != ARRAY_HEADER) {
        return false;
    }
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t offset = 1;
    bool valid = true;
    for (int field = 0; valid && field < N_FIELDS; field++) {
        valid = offset < size && !is_container((unsigned char)data[offset]) &&
                msgpack_unpack_next(&unpacked, data, size, &offset) ==
                    MSGPACK_UNPACK_SUCCESS &&
                read_field(message, field, &unpacked.data);
    }
    msgpack_unpacked_destroy(&unpacked);
    return valid && offset == size;
}
