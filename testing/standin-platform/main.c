/// @file main.c
/// Stand-in for the platform: object API after the Kubernetes API
/// conventions (REST, resourceVersion, 409, watch as JSON lines), instance
/// list with a lag, weight store, and fault controls.

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

struct watcher {
    LIST_ENTRY(watcher) link;
    struct platform *platform;
    struct evhttp_request *request;
    char *kind;
    bool silent; ///< sends nothing any more, though the connection stands
};

struct held_request {
    struct platform *platform;
    struct evhttp_request *request;
};

struct faults {
    bool down;
    int delay_ms;
    double lose_answer_rate;
};

struct counts {
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
    struct standin_log journal;
    struct faults faults;
    struct counts counts;
    json_t *instances;      ///< name to instance, as it is
    json_t *instances_seen; ///< as the list shows it, with its lag
    int instance_lag_ms;
    struct event *lag_timer;
    struct event *bookmark_timer;
    GRand *random;
    LIST_HEAD(, watcher) watchers;
};

static void
send_line(struct watcher *watcher, json_t *event)
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

static void
on_changed(void *context, const struct objects_event *event)
{
    struct platform *platform = context;
    struct watcher *watcher;
    CmList_FOREACH (watcher, &platform->watchers, link) {
        if (strcmp(watcher->kind, event->kind) == 0) {
            send_line(watcher, json_pack("{s:s,s:O}", "type", event->type,
                                         "object", event->object));
        }
    }
}

static void
watcher_free(struct watcher *watcher)
{
    LIST_REMOVE(watcher, link);
    g_free(watcher->kind);
    g_free(watcher);
}

static void
on_watcher_gone(struct evhttp_connection *connection, void *context)
{
    struct watcher *watcher = context;
    CmHttp_FreeDetached(watcher->request);
    watcher_free(watcher);
}

static void
drop_watchers(struct platform *platform)
{
    struct watcher *watcher;
    while ((watcher = LIST_FIRST(&platform->watchers)) != NULL) {
        struct evhttp_request *request = watcher->request;
        evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                      NULL, NULL);
        watcher_free(watcher);
        evhttp_send_reply_end(request);
    }
}

static json_t *
bookmark(struct platform *platform, const char *kind)
{
    char version[32];
    snprintf(version, sizeof(version), "%" PRIu64, platform->objects.version);
    return json_pack("{s:s,s:{s:s,s:{s:s}}}", "type", "BOOKMARK", "object",
                     "kind", kind, "metadata", "resourceVersion", version);
}

static void
on_bookmark_timer(evutil_socket_t fd, short what, void *context)
{
    struct platform *platform = context;
    struct watcher *watcher;
    CmList_FOREACH (watcher, &platform->watchers, link) {
        send_line(watcher, bookmark(platform, watcher->kind));
    }
}

/// Sends what happened since `version`; false where that is forgotten.
static bool
replay(struct platform *platform, struct watcher *watcher, uint64_t version)
{
    struct objects_event *oldest =
        g_queue_peek_head(&platform->objects.history);
    if (oldest != NULL && version + 1 < oldest->version &&
        g_queue_get_length(&platform->objects.history) >=
            OBJECTS_HISTORY_MAX) {
        return false;
    }
    for (GList *item = platform->objects.history.head; item != NULL;
         item = item->next) {
        struct objects_event *event = item->data;
        if (event->version > version &&
            strcmp(event->kind, watcher->kind) == 0) {
            send_line(watcher, json_pack("{s:s,s:O}", "type", event->type,
                                         "object", event->object));
        }
    }
    return true;
}

static void
start_watch(struct platform *platform, struct evhttp_request *request,
            const char *kind)
{
    char *since = CmHttp_QueryParameter(request, "resourceVersion");
    uint64_t version = since != NULL ? strtoull(since, NULL, 10) : 0;
    g_free(since);
    platform->counts.watches++;
    struct watcher *watcher = g_new0(struct watcher, 1);
    watcher->platform = platform;
    watcher->request = request;
    watcher->kind = g_strdup(kind);
    LIST_INSERT_HEAD(&platform->watchers, watcher, link);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  on_watcher_gone, watcher);
    evhttp_send_reply_start(request, HTTP_OK, NULL);
    if (!replay(platform, watcher, version)) {
        send_line(watcher, json_pack("{s:s,s:{s:s,s:i}}", "type", "ERROR",
                                     "object", "kind", "Status", "code", 410));
    }
}

