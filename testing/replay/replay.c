/// @file replay.c
/// Replays a load pattern: callers, gateways that place requests as the real
/// ones do, agents and engines in simulated time.

#include "replay.h"

#include <math.h>
#include <stdio.h>

#include "dispatch/wait_limit.h"
#include "dispatch/retry_after.h"
#include "engines.h"

/// Way between a gateway and an agent, one way.
#define WAY_MS 1.0
/// Interval of the platform's list, and its age when gateways see it.
#define LIST_MS 1200.0
#define LIST_AGE_MS 1000.0
/// Requests: prompt, tokens made, when the first event is on time, when a
/// caller leaves.
#define TOKENS 2200.0
#define OUTPUT_SHORT 24.0
#define OUTPUT_LONG 172.0
#define LONG_SHARE 0.2
#define TARGET_MS 800
#define PATIENCE_MS 3200
#define BEGIN_MS 150
#define LEASE_WAIT_MS 2000
/// Popularity of the adapter at place n: as n to this power.
#define SKEW (-1.2)
#define MS_PER_S 1000.0
#define SEED 11

struct world;

struct gateway {
    struct cm_targets targets;
};

struct request {
    LIST_ENTRY(request) link;
    struct world *world;
    struct gateway *gateway;
    char adapter[16];
    double output;
    double arrived_ms;
    double leaves_ms; ///< when its caller leaves; infinite for never
    bool came_back;
    struct cm_wait_limit asking;
    int64_t ahead_told_ms;
    struct cm_live_target *tried[CM_EXCLUDED_MAX];
    size_t n_tried;
    struct cm_live_target *target;
    struct engine *engine; ///< asked, or running it
    int64_t ahead_max_ms;
    bool last_ask;
    struct cm_lease lease;
    bool claimed; ///< the lease waits or is granted
    double asked_ms;
    int attempt; ///< events of an earlier one are void
    bool running;
    double first_ms;
};

/// An event for one attempt of a request.
struct step {
    struct request *request;
    int attempt;
    void (*action)(struct request *request);
};

struct world {
    struct sim sim;
    const struct pattern *pattern;
    const struct policy *policy;
    struct weight_store store;
    struct engine *engines;
    struct gateway *gateways;
    double *shares; ///< running sum of the adapters' popularity
    GRand *random;
    GArray *waits;
    GHashTable *by_id;             ///< target id to engine
    LIST_HEAD(, request) requests; ///< in progress
    GPtrArray *arrived;            ///< all; events may refer to ended ones
    struct replay_result result;
};

static void
place(struct request *request);

static void
on_step(void *context)
{
    struct step *step = context;
    // A request that has ended leaves its number behind.
    if (step->request->attempt == step->attempt) {
        step->action(step->request);
    }
    g_free(step);
}

static void
after(struct request *request, double ms, void (*action)(struct request *))
{
    struct step *step = g_new(struct step, 1);
    *step = (struct step){request, request->attempt, action};
    Sim_After(&request->world->sim, ms, on_step, step);
}

static double
since_arrival(const struct request *request)
{
    return Sim_Ms(&request->world->sim) - request->arrived_ms;
}

static void
drop_claim(struct request *request)
{
    if (request->claimed) {
        CmResidency_Release(&request->engine->residency, &request->lease);
        request->claimed = false;
        Engine_Pump(request->engine);
    }
}

static void
end_request(struct request *request, int *counter)
{
    drop_claim(request);
    (*counter)++;
    request->attempt++;
    LIST_REMOVE(request, link);
}

static void
come_back(struct request *request)
{
    request->asking = (struct cm_wait_limit){0};
    request->n_tried = 0;
    place(request);
}

static void
refuse(struct request *request)
{
    struct world *world = request->world;
    double retry = (double)CmRetryAfter_Ms(request->ahead_told_ms,
                                           g_rand_double(world->random));
    if (request->came_back || since_arrival(request) + retry > PATIENCE_MS) {
        end_request(request, &world->result.refused);
        return;
    }
    request->came_back = true;
    request->attempt++;
    after(request, retry, come_back);
}

static void
on_ended(struct request *request)
{
    struct world *world = request->world;
    request->engine->running--;
    request->target->in_flight--;
    request->running = false;
    end_request(request, request->first_ms <= TARGET_MS
                             ? &world->result.on_time
                             : &world->result.late);
}

