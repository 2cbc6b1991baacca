/// @file engine.c
/// Polls the engine's reports and sends orders, one call at a time.

#include "engine.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "lease_server.h"

/// Interval of reports while adapters or the base model are loaded or awaited,
/// while requests hold leases, and otherwise.
#define REPORT_INTERVAL_LOADING_MS 20
#define REPORT_INTERVAL_RUNNING_MS 60
#define REPORT_INTERVAL_IDLE_MS 700
/// Timeout of a call. The engine runs on the same machine.
#define CALL_TIMEOUT_MS 600
/// Consecutive failed calls after which the engine counts as unreachable.
#define DOWN_AFTER_FAILURES 2
/// Delay of the next call after a failed one.
#define RETRY_DELAY_MS 100
/// Minimum interval of two orders to load the base model.
#define MODEL_LOAD_RETRY_MS 3000
/// Fencing token of all orders. Only one agent orders an engine (platform.md);
/// one that finds a higher token is not the one, and doesn't raise its own.
#define FENCE 1
/// Time without orders after the engine has refused one because of its token.
/// The restart of the engine ends it, as it clears the tokens.
#define FENCED_PAUSE_MS 3000
/// Idle time after which a connection to the engine is not used again.
#define CONN_IDLE_MAX_MS 10000
/// Largest body of a report, which lists all runs, or of another response.
#define BODY_MAX_BYTES ((size_t)1024 * 1024)
#define STATUS_OK 200

static void
schedule_next_call(struct slots *slots);

static void
set_timer(struct slots *slots, int64_t ms)
{
    struct timeval timeout = CmTime_Timeval(ms);
    evtimer_add(slots->engine.timer, &timeout);
}

static void
replace_string(char **text, const char *value)
{
    if (g_strcmp0(*text, value) != 0) {
        g_free(*text);
        *text = g_strdup(value);
    }
}

/// Requires a new report before leases are granted if the incarnation has
/// changed, as the last report may be that of the former one.
static void
expect_report_if(struct engine *engine, bool changed)
{
    engine->awaiting_report = engine->awaiting_report || changed;
}

static bool
on_head(void *context, const struct cm_h1_head *head)
{
    struct slots *slots = context;
    slots->engine.status = head->status;
    const char *actual = CmEngineCodec_ActualIncarnation(head);
    if (actual != NULL) {
        expect_report_if(
            &slots->engine,
            CmIncarnation_OrderRejected(&slots->engine.incarnation, actual));
    }
    g_string_truncate(slots->engine.body, 0);
    return true;
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct slots *slots = context;
    g_string_append_len(slots->engine.body, data, (gssize)size);
}

static void
on_model(void *context, const char *name)
{
    ((struct slots *)context)->engine.has_model = true;
}

static void
on_adapter(void *context, const char *adapter, int64_t version, bool incoming)
{
    struct slots *slots = context;
    CmResidency_ReportAdapter(&slots->residency, adapter, version, incoming,
                              Slots_Now(slots));
}

static void
on_run(void *context, const char *request, int64_t tokens, int64_t events)
{
    struct slots *slots = context;
    struct engine_run *run = g_new(struct engine_run, 1);
    *run = (struct engine_run){(double)tokens, events};
    g_hash_table_replace(slots->engine.runs, g_strdup(request), run);
}

/// Forgets the items of the last report.
static void
on_report(void *context)
{
    struct slots *slots = context;
    slots->engine.has_model = false;
    GHashTable *runs = slots->engine.previous_runs;
    slots->engine.previous_runs = slots->engine.runs;
    slots->engine.runs = runs;
    g_hash_table_remove_all(runs);
    CmResidency_BeginReport(&slots->residency);
}

static const struct cm_engine_report_handler report_handler = {
    on_model, on_adapter, on_run, on_report};

static void
handle_call_failure(struct slots *slots, const char *reason)
{
    struct engine *engine = &slots->engine;
    if (++engine->consecutive_failures == DOWN_AFTER_FAILURES) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "engine", NULL,
                    "engine at %s is unreachable: %s; leases are refused "
                    "until it reports again",
                    slots->settings.engine, reason);
        engine->reachable = false;
    }
    set_timer(slots, RETRY_DELAY_MS);
}

