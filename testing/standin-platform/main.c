/// @file main.c
/// Stand-in for the platform: an object API that follows the Kubernetes API
/// conventions (REST, resourceVersion, 409 on conflicts, watches as lines of
/// JSON), an instance list that lags behind, the weight store, and fault
/// controls.

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/list.h"
#include "http/server.h"
#include "objects.h"
#include "standin.h"
#include "weights.h"

#define API_PREFIX "/apis/coriandermoor.io/v1/"
#define BOOKMARK_INTERVAL_MS 1000

struct platform;

/// A client that watches the objects of one kind.
struct watcher {
    LIST_ENTRY(watcher) link;
    struct platform *platform;
    struct evhttp_request *request;
    char *kind;
    bool silent; ///< injected fault: open, but events are not sent
};

/// A request that is handled after faults.delay_ms.
struct delayed_request {
    struct platform *platform;
    struct evhttp_request *request;
};

/// Injected faults, set through `PUT /faults`.
struct faults {
    bool down;               ///< object API and list answer 503, no watches
    int delay_ms;            ///< added to each request
    double lose_answer_rate; ///< probability that an answer is dropped
};

/// Counters that `GET /stats` returns.
struct counters {
    int64_t reads;
    int64_t writes;
    int64_t watches;
    int64_t conflicts;
    int64_t lost_answers;
};

struct platform {
    struct event_base *base;
    struct objects objects;
    struct weights weights;
    struct standin_log execution_log;
    struct faults faults;
    struct counters counters;
    json_t *instances;        ///< name to instance, current state
    json_t *listed_instances; ///< earlier state, as `GET /instances` shows it
    int instance_lag_ms;
    struct event *lag_timer;
    struct event *bookmark_timer;
    GRand *random;
    LIST_HEAD(, watcher) watchers;
};

static void
send_event(struct watcher *watcher, json_t *event)
{
    char *text = json_dumps(event, JSON_COMPACT);
    json_decref(event);
    if (!watcher->silent) {
        struct evbuffer *chunk = evbuffer_new();
        evbuffer_add_printf(chunk, "%s\n", text);
        evhttp_send_reply_chunk(watcher->request, chunk);
        evbuffer_free(chunk);
    }
    free(text);
}

/// Sends an event to the watchers of the object's kind.
static void
notify_watchers(void *context, const struct objects_event *event)
{
    struct platform *platform = context;
    struct watcher *watcher;
    CmList_FOREACH (watcher, &platform->watchers, link) {
        if (strcmp(watcher->kind, event->kind) == 0) {
            send_event(watcher, json_pack("{s:s,s:O}", "type", event->type,
                                          "object", event->object));
        }
    }
}

static void
free_watcher(struct watcher *watcher)
{
    LIST_REMOVE(watcher, link);
    g_free(watcher->kind);
    g_free(watcher);
}

static void
remove_watcher(struct evhttp_connection *connection, void *context)
{
    struct watcher *watcher = context;
    CmHttp_FreeDetached(watcher->request);
    free_watcher(watcher);
}

/// Ends the answers of all watches.
static void
close_watches(struct platform *platform)
{
    struct watcher *watcher;
    while ((watcher = LIST_FIRST(&platform->watchers)) != NULL) {
        struct evhttp_request *request = watcher->request;
        evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                      NULL, NULL);
        free_watcher(watcher);
        evhttp_send_reply_end(request);
    }
}

/// @return an event that carries only the latest resource version.
static json_t *
make_bookmark(struct platform *platform, const char *kind)
{
    char resource_version[32];
    snprintf(resource_version, sizeof(resource_version), "%" PRIu64,
             platform->objects.resource_version);
    return json_pack("{s:s,s:{s:s,s:{s:s}}}", "type", "BOOKMARK", "object",
                     "kind", kind, "metadata", "resourceVersion",
                     resource_version);
}

static void
send_bookmarks(evutil_socket_t fd, short what, void *context)
{
    struct platform *platform = context;
    struct watcher *watcher;
    CmList_FOREACH (watcher, &platform->watchers, link) {
        send_event(watcher, make_bookmark(platform, watcher->kind));
    }
}

