/// @file message.c
/// Msgpack codec of the messages, driven by tables of their fields.

#include "link/message.h"

#include <glib.h>
#include <string.h>

enum field_kind { FIELD_NUMBER, FIELD_BYTES, FIELD_LIST };

struct field {
    enum field_kind kind;
    size_t offset;
    size_t count_offset;      ///< of the list's length
    size_t item_size;         ///< size of one list item
    const struct field *item; ///< fields of one list item
    size_t n_item_fields;     ///< number of those fields
};

struct layout {
    const struct field *fields;
    size_t n_fields;
};

#define NUMBER(type, name)                                                    \
    {                                                                         \
        .kind = FIELD_NUMBER, .offset = offsetof(type, name)                  \
    }
#define BYTES(type, name)                                                     \
    {                                                                         \
        .kind = FIELD_BYTES, .offset = offsetof(type, name)                   \
    }
#define LIST(type, name, count, item_type, item_fields)                       \
    {                                                                         \
        .kind = FIELD_LIST, .offset = offsetof(type, name),                   \
        .count_offset = offsetof(type, count),                                \
        .item_size = sizeof(item_type), .item = (item_fields),                \
        .n_item_fields = G_N_ELEMENTS(item_fields)                            \
    }

static const struct field hello_fields[] = {
    BYTES(struct cm_msg_hello, entry),
    NUMBER(struct cm_msg_hello, revision),
    NUMBER(struct cm_msg_hello, sent_ms),
    NUMBER(struct cm_msg_hello, known_slots_version),
    NUMBER(struct cm_msg_hello, instance_draining),
    NUMBER(struct cm_msg_hello, interval_ms),
};
static const struct field submit_fields[] = {
    BYTES(struct cm_msg_submit, id),
    BYTES(struct cm_msg_submit, service),
    BYTES(struct cm_msg_submit, adapter),
    BYTES(struct cm_msg_submit, method),
    BYTES(struct cm_msg_submit, path),
    BYTES(struct cm_msg_submit, headers),
    BYTES(struct cm_msg_submit, body),
    BYTES(struct cm_msg_submit, fingerprint),
    BYTES(struct cm_msg_submit, key),
    NUMBER(struct cm_msg_submit, incarnation),
    NUMBER(struct cm_msg_submit, sent_ms),
    NUMBER(struct cm_msg_submit, deadline_ms),
    NUMBER(struct cm_msg_submit, priority),
    NUMBER(struct cm_msg_submit, window),
    NUMBER(struct cm_msg_submit, retain),
    NUMBER(struct cm_msg_submit, retryable),
};
static const struct field id_fields[] = {
    BYTES(struct cm_msg_cancel, id),
};
static const struct field credit_fields[] = {
    BYTES(struct cm_msg_credit, stream),
    NUMBER(struct cm_msg_credit, received),
    NUMBER(struct cm_msg_credit, window),
};
static const struct field attach_fields[] = {
    BYTES(struct cm_msg_attach, id),
    BYTES(struct cm_msg_attach, stream),
    NUMBER(struct cm_msg_attach, offset),
    NUMBER(struct cm_msg_attach, window),
};
static const struct field grant_fields[] = {
    NUMBER(struct cm_msg_grant, number),
    NUMBER(struct cm_msg_grant, expiry_ms),
};
static const struct field slot_fields[] = {
    BYTES(struct cm_msg_slot, adapter),
    NUMBER(struct cm_msg_slot, ready),
    NUMBER(struct cm_msg_slot, pins),
};
static const struct field report_fields[] = {
    BYTES(struct cm_msg_report, target),
    BYTES(struct cm_msg_report, service),
    NUMBER(struct cm_msg_report, incarnation),
    NUMBER(struct cm_msg_report, revision),
    NUMBER(struct cm_msg_report, draining),
    NUMBER(struct cm_msg_report, healthy),
    NUMBER(struct cm_msg_report, running),
    NUMBER(struct cm_msg_report, waiting),
    NUMBER(struct cm_msg_report, capacity),
    NUMBER(struct cm_msg_report, slot_count),
    NUMBER(struct cm_msg_report, load_ms),
    NUMBER(struct cm_msg_report, eviction_cost),
    NUMBER(struct cm_msg_report, run_ms),
    NUMBER(struct cm_msg_report, slots_version),
    NUMBER(struct cm_msg_report, slots_included),
    LIST(struct cm_msg_report, slots, n_slots, struct cm_msg_slot,
         slot_fields),
};
static const struct field head_fields[] = {
    BYTES(struct cm_msg_head, stream),    NUMBER(struct cm_msg_head, status),
    NUMBER(struct cm_msg_head, stall_ms), NUMBER(struct cm_msg_head, queue_ms),
    BYTES(struct cm_msg_head, headers),
};
static const struct field chunk_fields[] = {
    BYTES(struct cm_msg_chunk, stream),
    NUMBER(struct cm_msg_chunk, offset),
    BYTES(struct cm_msg_chunk, data),
};
static const struct field end_fields[] = {
    BYTES(struct cm_msg_end, stream),
    NUMBER(struct cm_msg_end, outcome),
    NUMBER(struct cm_msg_end, reason),
    NUMBER(struct cm_msg_end, size),
};
static const struct field sealed_fields[] = {
    BYTES(struct cm_msg_sealed, id),
    NUMBER(struct cm_msg_sealed, state),
    NUMBER(struct cm_msg_sealed, incarnation),
};
static const struct field suspect_fields[] = {
    BYTES(struct cm_msg_suspect, fingerprint),
};
static const struct field crash_fields[] = {
    BYTES(struct cm_msg_crash, target),
    NUMBER(struct cm_msg_crash, incarnation),
    NUMBER(struct cm_msg_crash, crash_number),
    LIST(struct cm_msg_crash, suspects, n_suspects, struct cm_msg_suspect,
         suspect_fields),
};
static const struct field permit_fields[] = {
    NUMBER(struct cm_msg_permit, number),
    NUMBER(struct cm_msg_permit, release),
    NUMBER(struct cm_msg_permit, deadline_ms),
    NUMBER(struct cm_msg_permit, waiters),
};