static void
handle_report(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    json_t *report_json =
        json_loadb(engine->body->str, engine->body->len, 0, NULL);
    int64_t started_ms = engine->report.started_ms;
    bool valid = engine->status == STATUS_OK &&
                 CmEngineCodec_DecodeReport(report_json, &engine->report,
                                            &report_handler, slots);
    json_decref(report_json);
    if (!valid) {
        handle_call_failure(slots, "invalid report");
        return;
    }
    if (!engine->reachable) {
        CmLog_Event(G_LOG_LEVEL_INFO, "engine", NULL,
                    "engine at %s is reachable and has accepted %" PRId64
                    " orders since its start",
                    slots->settings.engine, engine->report.accepted_orders);
    }
    if (engine->report.started_ms != started_ms) {
        // The engine restarted. The id of the new incarnation comes with the
        // next lease request, or with the response to a misdirected order.
        CmIncarnation_Forget(&engine->incarnation);
        engine->restarted_at = Slots_Now(slots);
        engine->model_retry_at = (struct timespec){0};
        engine->orders_from = (struct timespec){0};
        // Its memory is empty and none of the runs has ended.
        g_hash_table_remove_all(engine->previous_runs);
    }
    engine->reachable = true;
    engine->reported_at = Slots_Now(slots);
    engine->awaiting_report = false;
    engine->consecutive_failures = 0;
    engine->report_stale = false;
    LeaseServer_UpdateBacklog(slots);
    LeaseServer_UpdateRoom(slots);
    CmResidency_EndReport(&slots->residency, Slots_Now(slots));
    LeaseServer_GrantHeldBack(slots);
    schedule_next_call(slots);
}

static void
log_order_result(const struct slots *slots,
                 enum cm_platform_order_result result)
{
    static const char *const result_names[] = {
        [CM_PLATFORM_ORDER_IN_PROGRESS] = "under way",
        [CM_PLATFORM_ORDER_DONE] = "done",
        [CM_PLATFORM_ORDER_CONFLICT] = "conflict",
        [CM_PLATFORM_ORDER_FENCED] = "fenced",
        [CM_PLATFORM_ORDER_WRONG_INCARNATION] = "wrong incarnation",
        [CM_PLATFORM_ORDER_REJECTED] = "rejected",
    };
    const struct engine *engine = &slots->engine;
    CmLog_Event(G_LOG_LEVEL_INFO, "order", NULL,
                "%s %s version %" PRId64 " as order %" PRId64 ": %s",
                engine->order.load ? "load" : "unload", engine->order.adapter,
                engine->order.version, engine->report.accepted_orders + 1,
                result_names[result]);
}

static void
confirm_incarnation(struct engine *engine)
{
    expect_report_if(engine,
                     CmIncarnation_OrderAccepted(&engine->incarnation));
}

static void
handle_order_response(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    enum cm_platform_order_result result =
        CmEngineCodec_OrderResult(engine->status);
    log_order_result(slots, result);
    switch (result) {
    case CM_PLATFORM_ORDER_IN_PROGRESS:
        confirm_incarnation(engine);
        engine->report.accepted_orders++;
        CmResidency_OrderAccepted(&slots->residency, &engine->order, false,
                                  Slots_Now(slots));
        schedule_next_call(slots);
        break;
    case CM_PLATFORM_ORDER_DONE:
        confirm_incarnation(engine);
        engine->report.accepted_orders++;
        CmResidency_OrderAccepted(&slots->residency, &engine->order, true,
                                  Slots_Now(slots));
        // Only the next report shows whether the engine counted this order.
        engine->report_stale = true;
        schedule_next_call(slots);
        break;
    case CM_PLATFORM_ORDER_FENCED:
        engine->orders_from = CmTime_AddMs(Slots_Now(slots), FENCED_PAUSE_MS);
        CmResidency_OrderRefused(&slots->residency, &engine->order,
                                 Slots_Now(slots));
        engine->report_stale = true;
        set_timer(slots, REPORT_INTERVAL_LOADING_MS);
        break;
    case CM_PLATFORM_ORDER_WRONG_INCARNATION:
        engine->report_stale = true;
        set_timer(slots, 0);
        break;
    default:
        CmResidency_OrderRefused(&slots->residency, &engine->order,
                                 Slots_Now(slots));
        engine->report_stale = true;
        set_timer(slots, REPORT_INTERVAL_LOADING_MS);
        break;
    }
}

/// Records that a load got no response and may still be executed later. Within
/// this incarnation the expected number of orders prevents that once newer
/// orders were accepted. A restarted engine with the same id counts from zero,
/// so that the load may match there again.
static void
record_unacked_load(struct slots *slots, enum engine_call_kind kind)
{
    struct engine *engine = &slots->engine;
    if (kind == ENGINE_CALL_ADAPTER_ORDER && engine->order.load) {
        replace_string(&engine->unacked_target, engine->incarnation.ordered);
        CmUnackedLoads_Add(&engine->unacked_loads,
                           engine->report.accepted_orders, Slots_Now(slots));
    }
}