/// Sends the events after `resource_version` to a new watcher.
/// @return false if the history no longer has all of them.
static bool
send_history(struct platform *platform, struct watcher *watcher,
             uint64_t resource_version)
{
    struct objects_event *oldest =
        g_queue_peek_head(&platform->objects.history);
    if (oldest != NULL && resource_version + 1 < oldest->resource_version &&
        g_queue_get_length(&platform->objects.history) >=
            OBJECTS_HISTORY_MAX) {
        return false;
    }
    for (GList *item = platform->objects.history.head; item != NULL;
         item = item->next) {
        struct objects_event *event = item->data;
        if (event->resource_version > resource_version &&
            strcmp(event->kind, watcher->kind) == 0) {
            send_event(watcher, json_pack("{s:s,s:O}", "type", event->type,
                                          "object", event->object));
        }
    }
    return true;
}

static void
handle_watch(struct platform *platform, struct evhttp_request *request,
             const char *kind)
{
    char *since = CmHttp_QueryParameter(request, "resourceVersion");
    uint64_t resource_version = since != NULL ? strtoull(since, NULL, 10) : 0;
    g_free(since);
    platform->counters.watches++;
    struct watcher *watcher = g_new0(struct watcher, 1);
    watcher->platform = platform;
    watcher->request = request;
    watcher->kind = g_strdup(kind);
    LIST_INSERT_HEAD(&platform->watchers, watcher, link);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  remove_watcher, watcher);
    evhttp_send_reply_start(request, HTTP_OK, NULL);
    if (!send_history(platform, watcher, resource_version)) {
        send_event(watcher,
                   json_pack("{s:s,s:{s:s,s:i}}", "type", "ERROR", "object",
                             "kind", "Status", "code", 410));
    }
}

/// Closes the connection instead of answering, at the rate of the injected
/// fault.
/// @return whether it did.
static bool
drop_answer(struct platform *platform, struct evhttp_request *request)
{
    double p = platform->faults.lose_answer_rate;
    if (p <= 0 || g_rand_double(platform->random) >= p) {
        return false;
    }
    platform->counters.lost_answers++;
    CmHttp_CloseWithoutReply(request);
    return true;
}

static void
reply_status(struct evhttp_request *request, int code, const char *reason)
{
    CmHttp_ReplyJson(request, code,
                     json_pack("{s:s,s:s,s:i}", "kind", "Status", "reason",
                               reason, "code", code));
}

/// Answers with the object, or with the status for a failed operation.
static void
reply_result(struct platform *platform, struct evhttp_request *request,
             enum objects_result result, const char *kind, const char *name)
{
    if (drop_answer(platform, request)) {
        return;
    }
    switch (result) {
    case OBJECTS_OK:
    case OBJECTS_CREATED: {
        json_t *object = Objects_Get(&platform->objects, kind, name);
        int code = result == OBJECTS_CREATED ? 201 : HTTP_OK;
        CmHttp_ReplyJson(request, code,
                         object != NULL ? json_incref(object) : json_object());
        return;
    }
    case OBJECTS_CONFLICT:
        platform->counters.conflicts++;
        reply_status(request, 409, "Conflict");
        return;
    case OBJECTS_NOT_FOUND:
        reply_status(request, 404, "NotFound");
        return;
    case OBJECTS_TOO_LARGE:
        reply_status(request, 413, "RequestEntityTooLarge");
        return;
    }
}

static void
handle_write(struct platform *platform, struct evhttp_request *request,
             const char *kind, const char *name)
{
    platform->counters.writes++;
    json_t *body = CmHttp_JsonBody(request);
    enum evhttp_cmd_type method = evhttp_request_get_command(request);
    if (method == EVHTTP_REQ_DELETE) {
        json_decref(body);
        reply_result(platform, request,
                     Objects_Delete(&platform->objects, kind, name), kind,
                     name);
        return;
    }
    if (!json_is_object(body)) {
        json_decref(body);
        reply_status(request, 400, "BadRequest");
        return;
    }
    enum objects_result result =
        method == EVHTTP_REQ_POST
            ? Objects_Create(&platform->objects, kind, name, body)
            : Objects_Update(&platform->objects, kind, name, body);
    json_decref(body);
    reply_result(platform, request, result, kind, name);
}

static void
handle_read(struct platform *platform, struct evhttp_request *request,
            const char *kind, const char *name)
{
    platform->counters.reads++;
    json_t *object = Objects_Get(&platform->objects, kind, name);
    reply_result(platform, request,
                 object != NULL ? OBJECTS_OK : OBJECTS_NOT_FOUND, kind, name);
}

