/// @file conn_test.c
/// Messages on one connection: well-formed, truncated, pipelined, and requests
/// with ambiguous framing, which allow request smuggling.

#include "h1/conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cm_test.h"
#include "h1/listener.h"
#include "h1/output.h"

/// Callbacks of a connection in order, as one string: "H" and the target for a
/// head, "B" and the data for a part of the body, "W" for a complete message,
/// "E" and the enum cm_h1_close_reason for a close.
struct event_log {
    struct cm_h1_conn conn;
    GString *text;
    bool read_next; ///< read the next message at once
};

static void
on_head(void *context, const struct cm_h1_head *head)
{
    struct event_log *event_log = context;
    g_string_append_printf(event_log->text, "H%s ", head->target->str);
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct event_log *event_log = context;
    g_string_append_printf(event_log->text, "B%.*s ", (int)size,
                           (const char *)data);
}

static void
on_message_complete(void *context)
{
    struct event_log *event_log = context;
    g_string_append(event_log->text, "W ");
    if (event_log->read_next) {
        CmH1Conn_ReadNext(&event_log->conn);
    }
}

static void
on_closed(void *context, enum cm_h1_close_reason reason)
{
    struct event_log *event_log = context;
    g_string_append_printf(event_log->text, "E%d ", (int)reason);
}

static const struct cm_h1_handler handler = {.head = on_head,
                                             .body = on_body,
                                             .message_complete =
                                                 on_message_complete,
                                             .closed = on_closed};

static void
run_loop(struct event_base *base)
{
    for (int i = 0; i < 20; i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
}

/// Sends `input` to a server connection and closes the sending end if
/// `close_after` is set; `event_log` gets the callbacks.
static void
send_input(struct event_log *event_log, const char *input, bool read_next,
           bool close_after)
{
    struct event_base *base = event_base_new();
    int sockets[2];
    CU_ASSERT_EQUAL_FATAL(
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), 0);
    event_log->text = g_string_new(NULL);
    event_log->read_next = read_next;
    CmH1Conn_Accept(&event_log->conn, base, sockets[0], &handler, event_log);
    size_t length = strlen(input);
    CU_ASSERT_EQUAL(write(sockets[1], input, length), (ssize_t)length);
    run_loop(base);
    if (close_after) {
        close(sockets[1]);
        run_loop(base);
    }
    CmH1Conn_Finish(&event_log->conn);
    if (!close_after) {
        close(sockets[1]);
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
        bool read_next;
        bool close_after;
        const char *event_log;
    } cases[] = {
        {GET("/a"), false, false, "H/a W "},
        {GET("/a") GET("/b"), true, false, "H/a W H/b W "},
        // A pipelined request is not parsed before CmH1Conn_ReadNext().
        {GET("/a") GET("/b"), false, false, "H/a W "},
        // The close is reported although parsing pauses.
        {GET("/a"), false, true, "H/a W E0 "},
        {GET("/a") GET("/b"), false, true, "H/a W E0 "},
        {POST "Content-Length: 3\r\n\r\nxyz", false, false, "H/p Bxyz W "},
        {POST "Content-Length: 3\r\n\r\nx", false, true, "H/p Bx E0 "},
        {POST "Transfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n", false,
         false, "H/p Bxy W "},
        // Requests whose end two parsers may determine differently.
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
        struct event_log event_log;
        send_input(&event_log, cases[i].input, cases[i].read_next,
                   cases[i].close_after);
        if (strcmp(event_log.text->str, cases[i].event_log) != 0) {
            printf("\ncase %zu: %s\n", i, event_log.text->str);
        }
        CU_ASSERT_STRING_EQUAL(event_log.text->str, cases[i].event_log);
        g_string_free(event_log.text, TRUE);
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
    struct event_log event_log;
    send_input(&event_log, input->str, true, false);
    CU_ASSERT_STRING_EQUAL(event_log.text->str, "E3 ");
    g_string_free(event_log.text, TRUE);
    g_string_free(input, TRUE);
}

struct head_info {
    bool keep_alive;
    bool connection_hop_by_hop;
    bool named_hop_by_hop;
    bool other_hop_by_hop;
    char value[16];
};

static void
inspect_head(void *context, const struct cm_h1_head *head)
{
    struct head_info *head_info = ((void **)context)[1];
    head_info->keep_alive = head->keep_alive;
    head_info->connection_hop_by_hop = CmH1Head_IsHopByHop(head, "connection");
    head_info->named_hop_by_hop = CmH1Head_IsHopByHop(head, "X-One");
    head_info->other_hop_by_hop = CmH1Head_IsHopByHop(head, "X-Two");
    const char *value = CmH1Head_Find(head, "x-two");
    g_strlcpy(head_info->value, value != NULL ? value : "-",
              sizeof(head_info->value));
}

static void
ignore_message_complete(void *context)
{
}

static void
test_head(void)
{
    static const struct cm_h1_handler inspecting = {
        .head = inspect_head, .message_complete = ignore_message_complete};
    static const char input[] =
        "GET / HTTP/1.1\r\nHost: h\r\nConnection: close, x-one\r\n"
        "X-One: 1\r\nX-Two: two\r\nX-Empty:\r\n\r\n";
    struct event_base *base = event_base_new();
    int sockets[2];
    CU_ASSERT_EQUAL_FATAL(
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), 0);
    struct head_info head_info;
    struct cm_h1_conn conn;
    void *context[] = {&conn, &head_info};
    CmH1Conn_Accept(&conn, base, sockets[0], &inspecting, context);
    CU_ASSERT(write(sockets[1], input, strlen(input)) > 0);
    run_loop(base);
    CU_ASSERT_FALSE(head_info.keep_alive);
    CU_ASSERT(head_info.connection_hop_by_hop);
    CU_ASSERT(head_info.named_hop_by_hop);
    CU_ASSERT_FALSE(head_info.other_hop_by_hop);
    CU_ASSERT_STRING_EQUAL(head_info.value, "two");
    CU_ASSERT_EQUAL(CmH1Head_Count(CmH1Conn_Head(&conn)), 5);
    CmH1Conn_Finish(&conn);
    close(sockets[1]);
    event_base_free(base);
}

