/// @file http_test.c
/// HTTP client and server helpers over loopback, with fault cases.

#include <event2/buffer.h>
#include <event2/event.h>
#include <signal.h>
#include <string.h>

#include "base/clock.h"
#include "cm_test.h"
#include "http/client.h"
#include "http/server.h"
#include "standin_process.h"

#define LARGE_BYTES (300 * 1024)

struct bench {
    struct event_base *base;
    struct evhttp *server;
    struct cm_http_client client;
    char address[32];
    int requests;
    struct evhttp_request *silent;
};

static void
on_request(struct evhttp_request *request, void *context)
{
    struct bench *bench = context;
    const char *path = CmHttp_Path(request);
    bench->requests++;
    if (strcmp(path, "/echo") == 0) {
        struct evbuffer *input = evhttp_request_get_input_buffer(request);
        evhttp_send_reply(request, HTTP_OK, NULL, input);
    }
    else if (strcmp(path, "/large") == 0) {
        char *text = g_strnfill(LARGE_BYTES, 'x');
        CmHttp_ReplyText(request, HTTP_OK, "text/plain", text);
        g_free(text);
    }
    else if (strcmp(path, "/chunks") == 0) {
        evhttp_send_reply_start(request, HTTP_OK, NULL);
        for (int i = 0; i < 3; i++) {
            struct evbuffer *chunk = evbuffer_new();
            evbuffer_add_printf(chunk, "part %d;", i);
            evhttp_send_reply_chunk(request, chunk);
            evbuffer_free(chunk);
        }
        evhttp_send_reply_end(request);
    }
    else if (strcmp(path, "/break") == 0) {
        evhttp_connection_free(evhttp_request_get_connection(request));
    }
    else if (strcmp(path, "/silent") == 0) {
        bench->silent = request;
    }
    else {
        CmHttp_ReplyError(request, HTTP_NOTFOUND, "not_found", "no");
    }
}

static void
bench_init(struct bench *bench)
{
    memset(bench, 0, sizeof(*bench));
    bench->base = event_base_new();
    CmHttpClient_Init(&bench->client, bench->base);
    g_snprintf(bench->address, sizeof(bench->address), "127.0.0.1:%d",
               StandinProcess_FreePort());
    struct cm_http_limits limits = {4096, 1024 * 1024, 10000};
    bench->server = CmHttpServer_Listen(bench->base, bench->address, &limits,
                                        on_request, bench, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(bench->server);
}

static void
bench_finish(struct bench *bench)
{
    CmHttpClient_Finish(&bench->client);
    evhttp_free(bench->server);
    event_base_free(bench->base);
}

struct told {
    struct cm_http_call call;
    struct event_base *base;
    int status;
    int ends;
    enum cm_http_result end;
    GString *body;
};

static void
on_head(void *context, int status, struct evkeyvalq *headers)
{
    ((struct told *)context)->status = status;
}

static void
on_data(void *context, const void *data, size_t size)
{
    g_string_append_len(((struct told *)context)->body, data, (gssize)size);
}

static void
on_end(void *context, enum cm_http_result end)
{
    struct told *told = context;
    told->ends++;
    told->end = end;
    event_base_loopbreak(told->base);
}

static const struct cm_http_handler handler = {on_head, on_data, on_end};

static void
told_start(struct told *told, struct bench *bench, const char *address,
           enum evhttp_cmd_type method, const char *path, const char *body,
           int64_t timeout_ms)
{
    memset(told, 0, sizeof(*told));
    told->base = bench->base;
    told->body = g_string_new(NULL);
    struct cm_http_request request = {
        .address = address,
        .method = method,
        .path = path,
        .body = body,
        .body_size = body != NULL ? strlen(body) : 0,
        .timeout_ms = timeout_ms,
    };
    CmHttpCall_Start(&told->call, &bench->client, &request, &handler, told);
}

/// How each call ends, and what of it arrives.
static const struct {
    const char *path;
    enum evhttp_cmd_type method;
    const char *body;
    bool reachable;
    enum cm_http_result end;
    int status;
    const char *answer; ///< NULL: not looked at
} cases[] = {
    {"/echo", EVHTTP_REQ_POST, "hello", true, CM_HTTP_COMPLETE, 200, "hello"},
    {"/echo", EVHTTP_REQ_PUT, "put", true, CM_HTTP_COMPLETE, 200, "put"},
    {"/echo", EVHTTP_REQ_PATCH, "patch", true, CM_HTTP_COMPLETE, 200, "patch"},
    {"/echo", EVHTTP_REQ_GET, NULL, true, CM_HTTP_COMPLETE, 200, ""},
    {"/echo", EVHTTP_REQ_HEAD, NULL, true, CM_HTTP_COMPLETE, 200, ""},
    {"/chunks", EVHTTP_REQ_GET, NULL, true, CM_HTTP_COMPLETE, 200,
     "part 0;part 1;part 2;"},
    {"/large", EVHTTP_REQ_GET, NULL, true, CM_HTTP_COMPLETE, 200, NULL},
    {"/none", EVHTTP_REQ_GET, NULL, true, CM_HTTP_COMPLETE, 404, NULL},
    {"/break", EVHTTP_REQ_GET, NULL, true, CM_HTTP_INTERRUPTED, 0, ""},
    {"/silent", EVHTTP_REQ_GET, NULL, true, CM_HTTP_INTERRUPTED, 0, ""},
    {"/echo", EVHTTP_REQ_GET, NULL, false, CM_HTTP_NOT_CONNECTED, 0, ""},
};

static void
test_ends(void)
{
    struct bench bench;
    bench_init(&bench);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct told told;
        // Port 1 of loopback: nobody listens there.
        told_start(&told, &bench,
                   cases[i].reachable ? bench.address : "127.0.0.1:1",
                   cases[i].method, cases[i].path, cases[i].body, 200);
        CU_ASSERT_EQUAL(told.ends, 0);
        event_base_dispatch(bench.base);
        CU_ASSERT_EQUAL(told.ends, 1);
        CU_ASSERT_EQUAL(told.end, cases[i].end);
        CU_ASSERT_EQUAL(told.status, cases[i].status);
        if (cases[i].answer != NULL) {
            CU_ASSERT_STRING_EQUAL(told.body->str, cases[i].answer);
        }
        CU_ASSERT_FALSE(CmHttpCall_Active(&told.call));
        g_string_free(told.body, TRUE);
    }
    bench_finish(&bench);
}