/// Applies the response to an order to load the base model.
static void
handle_model_response(struct engine *engine)
{
    switch (CmEngineCodec_OrderResult(engine->status)) {
    case CM_PLATFORM_ORDER_IN_PROGRESS:
    case CM_PLATFORM_ORDER_DONE:
        confirm_incarnation(engine);
        break;
    case CM_PLATFORM_ORDER_WRONG_INCARNATION:
        // An engine that states its id has been confirmed by it.
        if (!engine->incarnation.confirmed) {
            CmIncarnation_OrderRejected(&engine->incarnation, NULL);
        }
        engine->model_retry_at = (struct timespec){0};
        break;
    default:
        break;
    }
}

static void
on_end(void *context, enum cm_h1_call_result end)
{
    struct slots *slots = context;
    struct engine *engine = &slots->engine;
    enum engine_call_kind kind = engine->active_call;
    engine->active_call = ENGINE_CALL_NONE;
    evtimer_del(engine->timer);
    if (end != CM_H1_CALL_COMPLETE) {
        // The engine may have accepted the order nevertheless. The next
        // report shows it, and the expected number of orders prevents that
        // the order is executed after newer ones.
        record_unacked_load(slots, kind);
        engine->report_stale = true;
        handle_call_failure(slots,
                            "cannot connect, or the response is incomplete");
        return;
    }
    if (kind == ENGINE_CALL_REPORT) {
        handle_report(slots);
    }
    else if (kind == ENGINE_CALL_ADAPTER_ORDER) {
        handle_order_response(slots);
    }
    else {
        CmLog_Event(G_LOG_LEVEL_INFO, "order", NULL,
                    "load of base model %s returned status %d", engine->model,
                    engine->status);
        engine->report_stale = true;
        handle_model_response(engine);
        set_timer(slots, REPORT_INTERVAL_LOADING_MS);
    }
}

static const struct cm_h1_call_handler call_handler = {on_head, on_body,
                                                       on_end};

static void
start_call(struct slots *slots, enum engine_call_kind kind, GString *message)
{
    struct engine *engine = &slots->engine;
    struct cm_h1_call_request request = {.address = slots->settings.engine,
                                         .message = message,
                                         .idle_max_ms = CONN_IDLE_MAX_MS,
                                         .body_max_bytes = BODY_MAX_BYTES};
    engine->active_call = kind;
    if (CmH1Call_Start(&engine->call, &slots->pool, &request, &call_handler,
                       slots)) {
        set_timer(slots, CALL_TIMEOUT_MS);
    }
    else {
        engine->active_call = ENGINE_CALL_NONE;
        handle_call_failure(slots, "cannot open a connection");
    }
    g_string_free(message, TRUE);
}

static void
request_report(struct slots *slots)
{
    GString *message = g_string_new(NULL);
    CmEngineCodec_ComposeReport(message, slots->settings.engine);
    slots->engine_reports.value++;
    start_call(slots, ENGINE_CALL_REPORT, message);
}

static void
send_order(struct slots *slots, enum engine_call_kind kind,
           const struct cm_platform_order *order)
{
    GString *message = g_string_new(NULL);
    CmEngineCodec_ComposeOrder(
        message, slots->settings.engine,
        CmIncarnation_BeginOrder(&slots->engine.incarnation), order);
    slots->engine_orders.value++;
    start_call(slots, kind, message);
}

static void
send_adapter_order(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    const char *slash = strchr(engine->order.adapter, '/');
    char *model = g_strndup(engine->order.adapter,
                            (gsize)(slash - engine->order.adapter));
    struct cm_platform_order order = {
        .load = engine->order.load,
        .model = model,
        .adapter = slash + 1,
        .version = engine->order.version,
        .expected_orders = engine->report.accepted_orders,
        .holder = slots->settings.common.name,
        .fence = FENCE,
    };
    send_order(slots, ENGINE_CALL_ADAPTER_ORDER, &order);
    g_free(model);
}

static void
send_model_load(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    engine->model_retry_at =
        CmTime_AddMs(Slots_Now(slots), MODEL_LOAD_RETRY_MS);
    struct cm_platform_order order = {
        .load = true,
        .model = engine->model,
        .expected_orders = engine->report.accepted_orders,
        .holder = slots->settings.common.name,
        .fence = FENCE,
    };
    send_order(slots, ENGINE_CALL_MODEL_ORDER, &order);
}

static bool
should_load_model(const struct slots *slots)
{
    const struct engine *engine = &slots->engine;
    return !engine->has_model && !engine->report.model_order_active &&
           engine->model != NULL && !engine->report.draining &&
           !CmTime_Before(Slots_Now(slots), engine->model_retry_at);
}

