/// @file replay.c
/// Simulates callers, gateways, agents and engines under a load pattern.
/// Gateways route requests, and agents grant leases, as the real ones do.

#include "replay.h"

#include <math.h>
#include <stdio.h>

#include "dispatch/demand.h"
#include "dispatch/wait_limit.h"
#include "dispatch/retry_after.h"
#include "engines.h"

/// One-way delay between a gateway and an agent.
#define NETWORK_DELAY_MS 1.0
/// Interval at which gateways read the platform's list of targets, and time
/// of the first read.
#define LIST_INTERVAL_MS 1200.0
#define LIST_FIRST_MS 1000.0
/// Sizes of requests.
#define OUTPUT_TOKENS_SHORT 24.0
#define OUTPUT_TOKENS_LONG 172.0
#define LONG_OUTPUT_SHARE 0.2
/// Time until the first event of an answer that is on time.
#define LATENCY_TARGET_MS 800
/// Duration of a load from the weight store.
#define COLD_LOAD_MS 250.0
/// Wait from sending to the start of a run beyond which a load or a slot was
/// waited for.
#define LOAD_WAIT_MS 100.0
/// Time after which a caller that got no event gives up.
#define CLIENT_TIMEOUT_MS 3200
/// Time from the grant of a lease to the first event at an idle engine.
#define FIRST_EVENT_MS 150
/// Longest wait of a request for its lease at an agent.
#define LEASE_TIMEOUT_MS 2000
/// The popularity of the adapter at rank n is proportional to n to this power.
#define POPULARITY_EXPONENT (-1.2)
#define MS_PER_S 1000.0
#define SEED 11

struct replay;

struct gateway {
    struct cm_targets targets;
    struct cm_demand demand;
};

struct request {
    LIST_ENTRY(request) link;
    struct replay *replay;
    struct gateway *gateway;
    char adapter[16];
    double prompt_tokens;
    double output_tokens;
    double arrived_ms;
    double abandons_ms; ///< time at which its caller gives up, or infinity
    double demand;      ///< for its adapter when it arrived
    bool retried;       ///< rejected once and sent again
    struct cm_wait_limit wait_limit;
    int64_t shortest_queue_wait_ms; ///< of all agents' reports, 0 for none
    struct cm_live_target *excluded[CM_EXCLUDED_MAX];
    size_t n_excluded;
    struct cm_live_target *target;
    struct engine *engine;     ///< engine of `target`
    int64_t max_queue_wait_ms; ///< longer ones are answered with busy
    bool may_wait;             ///< as long as needed: no other engine is left
    bool final_attempt;        ///< if busy, the target is excluded
    struct cm_lease lease;
    bool has_lease; ///< `lease` is waiting or granted
    double sent_ms; ///< time at which it was sent to the agent
    int attempt;    ///< events of earlier attempts are ignored
    bool running;
    bool waited_for_load;
    double first_event_ms; ///< since its arrival
};

/// A scheduled action of one attempt of a request.
struct attempt_event {
    struct request *request;
    int attempt;
    void (*action)(struct request *request);
};

/// State of the simulation.
struct replay {
    struct sim sim;
    const struct pattern *pattern;
    const struct policy *policy;
    struct weight_store store;
    struct engine *engines;
    struct gateway *gateways;
    double *cumulative_popularity; ///< sum up to each rank
    GRand *random;
    GHashTable *requested_adapters; ///< names of those requested so far
    GArray *slot_waits_ms; ///< of double, from sending to the start of the run
    GArray *first_events_ms;       ///< of double, since the arrival
    GHashTable *engines_by_id;     ///< target id to engine
    LIST_HEAD(, request) requests; ///< in progress
    GPtrArray *all_requests; ///< also ended ones: events may refer to them
    struct replay_result result;
};

static void
route_request(struct request *request);

static int
latency_target_ms(const struct replay *replay)
{
    int target_ms = replay->pattern->latency_target_ms;
    return target_ms > 0 ? target_ms : LATENCY_TARGET_MS;
}

/// Runs a scheduled action, unless the request is at another attempt by then
/// or has ended.
static void
run_attempt_event(void *context)
{
    struct attempt_event *event = context;
    if (event->request->attempt == event->attempt) {
        event->action(event->request);
    }
    g_free(event);
}