static const struct field prefetch_fields[] = {
    BYTES(struct cm_msg_prefetch, adapter),
};

#define LAYOUT(fields)                                                        \
    {                                                                         \
        (fields), G_N_ELEMENTS(fields)                                        \
    }

static const struct layout layouts[] = {
    [CM_MSG_HELLO] = LAYOUT(hello_fields),
    [CM_MSG_SUBMIT] = LAYOUT(submit_fields),
    [CM_MSG_CANCEL] = LAYOUT(id_fields),
    [CM_MSG_CREDIT] = LAYOUT(credit_fields),
    [CM_MSG_SEAL] = LAYOUT(id_fields),
    [CM_MSG_ATTACH] = LAYOUT(attach_fields),
    [CM_MSG_GRANT] = LAYOUT(grant_fields),
    [CM_MSG_REPORT] = LAYOUT(report_fields),
    [CM_MSG_ACCEPTED] = LAYOUT(id_fields),
    [CM_MSG_STARTED] = LAYOUT(id_fields),
    [CM_MSG_HEAD] = LAYOUT(head_fields),
    [CM_MSG_CHUNK] = LAYOUT(chunk_fields),
    [CM_MSG_END] = LAYOUT(end_fields),
    [CM_MSG_SEALED] = LAYOUT(sealed_fields),
    [CM_MSG_CRASH] = LAYOUT(crash_fields),
    [CM_MSG_PERMIT] = LAYOUT(permit_fields),
    [CM_MSG_PREFETCH] = LAYOUT(prefetch_fields),
};

/// @return the union, whose members all start at the same address.
static void *
message_fields(const struct cm_message *message)
{
    return (void *)&message->hello;
}

static void
encode_fields(msgpack_packer *packer, const struct field *fields,
              size_t n_fields, const char *base);