static void
start_run(struct request *request)
{
    struct world *world = request->world;
    double wait = Sim_Ms(&world->sim) - request->asked_ms;
    g_array_append_val(world->waits, wait);
    double first;
    double whole =
        Engine_Run(request->engine, TOKENS, request->output, &first);
    request->first_ms = since_arrival(request) + first + 2 * WAY_MS;
    request->running = true;
    request->target->in_flight++;
    CmTarget_AddPrompt(request->target, (int64_t)TOKENS, world->sim.now);
    request->attempt++;
    if (request->arrived_ms + request->first_ms > request->leaves_ms ||
        request->first_ms > PATIENCE_MS) {
        whole =
            MAX(MIN(request->leaves_ms - request->arrived_ms, PATIENCE_MS) -
                    since_arrival(request),
                0);
        request->first_ms = INFINITY;
    }
    after(request, whole, on_ended);
}

static void
tell(struct request *request)
{
    struct engine *engine = request->engine;
    struct timespec now = request->world->sim.now;
    request->target->agent_report = (struct cm_agent_report){
        .slot_wait_ms = CmResidency_SlotWaitMs(&engine->residency),
        .backlog_ms = Engine_BacklogMs(engine),
        .received_at = now};
    CmTarget_SetReportedLoad(request->target, engine->running, 0, now);
    int64_t ahead = request->target->agent_report.slot_wait_ms +
                    (int64_t)request->target->agent_report.backlog_ms;
    if (request->ahead_told_ms == 0 || ahead < request->ahead_told_ms) {
        request->ahead_told_ms = ahead;
    }
}

static void
try_next(struct request *request)
{
    request->tried[request->n_tried++] = request->target;
    place(request);
}

static void
on_busy(struct request *request)
{
    tell(request);
    if (request->last_ask) {
        try_next(request);
        return;
    }
    CmWaitLimit_CountBusy(&request->asking, request->target);
    place(request);
}

static void
on_not_held(struct request *request)
{
    tell(request);
    CmTarget_SetResident(request->target, request->adapter, false,
                         request->world->sim.now);
    try_next(request);
}

static void
on_down(struct request *request)
{
    request->target->draining = true;
    try_next(request);
}

static void
on_late(struct request *request)
{
    drop_claim(request);
    request->attempt++;
    after(request, WAY_MS, on_not_held);
}

static void
on_granted(struct cm_lease *lease)
{
    struct request *request = lease->context;
    tell(request);
    CmTarget_SetResident(request->target, request->adapter, true,
                         request->world->sim.now);
    request->attempt++;
    after(request, 2 * WAY_MS, start_run);
}

/// The agent decides.
static void
on_asked(struct request *request)
{
    struct engine *engine = request->engine;
    struct cm_residency *residency = &engine->residency;
    if (engine->down) {
        after(request, WAY_MS, on_down);
        return;
    }
    double ahead =
        Engine_BacklogMs(engine) +
        (double)CmResidency_QueueWaitMs(residency, request->adapter, 0);
    if (ahead > (double)request->ahead_max_ms) {
        after(request, WAY_MS, on_busy);
        return;
    }
    request->lease = (struct cm_lease){
        .adapter = request->adapter,
        .on_time_ms = TARGET_MS - BEGIN_MS - (int64_t)since_arrival(request),
        .notify = on_granted,
        .context = request};
    switch (CmResidency_Request(residency, &request->lease,
                                request->world->sim.now)) {
    case CM_LEASE_GRANTED:
        request->claimed = true;
        on_granted(&request->lease);
        break;
    case CM_LEASE_WAITING:
        request->claimed = true;
        after(request, LEASE_WAIT_MS, on_late);
        Engine_Pump(engine);
        break;
    default:
        after(request, WAY_MS, on_not_held);
        break;
    }
}

