/// @file engines.c
/// Simulated engines with their agents.

#include "engines.h"

/// Characteristics of the users' engines. Duration of a decode step, and its
/// growth with each request in the batch.
#define STEP_MS 6.8
#define STEP_REQUEST_MS 0.06
/// Duration of a load from a copy of the adapter that the engine keeps outside
/// its slots.
#define WARM_LOAD_MS 25.0
/// Adapters of which an engine keeps such a copy.
#define CACHED_ADAPTERS_MAX 36
/// Time after which an agent learns that a load is complete.
#define REPORT_DELAY_MS 15.0

/// A load in progress.
struct load {
    struct engine *engine;
    char *adapter;
    bool cold;       ///< from the weight store
    int incarnation; ///< of the engine when the load started
};

void
Engine_Init(struct engine *engine, struct sim *sim, struct weight_store *store,
            int slots, double prefill_rate)
{
    *engine = (struct engine){
        .sim = sim, .store = store, .prefill_rate = prefill_rate};
    CmResidency_Init(&engine->residency, slots);
    engine->resident =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    engine->loading =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_queue_init(&engine->cached_adapters);
}

void
Engine_Finish(struct engine *engine)
{
    CmResidency_Finish(&engine->residency);
    g_hash_table_destroy(engine->resident);
    g_hash_table_destroy(engine->loading);
    g_queue_clear_full(&engine->cached_adapters, g_free);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return g_strcmp0(a, b);
}

/// Moves a cached adapter to the front of the cache, or adds it and evicts
/// the least recently used one.
/// @return whether it was cached.
static bool
touch_cached_adapter(struct engine *engine, const char *adapter)
{
    GList *cached =
        g_queue_find_custom(&engine->cached_adapters, adapter, compare_names);
    if (cached != NULL) {
        g_queue_unlink(&engine->cached_adapters, cached);
        g_queue_push_head_link(&engine->cached_adapters, cached);
        return true;
    }
    g_queue_push_head(&engine->cached_adapters, g_strdup(adapter));
    if (engine->cached_adapters.length > CACHED_ADAPTERS_MAX) {
        g_free(g_queue_pop_tail(&engine->cached_adapters));
    }
    return false;
}

/// Reports each adapter in the table to the agent.
static void
report_adapters(struct engine *engine, GHashTable *adapters, bool incoming)
{
    GHashTableIter iter;
    void *adapter;
    g_hash_table_iter_init(&iter, adapters);
    while (g_hash_table_iter_next(&iter, &adapter, NULL)) {
        CmResidency_ReportAdapter(&engine->residency, adapter, 1, incoming,
                                  engine->sim->now);
    }
}

/// Sends a complete report to the agent and executes its orders.
static void
report_state(struct engine *engine)
{
    CmResidency_BeginReport(&engine->residency);
    report_adapters(engine, engine->resident, false);
    report_adapters(engine, engine->loading, true);
    CmResidency_EndReport(&engine->residency, engine->sim->now);
    Engine_ExecuteOrders(engine);
}

/// Puts a loaded adapter into its slot, unless the engine has failed since.
static void
finish_load(void *context)
{
    struct load *load = context;
    struct engine *engine = load->engine;
    engine->store->in_transit -= load->cold;
    if (load->incarnation == engine->incarnation) {
        g_hash_table_remove(engine->loading, load->adapter);
        g_hash_table_add(engine->resident, g_strdup(load->adapter));
        report_state(engine);
    }
    g_free(load->adapter);
    g_free(load);
}

static void
start_load(struct engine *engine, const char *adapter)
{
    struct weight_store *store = engine->store;
    struct load *load = g_new0(struct load, 1);
    *load = (struct load){engine, g_strdup(adapter),
                          !touch_cached_adapter(engine, adapter),
                          engine->incarnation};
    double ms = WARM_LOAD_MS;
    if (load->cold) {
        store->in_transit++;
        store->cold_loads++;
        ms = store->load_ms * MAX(1.0, (double)store->in_transit /
                                           (double)store->full_speed_loads);
    }
    g_hash_table_add(engine->loading, g_strdup(adapter));
    Sim_Schedule(engine->sim, ms + REPORT_DELAY_MS, finish_load, load);
}

void
Engine_ExecuteOrders(struct engine *engine)
{
    struct cm_residency_order order;
    while (!engine->down && CmResidency_NextOrder(&engine->residency,
                                                  engine->sim->now, &order)) {
        if (order.load) {
            start_load(engine, order.adapter);
        }
        else {
            g_hash_table_remove(engine->resident, order.adapter);
        }
        CmResidency_OrderAccepted(&engine->residency, &order, !order.load,
                                  engine->sim->now);
        g_free(order.adapter);
    }
}

double
Engine_BacklogMs(const struct engine *engine)
{
    return MAX(engine->prefill_done_ms - Sim_ElapsedMs(engine->sim), 0);
}

double
Engine_Run(struct engine *engine, double prompt_tokens, double output_tokens,
           double *first_event_ms)
{
    engine->runs++;
    double step_ms = STEP_MS + STEP_REQUEST_MS * engine->running++;
    double wait =
        Engine_BacklogMs(engine) + prompt_tokens / engine->prefill_rate;
    engine->prefill_done_ms = Sim_ElapsedMs(engine->sim) + wait;
    *first_event_ms = wait + step_ms;
    return *first_event_ms + output_tokens * step_ms;
}

void
Engine_Fail(struct engine *engine)
{
    engine->down = true;
    engine->incarnation++;
    engine->running = 0;
    engine->prefill_done_ms = 0;
    g_hash_table_remove_all(engine->resident);
    g_hash_table_remove_all(engine->loading);
    CmResidency_BeginReport(&engine->residency);
    CmResidency_EndReport(&engine->residency, engine->sim->now);
}
