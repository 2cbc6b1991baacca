/// @file standin.c
/// Start-up, command line and execution log of the stand-in servers.

#include "standin.h"

#include <event2/buffer.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "http/server.h"

#define HEADER_MAX_BYTES (64 * 1024)
#define BODY_MAX_BYTES (16 * 1024 * 1024)
#define IDLE_TIMEOUT_MS 120000
#define OPTIONS_MAX 32

void
StandinLog_Init(struct standin_log *log)
{
    log->lines = g_string_new(NULL);
    log->count = 0;
}

void
StandinLog_Finish(struct standin_log *log)
{
    g_string_free(log->lines, TRUE);
}

void
StandinLog_Append(struct standin_log *log, json_t *entry)
{
    json_object_set_new(entry, "at_ms",
                        json_integer(CmClock_WallMs(CmClock_System())));
    char *line = json_dumps(entry, JSON_COMPACT);
    json_decref(entry);
    g_string_append(log->lines, line);
    g_string_append_c(log->lines, '\n');
    log->count++;
    free(line);
}

void
StandinLog_Reply(const struct standin_log *log, struct evhttp_request *request)
{
    CmHttp_ReplyText(request, HTTP_OK, "application/x-ndjson",
                     log->lines->str);
}

struct evhttp *
Standin_Listen(struct event_base *base, int port,
               void (*handle)(struct evhttp_request *, void *), void *context)
{
    struct cm_http_limits limits = {HEADER_MAX_BYTES, BODY_MAX_BYTES,
                                    IDLE_TIMEOUT_MS};
    char address[32];
    snprintf(address, sizeof(address), "127.0.0.1:%d", port);
    GError *error = NULL;
    struct evhttp *server =
        CmHttpServer_Listen(base, address, &limits, handle, context, &error);
    if (server == NULL) {
        fprintf(stderr, "stand-in: %s\n", error->message);
        exit(EXIT_FAILURE);
    }
    return server;
}

static void
stop_loop(evutil_socket_t number, short what, void *context)
{
    event_base_loopbreak(context);
}

void
Standin_Run(struct event_base *base)
{
    signal(SIGPIPE, SIG_IGN);
    struct event *term = evsignal_new(base, SIGTERM, stop_loop, base);
    struct event *interrupt = evsignal_new(base, SIGINT, stop_loop, base);
    event_add(term, NULL);
    event_add(interrupt, NULL);
    event_base_dispatch(base);
    event_free(term);
    event_free(interrupt);
}

static void
exit_with_usage(const char *program, const char *const *names, size_t n)
{
    fprintf(stderr, "usage: %s", program);
    for (size_t i = 0; i < n; i++) {
        fprintf(stderr, " [--%s VALUE]", names[i]);
    }
    fprintf(stderr, "\n");
    exit(EXIT_FAILURE);
}

void
Standin_ParseOptions(int argc, char **argv, const char *const *names,
                     const char **values, size_t n)
{
    struct option options[OPTIONS_MAX + 1] = {0};
    for (size_t i = 0; i < n; i++) {
        options[i].name = names[i];
        options[i].has_arg = required_argument;
    }
    int index;
    int code;
    while ((code = getopt_long(argc, argv, "", options, &index)) != -1) {
        if (code != 0) {
            exit_with_usage(argv[0], names, n);
        }
        values[index] = optarg;
    }
    if (optind != argc) {
        exit_with_usage(argv[0], names, n);
    }
}

double
Standin_JsonNumber(const json_t *object, const char *name, double fallback)
{
    const json_t *member = json_object_get(object, name);
    return json_is_number(member) ? json_number_value(member) : fallback;
}
