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
#define PLAIN_FULL_LOAD_MS 30.0
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
#define COLD_LOAD_NO_COPY_MS 1500.0
/// The same at the first engines of an adapter's order, which are likely to
/// be asked for it again.
#define PREFERRED_ENGINES 2
static const double preferred_load_ms[PREFERRED_ENGINES] = {300.0, 450.0};
/// Wait beyond which the next holder in the adapter's order is asked, and one
/// that is no home: the read of a prompt's shared part, which the first one
/// has in memory, and the slot that the others get back.
static const double resident_cost_ms[PREFERRED_ENGINES + 1] = {0, 40.0, 80.0};

/// Age after which what an engine told of its slots is worth nothing.
#define REPORT_MAX_AGE_MS 800

static bool
is_excluded(const struct cm_pick_request *request,
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
    size_t n_window; ///< leading ones from the window, as at other gateways
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
           !is_excluded(request, target);
}

/// Adds up to `most` targets of `among`, from `start` on and around.
static void
add_candidates(struct candidates *candidates, const GPtrArray *source,
               size_t start, size_t max, const struct cm_pick_request *request,
               uint64_t pick)
{
    size_t end = MIN(candidates->n + max, G_N_ELEMENTS(candidates->targets));
    for (size_t i = 0; i < source->len && candidates->n < end; i++) {
        struct cm_live_target *target =
            g_ptr_array_index(source, (start + i) % source->len);
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
    uint64_t start_hash = adapter != NULL
                              ? CmHash_Text(adapter, 0)
                              : CmHash_Bytes(&pick, sizeof(pick), 0);
    add_candidates(candidates, service,
                   CmTargetIndex_LowerBound(service, start_hash),
                   CM_PICK_WINDOW, request, pick);
    candidates->n_window = candidates->n;
    const GPtrArray *with_copy =
        adapter != NULL ? CmTargetIndex_WithCopy(&targets->index, adapter)
                        : NULL;
    if (with_copy != NULL) {
        add_candidates(candidates, with_copy, 0, CM_PICK_COPIES_MAX, request,
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
    struct candidates candidates;
    find_candidates(targets, request, &candidates);
    bool best_ejected = true;
    for (size_t i = 0; i < candidates.n; i++) {
        struct cm_live_target *target = candidates.targets[i];
        pick->candidates++;
        double slots = (double)MAX(target->slots, 1);
        double cost_ms =
            CmTarget_Load(target, now) / slots * PLAIN_FULL_LOAD_MS +
            CmTarget_FailureRatio(target, now) * PLAIN_FAILING_MS +
            (target->same_zone ? 0 : OTHER_ZONE_MS);
        bool ejected = is_ejected(target, now);
        if (pick->target == NULL || (best_ejected && !ejected) ||
            (best_ejected == ejected && cost_ms < pick->cost_ms)) {
            pick->target = target;
            pick->cost_ms = cost_ms;
            best_ejected = ejected;
        }
    }
}

/// Expected wait at an engine before a request begins there.
static double
queue_cost_ms(const struct cm_live_target *target, struct timespec now)
{
    return CmTarget_BacklogMs(target, now) +
           CmTarget_FailureRatio(target, now) * ENGINE_FAILING_MS +
           CmTarget_Load(target, now) * ENGINE_REQUEST_MS +
           (target->same_zone ? 0 : OTHER_ZONE_MS);
}

/// Expected wait until a slot there can take another adapter.
static double
slot_wait_ms(const struct cm_live_target *target, struct timespec now)
{
    double age_ms =
        (double)CmTime_DiffMs(now, target->agent_report.received_at);
    if (target->agent_report.received_at.tv_sec == 0 ||
        age_ms > REPORT_MAX_AGE_MS) {
        return 0;
    }
    return (double)target->agent_report.slot_wait_ms *
           (1.0 - age_ms / REPORT_MAX_AGE_MS);
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
adapter_cost_ms(const struct cm_adapter_copy *copy,
                const struct cm_live_target *target, size_t rank,
                bool has_copy, struct timespec now)
{
    if (copy != NULL && copy->resident) {
        return resident_cost_ms[rank];
    }
    double slot_ms = slot_wait_ms(target, now);
    if (is_warm(copy, now)) {
        return slot_ms + WARM_LOAD_MS;
    }
    if (rank < PREFERRED_ENGINES) {
        return slot_ms + preferred_load_ms[rank];
    }
    return slot_ms + (has_copy ? COLD_LOAD_MS : COLD_LOAD_NO_COPY_MS);
}

/// First engines in an adapter's order, best first.
struct preferred_engines {
    const struct cm_live_target *targets[PREFERRED_ENGINES];
    uint64_t scores[PREFERRED_ENGINES];
    bool has_copy; ///< some engine has a warm copy of the adapter
};

static void
add_preferred(struct preferred_engines *preferred,
              const struct cm_live_target *target, uint64_t score)
{
    size_t i = PREFERRED_ENGINES;
    while (i > 0 && (preferred->targets[i - 1] == NULL ||
                     preferred->scores[i - 1] < score)) {
        if (i < PREFERRED_ENGINES) {
            preferred->targets[i] = preferred->targets[i - 1];
            preferred->scores[i] = preferred->scores[i - 1];
        }
        i--;
    }
    if (i < PREFERRED_ENGINES) {
        preferred->targets[i] = target;
        preferred->scores[i] = score;
    }
}

static void
find_preferred(const struct candidates *candidates, const char *adapter,
               struct timespec now, bool ejected,
               struct preferred_engines *preferred)
{
    uint64_t seed = CmHash_Text(adapter, 1);
    for (size_t i = 0; i < candidates->n; i++) {
        const struct cm_live_target *target = candidates->targets[i];
        if (is_ejected(target, now) == ejected) {
            if (i < candidates->n_window) {
                add_preferred(
                    preferred, target,
                    CmHash_Bytes(&target->hash, sizeof(target->hash), seed));
            }
            preferred->has_copy =
                preferred->has_copy ||
                is_warm(CmTarget_AdapterCopy(target, adapter), now);
        }
    }
}

static size_t
preferred_rank(const struct preferred_engines *preferred,
               const struct cm_live_target *target)
{
    size_t rank = 0;
    while (rank < PREFERRED_ENGINES && preferred->targets[rank] != target) {
        rank++;
    }
    return rank;
}

static void
pick_engine(const struct candidates *candidates, const char *adapter,
            struct timespec now, bool ejected, struct cm_pick *pick)
{
    struct preferred_engines preferred = {0};
    if (adapter != NULL) {
        find_preferred(candidates, adapter, now, ejected, &preferred);
    }
    for (size_t i = 0; i < candidates->n; i++) {
        struct cm_live_target *target = candidates->targets[i];
        if (is_ejected(target, now) != ejected) {
            continue;
        }
        const struct cm_adapter_copy *copy =
            adapter != NULL ? CmTarget_AdapterCopy(target, adapter) : NULL;
        double cost_ms = queue_cost_ms(target, now);
        if (adapter != NULL) {
            cost_ms += adapter_cost_ms(copy, target,
                                       preferred_rank(&preferred, target),
                                       preferred.has_copy, now);
        }
        pick->candidates++;
        if (pick->target == NULL || cost_ms < pick->cost_ms) {
            pick->target = target;
            pick->cost_ms = cost_ms;
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
    struct candidates candidates;
    find_candidates(targets, request, &candidates);
    pick_engine(&candidates, request->adapter, now, false, pick);
    if (pick->target == NULL) {
        pick_engine(&candidates, request->adapter, now, true, pick);
    }
}