/// The trailer fields of a chunked request are dropped: they would pass for
/// header fields, and could name another key or id than the header.
static void
test_trailers(void)
{
    static const struct cm_h1_handler counting = {.message_complete =
                                                      ignore_message_complete};
    static const struct {
        const char *trailer;
        bool valid;
    } cases[] = {{"", true},
                 {"X-Two: trailer\r\n", true},
                 {"X-One: 2\r\nHost: other\r\n", true},
                 {"X-Empty:\r\n", true},
                 {"no field\r\n", false}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *input = g_strdup_printf(
            POST "X-One: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "1\r\nx\r\n0\r\n%s\r\n",
            cases[i].trailer);
        struct event_base *base = event_base_new();
        int sockets[2];
        CU_ASSERT_EQUAL_FATAL(
            socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), 0);
        struct cm_h1_conn conn;
        CmH1Conn_Accept(&conn, base, sockets[0], &counting, &conn);
        CU_ASSERT(write(sockets[1], input, strlen(input)) > 0);
        run_loop(base);
        if (cases[i].valid) {
            const struct cm_h1_head *head = CmH1Conn_Head(&conn);
            CU_ASSERT_EQUAL(CmH1Head_Count(head), 3);
            CU_ASSERT_PTR_NULL(CmH1Head_Find(head, "X-Two"));
            CU_ASSERT_STRING_EQUAL(CmH1Head_Find(head, "X-One"), "1");
            CU_ASSERT_STRING_EQUAL(CmH1Head_Find(head, "Host"), "h");
        }
        CmH1Conn_Finish(&conn);
        close(sockets[1]);
        event_base_free(base);
        g_free(input);
    }
}

#define SOCKET_BUFFER_BYTES 4096
#define BLOCK_BYTES 4096
#define CLOSE_MARGIN_MS 1000

/// A server connection that answers its first message, valid or not, and is
/// closed by the server; and the peer's end of it.
struct closing {
    struct event_base *base;
    struct cm_h1_conn conn;
    size_t response_bytes;
    int peer;
};

static void
answer_and_close(struct closing *closing)
{
    char *response = g_malloc0(closing->response_bytes + 1);
    CmH1Conn_Write(&closing->conn, response, closing->response_bytes);
    g_free(response);
    CmH1Conn_FinishAfterWrite(&closing->conn);
}

static void
on_closing_complete(void *context)
{
    answer_and_close(context);
}

static void
on_closing_closed(void *context, enum cm_h1_close_reason reason)
{
    answer_and_close(context);
}

static const struct cm_h1_handler closing_handler = {
    .message_complete = on_closing_complete, .closed = on_closing_closed};

