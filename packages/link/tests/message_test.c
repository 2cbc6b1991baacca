/// @file message_test.c
/// Round trips of all message types, and rejection of malformed frames.

#include "link/message.h"

#include <string.h>

#include "cm_test.h"

static struct cm_msg_slot slots[] = {{{"a@1", 3}, 1, 4}, {{"b@2", 3}, 0, 0}};
static struct cm_msg_suspect suspects[] = {{{"f1", 2}}, {{"f2", 2}}};

/// One message of each type.
static const struct cm_message examples[] = {
    {.type = CM_MSG_HELLO, .hello = {{"e", 1}, 7, 8, 9, 1, 500}},
    {.type = CM_MSG_SUBMIT,
     .submit = {.id = {"id", 2},
                .adapter = {"a@1", 3},
                .body = {"\0\1\2", 3},
                .incarnation = UINT64_MAX,
                .deadline_ms = 1}},
    {.type = CM_MSG_CANCEL, .cancel = {{"id", 2}}},
    {.type = CM_MSG_CREDIT, .credit = {{"s", 1}, 5, 6}},
    {.type = CM_MSG_SEAL, .seal = {{"id", 2}}},
    {.type = CM_MSG_ATTACH, .attach = {{"id", 2}, {"s", 1}, 3, 4}},
    {.type = CM_MSG_GRANT, .grant = {1, 2}},
    {.type = CM_MSG_REPORT,
     .report = {.target = {"t", 1},
                .slots_included = 1,
                .slots = slots,
                .n_slots = 2}},
    {.type = CM_MSG_ACCEPTED, .accepted = {{"id", 2}}},
    {.type = CM_MSG_STARTED, .started = {{"id", 2}}},
    {.type = CM_MSG_HEAD, .head = {{"s", 1}, 200, 1, 2, {"A: b\r\n", 6}}},
    {.type = CM_MSG_CHUNK, .chunk = {{"s", 1}, 9, {"data", 4}}},
    {.type = CM_MSG_END, .end = {{"s", 1}, 1, 2, 3}},
    {.type = CM_MSG_SEALED, .sealed = {{"id", 2}, 1, 2}},
    {.type = CM_MSG_CRASH,
     .crash = {{"t", 1}, 1, 2, .suspects = suspects, .n_suspects = 2}},
    {.type = CM_MSG_PERMIT, .permit = {1, 0, 3, 4}},
    {.type = CM_MSG_PREFETCH, .prefetch = {{"a@1", 3}}},
};

static void
test_round_trips(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(examples); i++) {
        msgpack_sbuffer first;
        msgpack_sbuffer second;
        msgpack_sbuffer_init(&first);
        msgpack_sbuffer_init(&second);
        msgpack_zone zone;
        msgpack_zone_init(&zone, 1024);
        CmMessage_Encode(&examples[i], &first);
        struct cm_message decoded;
        CU_ASSERT_TRUE_FATAL(
            CmMessage_Decode(first.data, first.size, &zone, &decoded));
        CU_ASSERT_EQUAL(decoded.type, examples[i].type);
        CmMessage_Encode(&decoded, &second);
        CU_ASSERT_EQUAL(first.size, second.size);
        CU_ASSERT_EQUAL(memcmp(first.data, second.data, first.size), 0);
        msgpack_zone_destroy(&zone);
        msgpack_sbuffer_destroy(&first);
        msgpack_sbuffer_destroy(&second);
    }
}

static bool
decodes(const void *data, size_t size)
{
    msgpack_zone zone;
    msgpack_zone_init(&zone, 1024);
    struct cm_message message;
    bool ok = CmMessage_Decode(data, size, &zone, &message);
    msgpack_zone_destroy(&zone);
    return ok;
}

static void
test_truncated_frames(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(examples); i++) {
        msgpack_sbuffer frame;
        msgpack_sbuffer_init(&frame);
        CmMessage_Encode(&examples[i], &frame);
        for (size_t size = 0; size < frame.size; size++) {
            char *truncated = g_memdup2(frame.data, size);
            CU_ASSERT_FALSE(decodes(truncated, size));
            g_free(truncated);
        }
        msgpack_sbuffer_destroy(&frame);
    }
}

static void
test_malformed_frames(void)
{
    static const struct {
        const char *name;
        unsigned char bytes[8];
        size_t size;
    } frames[] = {
        {"not an array", {0x01}, 1},
        {"empty array", {0x90}, 1},
        {"other version", {0x93, 0x02, 0x03, 0xc4, 0x00}, 5},
        {"type zero", {0x93, 0x01, 0x00, 0xc4, 0x00}, 5},
        {"unknown type", {0x93, 0x01, 0x7f, 0xc4, 0x00}, 5},
        {"too few fields", {0x92, 0x01, 0x03}, 3},
        {"too many fields", {0x94, 0x01, 0x03, 0xc4, 0x00, 0x01}, 6},
        {"number for bytes", {0x93, 0x01, 0x03, 0x05}, 4},
        {"text for bytes", {0x93, 0x01, 0x03, 0xa1, 'x'}, 5},
        {"negative number", {0x94, 0x01, 0x07, 0xff, 0x01}, 5},
        {"array beyond the frame", {0xdd, 0xff, 0xff, 0xff, 0xff}, 5},
        {"bytes beyond the frame",
         {0x93, 0x01, 0x03, 0xc6, 0x7f, 0xff, 0xff, 0xff},
         8},
        {"type as text", {0x93, 0x01, 0xa1, 'x', 0xc4, 0x00}, 6},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(frames); i++) {
        CU_ASSERT_FALSE(decodes(frames[i].bytes, frames[i].size));
    }
    static const unsigned char valid[] = {0x93, 0x01, 0x03, 0xc4, 0x00};
    CU_ASSERT_TRUE(decodes(valid, sizeof(valid)));
}

static const struct cm_test tests[] = {
    {"round trips", test_round_trips},
    {"truncated frames", test_truncated_frames},
    {"malformed frames", test_malformed_frames},
};

CM_TEST_MAIN("messages", tests)
