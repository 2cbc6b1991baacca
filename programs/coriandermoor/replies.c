/// @file replies.c
/// HTTP responses to callers.

#include "replies.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "attempts.h"
#include "http/server.h"

/// Bytes in a connection's output buffer beyond which the agent gets no
/// credits until the caller has read some.
#define CALLER_BACKLOG_MAX_BYTES (256 * 1024)

bool
Reply_IsStream(const char *headers)
{
    char *lower = g_ascii_strdown(headers, -1);
    bool stream = strstr(lower, "content-type: text/event-stream") != NULL;
    g_free(lower);
    return stream;
}

static void
add_number_header(struct evkeyvalq *headers, const char *name, int64_t number)
{
    char text[24];
    snprintf(text, sizeof(text), "%" PRId64, number);
    evhttp_add_header(headers, name, text);
}

static void
add_entry_headers(struct exchange *exchange, enum cm_outcome outcome)
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
        add_number_header(headers, "X-Stall-Ms", exchange->stall_ms);
        add_number_header(headers, "X-Queue-Ms", exchange->queue_ms);
    }
}

void
Reply_SendError(struct exchange *exchange, int status, const char *type,
                const char *message, enum cm_outcome outcome,
                int retry_after_s)
{
    add_entry_headers(exchange, outcome);
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

/// Copies the target's headers into the response.
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
Reply_SendAnswer(struct exchange *exchange)
{
    add_answer_headers(exchange);
    add_entry_headers(exchange, CM_OUTCOME_RAN);
    struct evbuffer *body = evbuffer_new();
    evbuffer_add(body, exchange->answer->str, exchange->answer->len);
    CmHttp_UnwatchClose(exchange->request);
    evhttp_send_reply(exchange->request, exchange->status, NULL, body);
    evbuffer_free(body);
    exchange->request = NULL;
}

void
Reply_StartStream(struct exchange *exchange)
{
    add_answer_headers(exchange);
    add_entry_headers(exchange, CM_OUTCOME_RAN);
    evhttp_send_reply_start(exchange->request, exchange->status, NULL);
}

static size_t
output_backlog_bytes(const struct exchange *exchange)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(exchange->request);
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    return evbuffer_get_length(bufferevent_get_output(bev));
}

static void
credit_after_write(struct evhttp_connection *connection, void *context)
{
    struct exchange *exchange = context;
    struct attempt *attempt = TAILQ_FIRST(&exchange->attempts);
    if (attempt != NULL && exchange->request != NULL) {
        Attempt_SendCredit(attempt);
    }
}

void
Reply_ContinueStream(struct exchange *exchange, struct attempt *attempt)
{
    size_t received_end = exchange->discarded_bytes + exchange->answer->len;
    if (exchange->delivered_bytes < received_end) {
        struct evbuffer *chunk = evbuffer_new();
        evbuffer_add(chunk,
                     exchange->answer->str + exchange->delivered_bytes -
                         exchange->discarded_bytes,
                     received_end - exchange->delivered_bytes);
        exchange->delivered_bytes = received_end;
        evhttp_send_reply_chunk_with_cb(exchange->request, chunk,
                                        credit_after_write, exchange);
        evbuffer_free(chunk);
    }
    if (exchange->overflowed) {
        Exchange_DiscardAnswer(exchange);
    }
    if (output_backlog_bytes(exchange) < CALLER_BACKLOG_MAX_BYTES) {
        Attempt_SendCredit(attempt);
    }
}

void
Reply_EndStream(struct exchange *exchange)
{
    CmHttp_UnwatchClose(exchange->request);
    evhttp_send_reply_end(exchange->request);
    exchange->request = NULL;
}

static void
close_after_write(struct evhttp_connection *connection, void *request)
{
    CmHttp_CloseWithoutReply(request);
}

static void
free_after_close(struct evhttp_connection *connection, void *request)
{
    CmHttp_FreeDetached(request);
}

void
Reply_AbortStream(struct exchange *exchange, const char *message)
{
    struct evhttp_request *request = exchange->request;
    exchange->request = NULL;
    CmHttp_UnwatchClose(request);
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    if (connection == NULL) {
        return;
    }
    evhttp_connection_set_closecb(connection, free_after_close, request);
    struct evbuffer *chunk = evbuffer_new();
    evbuffer_add_printf(chunk,
                        "data: {\"error\":{\"message\":\"%s\",\"type\":"
                        "\"broken_off\"}}\n\n",
                        message);
    evhttp_send_reply_chunk_with_cb(request, chunk, close_after_write,
                                    request);
    evbuffer_free(chunk);
}