static void
place(struct request *request)
{
    struct world *world = request->world;
    int64_t useful = PATIENCE_MS - (int64_t)since_arrival(request) - BEGIN_MS;
    request->attempt++;
    if (Sim_Ms(&world->sim) > request->leaves_ms) {
        end_request(request, &world->result.left);
        return;
    }
    struct cm_pick_request wanted = {.service = "s",
                                     .adapter = request->adapter,
                                     .needs_model = true,
                                     .excluded = request->tried,
                                     .n_excluded = request->n_tried};
    struct cm_pick pick = {0};
    if (useful > 0 && request->n_tried < CM_EXCLUDED_MAX) {
        world->policy->pick(&request->gateway->targets, &wanted,
                            world->sim.now, &pick);
    }
    if (pick.target == NULL) {
        refuse(request);
        return;
    }
    request->target = pick.target;
    request->engine = g_hash_table_lookup(world->by_id, pick.target->id);
    request->last_ask = CmWaitLimit_IsFinal(&request->asking, pick.target);
    struct cm_time_left left = {
        TARGET_MS - BEGIN_MS - (int64_t)since_arrival(request), useful};
    request->ahead_max_ms =
        CmWaitLimit_MaxQueueWaitMs(&request->asking, pick.target, &left);
    request->asked_ms = Sim_Ms(&world->sim);
    after(request, WAY_MS, on_asked);
}

static double
rate_now(const struct world *world)
{
    const struct pattern *pattern = world->pattern;
    double s = Sim_Ms(&world->sim) / MS_PER_S;
    bool burst = pattern->burst_x > 0 && s >= pattern->burst_from_s &&
                 s < pattern->burst_from_s + pattern->burst_for_s;
    return pattern->rate * (burst ? pattern->burst_x : 1);
}

