/// @file policy.c
/// Routing policies: least expected wait, and three simple ones as a baseline
/// for comparison.

#include <string.h>

#include "base/clock.h"
#include "routing/router.h"

/// Cost of a request to another zone.
#define CROSS_ZONE_MS 3.0
/// Share of a run's time that a full batch adds to it.
#define BATCH_SLOWDOWN 0.3
/// Cost of an empty batch at full batch weight, as a share of a run's time.
#define EMPTY_BATCH_COST 0.5
/// Expected remainder of a load in progress, as a share of its time.
#define LOADING_REMAINDER 0.5
/// Cost of each rank among the preferred targets, as a share of LOAD_MS.
#define RANK_STEP 0.1
/// Time of one load without contention.
#define LOAD_MS 250.0
/// Cap on the expected uses of an evicted adapter in the eviction penalty.
#define EVICTION_USES_MAX 20.0
/// Expected wait, in load times, above which non-preferred targets are
/// considered.
#define SPILL_WAIT_LOADS 1.0
/// Share of its capacity at which a target's slow start begins.
#define SLOW_START_MIN_SHARE 0.1
/// Random draws to find two eligible targets.
#define RANDOM_TRIES_MAX 8

static bool
is_excluded(const struct cm_route_request *request,
            const struct cm_route_target *target)
{
    for (size_t i = 0; i < request->n_excluded; i++) {
        if (strcmp(request->excluded[i], target->name) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_eligible(const struct cm_route_request *request,
            const struct cm_route_target *target, struct timespec now)
{
    // If a target with two suspects crashes, the cause stays unknown.
    bool has_other_suspect = request->suspect && target->suspects > 0;
    return target->usable && !has_other_suspect &&
           !CmTime_Before(now, target->ejected_until) &&
           !is_excluded(request, target);
}

/// Combines the target's last report with the requests of this entry, which
/// the report may not contain yet.
/// @return requests that the target has to serve.
static double
estimated_load(const struct cm_route_target *target)
{
    uint64_t reported = target->running + target->waiting;
    uint64_t known =
        reported > target->outstanding ? reported : target->outstanding;
    uint64_t corrected = reported + target->unreported;
    return (double)(known > corrected ? known : corrected);
}

/// @return requests that the target may run at the same time; less during its
///         slow start.
static double
ramped_capacity(const struct cm_route_target *target, struct timespec now)
{
    double share =
        (double)CmTime_DiffMs(now, target->usable_since) / CM_SLOW_START_MS;
    share = share < SLOW_START_MIN_SHARE ? SLOW_START_MIN_SHARE : share;
    share = share > 1 ? 1 : share;
    double capacity = (double)target->capacity * share;
    return capacity > 1 ? capacity : 1;
}

static bool
is_candidate(const struct cm_route_decision *decision,
             const struct cm_route_target *target)
{
    for (size_t i = 0; i < decision->n_candidates; i++) {
        if (decision->candidates[i].target == target) {
            return true;
        }
    }
    return false;
}

/// Adds a candidate with its expected wait and cost, unless it is one already.
/// @param stall_ms time until the adapter is loaded.
/// @param extra_stall_ms further stalls that count as cost, not as wait.
static void
add_candidate(const struct cm_router *router,
              struct cm_route_decision *decision,
              struct cm_route_target *target, double stall_ms,
              double extra_stall_ms, struct timespec now)
{
    if (decision->n_candidates == CM_CANDIDATES_MAX ||
        is_candidate(decision, target)) {
        return;
    }
    double load = estimated_load(target);
    double capacity = ramped_capacity(target, now);
    double excess = load + 1 - capacity;
    double queue_ms = excess > 0 ? excess * target->run_ms / capacity : 0;
    double fill = load < capacity ? load / capacity : 1;
    double cross_zone_ms = target->other_zone ? CROSS_ZONE_MS : 0;
    struct cm_route_candidate *candidate =
        &decision->candidates[decision->n_candidates++];
    candidate->target = target;
    candidate->wait_ms = queue_ms > stall_ms ? queue_ms : stall_ms;
    // At a stall weight of 0.5, a stall counts with its full time.
    candidate->cost =
        queue_ms + cross_zone_ms +
        2 * router->stall_weight * (stall_ms + extra_stall_ms) +
        BATCH_SLOWDOWN * target->run_ms * fill * router->stall_weight +
        EMPTY_BATCH_COST * target->run_ms * (1 - fill) * router->batch_weight;
}

/// Chooses the candidate of the lowest cost, if there is any.
static void
choose_cheapest(struct cm_route_decision *decision, const char *reason)
{
    const struct cm_route_candidate *best = NULL;
    for (size_t i = 0; i < decision->n_candidates; i++) {
        const struct cm_route_candidate *candidate = &decision->candidates[i];
        if (best == NULL || candidate->cost < best->cost) {
            best = candidate;
        }
    }
    if (best != NULL) {
        decision->target = best->target;
        decision->wait_ms = best->wait_ms;
        decision->reason = reason;
    }
}

static struct cm_route_target *
random_target(struct cm_router *router, const struct cm_route_service *service)
{
    gint32 i =
        g_rand_int_range(router->random, 0, (gint32)service->usable->len);
    return g_ptr_array_index(service->usable, i);
}

static double
expected_stall_ms(const struct cm_route_target *target)
{
    return target->load_ms * (double)(1 + target->loading_slots);
}

/// @return expected load stalls of later requests for the evicted adapter.
static double
eviction_penalty_ms(const struct cm_route_target *target)
{
    double uses = target->eviction_cost;
    return LOAD_MS * (uses < EVICTION_USES_MAX ? uses : EVICTION_USES_MAX);
}

/// @param needs_load whether the target would have to load an adapter.
static void
add_load_candidate(const struct cm_router *router,
                   struct cm_route_decision *decision,
                   struct cm_route_target *target, bool needs_load,
                   struct timespec now)
{
    double stall_ms = needs_load ? expected_stall_ms(target) : 0;
    double extra_stall_ms = needs_load ? eviction_penalty_ms(target) : 0;
    add_candidate(router, decision, target, stall_ms, extra_stall_ms, now);
}

/// Adds two random eligible targets (power of two choices). If the random
/// tries find none and there is no other candidate, adds the first eligible
/// target.
static void
add_random_candidates(struct cm_router *router,
                      struct cm_route_service *service,
                      const struct cm_route_request *request,
                      struct timespec now, struct cm_route_decision *decision)
{
    bool needs_load = request->adapter != NULL;
    size_t needed = decision->n_candidates + 2;
    for (int i = 0; i < RANDOM_TRIES_MAX && decision->n_candidates < needed;
         i++) {
        struct cm_route_target *target = random_target(router, service);
        if (is_eligible(request, target, now)) {
            add_load_candidate(router, decision, target, needs_load, now);
        }
    }
    for (guint i = 0; decision->n_candidates == 0 && i < service->usable->len;
         i++) {
        struct cm_route_target *target = g_ptr_array_index(service->usable, i);
        if (is_eligible(request, target, now)) {
            add_load_candidate(router, decision, target, needs_load, now);
        }
    }
}

static void
add_copy_candidates(struct cm_router *router, struct cm_route_adapter *adapter,
                    const struct cm_route_request *request,
                    struct timespec now, struct cm_route_decision *decision)
{
    // Starts at a random copy if there are more than are considered.
    guint n = adapter->copies->len;
    guint start = n > CM_PREFERRED_MAX
                      ? (guint)g_rand_int_range(router->random, 0, (gint32)n)
                      : 0;
    for (guint i = 0; i < n && decision->n_candidates < CM_PREFERRED_MAX;
         i++) {
        const struct cm_route_copy *copy = &g_array_index(
            adapter->copies, struct cm_route_copy, (start + i) % n);
        bool is_current =
            copy->reported || CmTime_Before(now, copy->expected_until);
        if (is_current && is_eligible(request, copy->target, now)) {
            double stall_ms =
                copy->ready ? 0 : copy->target->load_ms * LOADING_REMAINDER;
            add_candidate(router, decision, copy->target, stall_ms, 0, now);
        }
    }
}

static void
add_preferred_candidates(struct cm_router *router,
                         struct cm_route_service *service,
                         struct cm_route_adapter *adapter,
                         const struct cm_route_request *request,
                         struct timespec now,
                         struct cm_route_decision *decision)
{
    size_t needed = CmRouter_FindPreferred(router, service, adapter, now);
    // All preferred targets compete for an adapter without an eligible copy,
    // so that one with a low eviction penalty gets it. An adapter with copies
    // spreads only as far as its request rate calls for.
    size_t n = decision->n_candidates == 0 ? adapter->n_preferred : needed;
    for (size_t i = 0; i < n; i++) {
        struct cm_route_target *target = adapter->preferred[i];
        if (is_eligible(request, target, now)) {
            double extra_stall_ms =
                (double)i * RANK_STEP * LOAD_MS + eviction_penalty_ms(target);
            add_candidate(router, decision, target, expected_stall_ms(target),
                          extra_stall_ms, now);
        }
    }
}

static bool
has_copy(struct cm_route_adapter *adapter,
         const struct cm_route_target *target)
{
    for (guint i = 0; i < adapter->copies->len; i++) {
        if (g_array_index(adapter->copies, struct cm_route_copy, i).target ==
            target) {
            return true;
        }
    }
    return false;
}

/// Picks the lowest cost (expected wait and weighted stalls) among the targets
/// with a copy of the adapter and its preferred targets.
static void
pick_expected_wait(struct cm_router *router, struct cm_route_service *service,
                   const struct cm_route_request *request, struct timespec now,
                   struct cm_route_decision *decision)
{
    if (request->adapter == NULL) {
        add_random_candidates(router, service, request, now, decision);
        choose_cheapest(decision, "least expected wait of two");
        return;
    }
    struct cm_route_adapter *adapter =
        CmRouter_FindOrAddAdapter(service, request->adapter);
    add_copy_candidates(router, adapter, request, now, decision);
    add_preferred_candidates(router, service, adapter, request, now, decision);
    if (decision->n_candidates == 0) {
        add_random_candidates(router, service, request, now, decision);
    }
    choose_cheapest(decision, "least expected wait");
    if (decision->target != NULL &&
        decision->wait_ms > SPILL_WAIT_LOADS * decision->target->load_ms) {
        // All preferred targets are busy: two random ones may have a shorter
        // wait in spite of the load.
        add_random_candidates(router, service, request, now, decision);
        choose_cheapest(decision, "least expected wait");
    }
    if (decision->target != NULL) {
        decision->needs_load = !has_copy(adapter, decision->target);
        decision->reason = decision->needs_load
                               ? "least expected wait, load needed"
                               : "least expected wait, no load needed";
    }
}

static void
pick_random(struct cm_router *router, struct cm_route_service *service,
            const struct cm_route_request *request, struct timespec now,
            struct cm_route_decision *decision)
{
    add_random_candidates(router, service, request, now, decision);
    if (decision->n_candidates > 0) {
        decision->target = decision->candidates[0].target;
        decision->reason = "random";
    }
}

static void
pick_least_loaded(struct cm_router *router, struct cm_route_service *service,
                  const struct cm_route_request *request, struct timespec now,
                  struct cm_route_decision *decision)
{
    double least = 0;
    for (guint i = 0; i < service->usable->len; i++) {
        struct cm_route_target *target = g_ptr_array_index(service->usable, i);
        double load = estimated_load(target);
        if (is_eligible(request, target, now) &&
            (decision->target == NULL || load < least)) {
            decision->target = target;
            least = load;
        }
    }
    decision->reason = "least loaded";
}

static void
pick_rendezvous(struct cm_router *router, struct cm_route_service *service,
                const struct cm_route_request *request, struct timespec now,
                struct cm_route_decision *decision)
{
    if (request->adapter == NULL) {
        pick_least_loaded(router, service, request, now, decision);
        return;
    }
    struct cm_route_adapter *adapter =
        CmRouter_FindOrAddAdapter(service, request->adapter);
    CmRouter_FindPreferred(router, service, adapter, now);
    for (size_t i = 0; i < adapter->n_preferred; i++) {
        if (is_eligible(request, adapter->preferred[i], now)) {
            decision->target = adapter->preferred[i];
            decision->reason = "first preferred target";
            return;
        }
    }
    pick_least_loaded(router, service, request, now, decision);
}

static const struct cm_policy_ops policies[] = {
    {"expected-wait", pick_expected_wait},
    {"random", pick_random},
    {"least-loaded", pick_least_loaded},
    {"rendezvous", pick_rendezvous},
};

const struct cm_policy_ops *
CmPolicy_Find(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
        if (strcmp(policies[i].name, name) == 0) {
            return &policies[i];
        }
    }
    return NULL;
}
