/// @file client.c
/// Calls over the connection pools of h1, which limit what a server can make
/// the client hold. Exchanges are freed from the event loop, so that callbacks
/// may cancel their calls.

#include "http/client.h"

#include <event2/util.h>
#include <netinet/in.h>
#include <string.h>

#include "base/clock.h"
#include "h1/writer.h"
#include "http/server.h"

/// Interval at which connections that were idle for too long are closed.
#define EXPIRE_INTERVAL_MS 1000
/// A shorter request is passed to the kernel at once, which is no progress of
/// the server.
#define LONG_REQUEST_BYTES ((size_t)64 * 1024)

struct cm_http_exchange {
    LIST_ENTRY(cm_http_exchange) link;
    struct cm_http_client *client;
    struct cm_h1_call h1_call;
    struct cm_http_call *call;   ///< NULL once cancelled
    struct event *finish_event;  ///< frees the exchange from the event loop
    struct event *timeout_event; ///< no progress
    struct timeval timeout;
    size_t unsent; ///< bytes of the request when the timeout was started
    bool paused;   ///< the response is not read
    enum cm_http_result result;
};

void
CmHttpClient_Init(struct cm_http_client *client, struct event_base *base)
{
    client->base = base;
    CmH1Pool_Init(&client->pool, base, CmClock_System());
    client->pool.keep_alive_default_ms = CM_HTTP_IDLE_MAX_MS;
    client->expired_at = CmClock_Now(CmClock_System());
    LIST_INIT(&client->exchanges);
}

static void
exchange_free(struct cm_http_exchange *exchange)
{
    CmH1Call_Cancel(&exchange->h1_call);
    LIST_REMOVE(exchange, link);
    event_free(exchange->finish_event);
    event_free(exchange->timeout_event);
    g_free(exchange);
}

void
CmHttpClient_Finish(struct cm_http_client *client)
{
    struct cm_http_exchange *exchange;
    while ((exchange = LIST_FIRST(&client->exchanges)) != NULL) {
        if (exchange->call != NULL) {
            exchange->call->exchange = NULL;
        }
        exchange_free(exchange);
    }
    CmH1Pool_Finish(&client->pool);
}

/// Frees the exchange, then calls the handler's `done`. Runs as an event of
/// its own, outside of the callbacks of h1.
static void
finish_exchange(evutil_socket_t fd, short what, void *context)
{
    struct cm_http_exchange *exchange = context;
    struct cm_http_call *call = exchange->call;
    enum cm_http_result result = exchange->result;
    exchange_free(exchange);
    if (call != NULL) {
        call->exchange = NULL;
        if (call->handler->done != NULL) {
            call->handler->done(call->context, result);
        }
    }
}

static void
schedule_finish(struct cm_http_exchange *exchange, enum cm_http_result result)
{
    exchange->result = result;
    event_del(exchange->timeout_event);
    struct timeval now = {0, 0};
    event_add(exchange->finish_event, &now);
}

static void
restart_timeout(struct cm_http_exchange *exchange)
{
    exchange->unsent = CmH1Call_Unsent(&exchange->h1_call);
    event_add(exchange->timeout_event, &exchange->timeout);
}

/// @return whether the server has taken a part of the request since the
/// timeout was started.
static bool
has_sent(const struct cm_http_exchange *exchange)
{
    size_t unsent = CmH1Call_Unsent(&exchange->h1_call);
    return unsent < exchange->unsent &&
           (unsent > 0 || exchange->unsent > LONG_REQUEST_BYTES);
}

static void
on_timeout(evutil_socket_t fd, short what, void *context)
{
    struct cm_http_exchange *exchange = context;
    bool connected = CmH1Call_IsConnected(&exchange->h1_call);
    if (connected && has_sent(exchange)) {
        restart_timeout(exchange);
        return;
    }
    CmH1Call_Cancel(&exchange->h1_call);
    schedule_finish(exchange,
                    connected ? CM_HTTP_INTERRUPTED : CM_HTTP_NOT_CONNECTED);
}

/// Records that a part of the response has arrived.
static void
count_progress(struct cm_http_exchange *exchange)
{
    if (exchange->call != NULL && !exchange->paused) {
        restart_timeout(exchange);
    }
}

static bool
on_head(void *context, const struct cm_h1_head *head)
{
    struct cm_http_exchange *exchange = context;
    struct cm_http_call *call = exchange->call;
    count_progress(exchange);
    if (call != NULL && call->handler->head != NULL) {
        call->handler->head(call->context, head->status, head);
    }
    return true;
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct cm_http_exchange *exchange = context;
    struct cm_http_call *call = exchange->call;
    count_progress(exchange);
    if (call != NULL && call->handler->data != NULL) {
        call->handler->data(call->context, data, size);
    }
}

static void
on_done(void *context, enum cm_h1_call_result result)
{
    struct cm_http_exchange *exchange = context;
    switch (result) {
    case CM_H1_CALL_COMPLETE:
        schedule_finish(exchange, CM_HTTP_COMPLETE);
        return;
    case CM_H1_CALL_NOT_CONNECTED:
        schedule_finish(exchange, CM_HTTP_NOT_CONNECTED);
        return;
    case CM_H1_CALL_INTERRUPTED:
    case CM_H1_CALL_INVALID:
        schedule_finish(exchange, CM_HTTP_INTERRUPTED);
        return;
    }
}

static const struct cm_h1_call_handler h1_handler = {on_head, on_body,
                                                     on_done};

