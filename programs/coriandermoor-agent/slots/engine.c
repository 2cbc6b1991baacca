/// @file engine.c
/// Reports of the engine and orders to it.

#include "engine.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "lease_server.h"

/// Pause between reports while adapters are on their way, while requests run,
/// and otherwise.
#define REPORT_BUSY_MS 20
#define REPORT_RUNS_MS 60
#define REPORT_IDLE_MS 700
/// Time for the engine's answer; it is on this machine.
#define CALL_TIMEOUT_MS 600
/// Failures in a row after which the engine counts as gone.
#define FAILURES_DOWN 2
/// Pause after an order that was not accepted.
#define REFUSED_PAUSE_MS 100
/// Pause between two orders for the base model.
#define MODEL_PAUSE_MS 3000
#define IDLE_MAX_MS 10000
#define STATUS_OK 200

static void
next_step(struct slots *slots);

static void
set_timer(struct slots *slots, int64_t ms)
{
    struct timeval timeout = CmTime_Timeval(ms);
    evtimer_add(slots->engine.timer, &timeout);
}

static void
replace_text(char **text, const char *value)
{
    if (g_strcmp0(*text, value) != 0) {
        g_free(*text);
        *text = g_strdup(value);
    }
}

/// Notes which incarnation is there.
static void
set_target(struct engine *engine, const char *target)
{
    // What was seen before may be the former incarnation's.
    engine->unseen = engine->unseen || (engine->target != NULL &&
                                        strcmp(engine->target, target) != 0);
    replace_text(&engine->target, target);
}

static bool
on_head(void *context, const struct cm_h1_head *head)
{
    struct slots *slots = context;
    slots->engine.status = head->status;
    const char *answering = CmEngineCodec_AnsweringTarget(head);
    if (answering != NULL) {
        set_target(&slots->engine, answering);
        slots->engine.confirmed = true;
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

static const struct cm_engine_report_handler listener = {on_model, on_adapter,
                                                         on_run};

static void
engine_failed(struct slots *slots, const char *why)
{
    struct engine *engine = &slots->engine;
    if (++engine->failures == FAILURES_DOWN) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "engine", NULL,
                    "the engine at %s does not answer: %s",
                    slots->settings.engine, why);
        engine->known = false;
    }
    set_timer(slots, REFUSED_PAUSE_MS);
}

static void
take_report(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    json_t *answer = json_loadb(engine->body->str, engine->body->len, 0, NULL);
    int64_t started_ms = engine->report.started_ms;
    engine->has_model = false;
    g_hash_table_remove_all(engine->runs);
    CmResidency_BeginReport(&slots->residency);
    bool sound =
        engine->status == STATUS_OK &&
        CmEngineCodec_DecodeReport(answer, &engine->report, &listener, slots);
    json_decref(answer);
    if (!sound) {
        engine_failed(slots, "its report is not understood");
        return;
    }
    if (!engine->known) {
        CmLog_Event(G_LOG_LEVEL_INFO, "engine", NULL,
                    "the engine at %s answers: %" PRId64 " orders so far",
                    slots->settings.engine, engine->report.accepted_orders);
    }
    if (engine->report.started_ms != started_ms) {
        // Another incarnation: gateways, or its answer to an order, tell.
        g_clear_pointer(&engine->target, g_free);
        engine->confirmed = false;
        engine->restarted = Slots_Now(slots);
        engine->no_model_until = (struct timespec){0};
    }
    engine->known = true;
    engine->reported = Slots_Now(slots);
    engine->unseen = false;
    engine->failures = 0;
    engine->stale = false;
    Gateways_Measure(slots);
    CmResidency_EndReport(&slots->residency, Slots_Now(slots));
    next_step(slots);
}

static void
log_order(const struct slots *slots, enum cm_order_result answer)
{
    static const char *const answers[] = {
        "under way", "done", "conflict", "fenced", "for another incarnation",
        "refused"};
    const struct engine *engine = &slots->engine;
    CmLog_Event(G_LOG_LEVEL_INFO, "order", NULL,
                "%s %s version %" PRId64 " as order %" PRId64 ": %s",
                engine->order.load ? "load" : "unload", engine->order.adapter,
                engine->order.version, engine->report.accepted_orders + 1,
                answers[answer]);
}

