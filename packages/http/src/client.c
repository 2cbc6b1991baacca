/// @file client.c
/// Pooled HTTP client over evhttp. An evhttp connection carries one request at
/// a time and queues others, so each call takes an idle connection or opens
/// one. Connections are freed from the event loop, as evhttp still uses them
/// after its callbacks return.

#include "http/client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/// Longest header section of a response.
#define HEADER_MAX_BYTES (64 * 1024)

struct connection {
    TAILQ_ENTRY(connection) link;
    struct evhttp_connection *evcon;
    struct timespec idle_since;
};

struct cm_http_pool {
    LIST_ENTRY(cm_http_pool) link;
    char address[CM_HTTP_ADDRESS_MAX_BYTES];
    TAILQ_HEAD(, connection) idle;
};

struct cm_http_exchange {
    LIST_ENTRY(cm_http_exchange) link;
    struct cm_http_client *client;
    struct cm_http_pool *pool;
    struct connection *connection;
    struct evhttp_request *request; ///< NULL once evhttp has freed it
    struct cm_http_call *call;      ///< NULL once cancelled
    struct event *finish_event;     ///< frees the exchange from the event loop
    bool head_delivered;            ///< the head callback was called
    bool reusable;                  ///< the connection goes back to the pool
    enum cm_http_result result;
};

void
CmHttpClient_Init(struct cm_http_client *client, struct event_base *base)
{
    client->base = base;
    LIST_INIT(&client->pools);
    LIST_INIT(&client->exchanges);
}

static void
connection_free(struct connection *connection)
{
    evhttp_connection_free(connection->evcon);
    g_free(connection);
}

static void
exchange_free(struct cm_http_exchange *exchange)
{
    struct connection *connection = exchange->connection;
    if (exchange->request != NULL) {
        evhttp_cancel_request(exchange->request);
        exchange->request = NULL;
    }
    if (connection != NULL && exchange->reusable) {
        connection->idle_since = CmClock_Now(CmClock_System());
        TAILQ_INSERT_HEAD(&exchange->pool->idle, connection, link);
    }
    else if (connection != NULL) {
        connection_free(connection);
    }
    LIST_REMOVE(exchange, link);
    event_free(exchange->finish_event);
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
        exchange->reusable = false;
        exchange_free(exchange);
    }
    struct cm_http_pool *pool;
    while ((pool = LIST_FIRST(&client->pools)) != NULL) {
        struct connection *connection;
        while ((connection = TAILQ_FIRST(&pool->idle)) != NULL) {
            TAILQ_REMOVE(&pool->idle, connection, link);
            connection_free(connection);
        }
        LIST_REMOVE(pool, link);
        g_free(pool);
    }
}

/// Frees the exchange, then calls the handler's `done`. Runs as an event of
/// its own, outside of evhttp's callbacks.
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
    struct timeval now = {0, 0};
    event_add(exchange->finish_event, &now);
}

static void
deliver_head(struct cm_http_exchange *exchange, struct evhttp_request *request)
{
    if (exchange->head_delivered) {
        return;
    }
    exchange->head_delivered = true;
    struct cm_http_call *call = exchange->call;
    if (call != NULL && call->handler->head != NULL) {
        call->handler->head(call->context,
                            evhttp_request_get_response_code(request),
                            evhttp_request_get_input_headers(request));
    }
}

static int
on_headers_complete(struct evhttp_request *request, void *context)
{
    deliver_head(context, request);
    return 0;
}

static void
on_chunk(struct evhttp_request *request, void *context)
{
    struct cm_http_exchange *exchange = context;
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(input);
    struct cm_http_call *call = exchange->call;
    if (size > 0 && call != NULL && call->handler->data != NULL) {
        call->handler->data(call->context, evbuffer_pullup(input, -1), size);
    }
    evbuffer_drain(input, size);
}

static void
on_request_done(struct evhttp_request *request, void *context)
{
    struct cm_http_exchange *exchange = context;
    exchange->request = NULL;
    if (request == NULL) {
        schedule_finish(exchange, CM_HTTP_INTERRUPTED);
        return;
    }
    if (evhttp_request_get_response_code(request) == 0) {
        schedule_finish(exchange, CM_HTTP_NOT_CONNECTED);
        return;
    }
    deliver_head(exchange, request);
    on_chunk(request, exchange);
    exchange->reusable = true;
    schedule_finish(exchange, CM_HTTP_COMPLETE);
}

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