bool
CmHttp_SplitAddress(const char *address, char host[CM_HTTP_ADDRESS_MAX_BYTES],
                    uint16_t *port)
{
    const char *colon = strrchr(address, ':');
    if (colon == NULL || colon - address >= CM_HTTP_ADDRESS_MAX_BYTES) {
        return false;
    }
    guint64 number;
    if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, G_MAXUINT16, &number,
                                    NULL)) {
        return false;
    }
    memcpy(host, address, (size_t)(colon - address));
    host[colon - address] = '\0';
    *port = (uint16_t)number;
    return true;
}

/// Resolves the name of a host. Waits for the system's resolver, so that
/// settings name addresses where this matters.
/// @return "IP:PORT", to be freed, or NULL.
static char *
resolve(const char *address)
{
    struct sockaddr_in endpoint;
    int size = sizeof(endpoint);
    if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&endpoint,
                                   &size) == 0) {
        return g_strdup(address);
    }
    char host[CM_HTTP_ADDRESS_MAX_BYTES];
    uint16_t port;
    struct evutil_addrinfo hints = {.ai_family = AF_INET,
                                    .ai_socktype = SOCK_STREAM};
    struct evutil_addrinfo *found = NULL;
    if (!CmHttp_SplitAddress(address, host, &port) ||
        evutil_getaddrinfo(host, NULL, &hints, &found) != 0) {
        return NULL;
    }
    char ip[INET_ADDRSTRLEN];
    evutil_inet_ntop(AF_INET,
                     &((struct sockaddr_in *)found->ai_addr)->sin_addr, ip,
                     sizeof(ip));
    evutil_freeaddrinfo(found);
    return g_strdup_printf("%s:%d", ip, port);
}

static bool
has_body_length(enum evhttp_cmd_type method, size_t size)
{
    return size > 0 || method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT ||
           method == EVHTTP_REQ_PATCH;
}

static GString *
compose_request(const struct cm_http_request *request)
{
    GString *message = g_string_new(NULL);
    CmH1Writer_Request(message, CmHttp_MethodName(request->method),
                       request->path);
    CmH1Writer_Header(message, "Host", request->address);
    for (size_t i = 0; i < request->n_headers; i++) {
        const struct cm_http_header *header = &request->headers[i];
        if (strpbrk(header->name, "\r\n") == NULL &&
            strpbrk(header->value, "\r\n") == NULL) {
            CmH1Writer_Header(message, header->name, header->value);
        }
    }
    if (has_body_length(request->method, request->body_size)) {
        CmH1Writer_Body(message, request->body, request->body_size);
    }
    else {
        g_string_append(message, "\r\n");
    }
    return message;
}

static void
close_expired(struct cm_http_client *client)
{
    struct timespec now = CmClock_Now(CmClock_System());
    if (CmTime_DiffMs(now, client->expired_at) >= EXPIRE_INTERVAL_MS) {
        client->expired_at = now;
        CmH1Pool_CloseExpired(&client->pool);
    }
}

/// @return whether a connection could be started.
static bool
start_h1_call(struct cm_http_exchange *exchange,
              const struct cm_http_request *request)
{
    char *address = resolve(request->address);
    if (address == NULL) {
        return false;
    }
    GString *message = compose_request(request);
    struct cm_h1_call_request h1_request = {
        .address = address,
        .message = message,
        .idle_max_ms = CM_HTTP_IDLE_MAX_MS,
        .no_body = request->method == EVHTTP_REQ_HEAD,
        .body_max_bytes = request->body_max_bytes,
    };
    bool started = CmH1Call_Start(&exchange->h1_call, &exchange->client->pool,
                                  &h1_request, &h1_handler, exchange);
    g_string_free(message, TRUE);
    g_free(address);
    return started;
}

void
CmHttpCall_Start(struct cm_http_call *call, struct cm_http_client *client,
                 const struct cm_http_request *request,
                 const struct cm_http_handler *handler, void *context)
{
    close_expired(client);
    struct cm_http_exchange *exchange = g_new0(struct cm_http_exchange, 1);
    exchange->client = client;
    exchange->call = call;
    exchange->timeout = CmTime_Timeval(request->timeout_ms);
    exchange->finish_event =
        evtimer_new(client->base, finish_exchange, exchange);
    exchange->timeout_event = evtimer_new(client->base, on_timeout, exchange);
    LIST_INSERT_HEAD(&client->exchanges, exchange, link);
    *call = (struct cm_http_call){exchange, handler, context};
    if (start_h1_call(exchange, request)) {
        restart_timeout(exchange);
    }
    else {
        schedule_finish(exchange, CM_HTTP_NOT_CONNECTED);
    }
}

void
CmHttpCall_Cancel(struct cm_http_call *call)
{
    struct cm_http_exchange *exchange = call->exchange;
    if (exchange == NULL) {
        return;
    }
    call->exchange = NULL;
    exchange->call = NULL;
    schedule_finish(exchange, CM_HTTP_INTERRUPTED);
}

bool
CmHttpCall_Active(const struct cm_http_call *call)
{
    return call->exchange != NULL;
}

void
CmHttpCall_SetReading(struct cm_http_call *call, bool reading)
{
    struct cm_http_exchange *exchange = call->exchange;
    if (exchange == NULL || !CmH1Call_Active(&exchange->h1_call)) {
        return;
    }
    exchange->paused = !reading;
    CmH1Call_SetReading(&exchange->h1_call, reading);
    if (reading) {
        restart_timeout(exchange);
    }
    else {
        event_del(exchange->timeout_event);
    }
}