static void
take_order_answer(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    enum cm_order_result answer = CmEngineCodec_OrderResult(engine->status);
    log_order(slots, answer);
    switch (answer) {
    case CM_ORDER_RESULT_IN_PROGRESS:
        engine->confirmed = true;
        engine->report.accepted_orders++;
        CmResidency_OrderAccepted(&slots->residency, &engine->order, false,
                                  Slots_Now(slots));
        next_step(slots);
        break;
    case CM_ORDER_RESULT_DONE:
        engine->confirmed = true;
        engine->report.accepted_orders++;
        CmResidency_OrderAccepted(&slots->residency, &engine->order, true,
                                  Slots_Now(slots));
        // Whether "done" advanced the engine's count is seen in its report.
        engine->stale = true;
        next_step(slots);
        break;
    case CM_ORDER_RESULT_FENCED:
        engine->fence++;
        engine->stale = true;
        set_timer(slots, 0);
        break;
    case CM_ORDER_RESULT_WRONG_TARGET:
        engine->stale = true;
        set_timer(slots, 0);
        break;
    default:
        CmResidency_OrderRefused(&slots->residency, &engine->order,
                                 Slots_Now(slots));
        engine->stale = true;
        set_timer(slots, REPORT_BUSY_MS);
        break;
    }
}

/// Notes that a load may be carried out later. In this incarnation the number
/// of orders keeps it from acting beside newer ones; a next one under the same
/// id counts anew.
static void
note_late_load(struct slots *slots, enum engine_call what)
{
    struct engine *engine = &slots->engine;
    if (what == ENGINE_ORDER && engine->order.load) {
        replace_text(&engine->late_target, engine->target);
        CmUnackedLoads_Add(&engine->late_loads, engine->report.accepted_orders,
                           Slots_Now(slots));
    }
}

static void
on_end(void *context, enum cm_h1_call_result end)
{
    struct slots *slots = context;
    struct engine *engine = &slots->engine;
    enum engine_call ended = engine->under_way;
    engine->under_way = ENGINE_IDLE;
    evtimer_del(engine->timer);
    if (end != CM_H1_CALL_COMPLETE) {
        // An order may have been accepted all the same: the next report
        // tells, and the number it expects keeps it from acting later.
        note_late_load(slots, ended);
        engine->stale = true;
        engine_failed(slots, "no connection");
        return;
    }
    if (ended == ENGINE_REPORT) {
        take_report(slots);
    }
    else if (ended == ENGINE_ORDER) {
        take_order_answer(slots);
    }
    else {
        CmLog_Event(G_LOG_LEVEL_INFO, "order", NULL,
                    "load of model %s: status %d", engine->model,
                    engine->status);
        engine->stale = true;
        if (CmEngineCodec_OrderResult(engine->status) ==
            CM_ORDER_RESULT_WRONG_TARGET) {
            engine->no_model_until = (struct timespec){0};
        }
        set_timer(slots, REPORT_BUSY_MS);
    }
}

static const struct cm_h1_call_handler call_handler = {on_head, on_body,
                                                       on_end};

static void
start_call(struct slots *slots, enum engine_call what, GString *message)
{
    struct engine *engine = &slots->engine;
    struct cm_h1_call_request request = {.address = slots->settings.engine,
                                         .message = message,
                                         .idle_max_ms = IDLE_MAX_MS};
    engine->under_way = what;
    if (CmH1Call_Start(&engine->call, &slots->pool, &request, &call_handler,
                       slots)) {
        set_timer(slots, CALL_TIMEOUT_MS);
    }
    else {
        engine->under_way = ENGINE_IDLE;
        engine_failed(slots, "no socket");
    }
    g_string_free(message, TRUE);
}

static void
ask_report(struct slots *slots)
{
    GString *message = g_string_new(NULL);
    CmEngineCodec_ComposeReport(message, slots->settings.engine);
    slots->reports.value++;
    start_call(slots, ENGINE_REPORT, message);
}

static void
give_order(struct slots *slots, enum engine_call what,
           const struct cm_engine_order *order)
{
    GString *message = g_string_new(NULL);
    CmEngineCodec_ComposeOrder(message, slots->settings.engine,
                               slots->engine.target, order);
    slots->orders.value++;
    start_call(slots, what, message);
}

static void
order_adapter(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    const char *slash = strchr(engine->order.adapter, '/');
    char *model = g_strndup(engine->order.adapter,
                            (gsize)(slash - engine->order.adapter));
    struct cm_engine_order order = {
        .load = engine->order.load,
        .model = model,
        .adapter = slash + 1,
        .version = engine->order.version,
        .expect = engine->report.accepted_orders,
        .holder = slots->settings.common.name,
        .fence = engine->fence,
    };
    give_order(slots, ENGINE_ORDER, &order);
    g_free(model);
}