/// Connects the two ends over TCP with small buffers.
static void
closing_init(struct closing *closing, size_t response_bytes)
{
    *closing = (struct closing){.base = event_base_new(),
                                .response_bytes = response_bytes};
    struct sockaddr_in address = {.sin_family = AF_INET};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    int bytes = SOCKET_BUFFER_BYTES;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(listener, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    CU_ASSERT_EQUAL_FATAL(
        bind(listener, (struct sockaddr *)&address, sizeof(address)), 0);
    CU_ASSERT_EQUAL_FATAL(listen(listener, 1), 0);
    getsockname(listener, (struct sockaddr *)&address, &size);
    closing->peer = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(closing->peer, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    CU_ASSERT_EQUAL_FATAL(
        connect(closing->peer, (struct sockaddr *)&address, sizeof(address)),
        0);
    int server = accept(listener, NULL, NULL);
    CU_ASSERT_FATAL(server >= 0);
    close(listener);
    evutil_make_socket_nonblocking(server);
    evutil_make_socket_nonblocking(closing->peer);
    CmH1Conn_Accept(&closing->conn, closing->base, server, &closing_handler,
                    closing);
}

static void
closing_finish(struct closing *closing)
{
    close(closing->peer);
    CmH1Conn_Finish(&closing->conn);
    CmH1Conn_FinishDetached();
    event_base_free(closing->base);
}

/// What the peer saw up to the end.
struct seen {
    size_t sent;
    size_t received;
    bool eof;
    int error; ///< of the first failed call, otherwise 0
    int64_t ms;
};

/// Sends `head` and `tail_bytes` more, and reads a block at most every
/// `read_every` turns, until the connection ends or 10 s have passed.
static struct seen
talk(struct closing *closing, const char *head, size_t tail_bytes,
     int read_every, bool half_close)
{
    static char block[BLOCK_BYTES];
    struct seen seen = {0};
    size_t total = strlen(head) + tail_bytes;
    int64_t start = g_get_monotonic_time();
    bool can_send = true;
    for (int turn = 0; seen.ms < 10000; turn++) {
        event_base_loop(closing->base, EVLOOP_NONBLOCK);
        if (can_send && seen.sent < total) {
            bool in_head = seen.sent < strlen(head);
            const char *data = in_head ? head + seen.sent : block;
            size_t size = in_head ? strlen(head) - seen.sent
                                  : MIN(BLOCK_BYTES, total - seen.sent);
            ssize_t n = send(closing->peer, data, size, MSG_NOSIGNAL);
            seen.sent += n > 0 ? (size_t)n : 0;
            can_send = n >= 0 || errno == EAGAIN;
            seen.error = can_send ? 0 : errno;
            if (seen.sent == total && half_close) {
                shutdown(closing->peer, SHUT_WR);
            }
        }
        ssize_t n = 1;
        if (turn % read_every == 0) {
            n = read(closing->peer, block, sizeof(block));
            seen.received += n > 0 ? (size_t)n : 0;
            seen.eof = n == 0;
        }
        if (n < 0 && errno != EAGAIN) {
            seen.error = seen.error != 0 ? seen.error : errno;
            break;
        }
        seen.ms = (g_get_monotonic_time() - start) / 1000;
        if (seen.eof && (!can_send || seen.sent == total)) {
            break;
        }
        g_usleep(100);
    }
    return seen;
}

/// A peer that still sends when the server closes gets the whole response and
/// an orderly end.
static void
test_close_with_unread_input(void)
{
    static const struct {
        const char *text;
        const char *head;
        size_t tail_bytes;
        size_t response_bytes;
        int read_every;
        bool half_close;
    } cases[] = {
        {"pipelined requests", GET("/a"), 512 * 1024, 64 * 1024, 4, false},
        {"the same, a slow reader", GET("/a"), 512 * 1024, 64 * 1024, 40,
         false},
        {"a short response", GET("/a"), 512 * 1024, 200, 40, false},
        {"a malformed request", "nonsense\r\n\r\n", 512 * 1024, 200, 4, false},
        {"an ambiguous length",
         POST "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
         512 * 1024, 64 * 1024, 4, false},
        {"a long header section", "GET /a HTTP/1.1\r\nX: ", 512 * 1024, 200, 4,
         false},
        {"the peer has ended its sending", GET("/a"), 4096, 256 * 1024, 4,
         true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct closing closing;
        closing_init(&closing, cases[i].response_bytes);
        struct seen seen = talk(&closing, cases[i].head, cases[i].tail_bytes,
                                cases[i].read_every, cases[i].half_close);
        if (seen.error != 0 || seen.received != cases[i].response_bytes) {
            printf("\n%s: %zu of %zu bytes, sent %zu, end: %s\n",
                   cases[i].text, seen.received, cases[i].response_bytes,
                   seen.sent, seen.eof ? "EOF" : g_strerror(seen.error));
        }
        CU_ASSERT_EQUAL(seen.error, 0);
        CU_ASSERT(seen.eof);
        CU_ASSERT_EQUAL(seen.received, cases[i].response_bytes);
        closing_finish(&closing);
    }
}

/// Runs until no connection without an owner is left, at most `max_ms`.
static bool
wait_detached(struct event_base *base, int64_t max_ms)
{
    int64_t end = g_get_monotonic_time() + max_ms * 1000;
    while (CmH1Conn_Detached() > 0 && g_get_monotonic_time() < end) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        g_usleep(1000);
    }
    return CmH1Conn_Detached() == 0;
}

/// A peer that neither stops sending nor closes is not read for ever.
static void
test_close_is_bounded(void)
{
    struct closing closing;
    closing_init(&closing, 200);
    struct seen seen =
        talk(&closing, GET("/a"), 2 * CM_H1_LINGER_MAX_BYTES, 1, false);
    CU_ASSERT_NOT_EQUAL(seen.error, 0);
    CU_ASSERT(seen.sent < 2 * CM_H1_LINGER_MAX_BYTES);
    CU_ASSERT_EQUAL(seen.received, 200);
    CU_ASSERT_EQUAL(CmH1Conn_Detached(), 0);
    closing_finish(&closing);

    // A peer that sends a byte at times, and never ends.
    closing_init(&closing, 200);
    CU_ASSERT(write(closing.peer, GET("/a"), strlen(GET("/a"))) > 0);
    int64_t start = g_get_monotonic_time();
    while (CmH1Conn_Detached() == 0) {
        event_base_loop(closing.base, EVLOOP_NONBLOCK);
    }
    CU_ASSERT(CmH1Conn_Flushing() == 1);
    int64_t elapsed_ms = 0;
    while (elapsed_ms < CM_H1_LINGER_MS + CLOSE_MARGIN_MS &&
           CmH1Conn_Detached() > 0) {
        send(closing.peer, "x", 1, MSG_NOSIGNAL);
        wait_detached(closing.base, 100);
        elapsed_ms = (g_get_monotonic_time() - start) / 1000;
    }
    CU_ASSERT_EQUAL(CmH1Conn_Detached(), 0);
    CU_ASSERT(elapsed_ms >= CM_H1_LINGER_MS / 2);
    closing_finish(&closing);

    // A connection without pending output is no reason to wait.
    closing_init(&closing, 0);
    CU_ASSERT(write(closing.peer, GET("/a"), strlen(GET("/a"))) > 0);
    while (CmH1Conn_Detached() == 0) {
        event_base_loop(closing.base, EVLOOP_NONBLOCK);
    }
    CU_ASSERT_EQUAL(CmH1Conn_Flushing(), 0);
    // The peer closes: nothing is left to wait for.
    close(closing.peer);
    CU_ASSERT(wait_detached(closing.base, CM_H1_LINGER_MS / 4));
    closing.peer = socket(AF_INET, SOCK_STREAM, 0);
    closing_finish(&closing);
}

static void
count_begin(void *context)
{
    (*(int *)context)++;
}

/// A request begins with its first byte, and not with the empty line that may
/// come before it.
static void
test_begin(void)
{
    static const struct {
        const char *input;
        int begun;
    } cases[] = {{"", 0},
                 {"\r\n", 0},
                 {"G", 1},
                 {"\r\nGET / HTTP/1.1\r\nHo", 1},
                 {"GET / HTTP/1.1\r\n\r\nGET", 1}};
    static const struct cm_h1_handler counting = {
        .begin = count_begin, .message_complete = ignore_message_complete};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct event_base *base = event_base_new();
        int sockets[2];
        CU_ASSERT_EQUAL_FATAL(
            socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), 0);
        int begun = 0;
        struct cm_h1_conn conn;
        CmH1Conn_Accept(&conn, base, sockets[0], &counting, &begun);
        size_t size = strlen(cases[i].input);
        CU_ASSERT_EQUAL(write(sockets[1], cases[i].input, size),
                        (ssize_t)size);
        run_loop(base);
        CU_ASSERT_EQUAL(begun, cases[i].begun);
        CmH1Conn_Finish(&conn);
        close(sockets[1]);
        event_base_free(base);
    }
}