static int
draw_adapter(struct world *world)
{
    const struct pattern *pattern = world->pattern;
    double draw =
        g_rand_double(world->random) * world->shares[pattern->adapters - 1];
    int low = 0;
    int high = pattern->adapters - 1;
    while (low < high) {
        int middle = (low + high) / 2;
        if (world->shares[middle] < draw) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    double s = Sim_Ms(&world->sim) / MS_PER_S;
    int moved = pattern->shift_s > 0 ? 2 * (int)(s / pattern->shift_s) : 0;
    return (low + moved) % pattern->adapters;
}

static void
on_arrival(void *context)
{
    struct world *world = context;
    const struct pattern *pattern = world->pattern;
    struct request *request = g_new0(struct request, 1);
    request->world = world;
    request->gateway =
        &world
             ->gateways[g_rand_int_range(world->random, 0, pattern->gateways)];
    request->arrived_ms = Sim_Ms(&world->sim);
    snprintf(request->adapter, sizeof(request->adapter), "m/a%d",
             draw_adapter(world));
    request->output =
        g_rand_double(world->random) < LONG_SHARE ? OUTPUT_LONG : OUTPUT_SHORT;
    request->leaves_ms = g_rand_double(world->random) < pattern->leave_share
                             ? request->arrived_ms + pattern->leave_ms
                             : INFINITY;
    LIST_INSERT_HEAD(&world->requests, request, link);
    g_ptr_array_add(world->arrived, request);
    world->result.requests++;
    double gap =
        -log(1 - g_rand_double(world->random)) * MS_PER_S / rate_now(world);
    if (request->arrived_ms + gap < pattern->seconds * MS_PER_S) {
        Sim_After(&world->sim, gap, on_arrival, world);
    }
    place(request);
}

/// Gateways read the platform's list.
static void
on_list(void *context)
{
    struct world *world = context;
    const struct pattern *pattern = world->pattern;
    for (int g = 0; g < pattern->gateways; g++) {
        struct cm_live_target *target;
        CmList_FOREACH (target, &world->gateways[g].targets.list, link) {
            struct engine *engine =
                g_hash_table_lookup(world->by_id, target->id);
            target->draining = engine->down;
            GHashTableIter iter;
            void *adapter;
            CmTarget_BeginAdapterList(target);
            g_hash_table_iter_init(&iter, engine->held);
            while (g_hash_table_iter_next(&iter, &adapter, NULL)) {
                CmTarget_ListAdapter(target, adapter, world->sim.now);
            }
            CmTarget_EndAdapterList(target, world->sim.now);
        }
    }
    if (Sim_Ms(&world->sim) < pattern->seconds * MS_PER_S) {
        Sim_After(&world->sim, LIST_MS, on_list, world);
    }
}

static int
n_lost(const struct pattern *pattern)
{
    return (int)(pattern->lost_share * pattern->engines);
}

static void
on_loss(void *context)
{
    struct world *world = context;
    for (int e = 0; e < n_lost(world->pattern); e++) {
        struct engine *engine = &world->engines[e];
        struct request *request;
        struct request *next;
        CmList_FOREACH_SAFE (request, &world->requests, link, next) {
            if (request->engine != engine ||
                !(request->claimed || request->running)) {
                continue;
            }
            if (request->running) {
                engine->running--;
                request->target->in_flight--;
                request->running = false;
            }
            CmResidency_Release(&engine->residency, &request->lease);
            request->claimed = false;
            request->attempt++;
            after(request, WAY_MS, on_down);
        }
        Engine_Lose(engine);
    }
}

static void
on_return(void *context)
{
    struct world *world = context;
    for (int e = 0; e < n_lost(world->pattern); e++) {
        world->engines[e].down = false;
    }
}

static void
add_targets(struct world *world, struct gateway *gateway)
{
    CmTargets_Init(&gateway->targets, "a", 1);
    for (int e = 0; e < world->pattern->engines; e++) {
        char id[16];
        char address[32];
        snprintf(id, sizeof(id), "e%d", e);
        snprintf(address, sizeof(address), "10.0.0.%d:80", e);
        struct cm_target_info info = {.id = id,
                                      .service = "s",
                                      .address = address,
                                      .zone = "a",
                                      .slots = 64,
                                      .has_model = true};
        CmTargets_Update(&gateway->targets, &info);
    }
}

static void
world_init(struct world *world, const struct pattern *pattern,
           const struct policy *policy)
{
    *world = (struct world){.pattern = pattern,
                            .policy = policy,
                            .store = {.quick = pattern->store_quick},
                            .random = g_rand_new_with_seed(SEED)};
    Sim_Init(&world->sim);
    LIST_INIT(&world->requests);
    world->arrived = g_ptr_array_new_with_free_func(g_free);
    world->waits = g_array_new(FALSE, FALSE, sizeof(double));
    world->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    world->engines = g_new0(struct engine, (gsize)pattern->engines);
    for (int e = 0; e < pattern->engines; e++) {
        Engine_Init(&world->engines[e], &world->sim, &world->store,
                    pattern->slots);
        g_hash_table_insert(world->by_id, g_strdup_printf("e%d", e),
                            &world->engines[e]);
    }
    world->gateways = g_new0(struct gateway, (gsize)pattern->gateways);
    for (int g = 0; g < pattern->gateways; g++) {
        add_targets(world, &world->gateways[g]);
    }
    world->shares = g_new(double, (gsize)pattern->adapters);
    double sum = 0;
    for (int a = 0; a < pattern->adapters; a++) {
        sum += pow(a + 1, SKEW);
        world->shares[a] = sum;
    }
}

static void
world_finish(struct world *world)
{
    for (int g = 0; g < world->pattern->gateways; g++) {
        CmTargets_Finish(&world->gateways[g].targets);
    }
    for (int e = 0; e < world->pattern->engines; e++) {
        Engine_Finish(&world->engines[e]);
    }
    g_hash_table_destroy(world->by_id);
    g_array_free(world->waits, TRUE);
    g_ptr_array_free(world->arrived, TRUE);
    g_free(world->engines);
    g_free(world->gateways);
    g_free(world->shares);
    g_rand_free(world->random);
    Sim_Finish(&world->sim);
}

static gint
ascending(gconstpointer a, gconstpointer b)
{
    double difference = *(const double *)a - *(const double *)b;
    return difference < 0 ? -1 : difference > 0;
}

struct replay_result
Replay_Play(const struct pattern *pattern, const struct policy *policy)
{
    struct world world;
    world_init(&world, pattern, policy);
    Sim_After(&world.sim, 0, on_arrival, &world);
    Sim_After(&world.sim, LIST_AGE_MS, on_list, &world);
    if (pattern->lost_at_s > 0) {
        double at = pattern->lost_at_s * MS_PER_S;
        Sim_After(&world.sim, at, on_loss, &world);
        Sim_After(&world.sim, at + pattern->lost_for_s * MS_PER_S, on_return,
                  &world);
    }
    Sim_Run(&world.sim);
    g_array_sort(world.waits, ascending);
    struct replay_result result = world.result;
    result.fetched = world.store.fetched;
    if (world.waits->len > 0) {
        result.wait_p95_ms =
            g_array_index(world.waits, double, world.waits->len * 95 / 100);
    }
    world_finish(&world);
    return result;
}

double
Replay_Goodput(const struct replay_result *result)
{
    return result->on_time + result->late / 2.0;
}

double
Replay_Worth(const struct replay_result *result)
{
    return Replay_Goodput(result) / MAX(result->requests - result->left, 1);
}
