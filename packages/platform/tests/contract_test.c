/// @file contract_test.c
/// Contract of the object API's client: the same table for the one over HTTP
/// against the stand-in and for the one in memory that other tests use.

#include <string.h>

#include "cm_test.h"
#include "fake_objects.h"
#include "http/client.h"
#include "platform/instances.h"
#include "platform/objects.h"
#include "standin_process.h"

struct bench {
    struct event_base *base;
    struct cm_http_client client;
    struct standin_process platform;
    struct cm_http_objects http;
    struct fake_store store;
    struct fake_objects fake;
};

struct told {
    struct bench *bench;
    int count;
    enum cm_object_result result;
    char version[32];
    char value[32];
};

static void
on_done(void *context, enum cm_object_result result, json_t *object)
{
    struct told *told = context;
    told->count++;
    told->result = result;
    const char *version = CmObject_Version(object);
    const char *value =
        json_string_value(json_object_get(CmObject_Spec(object), "v"));
    g_strlcpy(told->version, version != NULL ? version : "",
              sizeof(told->version));
    g_strlcpy(told->value, value != NULL ? value : "", sizeof(told->value));
    event_base_loopbreak(told->bench->base);
}

enum method { GET, CREATE, UPDATE, REMOVE };

/// Steps of one history of an object; "$" is the version last told.
static const struct {
    enum method method;
    const char *name;
    const char *version;
    const char *value;
    enum cm_object_result result;
    const char *told; ///< value that the answer shows, NULL: none
} steps[] = {
    {GET, "a", NULL, NULL, CM_OBJECT_NOT_FOUND, NULL},
    {UPDATE, "a", NULL, "0", CM_OBJECT_NOT_FOUND, NULL},
    {REMOVE, "a", NULL, NULL, CM_OBJECT_NOT_FOUND, NULL},
    {CREATE, "a", NULL, "1", CM_OBJECT_OK, "1"},
    {CREATE, "a", NULL, "2", CM_OBJECT_CONFLICT, NULL},
    {GET, "a", NULL, NULL, CM_OBJECT_OK, "1"},
    {UPDATE, "a", "$", "3", CM_OBJECT_OK, "3"},
    {UPDATE, "a", "999999", "4", CM_OBJECT_CONFLICT, NULL},
    {GET, "a", NULL, NULL, CM_OBJECT_OK, "3"},
    {CREATE, "b", NULL, "5", CM_OBJECT_OK, "5"},
    {GET, "a", NULL, NULL, CM_OBJECT_OK, "3"},
    {REMOVE, "a", NULL, NULL, CM_OBJECT_OK, NULL},
    {GET, "a", NULL, NULL, CM_OBJECT_NOT_FOUND, NULL},
    {GET, "b", NULL, NULL, CM_OBJECT_OK, "5"},
};

static void
wait_for(struct told *told)
{
    struct bench *bench = told->bench;
    if (!FakeObjects_CompleteNext(&bench->fake)) {
        event_base_dispatch(bench->base);
    }
}

static void
call(struct bench *bench, struct cm_objects *objects, enum method method,
     const char *name, const char *version, const char *value,
     struct told *told)
{
    struct cm_object_call object_call;
    CmObjectCall_Init(&object_call, on_done, told);
    told->bench = bench;
    told->count = 0;
    json_t *object =
        value != NULL ? CmObject_New(version, json_pack("{s:s}", "v", value))
                      : NULL;
    switch (method) {
    case GET:
        objects->ops->get(objects, &object_call, "things", name);
        break;
    case CREATE:
        objects->ops->create(objects, &object_call, "things", name, object);
        break;
    case UPDATE:
        objects->ops->update(objects, &object_call, "things", name, object);
        break;
    case REMOVE:
        objects->ops->remove(objects, &object_call, "things", name);
        break;
    }
    json_decref(object);
    CU_ASSERT_EQUAL(told->count, 0);
    wait_for(told);
    CU_ASSERT_EQUAL(told->count, 1);
    CmObjectCall_Finish(objects, &object_call);
}