static void
count_accepted(void *context, evutil_socket_t fd)
{
    (*(int *)context)++;
    close(fd);
}

/// At the end of a stop, connections that the system had established were
/// reset, although their callers may have sent their requests.
static void
test_accept_waiting(void)
{
    struct event_base *base = event_base_new();
    // A port that is free, as the address has to name one.
    struct sockaddr_in endpoint = {.sin_family = AF_INET};
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(endpoint);
    int probe = socket(AF_INET, SOCK_STREAM, 0);
    CU_ASSERT_EQUAL(bind(probe, (struct sockaddr *)&endpoint, size), 0);
    getsockname(probe, (struct sockaddr *)&endpoint, &size);
    close(probe);
    char address[32];
    g_snprintf(address, sizeof(address), "127.0.0.1:%d",
               ntohs(endpoint.sin_port));
    struct cm_h1_listener listener;
    int accepted = 0;
    CU_ASSERT_FATAL(CmH1Listener_Init(&listener, base, address, count_accepted,
                                      &accepted, NULL));
    int callers[2];
    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        callers[i] = socket(AF_INET, SOCK_STREAM, 0);
        CU_ASSERT_EQUAL(
            connect(callers[i], (struct sockaddr *)&endpoint, size), 0);
    }
    CmH1Listener_AcceptWaiting(&listener);
    CU_ASSERT_EQUAL(accepted, (int)G_N_ELEMENTS(callers));
    CmH1Listener_Finish(&listener);
    CmH1Listener_AcceptWaiting(&listener);
    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        close(callers[i]);
    }
    event_base_free(base);
}

