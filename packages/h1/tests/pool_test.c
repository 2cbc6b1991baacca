/// @file pool_test.c
/// Connection reuse and call results against a server that closes, resets,
/// truncates and sends unexpected responses.

#include "h1/pool.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "cm_test.h"
#include "h1/writer.h"

/// Server that sends `responses` in order, one for each request. A trailing
/// "!" is not sent but resets the connection, a trailing "." closes it.
struct server {
    struct event_base *base;
    struct evconnlistener *listener;
    struct bufferevent *bevs[8]; ///< of the connections, NULL once closed
    char address[32];
    const char *const *responses;
    size_t n_responses;
    size_t responses_sent;
    int connections;
};

static void
server_close_conn(struct server *server, struct bufferevent *bev)
{
    for (size_t i = 0; i < G_N_ELEMENTS(server->bevs); i++) {
        if (server->bevs[i] == bev) {
            server->bevs[i] = NULL;
        }
    }
    bufferevent_free(bev);
}

static void
on_request(struct bufferevent *bev, void *context)
{
    struct server *server = context;
    struct evbuffer *input = bufferevent_get_input(bev);
    struct evbuffer_ptr result = evbuffer_search(input, "\r\n\r\n", 4, NULL);
    if (result.pos < 0) {
        return;
    }
    evbuffer_drain(input, (size_t)result.pos + 4);
    if (server->responses_sent >= server->n_responses) {
        return;
    }
    const char *response = server->responses[server->responses_sent++];
    size_t length = strlen(response);
    char last = response[length - 1];
    bool closes = last == '!' || last == '.';
    CU_ASSERT(send(bufferevent_getfd(bev), response, length - closes, 0) > 0);
    if (!closes) {
        return;
    }
    if (last == '!') {
        struct linger abort_on_close = {1, 0};
        setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER,
                   &abort_on_close, sizeof(abort_on_close));
    }
    server_close_conn(server, bev);
}

