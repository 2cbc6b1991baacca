/// @file contract_test.c
/// Contract of the object API client. The same table runs against the HTTP
/// client with the stand-in platform, and against the in-memory fake of other
/// tests, so that the fake behaves like the real client.

#include <string.h>

#include "cm_test.h"
#include "fake_objects.h"
#include "http/client.h"
#include "platform/instances.h"
#include "platform/objects.h"
#include "standin_process.h"

struct fixture {
    struct event_base *base;
    struct cm_http_client client;
    struct standin_process platform;
    struct cm_http_objects http;
    struct fake_store store;
    struct fake_objects fake;
};

struct call_record {
    struct fixture *fixture;
    int count;
    enum cm_object_result result;
    char version[32];
    char value[32];
};

static void
on_done(void *context, enum cm_object_result result, json_t *object)
{
    struct call_record *call_record = context;
    call_record->count++;
    call_record->result = result;
    const char *version = CmObject_Version(object);
    const char *value =
        json_string_value(json_object_get(CmObject_Spec(object), "v"));
    g_strlcpy(call_record->version, version != NULL ? version : "",
              sizeof(call_record->version));
    g_strlcpy(call_record->value, value != NULL ? value : "",
              sizeof(call_record->value));
    event_base_loopbreak(call_record->fixture->base);
}

enum method { GET, CREATE, UPDATE, REMOVE };