static void
check_contract(struct bench *bench, struct cm_objects *objects)
{
    char version[32] = "";
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        const char *expected = steps[i].version;
        if (expected != NULL && strcmp(expected, "$") == 0) {
            expected = version;
        }
        struct told told;
        call(bench, objects, steps[i].method, steps[i].name, expected,
             steps[i].value, &told);
        CU_ASSERT_EQUAL(told.result, steps[i].result);
        if (steps[i].told != NULL) {
            CU_ASSERT_STRING_EQUAL(told.value, steps[i].told);
            g_strlcpy(version, told.version, sizeof(version));
        }
    }
}

static void
bench_init(struct bench *bench)
{
    memset(bench, 0, sizeof(*bench));
    bench->base = event_base_new();
    CmHttpClient_Init(&bench->client, bench->base);
    int port = StandinProcess_FreePort();
    char text[16];
    g_snprintf(text, sizeof(text), "%d", port);
    const char *arguments[] = {"--port", text, "--instance-lag-ms", "50",
                               NULL};
    StandinProcess_Start(&bench->platform, "standin-platform", port,
                         arguments);
    CmHttpObjects_Init(&bench->http, &bench->client, bench->platform.address);
    FakeStore_Init(&bench->store);
    FakeObjects_Init(&bench->fake, &bench->store);
}

static void
bench_finish(struct bench *bench)
{
    CmHttpClient_Finish(&bench->client);
    event_base_free(bench->base);
    StandinProcess_Stop(&bench->platform);
    FakeObjects_Finish(&bench->fake);
    FakeStore_Finish(&bench->store);
}

static void
test_contract(void)
{
    struct bench bench;
    bench_init(&bench);
    check_contract(&bench, &bench.http.base);
    check_contract(&bench, &bench.fake.base);
    bench_finish(&bench);
}

static void
put(struct bench *bench, const char *path, const char *body)
{
    // A plain call beside the object API: the test's hand on the stand-in.
    static const struct cm_http_handler quiet = {NULL, NULL, NULL};
    struct cm_http_call http = {0};
    struct cm_http_request request = {.address = bench->platform.address,
                                      .method = EVHTTP_REQ_PUT,
                                      .path = path,
                                      .body = body,
                                      .body_size = strlen(body),
                                      .timeout_ms = 1000};
    CmHttpCall_Start(&http, &bench->client, &request, &quiet, NULL);
    while (CmHttpCall_Active(&http)) {
        event_base_loop(bench->base, EVLOOP_ONCE);
    }
}

/// What the client makes of the API's faults.
static const struct {
    const char *fault;
    enum method method;
    enum cm_object_result result;
    bool took_effect;
} faults[] = {
    {"{\"down\":true}", CREATE, CM_OBJECT_INDETERMINATE, false},
    {"{\"down\":true}", GET, CM_OBJECT_INDETERMINATE, false},
    {"{\"lose_answer_rate\":1}", CREATE, CM_OBJECT_INDETERMINATE, true},
    {"{\"delay_ms\":50}", CREATE, CM_OBJECT_OK, true},
};

static void
test_faults(void)
{
    struct bench bench;
    bench_init(&bench);
    for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "f%zu", i);
        struct told told;
        put(&bench, "/faults", faults[i].fault);
        call(&bench, &bench.http.base, faults[i].method, name, NULL,
             faults[i].method == CREATE ? "x" : NULL, &told);
        CU_ASSERT_EQUAL(told.result, faults[i].result);
        put(&bench, "/faults",
            "{\"down\":false,\"lose_answer_rate\":0,\"delay_ms\":0}");
        call(&bench, &bench.http.base, GET, name, NULL, NULL, &told);
        CU_ASSERT_EQUAL(told.result, faults[i].took_effect
                                         ? CM_OBJECT_OK
                                         : CM_OBJECT_NOT_FOUND);
    }
    StandinProcess_Stop(&bench.platform);
    struct told told;
    call(&bench, &bench.http.base, CREATE, "g", NULL, "x", &told);
    CU_ASSERT_TRUE(told.result == CM_OBJECT_REFUSED ||
                   told.result == CM_OBJECT_INDETERMINATE);
    call(&bench, &bench.http.base, CREATE, "g", NULL, "x", &told);
    CU_ASSERT_EQUAL(told.result, CM_OBJECT_REFUSED);
    CmHttpClient_Finish(&bench.client);
    event_base_free(bench.base);
    FakeObjects_Finish(&bench.fake);
    FakeStore_Finish(&bench.store);
}