/// Schedules an action of the request's present attempt.
static void
schedule_action(struct request *request, double ms,
                void (*action)(struct request *))
{
    struct attempt_event *event = g_new(struct attempt_event, 1);
    *event = (struct attempt_event){request, request->attempt, action};
    Sim_Schedule(&request->replay->sim, ms, run_attempt_event, event);
}

/// @return time since the request arrived, in ms.
static double
elapsed_ms(const struct request *request)
{
    return Sim_ElapsedMs(&request->replay->sim) - request->arrived_ms;
}

static void
release_lease(struct request *request)
{
    if (request->has_lease) {
        CmResidency_RecordRun(&request->engine->residency, &request->lease,
                              request->replay->sim.now);
        CmResidency_Release(&request->engine->residency, &request->lease);
        request->has_lease = false;
        Engine_ExecuteOrders(request->engine);
    }
}

/// Ends a request.
/// @param counter of its outcome.
static void
end_request(struct request *request, int *counter)
{
    release_lease(request);
    (*counter)++;
    request->attempt++;
    LIST_REMOVE(request, link);
}

/// Routes a rejected request again, to any engine.
static void
retry_request(struct request *request)
{
    request->wait_limit = (struct cm_wait_limit){0};
    request->n_excluded = 0;
    route_request(request);
}

/// Rejects a request with a Retry-After delay. The caller retries once, if
/// the delay ends before its timeout.
static void
retry_or_reject(struct request *request)
{
    struct replay *replay = request->replay;
    double delay_ms = (double)CmRetryAfter_Ms(
        request->shortest_queue_wait_ms, 0, g_rand_double(replay->random));
    if (request->retried ||
        elapsed_ms(request) + delay_ms > CLIENT_TIMEOUT_MS) {
        end_request(request, &replay->result.rejected);
        return;
    }
    request->retried = true;
    request->attempt++;
    schedule_action(request, delay_ms, retry_request);
}

static void
finish_run(struct request *request)
{
    struct replay *replay = request->replay;
    request->engine->running--;
    request->target->in_flight--;
    request->running = false;
    bool on_time = request->first_event_ms <= latency_target_ms(replay);
    replay->result.late_waits += !on_time && request->waited_for_load;
    g_array_append_val(replay->first_events_ms, request->first_event_ms);
    end_request(request,
                on_time ? &replay->result.on_time : &replay->result.late);
}

/// Starts a request at its engine. If its caller gives up before the first
/// event, the run ends at that time.
static void
start_run(struct request *request)
{
    struct replay *replay = request->replay;
    double wait_ms = Sim_ElapsedMs(&replay->sim) - request->sent_ms;
    g_array_append_val(replay->slot_waits_ms, wait_ms);
    request->waited_for_load = wait_ms > LOAD_WAIT_MS;
    double first_ms;
    double duration_ms = Engine_Run(request->engine, request->prompt_tokens,
                                    request->output_tokens, &first_ms);
    request->first_event_ms =
        elapsed_ms(request) + first_ms + 2 * NETWORK_DELAY_MS;
    request->running = true;
    request->target->in_flight++;
    CmTarget_AddPrompt(request->target, (int64_t)request->prompt_tokens,
                       replay->sim.now);
    request->attempt++;
    if (request->arrived_ms + request->first_event_ms > request->abandons_ms ||
        request->first_event_ms > CLIENT_TIMEOUT_MS) {
        duration_ms = MAX(MIN(request->abandons_ms - request->arrived_ms,
                              CLIENT_TIMEOUT_MS) -
                              elapsed_ms(request),
                          0);
        request->first_event_ms = INFINITY;
    }
    schedule_action(request, duration_ms, finish_run);
}

/// Applies the state in an agent's answer to the gateway's target.
static void
apply_agent_report(struct request *request)
{
    struct engine *engine = request->engine;
    struct timespec now = request->replay->sim.now;
    request->target->agent_report = (struct cm_agent_report){
        .slot_wait_ms = CmResidency_SlotWaitMs(&engine->residency, now),
        .backlog_ms = Engine_BacklogMs(engine),
        .received_at = now};
    CmTarget_SetReportedLoad(request->target, engine->running, 0, now);
    int64_t queue_wait_ms = request->target->agent_report.slot_wait_ms +
                            (int64_t)request->target->agent_report.backlog_ms;
    if (request->shortest_queue_wait_ms == 0 ||
        queue_wait_ms < request->shortest_queue_wait_ms) {
        request->shortest_queue_wait_ms = queue_wait_ms;
    }
}

