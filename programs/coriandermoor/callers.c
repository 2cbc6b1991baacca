/// @file callers.c
/// HTTP listener for callers: checks requests and starts their exchanges.

#include "callers.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "exchange.h"

#define IDLE_TIMEOUT_MS 120000
#define KEY_MAX_CHARS 255
#define SERVICES_PREFIX "/services/"
#define STATUS_UNAVAILABLE 503

/// Headers that are not forwarded: hop-by-hop, or set by the entry itself.
static const char *const dropped_headers[] = {
    "Connection",     "Keep-Alive", "Transfer-Encoding",    "TE",
    "Trailer",        "Upgrade",    "Proxy-Connection",     "Host",
    "Content-Length", "Expect",     "X-Priority",           "X-Request-Id",
    "X-Resumable",    "X-Fence",    "X-Request-Timeout-Ms",
};

static const char *
header(struct evhttp_request *request, const char *name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(request), name);
}

/// Sends an error response with X-Outcome not-run.
static void
reply_rejected(struct evhttp_request *request, int status, const char *type,
               const char *message)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "X-Outcome",
                      CmOutcome_Name(CM_OUTCOME_NOT_RUN));
    CmHttp_ReplyError(request, status, type, message);
}

static bool
is_dropped_header(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(dropped_headers); i++) {
        if (g_ascii_strcasecmp(name, dropped_headers[i]) == 0) {
            return true;
        }
    }
    return false;
}

/// @return the header lines that are sent to the target, to be freed.
static char *
forwarded_headers(struct evhttp_request *request, const char *id)
{
    GString *lines = g_string_new(NULL);
    struct evkeyval *item;
    TAILQ_FOREACH(item, evhttp_request_get_input_headers(request), next)
    {
        if (!is_dropped_header(item->key)) {
            g_string_append_printf(lines, "%s: %s\r\n", item->key,
                                   item->value);
        }
    }
    g_string_append_printf(lines, "X-Request-Id: %s\r\n", id);
    return g_string_free(lines, FALSE);
}

/// @return the name under which admission counts the caller: a digest of the
///         Authorization header, or the IP address without one. To be freed.
static char *
caller_identity(struct evhttp_request *request)
{
    const char *credentials = header(request, "Authorization");
    if (credentials != NULL) {
        char digest[CM_DIGEST_SIZE];
        CmHash_Digest(credentials, strlen(credentials), digest);
        return g_strndup(digest, 16);
    }
    char *address = NULL;
    uint16_t port;
    evhttp_connection_get_peer(evhttp_request_get_connection(request),
                               &address, &port);
    return g_strdup(address != NULL ? address : "unknown");
}

/// Reads X-Request-Timeout-Ms, which may only shorten the service's timeout.
/// @return false after an error response.
static bool
read_request_timeout(struct evhttp_request *request,
                     const struct cm_service *service, int64_t *timeout_ms)
{
    *timeout_ms = service->timeout_ms;
    const char *text = header(request, "X-Request-Timeout-Ms");
    if (text == NULL) {
        return true;
    }
    guint64 number;
    if (!g_ascii_string_to_unsigned(text, 10, 1, G_MAXINT32, &number, NULL)) {
        reply_rejected(
            request, HTTP_BADREQUEST, "invalid_request_error",
            "X-Request-Timeout-Ms must be a whole number of milliseconds");
        return false;
    }
    if ((int64_t)number < *timeout_ms) {
        *timeout_ms = (int64_t)number;
    }
    return true;
}

static bool
is_safe_method(enum evhttp_cmd_type method)
{
    // RFC 9110, section 9.2.1.
    return method == EVHTTP_REQ_GET || method == EVHTTP_REQ_HEAD ||
           method == EVHTTP_REQ_OPTIONS;
}

static void
copy_body(struct exchange *exchange, struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(input);
    if (size > 0) {
        g_string_append_len(exchange->body,
                            (const char *)evbuffer_pullup(input, -1),
                            (gssize)size);
    }
}

/// Checks timeout and idempotency key, then creates and starts the exchange.
/// @param adapter "name@version", or NULL for a plain service.
static void
start_exchange(struct entry *entry, struct evhttp_request *request,
               const struct cm_service *service, const char *adapter,
               const char *path)
{
    int64_t timeout_ms;
    if (!read_request_timeout(request, service, &timeout_ms)) {
        return;
    }
    const char *key = header(request, "Idempotency-Key");
    if (key != NULL && (strlen(key) > KEY_MAX_CHARS || *key == '\0')) {
        reply_rejected(request, HTTP_BADREQUEST, "invalid_request_error",
                       "an Idempotency-Key has from 1 to 255 characters");
        return;
    }
    enum evhttp_cmd_type method = evhttp_request_get_command(request);
    struct exchange *exchange = Exchange_New(entry, request);
    exchange->service = service;
    exchange->caller = caller_identity(request);
    exchange->adapter = g_strdup(adapter);
    exchange->method = g_strdup(CmHttp_MethodName(method));
    exchange->path = g_strdup(path);
    exchange->headers = forwarded_headers(request, exchange->id);
    exchange->idempotent = service->idempotent || is_safe_method(method);
    exchange->key = exchange->idempotent ? NULL : g_strdup(key);
    exchange->priority = service->priority;
    exchange->deadline = CmTime_AddMs(exchange->arrived_at, timeout_ms);
    copy_body(exchange, request);
    Exchange_Start(exchange);
}