/// @return interval of two reports in the present state.
static int64_t
report_interval_ms(const struct slots *slots)
{
    if (CmResidency_HasPending(&slots->residency) ||
        !TAILQ_EMPTY(&slots->awaiting_room) || !slots->engine.has_model) {
        return REPORT_INTERVAL_LOADING_MS;
    }
    return g_hash_table_size(slots->active_leases) > 0
               ? REPORT_INTERVAL_RUNNING_MS
               : REPORT_INTERVAL_IDLE_MS;
}

/// Schedules the next report, counted from the last one, because lease calls
/// that are more frequent than reports would otherwise postpone it forever.
static void
schedule_report(struct slots *slots)
{
    int64_t since_ms =
        CmTime_DiffMs(Slots_Now(slots), slots->engine.reported_at);
    set_timer(slots, MAX(report_interval_ms(slots) - since_ms, 0));
}

/// Schedules a report at once, or after the shortest interval if one has just
/// been read. While the engine is unreachable, the retry delay applies.
static void
request_report_soon(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    if (engine->active_call == ENGINE_CALL_NONE && engine->reachable) {
        int64_t since_ms =
            CmTime_DiffMs(Slots_Now(slots), engine->reported_at);
        set_timer(slots, MAX(REPORT_INTERVAL_LOADING_MS - since_ms, 0));
    }
}

/// @return slots to keep free for unacknowledged loads that may still be
/// executed. An engine with another id than the loads name rejects them.
static int64_t
reserved_slots(const struct slots *slots)
{
    const struct engine *engine = &slots->engine;
    if (!CmIncarnation_Is(&engine->incarnation, engine->unacked_target)) {
        return 0;
    }
    return CmUnackedLoads_ReservedSlots(
        &engine->unacked_loads, engine->report.accepted_orders,
        engine->restarted_at, Slots_Now(slots));
}

/// Sends the next order, or schedules the next report if there is none.
static void
schedule_next_call(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    if (engine->active_call != ENGINE_CALL_NONE) {
        return;
    }
    if (!engine->reachable) {
        // The retry delay that the last failure set is still running.
        return;
    }
    if (engine->report_stale) {
        set_timer(slots, 0);
        return;
    }
    // Without the id of an incarnation, an order could be executed by the next
    // incarnation.
    bool may_order = engine->incarnation.id != NULL &&
                     !CmTime_Before(Slots_Now(slots), engine->orders_from);
    if (may_order && should_load_model(slots)) {
        send_model_load(slots);
        return;
    }
    g_clear_pointer(&engine->order.adapter, g_free);
    slots->residency.slots = slots->engine_slots - reserved_slots(slots);
    if (may_order && engine->has_model &&
        CmResidency_NextOrder(&slots->residency, Slots_Now(slots),
                              &engine->order)) {
        send_adapter_order(slots);
        return;
    }
    schedule_report(slots);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct slots *slots = context;
    struct engine *engine = &slots->engine;
    if (engine->active_call != ENGINE_CALL_NONE) {
        CmH1Call_Cancel(&engine->call);
        record_unacked_load(slots, engine->active_call);
        engine->active_call = ENGINE_CALL_NONE;
        engine->report_stale = true;
        handle_call_failure(slots, "call timed out");
        return;
    }
    request_report(slots);
}

void
Engine_Init(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    engine->body = g_string_new(NULL);
    engine->runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    engine->previous_runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    CmIncarnation_Init(&engine->incarnation);
    engine->timer = evtimer_new(slots->base, on_timer, slots);
    set_timer(slots, 0);
}

void
Engine_Finish(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    CmH1Call_Cancel(&engine->call);
    event_free(engine->timer);
    g_string_free(engine->body, TRUE);
    g_hash_table_destroy(engine->runs);
    g_hash_table_destroy(engine->previous_runs);
    g_free(engine->order.adapter);
    g_free(engine->model);
    CmIncarnation_Finish(&engine->incarnation);
    g_free(engine->unacked_target);
}

void
Engine_GiveOrders(struct slots *slots)
{
    schedule_next_call(slots);
}

bool
Engine_SetExpected(struct slots *slots, const char *target, const char *model)
{
    struct engine *engine = &slots->engine;
    replace_string(&engine->model, model);
    expect_report_if(engine,
                     CmIncarnation_Expect(&engine->incarnation, target));
    bool is_current = CmIncarnation_Is(&engine->incarnation, target);
    if (engine->awaiting_report || !is_current) {
        // The engine may have restarted; the next report shows it.
        request_report_soon(slots);
    }
    else if (!engine->has_model) {
        schedule_next_call(slots);
    }
    return is_current;
}

bool
Engine_IsReady(const struct slots *slots)
{
    return slots->engine.reachable && slots->engine.has_model &&
           !slots->engine.awaiting_report;
}
