/// @file pick.c
/// Chooses the target of one attempt.
///
/// Load pattern: few very popular adapters and a long tail, with slots for
/// only a few adapters an engine, while the store bears only a few loads at
/// once. An adapter's requests therefore stay where it is or has lately been;
/// its first engine is the same for all gateways (rendezvous hashing). A
/// further engine fetches it only when those that have it are busier by more
/// than such a load costs everybody, and of those that have it the first in
/// the order are filled before the others: each holder's slot is pinned by
/// runs.

#include "dispatch/pick.h"

#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

/// Cost of a way to another zone, as wait: keeps traffic in the zone while
/// targets are about equally busy.
#define OTHER_ZONE_MS 3.0
/// Expected wait for each request that an engine runs: its part of a step,
/// and its part of the prompts that are being read.
#define ENGINE_REQUEST_MS 15.0
/// The same for a plain target with all its slots taken.
#define PLAIN_FULL_MS 30.0
/// Cost of a target that fails all that it is sent; a part of it for a part
/// of failures. Errors that lie in the requests themselves weigh on all alike.
#define PLAIN_FAILING_MS 60.0
#define ENGINE_FAILING_MS 500.0
/// Cost of a load from the engine's own copies, and from the store: the time
/// it takes, and for the store also what it delays other loads.
#define WARM_LOAD_MS 40.0
#define COLD_LOAD_MS 600.0
/// The same if no engine is known to have the adapter: other gateways would
/// not find it here, and fetch it once more.
#define STRAY_LOAD_MS 1500.0
/// The same at the first engines of an adapter's order, which are likely to
/// be asked for it again.
#define HOMES 2
static const double home_load_ms[HOMES] = {300.0, 450.0};
/// Wait beyond which the next holder in the adapter's order is asked, and one
/// that is no home: the read of a prompt's shared part, which the first one
/// has in memory, and the slot that the others get back.
static const double holder_ms[HOMES + 1] = {0, 40.0, 80.0};

/// Age after which what an engine told of its slots is worth nothing.
#define SLOTS_AGE_MS 800

static bool
was_tried(const struct cm_pick_request *request,
          const struct cm_live_target *target)
{
    for (size_t i = 0; i < request->n_excluded; i++) {
        if (request->excluded[i] == target) {
            return true;
        }
    }
    return false;
}

/// Targets that one pick weighs.
struct candidates {
    struct cm_live_target *targets[CM_PICK_WINDOW + CM_PICK_COPIES_MAX];
    size_t n;
    size_t n_window; ///< the first ones, the same for all gateways
};

/// @return whether `target` can be weighed and is not yet.
static bool
is_candidate(const struct cm_live_target *target,
             const struct cm_pick_request *request, uint64_t pick)
{
    return target->last_pick != pick && !target->draining &&
           (target->has_model || !request->needs_model) &&
           // Those with the adapter may be another service's.
           strcmp(target->service, request->service) == 0 &&
           !was_tried(request, target);
}

/// Adds up to `most` targets of `among`, from `start` on and around.
static void
add_candidates(struct candidates *candidates, const GPtrArray *among,
               size_t start, size_t most,
               const struct cm_pick_request *request, uint64_t pick)
{
    size_t end = MIN(candidates->n + most, G_N_ELEMENTS(candidates->targets));
    for (size_t i = 0; i < among->len && candidates->n < end; i++) {
        struct cm_live_target *target =
            g_ptr_array_index(among, (start + i) % among->len);
        if (is_candidate(target, request, pick)) {
            candidates->targets[candidates->n++] = target;
            target->last_pick = pick;
        }
    }
}

/// Collects what one pick weighs: a window of the service's targets, and those
/// that have the adapter, so that a pick costs the same however many targets
/// there are. For an adapter the window begins at its place among the hashes,
/// for all gateways alike; otherwise anywhere.
static void
find_candidates(struct cm_targets *targets,
                const struct cm_pick_request *request,
                struct candidates *candidates)
{
    candidates->n = 0;
    uint64_t pick = ++targets->picks;
    const char *adapter = request->adapter;
    const GPtrArray *service =
        CmTargetIndex_OfService(&targets->index, request->service);
    if (service == NULL) {
        return;
    }
    uint64_t place = adapter != NULL ? CmHash_Text(adapter, 0)
                                     : CmHash_Bytes(&pick, sizeof(pick), 0);
    add_candidates(candidates, service,
                   CmTargetIndex_LowerBound(service, place), CM_PICK_WINDOW,
                   request, pick);
    candidates->n_window = candidates->n;
    const GPtrArray *holders =
        adapter != NULL ? CmTargetIndex_WithCopy(&targets->index, adapter)
                        : NULL;
    if (holders != NULL) {
        add_candidates(candidates, holders, 0, CM_PICK_COPIES_MAX, request,
                       pick);
    }
}

static bool
is_ejected(const struct cm_live_target *target, struct timespec now)
{
    return CmTime_Before(now, target->ejected_until);
}