static void
test_large_answer_whole(void)
{
    struct bench bench;
    bench_init(&bench);
    struct told told;
    told_start(&told, &bench, bench.address, EVHTTP_REQ_GET, "/large", NULL,
               2000);
    event_base_dispatch(bench.base);
    CU_ASSERT_EQUAL(told.body->len, LARGE_BYTES);
    g_string_free(told.body, TRUE);
    bench_finish(&bench);
}

static void
on_stop(evutil_socket_t fd, short what, void *context)
{
    event_base_loopbreak(context);
}

static void
test_cancel(void)
{
    struct bench bench;
    bench_init(&bench);
    static const char *const paths[] = {"/echo", "/silent", "/large"};
    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        struct told told;
        told_start(&told, &bench, bench.address, EVHTTP_REQ_GET, paths[i],
                   NULL, 2000);
        event_base_loop(bench.base, EVLOOP_ONCE);
        CmHttpCall_Cancel(&told.call);
        CmHttpCall_Cancel(&told.call);
        struct timeval wait = {0, 50000};
        event_base_once(bench.base, -1, EV_TIMEOUT, on_stop, bench.base,
                        &wait);
        event_base_dispatch(bench.base);
        CU_ASSERT_EQUAL(told.ends, 0);
        g_string_free(told.body, TRUE);
    }
    bench_finish(&bench);
}

static void
test_split_address(void)
{
    static const struct {
        const char *text;
        bool ok;
        uint16_t port;
    } addresses[] = {{"127.0.0.1:80", true, 80},
                     {"127.0.0.1:65535", true, 65535},
                     {"127.0.0.1:65536", false, 0},
                     {"127.0.0.1:0", false, 0},
                     {"127.0.0.1:", false, 0},
                     {"127.0.0.1", false, 0},
                     {":80x", false, 0},
                     {"", false, 0}};
    for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
        char host[CM_HTTP_ADDRESS_MAX_BYTES];
        uint16_t port = 0;
        CU_ASSERT_EQUAL(CmHttp_SplitAddress(addresses[i].text, host, &port),
                        addresses[i].ok);
        CU_ASSERT_EQUAL(port, addresses[i].port);
    }
}

static const struct cm_test tests[] = {
    {"how calls end", test_ends},
    {"large answer", test_large_answer_whole},
    {"cancel", test_cancel},
    {"split address", test_split_address},
};

CM_TEST_MAIN("http", tests)
