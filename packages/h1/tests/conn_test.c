/// @file conn_test.c
/// Messages on one connection: well formed, cut, smuggled, one after another.

#include "h1/conn.h"

#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cm_test.h"

/// What a connection reported, as one text: "H" head, "B(...)" body, "W"
/// whole, "E0" to "E3" end.
struct record {
    struct cm_h1_conn conn;
    GString *text;
    bool go_on; ///< take the next message at once
};

static void
on_head(void *context, const struct cm_h1_head *head)
{
    struct record *record = context;
    g_string_append_printf(record->text, "H%s ", head->target->str);
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct record *record = context;
    g_string_append_printf(record->text, "B%.*s ", (int)size,
                           (const char *)data);
}

static void
on_whole(void *context)
{
    struct record *record = context;
    g_string_append(record->text, "W ");
    if (record->go_on) {
        CmH1Conn_ReadNext(&record->conn);
    }
}

static void
on_end(void *context, enum cm_h1_close_reason end)
{
    struct record *record = context;
    g_string_append_printf(record->text, "E%d ", (int)end);
}

static const struct cm_h1_handler handler = {.head = on_head,
                                             .body = on_body,
                                             .message_complete = on_whole,
                                             .closed = on_end};

static void
spin(struct event_base *base)
{
    for (int i = 0; i < 20; i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
}

/// Sends `input` to a server connection and closes if asked to.
static void
feed(struct record *record, const char *input, bool go_on, bool close_after)
{
    struct event_base *base = event_base_new();
    int ends[2];
    CU_ASSERT_EQUAL_FATAL(
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
    record->text = g_string_new(NULL);
    record->go_on = go_on;
    CmH1Conn_Accept(&record->conn, base, ends[0], &handler, record);
    size_t length = strlen(input);
    CU_ASSERT_EQUAL(write(ends[1], input, length), (ssize_t)length);
    spin(base);
    if (close_after) {
        close(ends[1]);
        spin(base);
    }
    CmH1Conn_Finish(&record->conn);
    if (!close_after) {
        close(ends[1]);
    }
    event_base_free(base);
}

#define GET(path) "GET " path " HTTP/1.1\r\nHost: h\r\n\r\n"
#define POST "POST /p HTTP/1.1\r\nHost: h\r\n"

static void
test_requests(void)
{
    static const struct {
        const char *input;
        bool go_on;
        bool close_after;
        const char *record;
    } cases[] = {
        {GET("/a"), false, false, "H/a W "},
        {GET("/a") GET("/b"), true, false, "H/a W H/b W "},
        // The second request rests until the first one is answered.
        {GET("/a") GET("/b"), false, false, "H/a W "},
        // The close is noticed all the same.
        {GET("/a"), false, true, "H/a W E0 "},
        {GET("/a") GET("/b"), false, true, "H/a W E0 "},
        {POST "Content-Length: 3\r\n\r\nxyz", false, false, "H/p Bxyz W "},
        {POST "Content-Length: 3\r\n\r\nx", false, true, "H/p Bx E0 "},
        {POST "Transfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n", false,
         false, "H/p Bxy W "},
        // Requests whose end two readers could see differently.
        {POST "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
              "\r\n" GET("/smuggled"),
         true, false, "E2 "},
        {POST "Content-Length: 3\r\nContent-Length: 5\r\n\r\nxyz", true, false,
         "E2 "},
        {POST "Content-Length : 3\r\n\r\nxyz" GET("/smuggled"), true, false,
         "E2 "},
        {POST "Transfer-Encoding: xchunked\r\n\r\n" GET("/smuggled"), true,
         false, "H/p E2 "},
        {POST "Content-Length: -3\r\n\r\n", true, false, "E2 "},
        {"nonsense\r\n\r\n", true, false, "E2 "},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct record record;
        feed(&record, cases[i].input, cases[i].go_on, cases[i].close_after);
        if (strcmp(record.text->str, cases[i].record) != 0) {
            printf("\ncase %zu: %s\n", i, record.text->str);
        }
        CU_ASSERT_STRING_EQUAL(record.text->str, cases[i].record);
        g_string_free(record.text, TRUE);
    }
}

static void
test_large_header(void)
{
    GString *input = g_string_new("GET /a HTTP/1.1\r\nX: ");
    for (size_t i = 0; i < CM_H1_HEADER_MAX_BYTES; i++) {
        g_string_append_c(input, 'x');
    }
    g_string_append(input, "\r\n\r\n");
    struct record record;
    feed(&record, input->str, true, false);
    CU_ASSERT_STRING_EQUAL(record.text->str, "E3 ");
    g_string_free(record.text, TRUE);
    g_string_free(input, TRUE);
}

struct seen {
    bool keep_alive;
    bool connection_is_hop;
    bool named_is_hop;
    bool other_is_hop;
    char value[16];
};

static void
look(void *context, const struct cm_h1_head *head)
{
    struct seen *seen = ((void **)context)[1];
    seen->keep_alive = head->keep_alive;
    seen->connection_is_hop = CmH1Head_IsHopByHop(head, "connection");
    seen->named_is_hop = CmH1Head_IsHopByHop(head, "X-One");
    seen->other_is_hop = CmH1Head_IsHopByHop(head, "X-Two");
    const char *value = CmH1Head_Find(head, "x-two");
    g_strlcpy(seen->value, value != NULL ? value : "-", sizeof(seen->value));
}

static void
ignore_whole(void *context)
{
}

static void
test_head(void)
{
    static const struct cm_h1_handler looking = {
        .head = look, .message_complete = ignore_whole};
    static const char input[] =
        "GET / HTTP/1.1\r\nHost: h\r\nConnection: close, x-one\r\n"
        "X-One: 1\r\nX-Two: two\r\nX-Empty:\r\n\r\n";
    struct event_base *base = event_base_new();
    int ends[2];
    CU_ASSERT_EQUAL_FATAL(
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
    struct seen seen;
    struct cm_h1_conn conn;
    void *context[] = {&conn, &seen};
    CmH1Conn_Accept(&conn, base, ends[0], &looking, context);
    CU_ASSERT(write(ends[1], input, strlen(input)) > 0);
    spin(base);
    CU_ASSERT_FALSE(seen.keep_alive);
    CU_ASSERT(seen.connection_is_hop);
    CU_ASSERT(seen.named_is_hop);
    CU_ASSERT_FALSE(seen.other_is_hop);
    CU_ASSERT_STRING_EQUAL(seen.value, "two");
    CU_ASSERT_EQUAL(CmH1Head_Count(CmH1Conn_Head(&conn)), 5);
    CmH1Conn_Finish(&conn);
    close(ends[1]);
    event_base_free(base);
}

static const struct cm_test tests[] = {
    {"requests", test_requests},
    {"large header", test_large_header},
    {"head", test_head},
};

CM_TEST_MAIN("conn", tests)