/// Calls on two objects in order; version "$" is the one returned last.
static const struct {
    enum method method;
    const char *name;
    const char *version;
    const char *value;
    enum cm_object_result result;
    const char *expected_value; ///< value in the response, NULL: not checked
} contract_steps[] = {
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
wait_for_done(struct call_record *call_record)
{
    struct fixture *fixture = call_record->fixture;
    if (!FakeObjects_CompleteNext(&fixture->fake)) {
        event_base_dispatch(fixture->base);
    }
}

static void
make_call(struct fixture *fixture, struct cm_objects *objects,
          enum method method, const char *name, const char *version,
          const char *value, struct call_record *call_record)
{
    struct cm_object_call object_call;
    CmObjectCall_Init(&object_call, on_done, call_record);
    call_record->fixture = fixture;
    call_record->count = 0;
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
    CU_ASSERT_EQUAL(call_record->count, 0);
    wait_for_done(call_record);
    CU_ASSERT_EQUAL(call_record->count, 1);
    CmObjectCall_Finish(objects, &object_call);
}

static void
check_contract(struct fixture *fixture, struct cm_objects *objects)
{
    char version[32] = "";
    for (size_t i = 0; i < G_N_ELEMENTS(contract_steps); i++) {
        const char *expected = contract_steps[i].version;
        if (expected != NULL && strcmp(expected, "$") == 0) {
            expected = version;
        }
        struct call_record call_record;
        make_call(fixture, objects, contract_steps[i].method,
                  contract_steps[i].name, expected, contract_steps[i].value,
                  &call_record);
        CU_ASSERT_EQUAL(call_record.result, contract_steps[i].result);
        if (contract_steps[i].expected_value != NULL) {
            CU_ASSERT_STRING_EQUAL(call_record.value,
                                   contract_steps[i].expected_value);
            g_strlcpy(version, call_record.version, sizeof(version));
        }
    }
}

static void
fixture_init(struct fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->base = event_base_new();
    CmHttpClient_Init(&fixture->client, fixture->base);
    int port = StandinProcess_FreePort();
    char text[16];
    g_snprintf(text, sizeof(text), "%d", port);
    const char *arguments[] = {"--port", text, "--instance-lag-ms", "50",
                               NULL};
    StandinProcess_Start(&fixture->platform, "standin-platform", port,
                         arguments);
    CmHttpObjects_Init(&fixture->http, &fixture->client,
                       fixture->platform.address);
    FakeStore_Init(&fixture->store);
    FakeObjects_Init(&fixture->fake, &fixture->store);
}

static void
fixture_finish(struct fixture *fixture)
{
    CmHttpClient_Finish(&fixture->client);
    event_base_free(fixture->base);
    StandinProcess_Stop(&fixture->platform);
    FakeObjects_Finish(&fixture->fake);
    FakeStore_Finish(&fixture->store);
}

static void
test_contract(void)
{
    struct fixture fixture;
    fixture_init(&fixture);
    check_contract(&fixture, &fixture.http.base);
    check_contract(&fixture, &fixture.fake.base);
    fixture_finish(&fixture);
}

static void
put(struct fixture *fixture, const char *path, const char *body)
{
    // A plain HTTP request that controls the stand-in.
    static const struct cm_http_handler no_callbacks = {NULL, NULL, NULL};
    struct cm_http_call http = {0};
    struct cm_http_request request = {.address = fixture->platform.address,
                                      .method = EVHTTP_REQ_PUT,
                                      .path = path,
                                      .body = body,
                                      .body_size = strlen(body),
                                      .timeout_ms = 1000};
    CmHttpCall_Start(&http, &fixture->client, &request, &no_callbacks, NULL);
    while (CmHttpCall_Active(&http)) {
        event_base_loop(fixture->base, EVLOOP_ONCE);
    }
}

/// Results that the client reports when faults are injected into the API.
static const struct {
    const char *fault;
    enum method method;
    enum cm_object_result result;
    bool applied;
} fault_cases[] = {
    {"{\"down\":true}", CREATE, CM_OBJECT_INDETERMINATE, false},
    {"{\"down\":true}", GET, CM_OBJECT_INDETERMINATE, false},
    {"{\"lose_answer_rate\":1}", CREATE, CM_OBJECT_INDETERMINATE, true},
    {"{\"delay_ms\":50}", CREATE, CM_OBJECT_OK, true},
};

static void
test_faults(void)
{
    struct fixture fixture;
    fixture_init(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "f%zu", i);
        struct call_record call_record;
        put(&fixture, "/faults", fault_cases[i].fault);
        make_call(&fixture, &fixture.http.base, fault_cases[i].method, name,
                  NULL, fault_cases[i].method == CREATE ? "x" : NULL,
                  &call_record);
        CU_ASSERT_EQUAL(call_record.result, fault_cases[i].result);
        put(&fixture, "/faults",
            "{\"down\":false,\"lose_answer_rate\":0,\"delay_ms\":0}");
        make_call(&fixture, &fixture.http.base, GET, name, NULL, NULL,
                  &call_record);
        CU_ASSERT_EQUAL(call_record.result, fault_cases[i].applied
                                                ? CM_OBJECT_OK
                                                : CM_OBJECT_NOT_FOUND);
    }
    StandinProcess_Stop(&fixture.platform);
    struct call_record call_record;
    make_call(&fixture, &fixture.http.base, CREATE, "g", NULL, "x",
              &call_record);
    CU_ASSERT_TRUE(call_record.result == CM_OBJECT_REFUSED ||
                   call_record.result == CM_OBJECT_INDETERMINATE);
    make_call(&fixture, &fixture.http.base, CREATE, "g", NULL, "x",
              &call_record);
    CU_ASSERT_EQUAL(call_record.result, CM_OBJECT_REFUSED);
    CmHttpClient_Finish(&fixture.client);
    event_base_free(fixture.base);
    FakeObjects_Finish(&fixture.fake);
    FakeStore_Finish(&fixture.store);
}

struct watch_record {
    struct event_base *base;
    int added;
    int modified;
    int ended;
    int expected_events;
};

static void
on_event(void *context, const char *type, json_t *object)
{
    struct watch_record *watch_record = context;
    watch_record->added += strcmp(type, "ADDED") == 0;
    watch_record->modified += strcmp(type, "MODIFIED") == 0;
    if (watch_record->added + watch_record->modified >=
        watch_record->expected_events) {
        event_base_loopbreak(watch_record->base);
    }
}

