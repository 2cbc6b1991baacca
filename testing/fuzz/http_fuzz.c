/// @file http_fuzz.c
/// Fuzz target: raw HTTP requests of callers, parsed by the server and its
/// helper functions.

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "http/client.h"
#include "http/server.h"

/// Passes of the event loop that accept, parse and answer one input.
#define LOOP_ITERATIONS 8

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
on_request(struct evhttp_request *request, void *context)
{
    char *query = CmHttp_QueryParameter(request, "watch");
    json_t *body = CmHttp_JsonBody(request);
    CmHttp_MethodName(evhttp_request_get_command(request));
    CmHttp_ReplyError(request, HTTP_NOTFOUND, "not_found",
                      CmHttp_Path(request));
    json_decref(body);
    g_free(query);
}

/// HTTP server that receives every input.
static struct {
    struct event_base *base;
    struct sockaddr_in address;
} target;

static void
start_server(void)
{
    target.base = event_base_new();
    struct evhttp *server = evhttp_new(target.base);
    evhttp_set_allowed_methods(server, CM_HTTP_ALL_METHODS);
    evhttp_set_max_headers_size(server, 4096);
    evhttp_set_max_body_size(server, 4096);
    evhttp_set_gencb(server, on_request, NULL);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
    socklen_t size = sizeof(target.address);
    getsockname(evhttp_bound_socket_get_fd(bound),
                (struct sockaddr *)&target.address, &size);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (target.base == NULL) {
        start_server();
    }
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, (struct sockaddr *)&target.address,
                sizeof(target.address)) == 0 &&
        write(fd, data, size) >= 0) {
        shutdown(fd, SHUT_WR);
        for (int i = 0; i < LOOP_ITERATIONS; i++) {
            event_base_loop(target.base, EVLOOP_NONBLOCK);
        }
    }
    close(fd);
    event_base_loop(target.base, EVLOOP_NONBLOCK);
    return 0;
}