static void
exclude_target_and_route(struct request *request)
{
    request->excluded[request->n_excluded++] = request->target;
    route_request(request);
}

/// Handles an agent's answer that the queue wait exceeds the limit.
static void
handle_busy(struct request *request)
{
    apply_agent_report(request);
    if (request->final_attempt) {
        exclude_target_and_route(request);
        return;
    }
    CmWaitLimit_CountBusy(&request->wait_limit, request->target);
    route_request(request);
}

/// Handles an agent's answer that the adapter is not available in time.
static void
handle_not_resident(struct request *request)
{
    apply_agent_report(request);
    CmTarget_SetResident(request->target, request->adapter, false,
                         request->replay->sim.now);
    exclude_target_and_route(request);
}

/// Handles a failed connection to an agent.
static void
handle_agent_down(struct request *request)
{
    request->target->draining = true;
    exclude_target_and_route(request);
}

/// Gives up a lease that was not granted within LEASE_TIMEOUT_MS.
static void
handle_lease_timeout(struct request *request)
{
    release_lease(request);
    request->attempt++;
    schedule_action(request, NETWORK_DELAY_MS, handle_not_resident);
}

/// Gives up a lease whose adapter's load has not begun in time.
static void
handle_slot_timeout(struct request *request)
{
    if (!CmResidency_IsLoading(&request->engine->residency, &request->lease)) {
        handle_lease_timeout(request);
    }
}

/// Starts the run after two network delays: the agent's answer to the gateway,
/// then the gateway's request to the engine.
static void
handle_lease_granted(struct cm_lease *lease)
{
    struct request *request = lease->context;
    apply_agent_report(request);
    CmTarget_SetResident(request->target, request->adapter, true,
                         request->replay->sim.now);
    request->attempt++;
    schedule_action(request, 2 * NETWORK_DELAY_MS, start_run);
}

/// Simulates the agent's decision on a request: busy, not available, or a
/// lease that is granted or waits.
static void
decide_at_agent(struct request *request)
{
    struct engine *engine = request->engine;
    struct cm_residency *residency = &engine->residency;
    if (engine->down) {
        schedule_action(request, NETWORK_DELAY_MS, handle_agent_down);
        return;
    }
    double queue_wait_ms =
        Engine_BacklogMs(engine) +
        (double)CmResidency_QueueWaitMs(residency, request->adapter, 0,
                                        request->replay->sim.now);
    if (queue_wait_ms > (double)request->max_queue_wait_ms) {
        schedule_action(request, NETWORK_DELAY_MS, handle_busy);
        return;
    }
    request->lease = (struct cm_lease){
        .adapter = request->adapter,
        .on_time_ms = latency_target_ms(request->replay) - FIRST_EVENT_MS -
                      (int64_t)elapsed_ms(request),
        .notify = handle_lease_granted,
        .context = request};
    switch (CmResidency_Request(residency, &request->lease,
                                request->replay->sim.now)) {
    case CM_LEASE_GRANTED:
        request->has_lease = true;
        handle_lease_granted(&request->lease);
        break;
    case CM_LEASE_WAITING:
        request->has_lease = true;
        schedule_action(request, LEASE_TIMEOUT_MS, handle_lease_timeout);
        if (!request->may_wait) {
            schedule_action(request, CM_RESIDENCY_SLOT_WAIT_MAX_MS,
                            handle_slot_timeout);
        }
        Engine_ExecuteOrders(engine);
        break;
    default:
        schedule_action(request, NETWORK_DELAY_MS, handle_not_resident);
        break;
    }
}