static struct cm_http_pool *
find_pool(struct cm_http_client *client, const char *address)
{
    struct cm_http_pool *pool;
    CmList_FOREACH (pool, &client->pools, link) {
        if (strcmp(pool->address, address) == 0) {
            return pool;
        }
    }
    pool = g_new0(struct cm_http_pool, 1);
    g_strlcpy(pool->address, address, sizeof(pool->address));
    TAILQ_INIT(&pool->idle);
    LIST_INSERT_HEAD(&client->pools, pool, link);
    return pool;
}

/// Takes an idle connection from the pool and closes those that are idle for
/// too long.
/// @return the connection, or NULL if none is left.
static struct connection *
take_idle_connection(struct cm_http_pool *pool)
{
    struct connection *connection;
    struct timespec now = CmClock_Now(CmClock_System());
    while ((connection = TAILQ_FIRST(&pool->idle)) != NULL) {
        TAILQ_REMOVE(&pool->idle, connection, link);
        int64_t idle_ms = CmTime_DiffMs(now, connection->idle_since);
        if (idle_ms <= CM_HTTP_IDLE_MAX_MS) {
            return connection;
        }
        connection_free(connection);
    }
    return NULL;
}

static struct connection *
get_connection(struct cm_http_client *client, struct cm_http_pool *pool)
{
    struct connection *connection = take_idle_connection(pool);
    if (connection != NULL) {
        return connection;
    }
    char host[CM_HTTP_ADDRESS_MAX_BYTES];
    uint16_t port;
    if (!CmHttp_SplitAddress(pool->address, host, &port)) {
        return NULL;
    }
    connection = g_new0(struct connection, 1);
    connection->evcon =
        evhttp_connection_base_new(client->base, NULL, host, port);
    evhttp_connection_set_max_headers_size(connection->evcon,
                                           HEADER_MAX_BYTES);
    return connection;
}

static struct evhttp_request *
build_request(const struct cm_http_request *spec,
              struct cm_http_exchange *exchange)
{
    struct evhttp_request *request =
        evhttp_request_new(on_request_done, exchange);
    evhttp_request_set_header_cb(request, on_headers_complete);
    evhttp_request_set_chunked_cb(request, on_chunk);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", spec->address);
    for (size_t i = 0; i < spec->n_headers; i++) {
        evhttp_add_header(headers, spec->headers[i].name,
                          spec->headers[i].value);
    }
    if (spec->body_size > 0) {
        // evhttp adds Content-Length for POST and PUT only; without it the
        // server would parse the body as the next request.
        char length[24];
        g_snprintf(length, sizeof(length), "%zu", spec->body_size);
        evhttp_add_header(headers, "Content-Length", length);
        evbuffer_add(evhttp_request_get_output_buffer(request), spec->body,
                     spec->body_size);
    }
    return request;
}

void
CmHttpCall_Start(struct cm_http_call *call, struct cm_http_client *client,
                 const struct cm_http_request *spec,
                 const struct cm_http_handler *handler, void *context)
{
    struct cm_http_exchange *exchange = g_new0(struct cm_http_exchange, 1);
    exchange->client = client;
    exchange->pool = find_pool(client, spec->address);
    exchange->call = call;
    exchange->finish_event =
        evtimer_new(client->base, finish_exchange, exchange);
    LIST_INSERT_HEAD(&client->exchanges, exchange, link);
    call->exchange = exchange;
    call->handler = handler;
    call->context = context;
    exchange->connection = get_connection(client, exchange->pool);
    if (exchange->connection == NULL) {
        schedule_finish(exchange, CM_HTTP_NOT_CONNECTED);
        return;
    }
    struct timeval timeout = CmTime_Timeval(spec->timeout_ms);
    evhttp_connection_set_timeout_tv(exchange->connection->evcon, &timeout);
    exchange->request = build_request(spec, exchange);
    if (evhttp_make_request(exchange->connection->evcon, exchange->request,
                            spec->method, spec->path) != 0) {
        exchange->request = NULL;
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
    exchange->reusable = false;
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
    if (call->exchange == NULL || call->exchange->connection == NULL) {
        return;
    }
    struct bufferevent *bev =
        evhttp_connection_get_bufferevent(call->exchange->connection->evcon);
    if (reading) {
        bufferevent_enable(bev, EV_READ);
    }
    else {
        bufferevent_disable(bev, EV_READ);
    }
}