#define PEERS 3
#define OUTPUT_MAX_BYTES 10000000

static void
on_dropped(void *context, enum cm_h1_close_reason reason)
{
    struct event_log *event_log = context;
    on_closed(event_log, reason);
    CmH1Conn_Finish(&event_log->conn);
}

/// While more output is held than the limit allows, the peer that has read
/// nothing for the longest time is cut off, not one that reads slowly or has
/// just got its response.
static void
test_output_limit(void)
{
    static const struct {
        size_t written[PEERS]; ///< the last one is written after the others
        bool reads[PEERS];     ///< the peer reads a part
        const char *events;    ///< of all connections
    } cases[] = {
        {{5000000, 5000000, 100}, {false, false, false}, "- - - "},
        {{5000000, 5000000, 5000000}, {false, true, false}, "E4 - - "},
        {{5000000, 5000000, 5000000}, {true, false, false}, "- E4 - "},
        {{5000000, 100, 20000000}, {false, true, false}, "E4 - E4 "},
    };
    static const struct cm_h1_handler dropped = {.closed = on_dropped};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct event_base *base = event_base_new();
        struct cm_manual_clock clock;
        CmManualClock_Init(&clock);
        struct cm_memory_budget budget;
        CmMemoryBudget_Init(&budget, &clock.base,
                            (size_t)OUTPUT_MAX_BYTES * CM_MEMORY_CLASSES);
        CmH1Output_Start(base, &clock.base, &budget);
        struct event_log logs[PEERS];
        int peers[PEERS];
        char *data = g_malloc0(20000000);
        for (size_t c = 0; c < PEERS; c++) {
            int sockets[2];
            CU_ASSERT_EQUAL_FATAL(
                socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets),
                0);
            peers[c] = sockets[1];
            logs[c].text = g_string_new(NULL);
            CmH1Conn_Accept(&logs[c].conn, base, sockets[0], &dropped,
                            &logs[c]);
            if (c < PEERS - 1) {
                CmH1Conn_Write(&logs[c].conn, data, cases[i].written[c]);
            }
        }
        run_loop(base);
        CmH1Output_Check();
        CmManualClock_Advance(&clock, CM_MS_PER_S);
        for (size_t c = 0; c < PEERS; c++) {
            CU_ASSERT(!cases[i].reads[c] || read(peers[c], data, 200000) > 0);
        }
        CmH1Conn_Write(&logs[PEERS - 1].conn, data,
                       cases[i].written[PEERS - 1]);
        run_loop(base);
        CmH1Output_Check();
        GString *events = g_string_new(NULL);
        for (size_t c = 0; c < PEERS; c++) {
            g_string_append(events,
                            logs[c].text->len > 0 ? logs[c].text->str : "- ");
            CmH1Conn_Finish(&logs[c].conn);
            g_string_free(logs[c].text, TRUE);
            close(peers[c]);
        }
        CU_ASSERT_STRING_EQUAL(events->str, cases[i].events);
        g_string_free(events, TRUE);
        g_free(data);
        CmH1Output_Stop();
        event_base_free(base);
    }
}

static const struct cm_test tests[] = {
    {"requests and their framing", test_requests},
    {"begin of a request", test_begin},
    {"header section over the limit", test_large_header},
    {"header fields", test_head},
    {"trailer fields", test_trailers},
    {"close with unread input", test_close_with_unread_input},
    {"bounds of a close", test_close_is_bounded},
    {"limit of all output", test_output_limit},
    {"connections that wait for an accept", test_accept_waiting},
};

CM_TEST_MAIN("conn", tests)