/// Handles the object API.
/// @param rest path after API_PREFIX: KIND[/NAME]. A POST, too, names the
/// object in its path.
static void
handle_api(struct platform *platform, struct evhttp_request *request,
           const char *rest)
{
    char **parts = g_strsplit(rest, "/", 2);
    const char *kind = parts[0];
    const char *name = kind != NULL ? parts[1] : NULL;
    bool reading = evhttp_request_get_command(request) == EVHTTP_REQ_GET;
    char *watch = CmHttp_QueryParameter(request, "watch");
    if (kind == NULL) {
        reply_status(request, 404, "NotFound");
    }
    else if (reading && watch != NULL) {
        handle_watch(platform, request, kind);
    }
    else if (reading && name == NULL) {
        platform->counters.reads++;
        CmHttp_ReplyJson(request, HTTP_OK,
                         Objects_List(&platform->objects, kind));
    }
    else if (name == NULL) {
        reply_status(request, 405, "MethodNotAllowed");
    }
    else if (reading) {
        handle_read(platform, request, kind, name);
    }
    else {
        handle_write(platform, request, kind, name);
    }
    g_free(watch);
    g_strfreev(parts);
}

/// Copies the current state of the instances to the list.
static void
update_listed_instances(evutil_socket_t fd, short what, void *context)
{
    struct platform *platform = context;
    json_decref(platform->listed_instances);
    platform->listed_instances = json_deep_copy(platform->instances);
}

static void
handle_instance_change(struct platform *platform,
                       struct evhttp_request *request, const char *name)
{
    json_t *body = CmHttp_JsonBody(request);
    if (evhttp_request_get_command(request) == EVHTTP_REQ_DELETE) {
        json_object_del(platform->instances, name);
    }
    else if (json_is_object(body)) {
        json_object_set(platform->instances, name, body);
    }
    json_decref(body);
    struct timeval lag = CmTime_Timeval(platform->instance_lag_ms);
    event_add(platform->lag_timer, &lag);
    reply_status(request, HTTP_OK, "Success");
}

/// Handles `GET /instances`, and `PUT` and `DELETE /instances/NAME`, with
/// which tests add, change and remove an instance.
/// @param rest path after "/instances".
static void
handle_instances(struct platform *platform, struct evhttp_request *request,
                 const char *rest)
{
    if (*rest == '/') {
        handle_instance_change(platform, request, rest + 1);
        return;
    }
    platform->counters.reads++;
    json_t *items = json_array();
    const char *name;
    json_t *instance;
    json_object_foreach(platform->listed_instances, name, instance)
    {
        json_t *item = json_copy(instance);
        json_object_set_new(item, "name", json_string(name));
        json_array_append_new(items, item);
    }
    CmHttp_ReplyJson(request, HTTP_OK, json_pack("{s:o}", "items", items));
}

static json_t *
describe_faults(const struct platform *platform)
{
    return json_pack("{s:b,s:i,s:f}", "down", platform->faults.down,
                     "delay_ms", platform->faults.delay_ms, "lose_answer_rate",
                     platform->faults.lose_answer_rate);
}

static void
handle_faults(struct platform *platform, struct evhttp_request *request)
{
    json_t *body = CmHttp_JsonBody(request);
    if (json_is_object(body)) {
        struct faults *faults = &platform->faults;
        json_t *down = json_object_get(body, "down");
        if (down != NULL) {
            faults->down = json_is_true(down);
        }
        faults->delay_ms =
            (int)Standin_JsonNumber(body, "delay_ms", faults->delay_ms);
        faults->lose_answer_rate = Standin_JsonNumber(
            body, "lose_answer_rate", faults->lose_answer_rate);
        if (faults->down) {
            close_watches(platform);
        }
        if (json_is_true(json_object_get(body, "silence_watches"))) {
            struct watcher *watcher;
            CmList_FOREACH (watcher, &platform->watchers, link) {
                watcher->silent = true;
            }
        }
    }
    json_decref(body);
    CmHttp_ReplyJson(request, HTTP_OK, describe_faults(platform));
}

static void
handle_stats(struct platform *platform, struct evhttp_request *request)
{
    const struct counters *counters = &platform->counters;
    CmHttp_ReplyJson(request, HTTP_OK,
                     json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "reads",
                               (json_int_t)counters->reads, "writes",
                               (json_int_t)counters->writes, "watches",
                               (json_int_t)counters->watches, "conflicts",
                               (json_int_t)counters->conflicts, "lost_answers",
                               (json_int_t)counters->lost_answers, "loads",
                               (json_int_t)platform->execution_log.count,
                               "in_transit_peak",
                               (json_int_t)platform->weights.in_transit_peak));
}