static void
encode_field(msgpack_packer *packer, const struct field *field,
             const char *base)
{
    if (field->kind == FIELD_NUMBER) {
        msgpack_pack_uint64(packer, *(const uint64_t *)(base + field->offset));
        return;
    }
    if (field->kind == FIELD_BYTES) {
        const struct cm_bytes *bytes =
            (const struct cm_bytes *)(base + field->offset);
        msgpack_pack_bin(packer, bytes->size);
        if (bytes->size > 0) {
            msgpack_pack_bin_body(packer, bytes->data, bytes->size);
        }
        return;
    }
    const char *items = *(const char *const *)(base + field->offset);
    uint64_t count = *(const uint64_t *)(base + field->count_offset);
    msgpack_pack_array(packer, count);
    for (uint64_t i = 0; i < count; i++) {
        msgpack_pack_array(packer, field->n_item_fields);
        encode_fields(packer, field->item, field->n_item_fields,
                      items + i * field->item_size);
    }
}

static void
encode_fields(msgpack_packer *packer, const struct field *fields,
              size_t n_fields, const char *base)
{
    for (size_t i = 0; i < n_fields; i++) {
        encode_field(packer, &fields[i], base);
    }
}

void
CmMessage_Encode(const struct cm_message *message, msgpack_sbuffer *out)
{
    const struct layout *layout = &layouts[message->type];
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, layout->n_fields + 2);
    msgpack_pack_uint64(&packer, CM_PROTOCOL_VERSION);
    msgpack_pack_uint64(&packer, message->type);
    encode_fields(&packer, layout->fields, layout->n_fields,
                  message_fields(message));
}

static bool
decode_fields(const msgpack_object *values, const struct field *fields,
              size_t n_fields, msgpack_zone *zone, char *base);

