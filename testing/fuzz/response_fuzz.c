/// @file response_fuzz.c
/// Fuzz target: raw HTTP responses of targets, the store and other processes,
/// read by the client (packages/h1). The first byte tells whether the
/// connection ends after the input or the input's last bytes are repeated; a
/// response without an end must end its call all the same.

#include <errno.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "h1/pool.h"

#define BODY_MAX_BYTES 4096
/// Bytes that are repeated, and number of all bytes after which a call has met
/// one of its limits, even with one byte of a body in each repetition.
#define REPEATED_BYTES ((size_t)16)
#define FLOOD_BYTES ((size_t)512 * 1024)
/// Passes of the event loop that read one input.
#define LOOP_ITERATIONS 8

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static struct {
    struct event_base *base;
    struct cm_h1_pool pool;
    int listener;
    char address[32];
    int ends; ///< calls of `done` for the present call
} client;

static bool
on_head(void *context, const struct cm_h1_head *head)
{
    const char *value;
    for (size_t i = 0; i < CmH1Head_Count(head); i++) {
        CmH1Head_IsHopByHop(head, CmH1Head_Field(head, i, &value));
    }
    return true;
}

static void
on_body(void *context, const void *data, size_t size)
{
}

static void
on_done(void *context, enum cm_h1_call_result result)
{
    client.ends++;
}

static const struct cm_h1_call_handler handler = {on_head, on_body, on_done};

static void
start_client(void)
{
    client.base = event_base_new();
    CmH1Pool_Init(&client.pool, client.base, CmClock_System());
    client.listener = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {.sin_family = AF_INET};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(client.listener, (struct sockaddr *)&address, size) != 0 ||
        listen(client.listener, 1) != 0 ||
        getsockname(client.listener, (struct sockaddr *)&address, &size) !=
            0) {
        perror("listen on a free port of 127.0.0.1");
        exit(EXIT_FAILURE);
    }
    snprintf(client.address, sizeof(client.address), "127.0.0.1:%d",
             ntohs(address.sin_port));
}

static void
run_loop(int iterations)
{
    for (int i = 0; i < iterations; i++) {
        event_base_loop(client.base, EVLOOP_NONBLOCK);
    }
}

/// Repeats the last bytes of the input until the call has ended.
static void
flood(int fd, const uint8_t *data, size_t size)
{
    size_t unit = MIN(size, REPEATED_BYTES);
    uint8_t block[REPEATED_BYTES * 256];
    for (size_t i = 0; i < sizeof(block); i++) {
        block[i] = data[size - unit + i % unit];
    }
    size_t sent = 0;
    while (client.ends == 0 && sent < FLOOD_BYTES) {
        ssize_t n = send(fd, block, sizeof(block) / unit * unit,
                         MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && errno != EAGAIN) {
            break;
        }
        sent += n > 0 ? (size_t)n : 0;
        run_loop(1);
    }
    run_loop(LOOP_ITERATIONS);
    if (client.ends == 0) {
        fprintf(stderr, "a call has no end after %zu bytes\n", sent);
        abort();
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (client.base == NULL) {
        start_client();
    }
    if (size < 2) {
        return 0;
    }
    GString *message = g_string_new("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    struct cm_h1_call_request request = {.address = client.address,
                                         .message = message,
                                         .body_max_bytes = BODY_MAX_BYTES};
    struct cm_h1_call call = {0};
    client.ends = 0;
    if (CmH1Call_Start(&call, &client.pool, &request, &handler, NULL)) {
        int fd = accept(client.listener, NULL, NULL);
        run_loop(2);
        if (send(fd, data + 1, size - 1, MSG_NOSIGNAL) >= 0) {
            if (data[0] & 1) {
                flood(fd, data + 1, size - 1);
            }
            else {
                shutdown(fd, SHUT_WR);
                run_loop(LOOP_ITERATIONS);
            }
        }
        close(fd);
        run_loop(2);
    }
    if (client.ends > 1) {
        abort();
    }
    CmH1Call_Cancel(&call);
    g_string_free(message, TRUE);
    return 0;
}