static void
order_model(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    engine->no_model_until = CmTime_AddMs(Slots_Now(slots), MODEL_PAUSE_MS);
    struct cm_engine_order order = {
        .load = true,
        .model = engine->model,
        .expect = engine->report.accepted_orders,
        .holder = slots->settings.common.name,
        .fence = engine->fence,
    };
    give_order(slots, ENGINE_MODEL_ORDER, &order);
}

static bool
wants_model(const struct slots *slots)
{
    const struct engine *engine = &slots->engine;
    return !engine->has_model && !engine->report.model_order_active &&
           engine->model != NULL && !engine->report.draining &&
           !CmTime_Before(Slots_Now(slots), engine->no_model_until);
}

/// @return pause between two reports.
static int64_t
report_pause_ms(const struct slots *slots)
{
    if (CmResidency_HasPending(&slots->residency) ||
        !slots->engine.has_model) {
        return REPORT_BUSY_MS;
    }
    return g_hash_table_size(slots->claims) > 0 ? REPORT_RUNS_MS
                                                : REPORT_IDLE_MS;
}

/// Sets the time of the next report, counted from the last one: calls of
/// gateways come more often than reports and must not put them off.
static void
plan_report(struct slots *slots)
{
    int64_t since_ms = CmTime_DiffMs(Slots_Now(slots), slots->engine.reported);
    set_timer(slots, MAX(report_pause_ms(slots) - since_ms, 0));
}

/// Reads a report at once, unless one has just been read.
static void
look_soon(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    if (engine->under_way == ENGINE_IDLE && engine->known) {
        int64_t since_ms = CmTime_DiffMs(Slots_Now(slots), engine->reported);
        set_timer(slots, MAX(REPORT_BUSY_MS - since_ms, 0));
    }
}

/// @return slots kept free for late loads; an engine with another id than they
/// name refuses them.
static int64_t
reserved_slots(const struct slots *slots)
{
    const struct engine *engine = &slots->engine;
    if (g_strcmp0(engine->late_target, engine->target) != 0) {
        return 0;
    }
    return CmUnackedLoads_ReservedSlots(&engine->late_loads,
                                        engine->report.accepted_orders,
                                        engine->restarted, Slots_Now(slots));
}

/// Gives the next order, or sets the time of the next report.
static void
next_step(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    if (engine->under_way != ENGINE_IDLE) {
        return;
    }
    if (!engine->known) {
        // The engine does not answer: the pause after the failure holds.
        return;
    }
    if (engine->stale) {
        set_timer(slots, 0);
        return;
    }
    // An order that names no incarnation could reach the next one.
    bool may_order = engine->target != NULL;
    if (may_order && wants_model(slots)) {
        order_model(slots);
        return;
    }
    g_clear_pointer(&engine->order.adapter, g_free);
    slots->residency.slots = slots->engine_slots - reserved_slots(slots);
    if (may_order && engine->has_model &&
        CmResidency_NextOrder(&slots->residency, Slots_Now(slots),
                              &engine->order)) {
        order_adapter(slots);
        return;
    }
    plan_report(slots);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct slots *slots = context;
    struct engine *engine = &slots->engine;
    if (engine->under_way != ENGINE_IDLE) {
        CmH1Call_Cancel(&engine->call);
        note_late_load(slots, engine->under_way);
        engine->under_way = ENGINE_IDLE;
        engine->stale = true;
        engine_failed(slots, "no answer in time");
        return;
    }
    ask_report(slots);
}

void
Engine_Init(struct slots *slots)
{
    struct engine *engine = &slots->engine;
    engine->body = g_string_new(NULL);
    engine->runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    engine->fence = 1;
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
    g_free(engine->order.adapter);
    g_free(engine->model);
    g_free(engine->target);
    g_free(engine->late_target);
}

void
Engine_Wake(struct slots *slots)
{
    next_step(slots);
}

bool
Engine_Want(struct slots *slots, const char *target, const char *model)
{
    struct engine *engine = &slots->engine;
    replace_text(&engine->model, model);
    if (!engine->confirmed) {
        set_target(engine, target);
    }
    bool meant = strcmp(engine->target, target) == 0;
    if (engine->unseen || !meant) {
        // Another incarnation may be there: the next report tells.
        look_soon(slots);
    }
    else if (!engine->has_model) {
        next_step(slots);
    }
    return meant;
}

bool
Engine_Serves(const struct slots *slots)
{
    return slots->engine.known && slots->engine.has_model &&
           !slots->engine.unseen;
}