static void
serve_completion(struct entry *entry, struct evhttp_request *request,
                 const char *path)
{
    json_t *body = CmHttp_JsonBody(request);
    const char *model = json_string_value(json_object_get(body, "model"));
    const struct cm_config *config = &entry->config->config;
    uint32_t version;
    const struct cm_adapter *adapter =
        model != NULL ? CmConfig_FindAdapter(config, model, &version) : NULL;
    const struct cm_service *service =
        adapter != NULL ? CmConfig_FindServiceByModel(config, adapter->model)
                        : NULL;
    bool stream = json_is_true(json_object_get(body, "stream"));
    if (!json_is_object(body)) {
        reply_rejected(request, HTTP_BADREQUEST, "invalid_request_error",
                       "the body is not a JSON object");
    }
    else if (model == NULL) {
        reply_rejected(
            request, HTTP_BADREQUEST, "invalid_request_error",
            "\"model\" is missing; it has the form adapter@version");
    }
    else if (adapter == NULL || service == NULL) {
        reply_rejected(
            request, HTTP_NOTFOUND, "model_not_found",
            "no service serves an adapter of this name and version");
    }
    else if (stream && !service->stream) {
        reply_rejected(request, HTTP_BADREQUEST, "invalid_request_error",
                       "the service does not stream");
    }
    else {
        start_exchange(entry, request, service, model, path);
    }
    json_decref(body);
}

static void
list_models(struct entry *entry, struct evhttp_request *request)
{
    const struct cm_config *config = &entry->config->config;
    json_t *data = json_array();
    char name[CM_NAME_MAX + 16];
    for (size_t i = 0; i < config->n_adapters; i++) {
        const struct cm_adapter *adapter = &config->adapters[i];
        for (size_t j = 0; j < adapter->n_versions; j++) {
            snprintf(name, sizeof(name), "%s@%u", adapter->name,
                     adapter->versions[j]);
            json_array_append_new(data, json_pack("{s:s,s:s,s:s}", "id", name,
                                                  "object", "model", "parent",
                                                  adapter->model->name));
        }
    }
    CmHttp_ReplyJson(request, HTTP_OK,
                     json_pack("{s:s,s:o}", "object", "list", "data", data));
}

/// Serves /services/NAME/PATH.
static void
serve_plain(struct entry *entry, struct evhttp_request *request,
            const char *uri)
{
    const char *rest = uri + strlen(SERVICES_PREFIX);
    size_t length = strcspn(rest, "/?");
    char *name = g_strndup(rest, length);
    const struct cm_service *service =
        CmConfig_FindService(&entry->config->config, name);
    g_free(name);
    if (service == NULL || service->kind != CM_SERVICE_PLAIN) {
        reply_rejected(request, HTTP_NOTFOUND, "not_found",
                       "no such plain service");
        return;
    }
    char *path = rest[length] == '/' ? g_strdup(rest + length)
                                     : g_strconcat("/", rest + length, NULL);
    start_exchange(entry, request, service, NULL, path);
    g_free(path);
}

static bool
require_post(struct evhttp_request *request)
{
    if (evhttp_request_get_command(request) == EVHTTP_REQ_POST) {
        return true;
    }
    evhttp_add_header(evhttp_request_get_output_headers(request), "Allow",
                      "POST");
    reply_rejected(request, HTTP_BADMETHOD, "invalid_request_error",
                   "use POST");
    return false;
}

/// @return whether the request has a body that evhttp does not read. evhttp
///         would parse such a body as the next request, so the connection
///         must be closed.
static bool
has_unread_body(struct evhttp_request *request)
{
    enum evhttp_cmd_type method = evhttp_request_get_command(request);
    bool reads_body = method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT ||
                      method == EVHTTP_REQ_PATCH;
    const char *length = header(request, "Content-Length");
    bool announced = (length != NULL && strcmp(length, "0") != 0) ||
                     header(request, "Transfer-Encoding") != NULL;
    return !reads_body && announced;
}

static void
dispatch_request(struct evhttp_request *request, void *context)
{
    struct entry *entry = context;
    const char *path = CmHttp_Path(request);
    if (!CmHttpGuard_Begin(&entry->guard, request)) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "Retry-After", "1");
        reply_rejected(request, STATUS_UNAVAILABLE, "overloaded",
                       "requests take too much memory");
        return;
    }
    if (has_unread_body(request)) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "Connection", "close");
        reply_rejected(request, HTTP_BADREQUEST, "invalid_request_error",
                       "a request of this method has no body");
        return;
    }
    if (entry->config == NULL || entry->shutting_down) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "Retry-After", "1");
        if (entry->shutting_down) {
            evhttp_add_header(evhttp_request_get_output_headers(request),
                              "Connection", "close");
        }
        reply_rejected(request, STATUS_UNAVAILABLE, "unavailable",
                       entry->shutting_down
                           ? "this entry is leaving"
                           : "no configuration is in force yet");
    }
    else if (strcmp(path, "/v1/completions") == 0 ||
             strcmp(path, "/v1/chat/completions") == 0) {
        if (require_post(request)) {
            serve_completion(entry, request, path);
        }
    }
    else if (strcmp(path, "/v1/models") == 0) {
        list_models(entry, request);
    }
    else if (g_str_has_prefix(path, SERVICES_PREFIX)) {
        serve_plain(entry, request, evhttp_request_get_uri(request));
    }
    else {
        reply_rejected(request, HTTP_NOTFOUND, "not_found", "no such path");
    }
}

bool
Callers_Listen(struct entry *entry, GError **error)
{
    const struct cm_entry_settings *settings = &entry->settings;
    struct cm_http_limits limits = {(size_t)settings->header_bytes,
                                    (size_t)settings->body_bytes,
                                    IDLE_TIMEOUT_MS};
    entry->callers =
        CmHttpServer_Listen(entry->base, settings->listen, &limits,
                            dispatch_request, entry, error);
    if (entry->callers != NULL) {
        CmHttpGuard_Watch(&entry->guard, entry->callers,
                          &entry->callers_guarded, false);
    }
    return entry->callers != NULL;
}
