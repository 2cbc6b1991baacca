/// @file contract_test.c
/// Contract of the orders to an engine, against the stand-in.

#include <string.h>

#include "cm_test.h"
#include "engine/engine.h"
#include "standin_process.h"

struct bench {
    struct event_base *base;
    struct cm_http_client client;
    struct standin_process platform;
    struct standin_process engines;
    char address[32];
    char control[32];
};

static void
bench_init(struct bench *bench, const char *fence)
{
    memset(bench, 0, sizeof(*bench));
    bench->base = event_base_new();
    CmHttpClient_Init(&bench->client, bench->base);
    char ports[3][16];
    int numbers[3];
    for (int i = 0; i < 3; i++) {
        numbers[i] = StandinProcess_FreePort();
        g_snprintf(ports[i], sizeof(ports[i]), "%d", numbers[i]);
    }
    const char *platform[] = {"--port",      ports[0], "--load-ms", "10",
                              "--load-rate", "1000",   NULL};
    StandinProcess_Start(&bench->platform, "standin-platform", numbers[0],
                         platform);
    const char *engines[] = {"--control-port",
                             ports[1],
                             "--engine-port",
                             ports[2],
                             "--slots",
                             "2",
                             "--weights",
                             bench->platform.address,
                             "--fence",
                             fence,
                             NULL};
    StandinProcess_Start(&bench->engines, "standin-engine", numbers[1],
                         engines);
    g_snprintf(bench->address, sizeof(bench->address), "127.0.0.1:%d",
               numbers[2]);
    g_snprintf(bench->control, sizeof(bench->control), "127.0.0.1:%d",
               numbers[1]);
}

static void
bench_finish(struct bench *bench)
{
    CmHttpClient_Finish(&bench->client);
    event_base_free(bench->base);
    StandinProcess_Stop(&bench->engines);
    StandinProcess_Stop(&bench->platform);
}

struct told {
    struct event_base *base;
    int count;
    enum cm_order_end end;
    size_t adapters;
    int64_t busy;
};

static void
on_done(void *context, enum cm_order_end end,
        const struct cm_order_response *answer)
{
    struct told *told = context;
    told->count++;
    told->end = end;
    told->adapters =
        answer->adapters != NULL ? g_strv_length(answer->adapters) : 0;
    told->busy = answer->busy;
    event_base_loopbreak(told->base);
}

enum kind { LOAD, UNLOAD, LIST, HEALTH, REPORT, CANCEL };

static struct told
order(struct bench *bench, uint64_t fence, enum kind kind, const char *adapter)
{
    struct cm_engine engine;
    CmEngine_InitOpenAi(&engine, &bench->client, bench->address, fence);
    struct told told = {.base = bench->base};
    struct cm_order order;
    CmOrder_Init(&order, on_done, &told);
    switch (kind) {
    case LOAD:
        engine.ops->load(&engine, &order, adapter);
        break;
    case UNLOAD:
        engine.ops->unload(&engine, &order, adapter);
        break;
    case LIST:
        engine.ops->list(&engine, &order);
        break;
    case HEALTH:
        engine.ops->health(&engine, &order);
        break;
    case REPORT:
        engine.ops->report(&engine, &order);
        break;
    case CANCEL:
        engine.ops->cancel(&engine, &order, adapter);
        break;
    }
    event_base_dispatch(bench->base);
    CU_ASSERT_EQUAL(told.count, 1);
    CmOrder_Finish(&order);
    return told;
}

