/// @file policy.c
/// Routing policies: expected wait, and the plain ones it is measured
/// against.

#include <string.h>

#include "base/clock.h"
#include "routing/router.h"

#define ZONE_MS 3.0
/// Part of a run's time that a full batch adds to it.
#define BATCH_SLOWDOWN 0.3
/// Part of a run's time that an empty batch costs at full batch weight.
#define EMPTY_BATCH_COST 0.5
/// A load that is under way is expected to be half through.
#define LOADING_LEFT 0.5
/// Preference for an earlier home, as a part of one load's time.
#define HOME_STEP 0.1
/// Time of one load at full speed.
#define LOAD_MS 250.0
/// Expected uses of an evicted adapter beyond which more do not count.
#define EVICTION_USES_MAX 20.0
/// Expected wait, in loads, from which targets that are no home are weighed.
#define SPILL_LOADS 1.0
/// Smallest share of its capacity that a returning target is given.
#define RAMP_START 0.1

static bool
was_tried(const struct cm_route_request *request,
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
is_allowed(const struct cm_route_request *request,
           const struct cm_route_target *target, struct timespec now)
{
    // Two suspects on one target could not be told apart when it falls.
    bool crowded = request->suspect && target->suspects > 0;
    return target->usable && !crowded &&
           !CmTime_Before(now, target->ejected_until) &&
           !was_tried(request, target);
}

static double
load_of(const struct cm_route_target *target)
{
    uint64_t reported = target->running + target->waiting;
    uint64_t known =
        reported > target->outstanding ? reported : target->outstanding;
    uint64_t corrected = reported + target->unreported;
    return (double)(known > corrected ? known : corrected);
}

/// @return requests that the target may run at once; less while it returns.
static double
capacity_of(const struct cm_route_target *target, struct timespec now)
{
    double share =
        (double)CmTime_DiffMs(now, target->usable_since) / CM_SLOW_START_MS;
    share = share < RAMP_START ? RAMP_START : share;
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

/// Adds a candidate; `stall_ms` is the time its adapter takes to be ready.
static void
weigh(const struct cm_router *router, struct cm_route_decision *decision,
      struct cm_route_target *target, double stall_ms, double extra,
      struct timespec now)
{
    if (decision->n_candidates == CM_CANDIDATES_MAX ||
        is_candidate(decision, target)) {
        return;
    }
    double load = load_of(target);
    double capacity = capacity_of(target, now);
    double excess = load + 1 - capacity;
    double queue_ms = excess > 0 ? excess * target->run_ms / capacity : 0;
    double fill = load < capacity ? load / capacity : 1;
    double zone_ms = target->other_zone ? ZONE_MS : 0;
    struct cm_route_candidate *candidate =
        &decision->candidates[decision->n_candidates++];
    candidate->target = target;
    candidate->wait_ms = queue_ms > stall_ms ? queue_ms : stall_ms;
    candidate->cost =
        queue_ms + zone_ms + 2 * router->stall_weight * (stall_ms + extra) +
        BATCH_SLOWDOWN * target->run_ms * fill * router->stall_weight +
        EMPTY_BATCH_COST * target->run_ms * (1 - fill) * router->batch_weight;
}

/// Settles on the cheapest candidate.
static void
settle(struct cm_route_decision *decision, const char *reason)
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
stall_of_miss(const struct cm_route_target *target)
{
    return target->load_ms * (double)(1 + target->loading_slots);
}

/// Stalls that callers of the evicted adapter will have.
static double
eviction_penalty_ms(const struct cm_route_target *target)
{
    double uses = target->eviction_cost;
    return LOAD_MS * (uses < EVICTION_USES_MAX ? uses : EVICTION_USES_MAX);
}

/// Weighs a target that would have to load the adapter, if there is one.
static void
weigh_miss(const struct cm_router *router, struct cm_route_decision *decision,
           struct cm_route_target *target, bool miss, struct timespec now)
{
    double stall_ms = miss ? stall_of_miss(target) : 0;
    double extra = miss ? eviction_penalty_ms(target) : 0;
    weigh(router, decision, target, stall_ms, extra, now);
}

/// Two random targets, and more where those may not be used.
static void
weigh_random(struct cm_router *router, struct cm_route_service *service,
             const struct cm_route_request *request, struct timespec now,
             struct cm_route_decision *decision)
{
    bool miss = request->adapter != NULL;
    size_t wanted = decision->n_candidates + 2;
    for (int i = 0; i < 8 && decision->n_candidates < wanted; i++) {
        struct cm_route_target *target = random_target(router, service);
        if (is_allowed(request, target, now)) {
            weigh_miss(router, decision, target, miss, now);
        }
    }
    for (guint i = 0; decision->n_candidates == 0 && i < service->usable->len;
         i++) {
        struct cm_route_target *target = g_ptr_array_index(service->usable, i);
        if (is_allowed(request, target, now)) {
            weigh_miss(router, decision, target, miss, now);
        }
    }
}

static void
weigh_holders(struct cm_router *router, struct cm_route_adapter *adapter,
              const struct cm_route_request *request, struct timespec now,
              struct cm_route_decision *decision)
{
    // More holders than are weighed: start anywhere among them.
    guint n = adapter->copies->len;
    guint start = n > CM_PREFERRED_MAX
                      ? (guint)g_rand_int_range(router->random, 0, (gint32)n)
                      : 0;
    for (guint i = 0; i < n && decision->n_candidates < CM_PREFERRED_MAX;
         i++) {
        const struct cm_route_copy *holder = &g_array_index(
            adapter->copies, struct cm_route_copy, (start + i) % n);
        bool counts =
            holder->reported || CmTime_Before(now, holder->expected_until);
        if (counts && is_allowed(request, holder->target, now)) {
            double stall_ms =
                holder->ready ? 0 : holder->target->load_ms * LOADING_LEFT;
            weigh(router, decision, holder->target, stall_ms, 0, now);
        }
    }
}

static void
weigh_homes(struct cm_router *router, struct cm_route_service *service,
            struct cm_route_adapter *adapter,
            const struct cm_route_request *request, struct timespec now,
            struct cm_route_decision *decision)
{
    size_t wanted = CmRouter_FindPreferred(router, service, adapter, now);
    // An adapter that is nowhere may go to any of its homes: to the one that
    // gives up least for it. One that is somewhere spreads by demand only.
    size_t n = decision->n_candidates == 0 ? adapter->n_preferred : wanted;
    for (size_t i = 0; i < n; i++) {
        struct cm_route_target *home = adapter->preferred[i];
        if (is_allowed(request, home, now)) {
            double extra =
                (double)i * HOME_STEP * LOAD_MS + eviction_penalty_ms(home);
            weigh(router, decision, home, stall_of_miss(home), extra, now);
        }
    }
}

static bool
holds(struct cm_route_adapter *adapter, const struct cm_route_target *target)
{
    for (guint i = 0; i < adapter->copies->len; i++) {
        if (g_array_index(adapter->copies, struct cm_route_copy, i).target ==
            target) {
            return true;
        }
    }
    return false;
}

/// Least expected wait, weighted by the objective, among the adapter's
/// holders and homes.
static void
pick_expected_wait(struct cm_router *router, struct cm_route_service *service,
                   const struct cm_route_request *request, struct timespec now,
                   struct cm_route_decision *decision)
{
    if (request->adapter == NULL) {
        weigh_random(router, service, request, now, decision);
        settle(decision, "least expected wait of two");
        return;
    }
    struct cm_route_adapter *adapter =
        CmRouter_FindOrAddAdapter(service, request->adapter);
    weigh_holders(router, adapter, request, now, decision);
    weigh_homes(router, service, adapter, request, now, decision);
    if (decision->n_candidates == 0) {
        weigh_random(router, service, request, now, decision);
    }
    settle(decision, "least expected wait");
    if (decision->target != NULL &&
        decision->wait_ms > SPILL_LOADS * decision->target->load_ms) {
        // Its homes are all busy: two others may do better, load included.
        weigh_random(router, service, request, now, decision);
        settle(decision, "least expected wait");
    }
    if (decision->target != NULL) {
        decision->needs_load = !holds(adapter, decision->target);
        decision->reason = decision->needs_load ? "least expected wait, loads"
                                                : "least expected wait, held";
    }
}

static void
pick_random(struct cm_router *router, struct cm_route_service *service,
            const struct cm_route_request *request, struct timespec now,
            struct cm_route_decision *decision)
{
    weigh_random(router, service, request, now, decision);
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
        double load = load_of(target);
        if (is_allowed(request, target, now) &&
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
        if (is_allowed(request, adapter->preferred[i], now)) {
            decision->target = adapter->preferred[i];
            decision->reason = "first home";
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