void
CmPick_Plain(struct cm_targets *targets, const struct cm_pick_request *request,
             struct timespec now, struct cm_pick *pick)
{
    *pick = (struct cm_pick){0};
    struct candidates all;
    find_candidates(targets, request, &all);
    bool best_ejected = true;
    for (size_t i = 0; i < all.n; i++) {
        struct cm_live_target *target = all.targets[i];
        pick->candidates++;
        double slots = (double)MAX(target->slots, 1);
        double cost = CmTarget_Load(target, now) / slots * PLAIN_FULL_MS +
                      CmTarget_FailureRatio(target, now) * PLAIN_FAILING_MS +
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

/// Expected wait at an engine before a request begins there.
static double
queue_cost(const struct cm_live_target *target, struct timespec now)
{
    return CmTarget_BacklogMs(target, now) +
           CmTarget_FailureRatio(target, now) * ENGINE_FAILING_MS +
           CmTarget_Load(target, now) * ENGINE_REQUEST_MS +
           (target->same_zone ? 0 : OTHER_ZONE_MS);
}

/// Expected wait until a slot there can take another adapter.
static double
slot_cost(const struct cm_live_target *target, struct timespec now)
{
    double age = (double)CmTime_DiffMs(now, target->agent_report.received_at);
    if (target->agent_report.received_at.tv_sec == 0 || age > SLOTS_AGE_MS) {
        return 0;
    }
    return (double)target->agent_report.slot_wait_ms *
           (1.0 - age / SLOTS_AGE_MS);
}

static bool
is_warm(const struct cm_adapter_copy *copy, struct timespec now)
{
    return copy != NULL &&
           (copy->resident ||
            CmTime_DiffMs(now, copy->last_resident) < CM_COPY_WARM_MS);
}

/// Cost of having the adapter in a slot there.
/// @param rank   place of the target in the adapter's order, HOMES at most.
/// @param copied whether some engine has it.
static double
adapter_cost(const struct cm_adapter_copy *copy,
             const struct cm_live_target *target, size_t rank, bool copied,
             struct timespec now)
{
    if (copy != NULL && copy->resident) {
        return holder_ms[rank];
    }
    double slot = slot_cost(target, now);
    if (is_warm(copy, now)) {
        return slot + WARM_LOAD_MS;
    }
    if (rank < HOMES) {
        return slot + home_load_ms[rank];
    }
    return slot + (copied ? COLD_LOAD_MS : STRAY_LOAD_MS);
}

/// First engines in an adapter's order, best first.
struct homes {
    const struct cm_live_target *targets[HOMES];
    uint64_t scores[HOMES];
    bool copied; ///< some engine has the adapter
};

static void
add_home(struct homes *homes, const struct cm_live_target *target,
         uint64_t score)
{
    size_t i = HOMES;
    while (i > 0 &&
           (homes->targets[i - 1] == NULL || homes->scores[i - 1] < score)) {
        if (i < HOMES) {
            homes->targets[i] = homes->targets[i - 1];
            homes->scores[i] = homes->scores[i - 1];
        }
        i--;
    }
    if (i < HOMES) {
        homes->targets[i] = target;
        homes->scores[i] = score;
    }
}

static void
find_homes(const struct candidates *candidates, const char *adapter,
           struct timespec now, bool ejected, struct homes *homes)
{
    uint64_t seed = CmHash_Text(adapter, 1);
    for (size_t i = 0; i < candidates->n; i++) {
        const struct cm_live_target *target = candidates->targets[i];
        if (is_ejected(target, now) == ejected) {
            if (i < candidates->n_window) {
                add_home(
                    homes, target,
                    CmHash_Bytes(&target->hash, sizeof(target->hash), seed));
            }
            homes->copied =
                homes->copied ||
                is_warm(CmTarget_AdapterCopy(target, adapter), now);
        }
    }
}

static size_t
home_rank(const struct homes *homes, const struct cm_live_target *target)
{
    size_t rank = 0;
    while (rank < HOMES && homes->targets[rank] != target) {
        rank++;
    }
    return rank;
}

static void
pick_engine(const struct candidates *candidates, const char *adapter,
            struct timespec now, bool ejected, struct cm_pick *pick)
{
    struct homes homes = {0};
    if (adapter != NULL) {
        find_homes(candidates, adapter, now, ejected, &homes);
    }
    for (size_t i = 0; i < candidates->n; i++) {
        struct cm_live_target *target = candidates->targets[i];
        if (is_ejected(target, now) != ejected) {
            continue;
        }
        const struct cm_adapter_copy *copy =
            adapter != NULL ? CmTarget_AdapterCopy(target, adapter) : NULL;
        double cost = queue_cost(target, now);
        if (adapter != NULL) {
            cost += adapter_cost(copy, target, home_rank(&homes, target),
                                 homes.copied, now);
        }
        pick->candidates++;
        if (pick->target == NULL || cost < pick->cost_ms) {
            pick->target = target;
            pick->cost_ms = cost;
            pick->resident = copy != NULL && copy->resident;
        }
    }
}

void
CmPick_Engine(struct cm_targets *targets,
              const struct cm_pick_request *request, struct timespec now,
              struct cm_pick *pick)
{
    *pick = (struct cm_pick){0};
    struct candidates all;
    find_candidates(targets, request, &all);
    pick_engine(&all, request->adapter, now, false, pick);
    if (pick->target == NULL) {
        pick_engine(&all, request->adapter, now, true, pick);
    }
}