static void
on_server_event(struct bufferevent *bev, short what, void *context)
{
    server_close_conn(context, bev);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int size, void *context)
{
    struct server *server = context;
    struct bufferevent *bev =
        bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
    server->bevs[server->connections++] = bev;
    bufferevent_setcb(bev, on_request, NULL, on_server_event, server);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void
server_init(struct server *server, struct event_base *base)
{
    struct sockaddr_in endpoint = {.sin_family = AF_INET};
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server->base = base;
    server->listener = evconnlistener_new_bind(
        base, on_accept, server, LEV_OPT_CLOSE_ON_FREE, -1,
        (struct sockaddr *)&endpoint, sizeof(endpoint));
    socklen_t size = sizeof(endpoint);
    getsockname(evconnlistener_get_fd(server->listener),
                (struct sockaddr *)&endpoint, &size);
    snprintf(server->address, sizeof(server->address), "127.0.0.1:%d",
             ntohs(endpoint.sin_port));
}

static void
server_finish(struct server *server)
{
    evconnlistener_free(server->listener);
    for (size_t i = 0; i < G_N_ELEMENTS(server->bevs); i++) {
        if (server->bevs[i] != NULL) {
            bufferevent_free(server->bevs[i]);
        }
    }
}

/// Outcome of one call.
struct outcome {
    struct event_base *base;
    char body[64];
    int result; ///< -1 while the call is in progress
};

static bool
on_head(void *context, const struct cm_h1_head *head)
{
    const char *id = CmH1Head_Find(head, "Id");
    return id == NULL || strcmp(id, "mine") == 0;
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct outcome *outcome = context;
    size_t length = strlen(outcome->body);
    memcpy(outcome->body + length, data, size);
    outcome->body[length + size] = '\0';
}

static void
on_done(void *context, enum cm_h1_call_result result)
{
    struct outcome *outcome = context;
    outcome->result = (int)result;
    event_base_loopbreak(outcome->base);
}

static const struct cm_h1_call_handler handler = {on_head, on_body, on_done};

static void
make_call(struct cm_h1_pool *pool, const char *address,
          struct outcome *outcome)
{
    GString *message = g_string_new(NULL);
    uint64_t id = CmH1Pool_NextCallId(pool);
    CmH1Writer_Request(message, "GET", "/");
    CmH1Writer_CallId(message, id);
    g_string_append(message, "\r\n");
    struct cm_h1_call_request request = {.address = address,
                                         .message = message,
                                         .idle_max_ms = 1000,
                                         .call_id = id};
    struct cm_h1_call call;
    *outcome = (struct outcome){.base = pool->base, .result = -1};
    CU_ASSERT_FATAL(CmH1Call_Start(&call, pool, &request, &handler, outcome));
    event_base_dispatch(pool->base);
    g_string_free(message, TRUE);
}

#define RESPONSE(extra, body) "HTTP/1.1 200 OK\r\n" extra "\r\n" body
#define SIZED_RESPONSE(body)                                                  \
    RESPONSE("Content-Length: 2\r\nKeep-Alive: timeout=5\r\n", body)

static void
test_responses(void)
{
    static const struct {
        const char *name;
        const char *responses[2];
        int results[2];        ///< of the calls, enum cm_h1_call_result
        const char *bodies[2]; ///< NULL: not checked
        int connections;
    } cases[] = {
        {"connection is reused",
         {SIZED_RESPONSE("ab"), SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         1},
        {"server sends Connection: close",
         {RESPONSE("Content-Length: 2\r\nConnection: close\r\n", "ab"),
          SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         2},
        {"unsolicited second response",
         {SIZED_RESPONSE("ab") SIZED_RESPONSE("xx"), SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         2},
        {"late second response to the call before, after the next one",
         {RESPONSE("Call-Id: 1\r\nContent-Length: 2\r\nKeep-Alive: "
                   "timeout=5\r\n",
                   "ab"),
          RESPONSE("Call-Id: 1\r\nContent-Length: 2\r\n", "ab")
              RESPONSE("Call-Id: 2\r\nContent-Length: 2\r\n", "cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         1},
        {"response to another request first",
         {RESPONSE("Id: other\r\nContent-Length: 2\r\n", "xx")
              SIZED_RESPONSE("ab"),
          SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         1},
        {"body without length, ended by close",
         {RESPONSE("", "ab."), SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         2},
        {"body without length, ended by reset",
         {RESPONSE("", "ab!"), SIZED_RESPONSE("cd")},
         {CM_H1_CALL_INTERRUPTED, CM_H1_CALL_COMPLETE},
         {NULL, "cd"},
         2},
        {"truncated body",
         {RESPONSE("Content-Length: 5\r\n", "ab."), SIZED_RESPONSE("cd")},
         {CM_H1_CALL_INTERRUPTED, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         2},
        {"truncated between chunks",
         {RESPONSE("Transfer-Encoding: chunked\r\n", "2\r\nab\r\n."),
          SIZED_RESPONSE("cd")},
         {CM_H1_CALL_INTERRUPTED, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         2},
        {"not an HTTP response",
         {"what is this\r\n\r\n", SIZED_RESPONSE("cd")},
         {CM_H1_CALL_INVALID, CM_H1_CALL_COMPLETE},
         {"", "cd"},
         2},
        {"kept alive for 9223372036854775807 s",
         {RESPONSE("Content-Length: 2\r\nKeep-Alive: "
                   "timeout=9223372036854775807\r\n",
                   "ab"),
          SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         1},
        {"kept alive for 99999999999999999999 s",
         {RESPONSE("Content-Length: 2\r\nKeep-Alive: "
                   "timeout=99999999999999999999\r\n",
                   "ab"),
          SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         1},
        {"kept alive for -9223372036854775808 s",
         {RESPONSE("Content-Length: 2\r\nKeep-Alive: "
                   "timeout=-9223372036854775808\r\n",
                   "ab"),
          SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         2},
        {"kept alive for 0 s",
         {RESPONSE("Content-Length: 2\r\nKeep-Alive: timeout=0\r\n", "ab"),
          SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         2},
        {"informational response first",
         {"HTTP/1.1 102 Processing\r\n\r\n" SIZED_RESPONSE("ab"),
          SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         1},
        {"informational response that names a length",
         {"HTTP/1.1 102 Processing\r\nContent-Length: "
          "5\r\n\r\n" SIZED_RESPONSE("ab"),
          SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         1},
        {"informational response of an unknown coding",
         {"HTTP/1.1 102 Processing\r\nTransfer-Encoding: "
          "other\r\n\r\n" SIZED_RESPONSE("ab"),
          SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         1},
        {"204, Content-Length: 5",
         {"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
          SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"", "cd"},
         1},
        {"204, Transfer-Encoding: other",
         {"HTTP/1.1 204 No Content\r\nTransfer-Encoding: other\r\n\r\n",
          SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"", "cd"},
         1},
        {"304, Content-Length: 5",
         {"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
          SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"", "cd"},
         1},
        {"304, Transfer-Encoding: other",
         {"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: other\r\n\r\n",
          SIZED_RESPONSE("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"", "cd"},
         1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct event_base *base = event_base_new();
        struct server server = {.responses = cases[i].responses,
                                .n_responses = 2};
        server_init(&server, base);
        struct cm_h1_pool pool;
        CmH1Pool_Init(&pool, base, CmClock_System());
        for (size_t c = 0; c < 2; c++) {
            struct outcome outcome;
            make_call(&pool, server.address, &outcome);
            if (outcome.result != cases[i].results[c]) {
                printf("\n%s, call %zu: %d\n", cases[i].name, c,
                       outcome.result);
            }
            CU_ASSERT_EQUAL(outcome.result, cases[i].results[c]);
            if (cases[i].bodies[c] != NULL) {
                CU_ASSERT_STRING_EQUAL(outcome.body, cases[i].bodies[c]);
            }
        }
        CU_ASSERT_EQUAL(server.connections, cases[i].connections);
        CmH1Pool_Finish(&pool);
        server_finish(&server);
        event_base_free(base);
    }
}

/// Nothing listens on the address, so the request was certainly not sent. A
/// malformed address fails at once.
static void
test_not_connected(void)
{
    struct event_base *base = event_base_new();
    struct server server = {0};
    server_init(&server, base);
    server_finish(&server);
    struct cm_h1_pool pool;
    CmH1Pool_Init(&pool, base, CmClock_System());
    struct outcome outcome;
    make_call(&pool, server.address, &outcome);
    CU_ASSERT_EQUAL(outcome.result, CM_H1_CALL_NOT_CONNECTED);
    struct cm_h1_call call;
    GString *message = g_string_new("x");
    struct cm_h1_call_request request = {.address = "nowhere",
                                         .message = message};
    CU_ASSERT_FALSE(CmH1Call_Start(&call, &pool, &request, &handler, NULL));
    g_string_free(message, TRUE);
    CmH1Pool_Finish(&pool);
    event_base_free(base);
}

/// A connection that was opened for a later call is used by it, and none opens
/// where nothing listens.
static void
test_connect(void)
{
    static const struct {
        bool listens;
        enum cm_h1_call_result result;
    } cases[] = {{true, CM_H1_CALL_COMPLETE},
                 {false, CM_H1_CALL_NOT_CONNECTED}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        static const char *const responses[] = {SIZED_RESPONSE("ab")};
        struct event_base *base = event_base_new();
        struct server server = {.responses = responses, .n_responses = 1};
        server_init(&server, base);
        struct cm_h1_pool pool;
        CmH1Pool_Init(&pool, base, CmClock_System());
        if (!cases[i].listens) {
            server_finish(&server);
        }
        struct outcome outcome = {.base = base, .result = -1};
        struct cm_h1_call call;
        struct cm_h1_call_request reuse = {.address = server.address,
                                           .idle_max_ms = 1000};
        CU_ASSERT_FALSE(CmH1Pool_HasConnection(&pool, &reuse));
        CU_ASSERT_FATAL(CmH1Call_Connect(&call, &pool, server.address,
                                         &handler, &outcome));
        event_base_dispatch(base);
        CU_ASSERT_EQUAL(outcome.result, (int)cases[i].result);
        CU_ASSERT_FALSE(CmH1Call_Active(&call));
        CU_ASSERT_EQUAL(CmH1Pool_HasConnection(&pool, &reuse),
                        cases[i].listens);
        reuse.unused_only = true;
        CU_ASSERT_EQUAL(CmH1Pool_HasConnection(&pool, &reuse),
                        cases[i].listens);
        if (cases[i].listens) {
            make_call(&pool, server.address, &outcome);
            CU_ASSERT_EQUAL(outcome.result, CM_H1_CALL_COMPLETE);
            CU_ASSERT_STRING_EQUAL(outcome.body, "ab");
            CU_ASSERT_EQUAL(pool.connections_opened, 1);
            CU_ASSERT_FALSE(CmH1Pool_HasConnection(&pool, &reuse));
            reuse.unused_only = false;
            CU_ASSERT_TRUE(CmH1Pool_HasConnection(&pool, &reuse));
        }
        CmH1Pool_Finish(&pool);
        if (cases[i].listens) {
            server_finish(&server);
        }
        event_base_free(base);
    }
}

/// A response that no call awaits arrives while a connection is unused: the
/// next call got it as its own, unless the event loop had read it before.
static void
test_late_responses(void)
{
    static const struct {
        bool connect_only; ///< no call came before
        bool is_read;      ///< before the next call
        const char *late;
    } cases[] = {
        {false, false, SIZED_RESPONSE("xx")}, {false, true, "H"},
        {true, false, SIZED_RESPONSE("xx")},  {true, true, "HTTP/1.1 2"},
        {true, true, SIZED_RESPONSE("xx")},
    };
    static const char *const responses[] = {SIZED_RESPONSE("ab"),
                                            SIZED_RESPONSE("cd")};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct event_base *base = event_base_new();
        struct server server = {.responses = responses, .n_responses = 2};
        server_init(&server, base);
        struct cm_h1_pool pool;
        CmH1Pool_Init(&pool, base, CmClock_System());
        struct outcome outcome = {.base = base, .result = -1};
        struct cm_h1_call call;
        if (cases[i].connect_only) {
            CU_ASSERT_FATAL(CmH1Call_Connect(&call, &pool, server.address,
                                             &handler, &outcome));
            event_base_dispatch(base);
        }
        else {
            make_call(&pool, server.address, &outcome);
        }
        while (server.connections == 0) {
            event_base_loop(base, EVLOOP_ONCE);
        }
        CU_ASSERT(send(bufferevent_getfd(server.bevs[0]), cases[i].late,
                       strlen(cases[i].late), 0) > 0);
        if (cases[i].is_read) {
            event_base_loop(base, EVLOOP_NONBLOCK);
            event_base_loop(base, EVLOOP_NONBLOCK);
        }
        make_call(&pool, server.address, &outcome);
        CU_ASSERT_EQUAL(outcome.result, CM_H1_CALL_COMPLETE);
        CU_ASSERT_STRING_EQUAL(outcome.body,
                               cases[i].connect_only ? "ab" : "cd");
        CU_ASSERT_EQUAL(server.connections, 2);
        CmH1Pool_Finish(&pool);
        server_finish(&server);
        event_base_free(base);
    }
}

/// An address stays in the pool until its connections expire: 4,850 ms after
/// use, with the announced timeout of 5 s less the margin.
static void
test_close_expired(void)
{
    static const struct {
        int64_t idle_ms;
        guint peers;
    } cases[] = {{100, 1}, {4800, 1}, {4900, 0}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        static const char *const responses[] = {SIZED_RESPONSE("ab")};
        struct event_base *base = event_base_new();
        struct server server = {.responses = responses, .n_responses = 1};
        server_init(&server, base);
        struct cm_manual_clock clock;
        CmManualClock_Init(&clock);
        struct cm_h1_pool pool;
        CmH1Pool_Init(&pool, base, &clock.base);
        struct outcome outcome;
        make_call(&pool, server.address, &outcome);
        CmManualClock_Advance(&clock, cases[i].idle_ms);
        CmH1Pool_CloseExpired(&pool);
        CU_ASSERT_EQUAL(g_hash_table_size(pool.peers), cases[i].peers);
        CmH1Pool_Finish(&pool);
        server_finish(&server);
        event_base_free(base);
    }
}

/// Limit of the response bodies in the cases of endless responses, and what
/// the server sends before it gives up.
#define ENDLESS_BODY_MAX_BYTES ((size_t)64 * 1024)
#define ENDLESS_GIVE_UP_BYTES ((size_t)64 * 1024 * 1024)
/// Most that may be read or lie in socket buffers of an endless response.
#define ENDLESS_READ_MAX_BYTES ((size_t)24 * 1024 * 1024)

/// Server that sends `start` and then `repeated` until the caller closes.
struct endless_server {
    const char *start;
    const char *repeated;
    size_t sent;
};

static void
send_more(struct bufferevent *bev, void *context)
{
    struct endless_server *server = context;
    if (server->sent > ENDLESS_GIVE_UP_BYTES) {
        bufferevent_free(bev);
        return;
    }
    struct evbuffer *output = bufferevent_get_output(bev);
    while (evbuffer_get_length(output) < 16384) {
        evbuffer_add(output, server->repeated, strlen(server->repeated));
        server->sent += strlen(server->repeated);
    }
}

static void
on_endless_closed(struct bufferevent *bev, short what, void *context)
{
    bufferevent_free(bev);
}

static void
start_endless(struct bufferevent *bev, void *context)
{
    struct endless_server *server = context;
    evbuffer_drain(bufferevent_get_input(bev), SIZE_MAX);
    bufferevent_setcb(bev, NULL, send_more, on_endless_closed, context);
    bufferevent_write(bev, server->start, strlen(server->start));
    send_more(bev, context);
}

static void
on_accept_endless(struct evconnlistener *listener, evutil_socket_t fd,
                  struct sockaddr *from, int size, void *context)
{
    struct bufferevent *bev = bufferevent_socket_new(
        evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, start_endless, NULL, on_endless_closed, context);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void
ignore_body(void *context, const void *data, size_t size)
{
}

/// Bytes without end, in a head or a body: the call fails and the connection
/// is closed after a bounded number of them.
static void
test_endless_responses(void)
{
    static const struct cm_h1_call_handler endless_handler = {
        on_head, ignore_body, on_done};
    static const struct {
        const char *name;
        const char *start;
        const char *repeated;
    } cases[] = {
        {"status line", "HTTP/1.1 200 ", "still not done "},
        {"header name", "HTTP/1.1 200 OK\r\n", "X-Name"},
        {"header value", "HTTP/1.1 200 OK\r\nX: ", "value "},
        {"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
        {"informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"no response at all", "", "what is this "},
        {"responses to other requests", "",
         RESPONSE("Id: other\r\nContent-Length: 1\r\n", "x")},
        {"body of a response to another request",
         RESPONSE("Id: other\r\n", ""), "body"},
        {"body without length", RESPONSE("", ""), "body"},
        {"body of a huge length",
         RESPONSE("Content-Length: 1000000000000\r\n", ""), "body"},
        {"chunks", RESPONSE("Transfer-Encoding: chunked\r\n", ""),
         "4\r\nbody\r\n"},
        {"a huge chunk",
         RESPONSE("Transfer-Encoding: chunked\r\n", "ffffffffff\r\n"), "body"},
        {"chunk size", RESPONSE("Transfer-Encoding: chunked\r\n", ""), "0"},
        {"chunk extension", RESPONSE("Transfer-Encoding: chunked\r\n", "4;"),
         "name=value;"},
        {"trailer", RESPONSE("Transfer-Encoding: chunked\r\n", "0\r\n"),
         "T: v\r\n"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct event_base *base = event_base_new();
        struct endless_server endless = {cases[i].start, cases[i].repeated, 0};
        struct server server = {0};
        server_init(&server, base);
        evconnlistener_set_cb(server.listener, on_accept_endless, &endless);
        struct cm_h1_pool pool;
        CmH1Pool_Init(&pool, base, CmClock_System());
        GString *message = g_string_new("GET / HTTP/1.1\r\n\r\n");
        struct cm_h1_call_request request = {.address = server.address,
                                             .message = message,
                                             .body_max_bytes =
                                                 ENDLESS_BODY_MAX_BYTES};
        struct cm_h1_call call;
        struct outcome outcome = {.base = base, .result = -1};
        CU_ASSERT_FATAL(CmH1Call_Start(&call, &pool, &request,
                                       &endless_handler, &outcome));
        event_base_dispatch(base);
        if (outcome.result != CM_H1_CALL_INVALID ||
            endless.sent > ENDLESS_READ_MAX_BYTES) {
            printf("\n%s: result %d after %zu bytes", cases[i].name,
                   outcome.result, endless.sent);
        }
        CU_ASSERT_EQUAL(outcome.result, CM_H1_CALL_INVALID);
        CU_ASSERT(endless.sent <= ENDLESS_READ_MAX_BYTES);
        CU_ASSERT_FALSE(CmH1Call_Active(&call));
        // Lets the server see the close and free its connection.
        event_base_loop(base, EVLOOP_NONBLOCK);
        evconnlistener_free(server.listener);
        event_base_dispatch(base);
        CmH1Pool_Finish(&pool);
        g_string_free(message, TRUE);
        event_base_free(base);
    }
}

static const struct cm_test tests[] = {
    {"connect for a later call", test_connect},
    {"endless responses", test_endless_responses},
    {"expired addresses are removed", test_close_expired},
    {"responses", test_responses},
    {"late responses", test_late_responses},
    {"not connected", test_not_connected},
};

CM_TEST_MAIN("pool", tests)
