/// @file evhttp_limits_test.c
/// Shows why connections are parsed by http-parser: evhttp accepts requests
/// with ambiguous framing, which allow request smuggling. Each case sends one
/// request, and evhttp parses a second one out of its body. http-parser
/// rejects the same inputs (conn_test.c).

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cm_test.h"

static int requests_handled;

static void
on_request(struct evhttp_request *request, void *context)
{
    requests_handled++;
    evhttp_send_reply(request, HTTP_OK, NULL, NULL);
}

static int
connect_to(int listener)
{
    struct sockaddr_in endpoint;
    socklen_t size = sizeof(endpoint);
    getsockname(listener, (struct sockaddr *)&endpoint, &size);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&endpoint, size), 0);
    return fd;
}

static void
test_smuggled_requests(void)
{
    static const char *const inputs[] = {
        "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length : 40\r\n\r\n"
        "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n"
        "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(inputs); i++) {
        struct event_base *base = event_base_new();
        struct evhttp *server = evhttp_new(base);
        evhttp_set_gencb(server, on_request, NULL);
        struct evhttp_bound_socket *bound =
            evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
        int fd = connect_to(evhttp_bound_socket_get_fd(bound));
        requests_handled = 0;
        CU_ASSERT(write(fd, inputs[i], strlen(inputs[i])) > 0);
        for (int round = 0; round < 200 && requests_handled < 2; round++) {
            event_base_loop(base, EVLOOP_NONBLOCK);
            usleep(1000);
        }
        CU_ASSERT_EQUAL(requests_handled, 2);

        close(fd);
        evhttp_free(server);
        event_base_free(base);
    }
}

static const struct cm_test tests[] = {
    {"smuggled requests", test_smuggled_requests}};

CM_TEST_MAIN("evhttp limits", tests)
