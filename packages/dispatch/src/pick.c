/// @file pick.c
/// Chooses the target of one attempt.
///
/// Load pattern: few very popular adapters and a long tail, with slots for
/// only a few adapters an engine. Each adapter has an order of preference
/// over all engines (rendezvous hashing), so that the tail stays warm where
/// it was before; an engine further down is taken when those before it are
/// busier by more than a load of the adapter costs.

#include "dispatch/pick.h"

#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

/// Cost of a way to another zone, as wait: keeps traffic in the zone while
/// targets are about equally busy.
#define OTHER_ZONE_MS 3.0
/// Expected wait for each request that an engine has: prefill of one prompt
/// shared with what else its batch does.
#define ENGINE_REQUEST_MS 30.0
/// Expected wait of a load from the engine's own copies, and from the store.
#define WARM_LOAD_MS 60.0
#define COLD_LOAD_MS 350.0
/// Engines first in an adapter's order that are likely to keep a copy.
#define WARM_HOMES 2
/// Engines of an adapter's order that are weighed.
#define HOMES_MAX 8

static bool
was_tried(const struct cm_pick_request *request,
          const struct cm_live_target *target)
{
    for (size_t i = 0; i < request->n_tried; i++) {
        if (request->tried[i] == target) {
            return true;
        }
    }
    return false;
}

static bool
is_candidate(const struct cm_live_target *target,
             const struct cm_pick_request *request)
{
    return !target->draining &&
           strcmp(target->service, request->service) == 0 &&
           !was_tried(request, target);
}

static bool
is_ejected(const struct cm_live_target *target, struct timespec now)
{
    return CmTime_Before(now, target->ejected_until);
}

void
CmPick_Plain(const struct cm_targets *targets,
             const struct cm_pick_request *request, struct timespec now,
             struct cm_pick *pick)
{
    *pick = (struct cm_pick){0};
    struct cm_live_target *target;
    bool best_ejected = true;
    CmList_FOREACH (target, &targets->list, link) {
        if (!is_candidate(target, request)) {
            continue;
        }
        pick->candidates++;
        double slots = (double)MAX(target->slots, 1);
        double cost = CmTarget_Load(target, now) / slots * ENGINE_REQUEST_MS +
                      (target->same_zone ? 0 : OTHER_ZONE_MS);
        bool ejected = is_ejected(target, now);
        if (pick->target == NULL || (best_ejected && !ejected) ||
            (best_ejected == ejected && cost < pick->cost_ms)) {
            pick->target = target;
            pick->cost_ms = cost;
            best_ejected = ejected;
        }
    }
}

/// One engine in an adapter's order of preference.
struct ranked {
    struct cm_live_target *target;
    uint64_t score;
};

/// Keeps the `HOMES_MAX` engines with the highest scores, best first.
static void
insert_ranked(struct ranked *ranked, size_t *n, struct ranked entry)
{
    size_t i = *n;
    if (i == HOMES_MAX) {
        if (ranked[i - 1].score >= entry.score) {
            return;
        }
        i--;
    }
    else {
        (*n)++;
    }
    for (; i > 0 && ranked[i - 1].score < entry.score; i--) {
        ranked[i] = ranked[i - 1];
    }
    ranked[i] = entry;
}

static bool
is_holder(const GPtrArray *holders, const struct cm_live_target *target)
{
    for (guint i = 0; holders != NULL && i < holders->len; i++) {
        if (g_ptr_array_index(holders, i) == target) {
            return true;
        }
    }
    return false;
}

static double
queue_cost(const struct cm_live_target *target, struct timespec now)
{
    return CmTarget_Load(target, now) * ENGINE_REQUEST_MS +
           (target->same_zone ? 0 : OTHER_ZONE_MS);
}

static void
offer(struct cm_pick *pick, struct cm_live_target *target, double cost,
      bool holds)
{
    pick->candidates++;
    if (pick->target == NULL || cost < pick->cost_ms) {
        pick->target = target;
        pick->cost_ms = cost;
        pick->holds = holds;
    }
}

static void
pick_engine(const struct cm_targets *targets,
            const struct cm_pick_request *request, struct timespec now,
            bool ejected, struct cm_pick *pick)
{
    const GPtrArray *holders =
        request->adapter != NULL ? CmTargets_Holders(targets, request->adapter)
                                 : NULL;
    uint64_t seed =
        request->adapter != NULL ? CmHash_Text(request->adapter, 1) : 0;
    struct ranked ranked[HOMES_MAX];
    size_t n = 0;
    struct cm_live_target *target;
    CmList_FOREACH (target, &targets->list, link) {
        if (!is_candidate(target, request) || !target->has_model ||
            is_ejected(target, now) != ejected) {
            continue;
        }
        if (request->adapter == NULL || is_holder(holders, target)) {
            offer(pick, target, queue_cost(target, now),
                  request->adapter != NULL);
            continue;
        }
        uint64_t score =
            CmHash_Bytes(&target->hash, sizeof(target->hash), seed);
        insert_ranked(ranked, &n, (struct ranked){target, score});
    }
    for (size_t i = 0; i < n; i++) {
        double load_ms = i < WARM_HOMES ? WARM_LOAD_MS : COLD_LOAD_MS;
        offer(pick, ranked[i].target,
              queue_cost(ranked[i].target, now) + load_ms, false);
    }
}

void
CmPick_Engine(const struct cm_targets *targets,
              const struct cm_pick_request *request, struct timespec now,
              struct cm_pick *pick)
{
    *pick = (struct cm_pick){0};
    pick_engine(targets, request, now, false, pick);
    if (pick->target == NULL) {
        pick_engine(targets, request, now, true, pick);
    }
}