/// Sends a request to the engine that the policy picks, or rejects it if
/// there is none.
static void
route_request(struct request *request)
{
    struct replay *replay = request->replay;
    int64_t client_time_left_ms =
        CLIENT_TIMEOUT_MS - (int64_t)elapsed_ms(request) - FIRST_EVENT_MS;
    request->attempt++;
    if (Sim_ElapsedMs(&replay->sim) > request->abandons_ms) {
        end_request(request, &replay->result.abandoned);
        return;
    }
    struct cm_pick_request pick_request = {.service = "s",
                                           .adapter = request->adapter,
                                           .needs_model = true,
                                           .demand = request->demand,
                                           .excluded = request->excluded,
                                           .n_excluded = request->n_excluded};
    struct cm_pick pick = {0};
    if (client_time_left_ms > 0 && request->n_excluded < CM_EXCLUDED_MAX) {
        replay->policy->pick(&request->gateway->targets, &pick_request,
                             replay->sim.now, &pick);
    }
    if (pick.target == NULL) {
        retry_or_reject(request);
        return;
    }
    request->target = pick.target;
    request->engine =
        g_hash_table_lookup(replay->engines_by_id, pick.target->id);
    request->may_wait =
        pick.candidates <= 1 || request->n_excluded + 1 >= CM_EXCLUDED_MAX;
    request->final_attempt =
        CmWaitLimit_IsFinal(&request->wait_limit, pick.target);
    struct cm_time_left time_left = {latency_target_ms(replay) -
                                         FIRST_EVENT_MS -
                                         (int64_t)elapsed_ms(request),
                                     client_time_left_ms};
    request->max_queue_wait_ms = CmWaitLimit_MaxQueueWaitMs(
        &request->wait_limit, pick.target, &time_left);
    request->sent_ms = Sim_ElapsedMs(&replay->sim);
    schedule_action(request, NETWORK_DELAY_MS, decide_at_agent);
}

/// @return present rate of arrivals, in requests per second.
static double
arrival_rate(const struct replay *replay)
{
    const struct pattern *pattern = replay->pattern;
    double s = Sim_ElapsedMs(&replay->sim) / MS_PER_S;
    bool burst = pattern->burst_factor > 0 && s >= pattern->burst_from_s &&
                 s < pattern->burst_from_s + pattern->burst_duration_s;
    return pattern->rate * (burst ? pattern->burst_factor : 1);
}