/// Handles the requests that are subject to injected faults.
static void
dispatch_request(struct platform *platform, struct evhttp_request *request)
{
    const char *path = CmHttp_Path(request);
    if (g_str_has_prefix(path, API_PREFIX)) {
        handle_api(platform, request, path + strlen(API_PREFIX));
    }
    else if (g_str_has_prefix(path, "/instances")) {
        handle_instances(platform, request, path + strlen("/instances"));
    }
    else {
        reply_status(request, 404, "NotFound");
    }
}

static void
dispatch_delayed_request(evutil_socket_t fd, short what, void *context)
{
    struct delayed_request *delayed = context;
    dispatch_request(delayed->platform, delayed->request);
    g_free(delayed);
}

static void
handle_request(struct evhttp_request *request, void *context)
{
    struct platform *platform = context;
    const char *path = CmHttp_Path(request);
    if (strcmp(path, "/faults") == 0) {
        handle_faults(platform, request);
    }
    else if (strcmp(path, "/executions") == 0) {
        StandinLog_Reply(&platform->execution_log, request);
    }
    else if (strcmp(path, "/stats") == 0) {
        handle_stats(platform, request);
    }
    else if (g_str_has_prefix(path, "/weights/")) {
        Weights_Handle(&platform->weights, request,
                       path + strlen("/weights/"));
    }
    else if (platform->faults.down && !g_str_has_prefix(path, "/instances/")) {
        reply_status(request, 503, "ServiceUnavailable");
    }
    else if (platform->faults.delay_ms > 0) {
        struct delayed_request *delayed = g_new0(struct delayed_request, 1);
        delayed->platform = platform;
        delayed->request = request;
        struct timeval delay = CmTime_Timeval(platform->faults.delay_ms);
        event_base_once(platform->base, -1, EV_TIMEOUT,
                        dispatch_delayed_request, delayed, &delay);
    }
    else {
        dispatch_request(platform, request);
    }
}

static void
init_platform(struct platform *platform, double load_rate, double load_ms,
              int lag_ms, uint32_t seed)
{
    memset(platform, 0, sizeof(*platform));
    platform->base = event_base_new();
    LIST_INIT(&platform->watchers);
    Objects_Init(&platform->objects);
    platform->objects.notify = notify_watchers;
    platform->objects.context = platform;
    StandinLog_Init(&platform->execution_log);
    Weights_Init(&platform->weights, platform->base, load_rate, load_ms,
                 &platform->execution_log);
    platform->instances = json_object();
    platform->listed_instances = json_object();
    platform->instance_lag_ms = lag_ms;
    platform->random = g_rand_new_with_seed(seed);
    platform->lag_timer =
        evtimer_new(platform->base, update_listed_instances, platform);
    platform->bookmark_timer =
        event_new(platform->base, -1, EV_PERSIST, send_bookmarks, platform);
    struct timeval interval = CmTime_Timeval(BOOKMARK_INTERVAL_MS);
    event_add(platform->bookmark_timer, &interval);
}

static void
finish_platform(struct platform *platform)
{
    event_free(platform->lag_timer);
    event_free(platform->bookmark_timer);
    Weights_Finish(&platform->weights);
    Objects_Finish(&platform->objects);
    StandinLog_Finish(&platform->execution_log);
    json_decref(platform->instances);
    json_decref(platform->listed_instances);
    g_rand_free(platform->random);
}

int
main(int argc, char **argv)
{
    enum { PORT, RATE, LOAD_MS, LAG_MS, SEED, N_OPTIONS };
    static const char *const names[] = {"port", "load-rate", "load-ms",
                                        "instance-lag-ms", "seed"};
    const char *values[] = {"7000", "5", "250", "500", "1"};
    Standin_ParseOptions(argc, argv, names, values, N_OPTIONS);
    struct platform platform;
    init_platform(&platform, g_ascii_strtod(values[RATE], NULL),
                  g_ascii_strtod(values[LOAD_MS], NULL), atoi(values[LAG_MS]),
                  (uint32_t)strtoul(values[SEED], NULL, 10));
    struct evhttp *server = Standin_Listen(platform.base, atoi(values[PORT]),
                                           handle_request, &platform);
    Standin_Run(platform.base);
    evhttp_free(server);
    finish_platform(&platform);
    event_base_free(platform.base);
    return EXIT_SUCCESS;
}