static bool
lose_answer(struct platform *platform, struct evhttp_request *request)
{
    double p = platform->faults.lose_answer_rate;
    if (p <= 0 || g_rand_double(platform->random) >= p) {
        return false;
    }
    platform->counts.lost_answers++;
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

static void
reply_result(struct platform *platform, struct evhttp_request *request,
             enum objects_result result, const char *kind, const char *name)
{
    if (lose_answer(platform, request)) {
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
        platform->counts.conflicts++;
        reply_status(request, 409, "Conflict");
        return;
    case OBJECTS_MISSING:
        reply_status(request, 404, "NotFound");
        return;
    case OBJECTS_TOO_LARGE:
        reply_status(request, 413, "RequestEntityTooLarge");
        return;
    }
}

static void
write_object(struct platform *platform, struct evhttp_request *request,
             const char *kind, const char *name)
{
    platform->counts.writes++;
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
read_object(struct platform *platform, struct evhttp_request *request,
            const char *kind, const char *name)
{
    platform->counts.reads++;
    json_t *object = Objects_Get(&platform->objects, kind, name);
    reply_result(platform, request,
                 object != NULL ? OBJECTS_OK : OBJECTS_MISSING, kind, name);
}

/// Object API: API_PREFIX KIND[/NAME]; POST names the object in the path.
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
        start_watch(platform, request, kind);
    }
    else if (reading && name == NULL) {
        platform->counts.reads++;
        CmHttp_ReplyJson(request, HTTP_OK,
                         Objects_List(&platform->objects, kind));
    }
    else if (name == NULL) {
        reply_status(request, 405, "MethodNotAllowed");
    }
    else if (reading) {
        read_object(platform, request, kind, name);
    }
    else {
        write_object(platform, request, kind, name);
    }
    g_free(watch);
    g_strfreev(parts);
}

static void
on_lag_timer(evutil_socket_t fd, short what, void *context)
{
    struct platform *platform = context;
    json_decref(platform->instances_seen);
    platform->instances_seen = json_deep_copy(platform->instances);
}

static void
change_instances(struct platform *platform, struct evhttp_request *request,
                 const char *name)
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

/// `GET /instances` lists; PUT and DELETE `/instances/NAME` are the test's
/// way to add, mark as leaving and remove.
static void
handle_instances(struct platform *platform, struct evhttp_request *request,
                 const char *rest)
{
    if (*rest == '/') {
        change_instances(platform, request, rest + 1);
        return;
    }
    platform->counts.reads++;
    json_t *items = json_array();
    const char *name;
    json_t *instance;
    json_object_foreach(platform->instances_seen, name, instance)
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
            drop_watchers(platform);
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
    const struct counts *counts = &platform->counts;
    CmHttp_ReplyJson(request, HTTP_OK,
                     json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "reads",
                               (json_int_t)counts->reads, "writes",
                               (json_int_t)counts->writes, "watches",
                               (json_int_t)counts->watches, "conflicts",
                               (json_int_t)counts->conflicts, "lost_answers",
                               (json_int_t)counts->lost_answers, "loads",
                               (json_int_t)platform->journal.count,
                               "in_transit_peak",
                               (json_int_t)platform->weights.in_transit_peak));
}

static void
serve(struct platform *platform, struct evhttp_request *request)
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
on_delay_over(evutil_socket_t fd, short what, void *context)
{
    struct held_request *held = context;
    serve(held->platform, held->request);
    g_free(held);
}

static void
on_request(struct evhttp_request *request, void *context)
{
    struct platform *platform = context;
    const char *path = CmHttp_Path(request);
    if (strcmp(path, "/faults") == 0) {
        handle_faults(platform, request);
    }
    else if (strcmp(path, "/executions") == 0) {
        StandinLog_Reply(&platform->journal, request);
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
        struct held_request *held = g_new0(struct held_request, 1);
        held->platform = platform;
        held->request = request;
        struct timeval delay = CmTime_Timeval(platform->faults.delay_ms);
        event_base_once(platform->base, -1, EV_TIMEOUT, on_delay_over, held,
                        &delay);
    }
    else {
        serve(platform, request);
    }
}

static void
platform_init(struct platform *platform, double load_rate, double load_ms,
              int lag_ms, uint32_t seed)
{
    memset(platform, 0, sizeof(*platform));
    platform->base = event_base_new();
    LIST_INIT(&platform->watchers);
    Objects_Init(&platform->objects);
    platform->objects.changed = on_changed;
    platform->objects.context = platform;
    StandinLog_Init(&platform->journal);
    Weights_Init(&platform->weights, platform->base, load_rate, load_ms,
                 &platform->journal);
    platform->instances = json_object();
    platform->instances_seen = json_object();
    platform->instance_lag_ms = lag_ms;
    platform->random = g_rand_new_with_seed(seed);
    platform->lag_timer = evtimer_new(platform->base, on_lag_timer, platform);
    platform->bookmark_timer =
        event_new(platform->base, -1, EV_PERSIST, on_bookmark_timer, platform);
    struct timeval interval = CmTime_Timeval(BOOKMARK_INTERVAL_MS);
    event_add(platform->bookmark_timer, &interval);
}

static void
platform_finish(struct platform *platform)
{
    event_free(platform->lag_timer);
    event_free(platform->bookmark_timer);
    Weights_Finish(&platform->weights);
    Objects_Finish(&platform->objects);
    StandinLog_Finish(&platform->journal);
    json_decref(platform->instances);
    json_decref(platform->instances_seen);
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
    platform_init(&platform, g_ascii_strtod(values[RATE], NULL),
                  g_ascii_strtod(values[LOAD_MS], NULL), atoi(values[LAG_MS]),
                  (uint32_t)strtoul(values[SEED], NULL, 10));
    struct evhttp *server = Standin_Listen(platform.base, atoi(values[PORT]),
                                           on_request, &platform);
    Standin_Run(platform.base);
    evhttp_free(server);
    platform_finish(&platform);
    event_base_free(platform.base);
    return EXIT_SUCCESS;
}