/// @return an adapter, drawn at random by its present popularity.
static int
draw_adapter(struct replay *replay)
{
    const struct pattern *pattern = replay->pattern;
    double draw = g_rand_double(replay->random) *
                  replay->cumulative_popularity[pattern->adapters - 1];
    int low = 0;
    int high = pattern->adapters - 1;
    while (low < high) {
        int middle = (low + high) / 2;
        if (replay->cumulative_popularity[middle] < draw) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    double s = Sim_ElapsedMs(&replay->sim) / MS_PER_S;
    int offset = pattern->shift_interval_s > 0
                     ? 2 * (int)(s / pattern->shift_interval_s)
                     : 0;
    return (low + offset) % pattern->adapters;
}

/// Adds a new request and schedules the next one, with exponentially
/// distributed gaps.
static void
add_request(void *context)
{
    struct replay *replay = context;
    const struct pattern *pattern = replay->pattern;
    struct request *request = g_new0(struct request, 1);
    request->replay = replay;
    request->gateway = &replay->gateways[g_rand_int_range(replay->random, 0,
                                                          pattern->gateways)];
    request->arrived_ms = Sim_ElapsedMs(&replay->sim);
    snprintf(request->adapter, sizeof(request->adapter), "m/a%d",
             draw_adapter(replay));
    g_hash_table_add(replay->requested_adapters, g_strdup(request->adapter));
    request->prompt_tokens = pattern->prompt_tokens;
    if (pattern->prompt_tokens_max > 0) {
        request->prompt_tokens =
            g_rand_double_range(replay->random, pattern->prompt_tokens,
                                pattern->prompt_tokens_max);
    }
    request->output_tokens = g_rand_double(replay->random) < LONG_OUTPUT_SHARE
                                 ? OUTPUT_TOKENS_LONG
                                 : OUTPUT_TOKENS_SHORT;
    if (pattern->output_factor > 0) {
        request->output_tokens *= pattern->output_factor;
    }
    request->demand = CmDemand_Of(&request->gateway->demand, request->adapter,
                                  replay->sim.now) *
                      pattern->gateways;
    CmDemand_Count(&request->gateway->demand, request->adapter,
                   replay->sim.now);
    request->abandons_ms =
        g_rand_double(replay->random) < pattern->abandon_share
            ? request->arrived_ms + pattern->abandon_after_ms
            : INFINITY;
    LIST_INSERT_HEAD(&replay->requests, request, link);
    g_ptr_array_add(replay->all_requests, request);
    replay->result.requests++;
    double gap_ms = -log(1 - g_rand_double(replay->random)) * MS_PER_S /
                    arrival_rate(replay);
    if (request->arrived_ms + gap_ms < pattern->duration_s * MS_PER_S) {
        Sim_Schedule(&replay->sim, gap_ms, add_request, replay);
    }
    route_request(request);
}

/// Updates the targets of all gateways from the platform's list and schedules
/// the next read.
static void
read_target_list(void *context)
{
    struct replay *replay = context;
    const struct pattern *pattern = replay->pattern;
    for (int g = 0; g < pattern->gateways; g++) {
        struct cm_live_target *target;
        CmList_FOREACH (target, &replay->gateways[g].targets.list, link) {
            struct engine *engine =
                g_hash_table_lookup(replay->engines_by_id, target->id);
            target->draining = engine->down;
            GHashTableIter iter;
            void *adapter;
            CmTarget_BeginAdapterList(target);
            g_hash_table_iter_init(&iter, engine->resident);
            while (g_hash_table_iter_next(&iter, &adapter, NULL)) {
                CmTarget_ListAdapter(target, adapter, replay->sim.now);
            }
            CmTarget_EndAdapterList(target, replay->sim.now);
        }
    }
    if (Sim_ElapsedMs(&replay->sim) < pattern->duration_s * MS_PER_S) {
        Sim_Schedule(&replay->sim, LIST_INTERVAL_MS, read_target_list, replay);
    }
}

static int
failed_engine_count(const struct pattern *pattern)
{
    return (int)(pattern->fail_share * pattern->engines);
}

/// Takes a share of the engines down. Their requests see a connection failure
/// and are routed again.
static void
fail_engines(void *context)
{
    struct replay *replay = context;
    for (int e = 0; e < failed_engine_count(replay->pattern); e++) {
        struct engine *engine = &replay->engines[e];
        struct request *request;
        struct request *next;
        CmList_FOREACH_SAFE (request, &replay->requests, link, next) {
            if (request->engine != engine ||
                !(request->has_lease || request->running)) {
                continue;
            }
            if (request->running) {
                engine->running--;
                request->target->in_flight--;
                request->running = false;
            }
            CmResidency_Release(&engine->residency, &request->lease);
            request->has_lease = false;
            request->attempt++;
            schedule_action(request, NETWORK_DELAY_MS, handle_agent_down);
        }
        Engine_Fail(engine);
    }
}

static void
restore_engines(void *context)
{
    struct replay *replay = context;
    for (int e = 0; e < failed_engine_count(replay->pattern); e++) {
        replay->engines[e].down = false;
    }
}

static void
add_engines(struct replay *replay, struct gateway *gateway)
{
    CmTargets_Init(&gateway->targets, "a", 1);
    CmDemand_Init(&gateway->demand);
    for (int e = 0; e < replay->pattern->engines; e++) {
        char id[16];
        char address[32];
        snprintf(id, sizeof(id), "e%d", e);
        snprintf(address, sizeof(address), "10.0.0.%d:80", e);
        struct cm_target_info info = {.id = id,
                                      .service = "s",
                                      .address = address,
                                      .zone = "a",
                                      .max_requests = 64,
                                      .has_model = true};
        CmTargets_Update(&gateway->targets, &info);
    }
}

static void
init_replay(struct replay *replay, const struct pattern *pattern,
            const struct policy *policy)
{
    *replay = (struct replay){
        .pattern = pattern,
        .policy = policy,
        .store = {.full_speed_loads = pattern->store_full_speed_loads,
                  .load_ms = pattern->cold_load_ms > 0 ? pattern->cold_load_ms
                                                       : COLD_LOAD_MS},
        .random = g_rand_new_with_seed(SEED)};
    Sim_Init(&replay->sim);
    LIST_INIT(&replay->requests);
    replay->all_requests = g_ptr_array_new_with_free_func(g_free);
    replay->slot_waits_ms = g_array_new(FALSE, FALSE, sizeof(double));
    replay->first_events_ms = g_array_new(FALSE, FALSE, sizeof(double));
    replay->requested_adapters =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    replay->engines_by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    replay->engines = g_new0(struct engine, (gsize)pattern->engines);
    for (int e = 0; e < pattern->engines; e++) {
        Engine_Init(&replay->engines[e], &replay->sim, &replay->store,
                    pattern->slots, pattern->prefill_rate);
        g_hash_table_insert(replay->engines_by_id, g_strdup_printf("e%d", e),
                            &replay->engines[e]);
    }
    replay->gateways = g_new0(struct gateway, (gsize)pattern->gateways);
    for (int g = 0; g < pattern->gateways; g++) {
        add_engines(replay, &replay->gateways[g]);
    }
    replay->cumulative_popularity = g_new(double, (gsize)pattern->adapters);
    double exponent = pattern->popularity_exponent < 0
                          ? pattern->popularity_exponent
                          : POPULARITY_EXPONENT;
    double sum = 0;
    for (int a = 0; a < pattern->adapters; a++) {
        sum += pow(a + 1, exponent);
        replay->cumulative_popularity[a] = sum;
    }
}

static void
finish_replay(struct replay *replay)
{
    for (int g = 0; g < replay->pattern->gateways; g++) {
        CmTargets_Finish(&replay->gateways[g].targets);
        CmDemand_Finish(&replay->gateways[g].demand);
    }
    for (int e = 0; e < replay->pattern->engines; e++) {
        Engine_Finish(&replay->engines[e]);
    }
    g_hash_table_destroy(replay->engines_by_id);
    g_hash_table_destroy(replay->requested_adapters);
    g_array_free(replay->slot_waits_ms, TRUE);
    g_array_free(replay->first_events_ms, TRUE);
    g_ptr_array_free(replay->all_requests, TRUE);
    g_free(replay->engines);
    g_free(replay->gateways);
    g_free(replay->cumulative_popularity);
    g_rand_free(replay->random);
    Sim_Finish(&replay->sim);
}

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
    double difference = *(const double *)a - *(const double *)b;
    return difference < 0 ? -1 : difference > 0;
}

