/// @file policies.c
/// Policies that choose an engine: that of the gateways and simpler baselines.

#include "replay.h"

#include "base/hash.h"

/// Added to the cost of an engine without the adapter: far above usual load
/// costs, so that load decides only among engines with the same residency.
#define NOT_RESIDENT_COST 1e6

/// @return whether a request may be sent to `target`.
static bool
is_candidate(const struct cm_live_target *target,
             const struct cm_pick_request *request)
{
    for (size_t i = 0; i < request->n_excluded; i++) {
        if (request->excluded[i] == target) {
            return false;
        }
    }
    return !target->draining && target->has_model;
}

/// Picks the candidate with the lowest `cost`.
static void
pick_lowest(struct cm_targets *targets, const struct cm_pick_request *request,
            double (*cost)(const struct cm_live_target *target,
                           const struct cm_pick_request *request,
                           struct timespec now),
            struct timespec now, struct cm_pick *pick)
{
    *pick = (struct cm_pick){0};
    struct cm_live_target *target;
    CmList_FOREACH (target, &targets->list, link) {
        if (!is_candidate(target, request)) {
            continue;
        }
        double target_cost_ms = cost(target, request, now);
        if (pick->target == NULL || target_cost_ms < pick->cost_ms) {
            pick->target = target;
            pick->cost_ms = target_cost_ms;
        }
    }
}

/// Lowest for the adapter's preferred engine (rendezvous hashing). Ignores
/// load.
static double
preferred_cost(const struct cm_live_target *target,
               const struct cm_pick_request *request, struct timespec now)
{
    return -(double)CmHash_Bytes(&target->hash, sizeof(target->hash),
                                 CmHash_Text(request->adapter, 1));
}

static void
pick_preferred(struct cm_targets *targets,
               const struct cm_pick_request *request, struct timespec now,
               struct cm_pick *pick)
{
    pick_lowest(targets, request, preferred_cost, now, pick);
}

/// Lowest for the least loaded engine: the sum of its prefill backlog in ms
/// and its number of requests. Ignores which adapters are resident.
static double
load_cost(const struct cm_live_target *target,
          const struct cm_pick_request *request, struct timespec now)
{
    return CmTarget_BacklogMs(target, now) + CmTarget_Load(target, now);
}

static void
pick_least_loaded(struct cm_targets *targets,
                  const struct cm_pick_request *request, struct timespec now,
                  struct cm_pick *pick)
{
    pick_lowest(targets, request, load_cost, now, pick);
}

/// Lowest for the least loaded engine among those that have the adapter in a
/// slot, or among all if none has.
static double
resident_cost(const struct cm_live_target *target,
              const struct cm_pick_request *request, struct timespec now)
{
    const struct cm_adapter_copy *copy =
        CmTarget_AdapterCopy(target, request->adapter);
    bool resident = copy != NULL && copy->resident;
    return load_cost(target, request, now) +
           (resident ? 0 : NOT_RESIDENT_COST);
}

static void
pick_resident(struct cm_targets *targets,
              const struct cm_pick_request *request, struct timespec now,
              struct cm_pick *pick)
{
    pick_lowest(targets, request, resident_cost, now, pick);
}

// "home" stands for the preferred engine, "holder" for an engine that has the
// adapter in a slot.
const struct policy policies[] = {
    {"gateway", CmPick_Engine},
    {"home", pick_preferred},
    {"holder", pick_resident},
    {"least loaded", pick_least_loaded},
};

const size_t n_policies = sizeof(policies) / sizeof(policies[0]);
