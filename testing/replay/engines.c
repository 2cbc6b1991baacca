/// @file engines.c
/// Engines with their agents.

#include "engines.h"

/// Figures of the users' engines: prompt tokens read in a ms, time of a step
/// and its growth with each run, loads of an adapter from the store and from
/// the engine's own copies, how many copies it keeps.
#define READ_PER_MS 22.1
#define STEP_MS 6.8
#define STEP_RUN_MS 0.06
#define COLD_MS 250.0
#define WARM_MS 25.0
#define COPIES 36
/// Time until an agent sees what its engine has done.
#define REPORT_MS 15.0

struct load {
    struct engine *engine;
    char *adapter;
    bool cold;
    int incarnation;
};

void
Engine_Init(struct engine *engine, struct sim *sim, struct weight_store *store,
            int slots)
{
    *engine = (struct engine){.sim = sim, .store = store};
    CmResidency_Init(&engine->residency, slots);
    engine->held =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    engine->loading =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_queue_init(&engine->copies);
}

void
Engine_Finish(struct engine *engine)
{
    CmResidency_Finish(&engine->residency);
    g_hash_table_destroy(engine->held);
    g_hash_table_destroy(engine->loading);
    g_queue_clear_full(&engine->copies, g_free);
}

static gint
differs(gconstpointer a, gconstpointer b)
{
    return g_strcmp0(a, b);
}

/// Moves a copy to the front.
/// @return whether it was there.
static bool
touch_copy(struct engine *engine, const char *adapter)
{
    GList *known = g_queue_find_custom(&engine->copies, adapter, differs);
    if (known != NULL) {
        g_queue_unlink(&engine->copies, known);
        g_queue_push_head_link(&engine->copies, known);
        return true;
    }
    g_queue_push_head(&engine->copies, g_strdup(adapter));
    if (engine->copies.length > COPIES) {
        g_free(g_queue_pop_tail(&engine->copies));
    }
    return false;
}

static void
report_all(struct engine *engine, GHashTable *adapters, bool incoming)
{
    GHashTableIter iter;
    void *adapter;
    g_hash_table_iter_init(&iter, adapters);
    while (g_hash_table_iter_next(&iter, &adapter, NULL)) {
        CmResidency_ReportAdapter(&engine->residency, adapter, 1, incoming,
                                  engine->sim->now);
    }
}

static void
report(struct engine *engine)
{
    CmResidency_BeginReport(&engine->residency);
    report_all(engine, engine->held, false);
    report_all(engine, engine->loading, true);
    CmResidency_EndReport(&engine->residency, engine->sim->now);
    Engine_Pump(engine);
}

static void
on_loaded(void *context)
{
    struct load *load = context;
    struct engine *engine = load->engine;
    engine->store->in_transit -= load->cold;
    if (load->incarnation == engine->incarnation) {
        g_hash_table_remove(engine->loading, load->adapter);
        g_hash_table_add(engine->held, g_strdup(load->adapter));
        report(engine);
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
                          !touch_copy(engine, adapter), engine->incarnation};
    double ms = WARM_MS;
    if (load->cold) {
        store->in_transit++;
        store->fetched++;
        ms = COLD_MS *
             MAX(1.0, (double)store->in_transit / (double)store->quick);
    }
    g_hash_table_add(engine->loading, g_strdup(adapter));
    Sim_After(engine->sim, ms + REPORT_MS, on_loaded, load);
}

void
Engine_Pump(struct engine *engine)
{
    struct cm_residency_order order;
    while (!engine->down && CmResidency_NextOrder(&engine->residency,
                                                  engine->sim->now, &order)) {
        if (order.load) {
            start_load(engine, order.adapter);
        }
        else {
            g_hash_table_remove(engine->held, order.adapter);
        }
        CmResidency_OrderAccepted(&engine->residency, &order, !order.load,
                                  engine->sim->now);
        g_free(order.adapter);
    }
}

double
Engine_BacklogMs(const struct engine *engine)
{
    return MAX(engine->read_by_ms - Sim_Ms(engine->sim), 0);
}

double
Engine_Run(struct engine *engine, double tokens, double output,
           double *first_ms)
{
    double step = STEP_MS + STEP_RUN_MS * engine->running++;
    double wait = Engine_BacklogMs(engine) + tokens / READ_PER_MS;
    engine->read_by_ms = Sim_Ms(engine->sim) + wait;
    *first_ms = wait + step;
    return *first_ms + output * step;
}

void
Engine_Lose(struct engine *engine)
{
    engine->down = true;
    engine->incarnation++;
    engine->running = 0;
    engine->read_by_ms = 0;
    g_hash_table_remove_all(engine->held);
    g_hash_table_remove_all(engine->loading);
    CmResidency_BeginReport(&engine->residency);
    CmResidency_EndReport(&engine->residency, engine->sim->now);
}