static double
percentile(GArray *values, guint percent)
{
    g_array_sort(values, compare_doubles);
    return values->len > 0
               ? g_array_index(values, double, values->len *percent / 100)
               : 0;
}

/// @return runs at the busiest engine, as a multiple of those at the mean one.
static double
busiest_engine(const struct replay *replay)
{
    int most = 0;
    int sum = 0;
    for (int e = 0; e < replay->pattern->engines; e++) {
        most = MAX(most, replay->engines[e].runs);
        sum += replay->engines[e].runs;
    }
    return (double)most * replay->pattern->engines / MAX(sum, 1);
}

struct replay_result
Replay_Simulate(const struct pattern *pattern, const struct policy *policy)
{
    struct replay replay;
    init_replay(&replay, pattern, policy);
    Sim_Schedule(&replay.sim, 0, add_request, &replay);
    Sim_Schedule(&replay.sim, LIST_FIRST_MS, read_target_list, &replay);
    if (pattern->fail_at_s > 0) {
        double at = pattern->fail_at_s * MS_PER_S;
        Sim_Schedule(&replay.sim, at, fail_engines, &replay);
        Sim_Schedule(&replay.sim, at + pattern->fail_duration_s * MS_PER_S,
                     restore_engines, &replay);
    }
    Sim_Run(&replay.sim);
    struct replay_result result = replay.result;
    result.cold_loads = replay.store.cold_loads;
    result.adapters = (int)g_hash_table_size(replay.requested_adapters);
    result.slot_wait_p95_ms = percentile(replay.slot_waits_ms, 95);
    result.first_event_p99_ms = percentile(replay.first_events_ms, 99);
    result.busiest = busiest_engine(&replay);
    finish_replay(&replay);
    return result;
}

double
Replay_Goodput(const struct replay_result *result)
{
    return result->on_time + result->late / 2.0;
}

double
Replay_GoodputShare(const struct replay_result *result)
{
    return Replay_Goodput(result) /
           MAX(result->requests - result->abandoned, 1);
}