static bool
decode_list(const msgpack_object *value, const struct field *field,
            msgpack_zone *zone, char *base)
{
    if (value->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    uint32_t count = value->via.array.size;
    char *items = msgpack_zone_malloc(zone, count * field->item_size + 1);
    if (items == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        const msgpack_object *item = &value->via.array.ptr[i];
        if (item->type != MSGPACK_OBJECT_ARRAY ||
            item->via.array.size != field->n_item_fields ||
            !decode_fields(item->via.array.ptr, field->item,
                           field->n_item_fields, zone,
                           items + i * field->item_size)) {
            return false;
        }
    }
    *(char **)(base + field->offset) = items;
    *(uint64_t *)(base + field->count_offset) = count;
    return true;
}

static bool
decode_field(const msgpack_object *value, const struct field *field,
             msgpack_zone *zone, char *base)
{
    if (field->kind == FIELD_LIST) {
        return decode_list(value, field, zone, base);
    }
    if (field->kind == FIELD_NUMBER) {
        if (value->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return false;
        }
        *(uint64_t *)(base + field->offset) = value->via.u64;
        return true;
    }
    if (value->type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    struct cm_bytes *bytes = (struct cm_bytes *)(base + field->offset);
    bytes->data = value->via.bin.ptr;
    bytes->size = value->via.bin.size;
    return true;
}

static bool
decode_fields(const msgpack_object *values, const struct field *fields,
              size_t n_fields, msgpack_zone *zone, char *base)
{
    for (size_t i = 0; i < n_fields; i++) {
        if (!decode_field(&values[i], &fields[i], zone, base)) {
            return false;
        }
    }
    return true;
}

/// @return the layout of the frame's message type, or NULL for a malformed
///         frame.
static const struct layout *
frame_layout(const msgpack_object *frame)
{
    if (frame->type != MSGPACK_OBJECT_ARRAY || frame->via.array.size < 2) {
        return NULL;
    }
    const msgpack_object *values = frame->via.array.ptr;
    if (values[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        values[0].via.u64 != CM_PROTOCOL_VERSION ||
        values[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        values[1].via.u64 == 0 || values[1].via.u64 >= G_N_ELEMENTS(layouts)) {
        return NULL;
    }
    const struct layout *layout = &layouts[values[1].via.u64];
    return frame->via.array.size == layout->n_fields + 2 ? layout : NULL;
}

/// @return the big-endian number of `size` bytes at `at`.
static uint64_t
read_big_endian(const unsigned char *at, size_t size)
{
    uint64_t number = 0;
    for (size_t i = 0; i < size; i++) {
        number = number << 8 | at[i];
    }
    return number;
}

/// @return number of bytes after the first byte of an item, without the items
///         of an array; SIZE_MAX for a type that no message contains and for
///         a length beyond the frame.
static size_t
item_remaining_bytes(const unsigned char *at, size_t left)
{
    unsigned char kind = *at;
    if (kind <= 0x7f || (kind >= 0x90 && kind <= 0x9f)) {
        return 0; // positive fixint, fixarray
    }
    if (kind >= 0xcc && kind <= 0xcf) {
        return (size_t)1 << (kind - 0xcc); // uint 8 to uint 64
    }
    bool bytes = kind >= 0xc4 && kind <= 0xc6;
    bool array = kind == 0xdc || kind == 0xdd;
    if (!bytes && !array) {
        return SIZE_MAX;
    }
    size_t width = (size_t)1 << (bytes ? kind - 0xc4 : kind - 0xdc + 1);
    if (left <= width) {
        return SIZE_MAX;
    }
    uint64_t length = read_big_endian(at + 1, width);
    if (length > left) {
        return SIZE_MAX;
    }
    return bytes ? width + (size_t)length : width;
}

/// Checks the lengths of all items before the frame is unpacked. Msgpack
/// allocates an array by its announced length, so that a frame of a few bytes
/// could request gigabytes.
static bool
validate_lengths(const unsigned char *frame, size_t size)
{
    size_t offset = 0;
    while (offset < size) {
        size_t left = size - offset;
        size_t tail = item_remaining_bytes(frame + offset, left);
        if (tail >= left) {
            return false;
        }
        offset += 1 + tail;
    }
    return true;
}

bool
CmMessage_Decode(const void *data, size_t size, msgpack_zone *zone,
                 struct cm_message *message)
{
    msgpack_object frame;
    size_t offset = 0;
    if (size > CM_FRAME_MAX_BYTES || !validate_lengths(data, size) ||
        msgpack_unpack(data, size, &offset, zone, &frame) !=
            MSGPACK_UNPACK_SUCCESS) {
        return false;
    }
    const struct layout *layout = frame_layout(&frame);
    if (layout == NULL) {
        return false;
    }
    memset(message, 0, sizeof(*message));
    message->type = (enum cm_message_type)frame.via.array.ptr[1].via.u64;
    return decode_fields(frame.via.array.ptr + 2, layout->fields,
                         layout->n_fields, zone, message_fields(message));
}

struct cm_bytes
CmBytes_FromText(const char *text)
{
    return (struct cm_bytes){text, text != NULL ? strlen(text) : 0};
}

char *
CmBytes_Dup(struct cm_bytes bytes)
{
    return g_strndup(bytes.size > 0 ? bytes.data : "", bytes.size);
}

bool
CmBytes_Equal(struct cm_bytes bytes, const char *text)
{
    return bytes.size == strlen(text) &&
           (bytes.size == 0 || memcmp(bytes.data, text, bytes.size) == 0);
}

const char *
CmOutcome_Name(enum cm_outcome outcome)
{
    static const char *const names[] = {"unknown", "ran", "not-run"};
    return names[outcome <= CM_OUTCOME_NOT_RUN ? outcome : 0];
}

const char *
CmReason_Name(enum cm_reason reason)
{
    static const char *const names[] = {
        "none",        "target leaving",   "deadline",
        "queue full",  "sealed",           "adapter load failed",
        "target lost", "adapter mismatch", "cancelled",
        "unreachable", "stale incarnation"};
    return reason < G_N_ELEMENTS(names) ? names[reason] : "unspecified";
}