static void
on_ended(void *context)
{
    struct watch_record *watch_record = context;
    watch_record->ended++;
    event_base_loopbreak(watch_record->base);
}

static void
test_watch(void)
{
    struct fixture fixture;
    fixture_init(&fixture);
    struct call_record call_record;
    make_call(&fixture, &fixture.http.base, CREATE, "w", NULL, "1",
              &call_record);
    struct watch_record watch_record = {.base = fixture.base,
                                        .expected_events = 1};
    struct cm_object_watch watch;
    CmObjectWatch_Init(&watch, on_event, on_ended, &watch_record);
    struct cm_objects *objects = &fixture.http.base;
    objects->ops->watch(objects, &watch, "things", "0");
    event_base_dispatch(fixture.base);
    CU_ASSERT_EQUAL(watch_record.added, 1);
    char version[32];
    g_strlcpy(version, call_record.version, sizeof(version));
    watch_record.expected_events = 2;
    make_call(&fixture, objects, UPDATE, "w", version, "2", &call_record);
    while (watch_record.modified == 0 && watch_record.ended == 0) {
        event_base_loop(fixture.base, EVLOOP_ONCE);
    }
    CU_ASSERT_EQUAL(watch_record.modified, 1);
    put(&fixture, "/faults", "{\"down\":true}");
    while (watch_record.ended == 0) {
        event_base_loop(fixture.base, EVLOOP_ONCE);
    }
    CU_ASSERT_EQUAL(watch_record.ended, 1);
    CmObjectWatch_Finish(objects, &watch);
    fixture_finish(&fixture);
}

struct list_record {
    struct event_base *base;
    int done_count;
    bool ok;
    size_t n;
    bool shutting_down;
    char address[32];
};

static void
on_instances(void *context, bool ok, const struct cm_instance *instances,
             size_t n)
{
    struct list_record *list_record = context;
    list_record->done_count++;
    list_record->ok = ok;
    list_record->n = n;
    if (n > 0) {
        list_record->shutting_down = instances[0].shutting_down;
        g_strlcpy(list_record->address, instances[0].address,
                  sizeof(list_record->address));
    }
    event_base_loopbreak(list_record->base);
}

static void
list_instances(struct cm_http_instances *instances,
               struct list_record *list_record)
{
    instances->base.ops->list(&instances->base);
    event_base_dispatch(list_record->base);
}

static void
test_instances(void)
{
    struct fixture fixture;
    fixture_init(&fixture);
    struct list_record list_record = {.base = fixture.base};
    struct cm_http_instances instances;
    CmHttpInstances_Init(&instances, &fixture.client, fixture.platform.address,
                         on_instances, &list_record);
    list_instances(&instances, &list_record);
    CU_ASSERT_TRUE(list_record.ok);
    CU_ASSERT_EQUAL(list_record.n, 0);
    put(&fixture, "/instances/t1",
        "{\"role\":\"agent\",\"address\":\"1.2.3.4:5\",\"state\":\"live\"}");
    while (list_record.n == 0) {
        list_instances(&instances, &list_record); // the list lags by 50 ms
    }
    CU_ASSERT_STRING_EQUAL(list_record.address, "1.2.3.4:5");
    CU_ASSERT_FALSE(list_record.shutting_down);
    put(&fixture, "/instances/t1",
        "{\"role\":\"agent\",\"state\":\"leaving\"}");
    while (!list_record.shutting_down) {
        list_instances(&instances, &list_record);
    }
    put(&fixture, "/faults", "{\"down\":true}");
    list_instances(&instances, &list_record);
    CU_ASSERT_FALSE(list_record.ok);
    CmHttpInstances_Finish(&instances);
    fixture_finish(&fixture);
}

static const struct cm_test tests[] = {
    {"contract of the client and the fake", test_contract},
    {"results under injected faults", test_faults},
    {"watch", test_watch},
    {"instance list", test_instances},
};

CM_TEST_MAIN("platform", tests)