struct seen {
    struct event_base *base;
    int added;
    int modified;
    int ended;
    int wanted;
};

static void
on_event(void *context, const char *type, json_t *object)
{
    struct seen *seen = context;
    seen->added += strcmp(type, "ADDED") == 0;
    seen->modified += strcmp(type, "MODIFIED") == 0;
    if (seen->added + seen->modified >= seen->wanted) {
        event_base_loopbreak(seen->base);
    }
}

static void
on_ended(void *context)
{
    struct seen *seen = context;
    seen->ended++;
    event_base_loopbreak(seen->base);
}

static void
test_watch(void)
{
    struct bench bench;
    bench_init(&bench);
    struct told told;
    call(&bench, &bench.http.base, CREATE, "w", NULL, "1", &told);
    struct seen seen = {.base = bench.base, .wanted = 1};
    struct cm_object_watch watch;
    CmObjectWatch_Init(&watch, on_event, on_ended, &seen);
    struct cm_objects *objects = &bench.http.base;
    objects->ops->watch(objects, &watch, "things", "0");
    event_base_dispatch(bench.base);
    CU_ASSERT_EQUAL(seen.added, 1);
    char version[32];
    g_strlcpy(version, told.version, sizeof(version));
    seen.wanted = 2;
    call(&bench, objects, UPDATE, "w", version, "2", &told);
    while (seen.modified == 0 && seen.ended == 0) {
        event_base_loop(bench.base, EVLOOP_ONCE);
    }
    CU_ASSERT_EQUAL(seen.modified, 1);
    put(&bench, "/faults", "{\"down\":true}");
    while (seen.ended == 0) {
        event_base_loop(bench.base, EVLOOP_ONCE);
    }
    CU_ASSERT_EQUAL(seen.ended, 1);
    CmObjectWatch_Finish(objects, &watch);
    bench_finish(&bench);
}

struct listed {
    struct event_base *base;
    int answers;
    bool ok;
    size_t n;
    bool leaving;
    char address[32];
};

static void
on_instances(void *context, bool ok, const struct cm_instance *instances,
             size_t n)
{
    struct listed *listed = context;
    listed->answers++;
    listed->ok = ok;
    listed->n = n;
    if (n > 0) {
        listed->leaving = instances[0].shutting_down;
        g_strlcpy(listed->address, instances[0].address,
                  sizeof(listed->address));
    }
    event_base_loopbreak(listed->base);
}

static void
list(struct cm_http_instances *instances, struct listed *listed)
{
    instances->base.ops->list(&instances->base);
    event_base_dispatch(listed->base);
}

static void
test_instances(void)
{
    struct bench bench;
    bench_init(&bench);
    struct listed listed = {.base = bench.base};
    struct cm_http_instances instances;
    CmHttpInstances_Init(&instances, &bench.client, bench.platform.address,
                         on_instances, &listed);
    list(&instances, &listed);
    CU_ASSERT_TRUE(listed.ok);
    CU_ASSERT_EQUAL(listed.n, 0);
    put(&bench, "/instances/t1",
        "{\"role\":\"agent\",\"address\":\"1.2.3.4:5\",\"state\":\"live\"}");
    while (listed.n == 0) {
        list(&instances, &listed); // the list lags
    }
    CU_ASSERT_STRING_EQUAL(listed.address, "1.2.3.4:5");
    CU_ASSERT_FALSE(listed.leaving);
    put(&bench, "/instances/t1", "{\"role\":\"agent\",\"state\":\"leaving\"}");
    while (!listed.leaving) {
        list(&instances, &listed);
    }
    put(&bench, "/faults", "{\"down\":true}");
    list(&instances, &listed);
    CU_ASSERT_FALSE(listed.ok);
    CmHttpInstances_Finish(&instances);
    bench_finish(&bench);
}

static const struct cm_test tests[] = {
    {"contract", test_contract},
    {"faults", test_faults},
    {"watch", test_watch},
    {"instance list", test_instances},
};

CM_TEST_MAIN("platform", tests)
