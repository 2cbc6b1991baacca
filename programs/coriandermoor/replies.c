/// @file replies.c
/// Writing answers to callers.

#include "replies.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "attempts.h"
#include "http/server.h"

/// Bytes that wait in a caller's connection before credits stop.
#define CALLER_BACKLOG_MAX (256 * 1024)

bool
Reply_IsStream(const char *headers)
{
    char *lower = g_ascii_strdown(headers, -1);
    bool stream = strstr(lower, "content-type: text/event-stream") != NULL;
    g_free(lower);
    return stream;
}

static void
add_number(struct evkeyvalq *headers, const char *name, int64_t number)
{
    char text[24];
    snprintf(text, sizeof(text), "%" PRId64, number);
    evhttp_add_header(headers, name, text);
}

static void
add_own_headers(struct exchange *exchange, enum cm_outcome outcome)
{
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(exchange->request);
    evhttp_remove_header(headers, "X-Outcome");
    evhttp_remove_header(headers, "X-Request-Id");
    evhttp_remove_header(headers, "X-Adapter");
    evhttp_add_header(headers, "X-Outcome", CmOutcome_Name(outcome));
    evhttp_add_header(headers, "X-Request-Id", exchange->id);
    if (exchange->adapter != NULL) {
        evhttp_add_header(headers, "X-Adapter", exchange->adapter);
    }
    if (exchange->answer_headers != NULL) {
        add_number(headers, "X-Stall-Ms", exchange->stall_ms);
        add_number(headers, "X-Queue-Ms", exchange->queue_ms);
    }
}

void
Reply_Error(struct exchange *exchange, int status, const char *type,
            const char *message, enum cm_outcome outcome, int retry_after_s)
{
    add_own_headers(exchange, outcome);
    if (retry_after_s > 0) {
        char seconds[16];
        snprintf(seconds, sizeof(seconds), "%d", retry_after_s);
        evhttp_add_header(evhttp_request_get_output_headers(exchange->request),
                          "Retry-After", seconds);
    }
    CmHttp_UnwatchClose(exchange->request);
    CmHttp_ReplyError(exchange->request, status, type, message);
    exchange->request = NULL;
}

/// Copies the target's header lines.
static void
add_answer_headers(struct exchange *exchange)
{
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(exchange->request);
    char **lines = g_strsplit(exchange->answer_headers, "\r\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        char *colon = strstr(*line, ": ");
        if (colon != NULL) {
            *colon = '\0';
            evhttp_add_header(headers, *line, colon + 2);
        }
    }
    g_strfreev(lines);
}

void
Reply_Whole(struct exchange *exchange)
{
    add_answer_headers(exchange);
    add_own_headers(exchange, CM_OUTCOME_RAN);
    struct evbuffer *body = evbuffer_new();
    evbuffer_add(body, exchange->answer->str, exchange->answer->len);
    CmHttp_UnwatchClose(exchange->request);
    evhttp_send_reply(exchange->request, exchange->status, NULL, body);
    evbuffer_free(body);
    exchange->request = NULL;
}

void
Reply_Start(struct exchange *exchange)
{
    add_answer_headers(exchange);
    add_own_headers(exchange, CM_OUTCOME_RAN);
    evhttp_send_reply_start(exchange->request, exchange->status, NULL);
}

static size_t
backlog(const struct exchange *exchange)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(exchange->request);
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    return evbuffer_get_length(bufferevent_get_output(bev));
}

static void
on_written(struct evhttp_connection *connection, void *context)
{
    struct exchange *exchange = context;
    struct attempt *attempt = TAILQ_FIRST(&exchange->attempts);
    if (attempt != NULL && exchange->request != NULL) {
        Attempt_Credit(attempt);
    }
}

void
Reply_Stream(struct exchange *exchange, struct attempt *attempt)
{
    size_t have = exchange->dropped + exchange->answer->len;
    if (exchange->delivered < have) {
        struct evbuffer *chunk = evbuffer_new();
        evbuffer_add(chunk,
                     exchange->answer->str + exchange->delivered -
                         exchange->dropped,
                     have - exchange->delivered);
        exchange->delivered = have;
        evhttp_send_reply_chunk_with_cb(exchange->request, chunk, on_written,
                                        exchange);
        evbuffer_free(chunk);
    }
    if (exchange->overflowed) {
        g_string_truncate(exchange->answer, 0);
        exchange->dropped = have;
    }
    if (backlog(exchange) < CALLER_BACKLOG_MAX) {
        Attempt_Credit(attempt);
    }
}

void
Reply_End(struct exchange *exchange)
{
    CmHttp_UnwatchClose(exchange->request);
    evhttp_send_reply_end(exchange->request);
    exchange->request = NULL;
}

void
Reply_BreakOff(struct exchange *exchange, const char *message)
{
    struct evhttp_request *request = exchange->request;
    exchange->request = NULL;
    struct evbuffer *chunk = evbuffer_new();
    evbuffer_add_printf(chunk,
                        "data: {\"error\":{\"message\":\"%s\",\"type\":"
                        "\"broken_off\"}}\n\n",
                        message);
    evhttp_send_reply_chunk(request, chunk);
    evbuffer_free(chunk);
    CmHttp_UnwatchClose(request);
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    if (connection != NULL) {
        // Write out what stands in the buffer, then close.
        struct bufferevent *bev =
            evhttp_connection_get_bufferevent(connection);
        bufferevent_flush(bev, EV_WRITE, BEV_FLUSH);
        evbuffer_write(bufferevent_get_output(bev), bufferevent_getfd(bev));
        evhttp_connection_free(connection);
    }
}