static const struct {
    uint64_t fence;
    enum kind kind;
    const char *adapter;
    enum cm_order_end end;
    size_t adapters; ///< in slots afterwards
} steps[] = {
    {5, HEALTH, NULL, CM_ORDER_DONE, 0},
    {5, REPORT, NULL, CM_ORDER_DONE, 0},
    {5, LOAD, "a@1", CM_ORDER_DONE, 1},
    {5, LOAD, "a@1", CM_ORDER_DONE, 1},
    {5, LOAD, "b@2", CM_ORDER_DONE, 2},
    {5, LOAD, "c@1", CM_ORDER_FAILED, 2}, // no slot is free
    {4, LOAD, "c@1", CM_ORDER_FENCED, 2},
    {4, UNLOAD, "a@1", CM_ORDER_FENCED, 2},
    {6, UNLOAD, "a@1", CM_ORDER_DONE, 1},
    {5, UNLOAD, "b@2", CM_ORDER_FENCED, 1},
    {6, UNLOAD, "none@1", CM_ORDER_DONE, 1},
    {6, CANCEL, "no such run", CM_ORDER_DONE, 1},
};

static void
test_contract(void)
{
    struct bench bench;
    bench_init(&bench, "keep");
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        struct told told =
            order(&bench, steps[i].fence, steps[i].kind, steps[i].adapter);
        CU_ASSERT_EQUAL(told.end, steps[i].end);
        struct told listed = order(&bench, steps[i].fence, LIST, NULL);
        CU_ASSERT_EQUAL(listed.end, CM_ORDER_DONE);
        CU_ASSERT_EQUAL(listed.adapters, steps[i].adapters);
    }
    bench_finish(&bench);
}

/// An engine that ignores fences obeys an old agent: only that agent's own
/// care (its port, its clock) keeps it from giving such orders.
static void
test_ignored_fence(void)
{
    struct bench bench;
    bench_init(&bench, "ignore");
    CU_ASSERT_EQUAL(order(&bench, 9, LOAD, "a@1").end, CM_ORDER_DONE);
    CU_ASSERT_EQUAL(order(&bench, 1, UNLOAD, "a@1").end, CM_ORDER_DONE);
    bench_finish(&bench);
}

static void
set_fault(struct bench *bench, const char *body)
{
    static const struct cm_http_handler quiet = {NULL, NULL, NULL};
    struct cm_http_call http = {0};
    struct cm_http_request request = {.address = bench->control,
                                      .method = EVHTTP_REQ_PUT,
                                      .path = "/faults",
                                      .body = body,
                                      .body_size = strlen(body),
                                      .timeout_ms = 1000};
    CmHttpCall_Start(&http, &bench->client, &request, &quiet, NULL);
    while (CmHttpCall_Active(&http)) {
        event_base_loop(bench->base, EVLOOP_ONCE);
    }
}

static void
test_faults(void)
{
    struct bench bench;
    bench_init(&bench, "keep");
    set_fault(&bench, "{\"load_failure_rate\":1}");
    CU_ASSERT_EQUAL(order(&bench, 1, LOAD, "a@1").end, CM_ORDER_FAILED);
    set_fault(&bench, "{\"load_failure_rate\":0}");
    CU_ASSERT_EQUAL(order(&bench, 1, LOAD, "a@1").end, CM_ORDER_DONE);
    set_fault(&bench, "{\"restart\":true}");
    CU_ASSERT_EQUAL(order(&bench, 1, HEALTH, NULL).end, CM_ORDER_UNKNOWN);
    while (order(&bench, 1, HEALTH, NULL).end != CM_ORDER_DONE) {
    }
    CU_ASSERT_EQUAL(order(&bench, 1, LIST, NULL).adapters, 0);
    StandinProcess_Stop(&bench.engines);
    order(&bench, 1, HEALTH, NULL);
    CU_ASSERT_EQUAL(order(&bench, 1, HEALTH, NULL).end, CM_ORDER_UNREACHABLE);
    CmHttpClient_Finish(&bench.client);
    event_base_free(bench.base);
    StandinProcess_Stop(&bench.platform);
}

static const struct cm_test tests[] = {
    {"contract", test_contract},
    {"ignored fence", test_ignored_fence},
    {"faults", test_faults},
};

CM_TEST_MAIN("engine", tests)
