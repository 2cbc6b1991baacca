/// @file pool_test.c
/// Calls on kept connections against a server that misbehaves on purpose.

#include "h1/pool.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "cm_test.h"
#include "h1/writer.h"

/// What the server sends to each request it reads, in order; "!" resets,
/// "." closes.
struct server {
    struct event_base *base;
    struct evconnlistener *listener;
    struct bufferevent *bevs[8]; ///< of its connections
    char address[32];
    const char *const *answers;
    size_t n_answers;
    size_t answered;
    int connections;
};

static void
server_close(struct server *server, struct bufferevent *bev)
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
    struct evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, NULL);
    if (end.pos < 0) {
        return;
    }
    evbuffer_drain(input, (size_t)end.pos + 4);
    if (server->answered >= server->n_answers) {
        return;
    }
    const char *answer = server->answers[server->answered++];
    size_t length = strlen(answer);
    char last = answer[length - 1];
    bool ends = last == '!' || last == '.';
    CU_ASSERT(send(bufferevent_getfd(bev), answer, length - ends, 0) > 0);
    if (!ends) {
        return;
    }
    if (last == '!') {
        struct linger reset = {1, 0};
        setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &reset,
                   sizeof(reset));
    }
    server_close(server, bev);
}

static void
on_server_event(struct bufferevent *bev, short what, void *context)
{
    server_close(context, bev);
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
    struct sockaddr_in where = {.sin_family = AF_INET};
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server->base = base;
    server->listener =
        evconnlistener_new_bind(base, on_accept, server, LEV_OPT_CLOSE_ON_FREE,
                                -1, (struct sockaddr *)&where, sizeof(where));
    socklen_t size = sizeof(where);
    getsockname(evconnlistener_get_fd(server->listener),
                (struct sockaddr *)&where, &size);
    snprintf(server->address, sizeof(server->address), "127.0.0.1:%d",
             ntohs(where.sin_port));
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

/// One call's outcome.
struct outcome {
    struct event_base *base;
    char body[64];
    int end; ///< -1 while it runs
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
on_end(void *context, enum cm_h1_call_result end)
{
    struct outcome *outcome = context;
    outcome->end = (int)end;
    event_base_loopbreak(outcome->base);
}

static const struct cm_h1_call_handler handler = {on_head, on_body, on_end};

static void
make_call(struct cm_h1_pool *pool, const char *address,
          struct outcome *outcome)
{
    GString *message = g_string_new(NULL);
    CmH1Writer_Request(message, "GET", "/");
    g_string_append(message, "\r\n");
    struct cm_h1_call_request request = {
        .address = address, .message = message, .idle_max_ms = 1000};
    struct cm_h1_call call;
    *outcome = (struct outcome){.base = pool->base, .end = -1};
    CU_ASSERT_FATAL(CmH1Call_Start(&call, pool, &request, &handler, outcome));
    event_base_dispatch(pool->base);
    g_string_free(message, TRUE);
}

#define ANSWER(extra, body) "HTTP/1.1 200 OK\r\n" extra "\r\n" body
#define SIZED(body)                                                           \
    ANSWER("Content-Length: 2\r\nKeep-Alive: timeout=5\r\n", body)

static void
test_answers(void)
{
    static const struct {
        const char *pattern;
        const char *answers[2];
        int ends[2];
        const char *bodies[2];
        int connections;
    } cases[] = {
        {"kept",
         {SIZED("ab"), SIZED("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         1},
        {"the server says close",
         {ANSWER("Content-Length: 2\r\nConnection: close\r\n", "ab"),
          SIZED("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         2},
        {"a second answer right after the first",
         {SIZED("ab") SIZED("xx"), SIZED("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         2},
        {"another's answer first",
         {ANSWER("Id: other\r\nContent-Length: 2\r\n", "xx") SIZED("ab"),
          SIZED("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         1},
        {"without a length, ended by close",
         {ANSWER("", "ab."), SIZED("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         2},
        {"without a length, ended by reset",
         {ANSWER("", "ab!"), SIZED("cd")},
         {CM_H1_CALL_INTERRUPTED, CM_H1_CALL_COMPLETE},
         {NULL, "cd"},
         2},
        {"cut in the middle",
         {ANSWER("Content-Length: 5\r\n", "ab."), SIZED("cd")},
         {CM_H1_CALL_INTERRUPTED, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         2},
        {"cut between chunks",
         {ANSWER("Transfer-Encoding: chunked\r\n", "2\r\nab\r\n."),
          SIZED("cd")},
         {CM_H1_CALL_INTERRUPTED, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         2},
        {"no HTTP",
         {"what is this\r\n\r\n", SIZED("cd")},
         {CM_H1_CALL_INVALID, CM_H1_CALL_COMPLETE},
         {"", "cd"},
         2},
        {"an informational one first",
         {"HTTP/1.1 102 Processing\r\n\r\n" SIZED("ab"), SIZED("cd")},
         {CM_H1_CALL_COMPLETE, CM_H1_CALL_COMPLETE},
         {"ab", "cd"},
         1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct event_base *base = event_base_new();
        struct server server = {.answers = cases[i].answers, .n_answers = 2};
        server_init(&server, base);
        struct cm_h1_pool pool;
        CmH1Pool_Init(&pool, base, CmClock_System());
        for (size_t c = 0; c < 2; c++) {
            struct outcome outcome;
            make_call(&pool, server.address, &outcome);
            if (outcome.end != cases[i].ends[c]) {
                printf("\n%s, call %zu: %d\n", cases[i].pattern, c,
                       outcome.end);
            }
            CU_ASSERT_EQUAL(outcome.end, cases[i].ends[c]);
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

/// Nobody listens: certainly not sent.
static void
test_unsent(void)
{
    struct event_base *base = event_base_new();
    struct server server = {0};
    server_init(&server, base);
    server_finish(&server);
    struct cm_h1_pool pool;
    CmH1Pool_Init(&pool, base, CmClock_System());
    struct outcome outcome;
    make_call(&pool, server.address, &outcome);
    CU_ASSERT_EQUAL(outcome.end, CM_H1_CALL_NOT_CONNECTED);
    struct cm_h1_call call;
    GString *message = g_string_new("x");
    struct cm_h1_call_request request = {.address = "nowhere",
                                         .message = message};
    CU_ASSERT_FALSE(CmH1Call_Start(&call, &pool, &request, &handler, NULL));
    g_string_free(message, TRUE);
    CmH1Pool_Finish(&pool);
    event_base_free(base);
}

/// An address is remembered while a connection to it is good, and no longer.
static void
test_sweep(void)
{
    static const struct {
        int64_t idle_ms;
        guint peers;
    } cases[] = {{100, 1}, {4800, 1}, {4900, 0}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        static const char *const answers[] = {SIZED("ab")};
        struct event_base *base = event_base_new();
        struct server server = {.answers = answers, .n_answers = 1};
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

static const struct cm_test tests[] = {
    {"addresses out of use", test_sweep},
    {"answers", test_answers},
    {"unsent", test_unsent},
};

CM_TEST_MAIN("pool", tests)
