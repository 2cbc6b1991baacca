/// @file pick.c
/// Chooses the target of one attempt.
///
/// Load pattern: a few very popular adapters and a long tail, few adapter
/// slots per engine, and a weight store that slows down beyond a few
/// concurrent loads. Requests for an adapter are therefore placed where it is
/// resident or recently was. Its preferred engines are the first ranks of a
/// rendezvous hash, so that all gateways agree on them. Another engine loads
/// the adapter only if the queues at the engines with a copy exceed the cost
/// of such a load, which includes the delay of other loads. Among the engines
/// where the adapter is resident the first in rank are filled before the
/// others, because every engine that runs its requests has a slot pinned.

#include "dispatch/pick.h"

#include <float.h>
#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "dispatch/notices.h"

/// Wait that a target in another zone has to save before it is chosen: keeps
/// traffic in the zone while targets are about equally busy.
#define OTHER_ZONE_MS 3.0
/// Expected wait for each request at an engine: its part of a decoding step
/// and of the prefill in progress.
#define ENGINE_REQUEST_MS 15.0
/// Time until the first event of a request at an idle engine, which also takes
/// longer at a slow one.
#define ENGINE_OWN_MS 120.0
/// Targets that are drawn in each zone where targets name their pace.
#define CHOICES 2
/// Expected wait at a plain target that runs as many requests as it can.
#define PLAIN_FULL_LOAD_MS 30.0
/// Cost of a target with a failure ratio of 1, scaled by the actual ratio.
/// Errors caused by the requests themselves raise it at all targets alike.
#define PLAIN_FAILING_MS 60.0
#define ENGINE_FAILING_MS 500.0
/// Cost of a load from the engine's own copies and from the weight store: its
/// duration, and for the store also the delay of other loads.
#define WARM_LOAD_MS 40.0
#define COLD_LOAD_MS 600.0
/// Added to the cost of a cold load while another engine has a copy, for an
/// adapter that is seldom requested: the copy is evicted before it is used
/// again, and its slot is missing for others. Decreases to 0 at HOT_DEMAND.
#define RARE_COPY_MS 900.0
#define HOT_DEMAND 8.0
/// Cost of a cold load at a non-preferred engine if no engine is known to have
/// a copy: other gateways would look for it at the preferred engines and load
/// it once more.
#define COLD_LOAD_NO_COPY_MS 1500.0
/// Cost of a cold load at an engine that names a rate limit: it is in need,
/// and most requests for the adapter would go elsewhere.
#define COLD_LOAD_AT_LIMIT_MS 3000.0
/// Time without a response after which a target that names a rate limit is
/// asked again, by a request for which it is almost as good as others, and
/// after which it is asked by any.
#define LIMIT_STALE_MS 2000
#define LIMIT_UNKNOWN_MS 5000
static const double limit_stale_gain_ms = 1000.0;
static const double limit_unknown_gain_ms = 10000.0;
/// Number of preferred engines, and the cost of a cold load at each: further
/// requests for the adapter are likely to be placed there.
#define PREFERRED_ENGINES 2
static const double preferred_load_ms[PREFERRED_ENGINES] = {300.0, 450.0};
/// Cost of an engine where the adapter is resident, by rank; the last value is
/// for non-preferred engines. The cost covers the prefill of the shared prompt
/// prefix, which the first rank has in its KV cache, and the slot that becomes
/// free if the others get no requests for the adapter.
static const double resident_cost_ms[PREFERRED_ENGINES + 1] = {0, 40.0, 80.0};

/// Age at which the slot wait in an agent's report no longer counts.
#define REPORT_MAX_AGE_MS 800
/// Reports of free slots that are added to those of the candidates, as agents
/// without a free slot are asked again and report more often.
#define FREE_SLOT_REPORTS 2.0

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

/// Targets that one pick compares.
struct candidates {
    struct cm_live_target *targets[CM_PICK_WINDOW + CM_PICK_COPIES_MAX];
    size_t n;
    size_t n_window; ///< leading ones from the window, as at other gateways
};

/// @return whether `target` is usable for the request and not yet a candidate.
static bool
is_candidate(const struct cm_live_target *target,
             const struct cm_pick_request *request, uint64_t pick,
             struct timespec now)
{
    return target->last_pick != pick && CmTarget_MayGetWork(target, now) &&
           !CmTime_Before(now, target->at_limit_until) &&
           (target->has_model || !request->needs_model) &&
           // Targets from the adapter index may belong to another service.
           strcmp(target->service, request->service) == 0 &&
           (request->software == NULL ||
            strcmp(target->software, request->software) == 0) &&
           !is_excluded(request, target);
}

/// Adds up to `max` usable targets of `source`, from `start` on and wrapping
/// around at its end.
static void
add_candidates(struct candidates *candidates, const GPtrArray *source,
               size_t start, size_t max, const struct cm_pick_request *request,
               uint64_t pick, struct timespec now)
{
    size_t end = MIN(candidates->n + max, G_N_ELEMENTS(candidates->targets));
    for (size_t i = 0; i < source->len && candidates->n < end; i++) {
        struct cm_live_target *target =
            g_ptr_array_index(source, (start + i) % source->len);
        if (is_candidate(target, request, pick, now)) {
            candidates->targets[candidates->n++] = target;
            target->last_pick = pick;
        }
    }
}

/// Collects the targets that one pick compares: a window of the service's
/// targets and those with a copy of the adapter, so that the cost of a pick
/// does not grow with the number of targets. With an adapter the window starts
/// at its hash, which is the same for all gateways; otherwise at random.
static void
find_candidates(struct cm_targets *targets,
                const struct cm_pick_request *request, struct timespec now,
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
                   CM_PICK_WINDOW, request, pick, now);
    candidates->n_window = candidates->n;
    const GPtrArray *with_copy =
        adapter != NULL ? CmTargetIndex_WithCopy(&targets->index, adapter)
                        : NULL;
    if (with_copy != NULL) {
        add_candidates(candidates, with_copy, 0, CM_PICK_COPIES_MAX, request,
                       pick, now);
    }
}

static bool
is_ejected(const struct cm_live_target *target, struct timespec now)
{
    return CmTime_Before(now, target->ejected_until);
}

/// @return a number in [0, 1) that other gateways, and other draws of this
/// pick, don't get.
static double
draw_number(uint64_t pick, int draw, struct timespec now)
{
    uint64_t seed[] = {pick, (uint64_t)now.tv_sec, (uint64_t)now.tv_nsec};
    return ldexp((double)(CmHash_Bytes(seed, sizeof(seed), (uint64_t)draw) >>
                          (64 - DBL_MANT_DIG)),
                 -DBL_MANT_DIG);
}

/// @return requests that the target serves in a given time, compared with
/// others.
static double
speed_of(const struct cm_live_target *target, struct timespec now)
{
    return (double)MAX(target->max_requests, 1) /
           CmPace_Factor(&target->pace, now);
}

/// Moves up to CHOICES targets from `targets` to `drawn`, at random in
/// proportion to their speed.
static void
draw_targets(struct cm_live_target **targets, size_t n, uint64_t pick,
             struct timespec now, struct candidates *drawn)
{
    for (int draw = 0; draw < CHOICES && n > 0; draw++) {
        double sum = 0;
        for (size_t i = 0; i < n; i++) {
            sum += speed_of(targets[i], now);
        }
        double left = draw_number(pick, draw, now) * sum;
        size_t chosen = 0;
        while (chosen + 1 < n &&
               (left -= speed_of(targets[chosen], now)) >= 0) {
            chosen++;
        }
        drawn->targets[drawn->n++] = targets[chosen];
        targets[chosen] = targets[--n];
    }
}

/// Where targets name their pace, reduces the candidates to a few drawn ones
/// of the gateway's own zone and a few of the others. If all gateways compared
/// all targets, they would rush to the one that looks best until its load is
/// heard of (docs/design/uneven-targets.md).
static void
draw_candidates(struct candidates *candidates, uint64_t pick,
                struct timespec now)
{
    bool any_pace = false;
    bool all_ejected = true;
    for (size_t i = 0; i < candidates->n; i++) {
        const struct cm_live_target *target = candidates->targets[i];
        any_pace = any_pace || CmPace_IsKnown(&target->pace, now);
        all_ejected = all_ejected && is_ejected(target, now);
    }
    if (!any_pace) {
        return;
    }
    struct candidates drawn = {0};
    for (int zone = 0; zone < 2; zone++) {
        struct candidates usable = {0};
        for (size_t i = 0; i < candidates->n; i++) {
            struct cm_live_target *target = candidates->targets[i];
            if (target->same_zone == (zone == 0) &&
                is_ejected(target, now) == all_ejected) {
                usable.targets[usable.n++] = target;
            }
        }
        draw_targets(usable.targets, usable.n, pick, now, &drawn);
    }
    *candidates = drawn;
}

/// @return what is gained by learning whether the target still names its rate
/// limit.
static double
limit_news_gain_ms(const struct cm_live_target *target, struct timespec now)
{
    if (!target->rate_limited) {
        return 0;
    }
    int64_t age_ms = CmTime_DiffMs(now, target->limit_heard);
    if (age_ms >= LIMIT_UNKNOWN_MS) {
        return limit_unknown_gain_ms;
    }
    return age_ms >= LIMIT_STALE_MS ? limit_stale_gain_ms : 0;
}

void
CmPick_Plain(struct cm_targets *targets, const struct cm_pick_request *request,
             struct timespec now, struct cm_pick *pick)
{
    *pick = (struct cm_pick){0};
    struct candidates candidates;
    find_candidates(targets, request, now, &candidates);
    draw_candidates(&candidates, targets->picks, now);
    bool best_ejected = true;
    for (size_t i = 0; i < candidates.n; i++) {
        struct cm_live_target *target = candidates.targets[i];
        pick->candidates++;
        double max_requests = (double)MAX(target->max_requests, 1);
        // The request itself takes longer at a slow target, too: an idle one
        // of half the speed is as good as another one that runs a request.
        double pace = CmPace_Factor(&target->pace, now);
        double load = CmTarget_Load(target, now) * pace + (pace - 1);
        double cost_ms =
            load / max_requests * PLAIN_FULL_LOAD_MS +
            CmTarget_FailureRatio(target, now) * PLAIN_FAILING_MS +
            (target->same_zone ? 0 : OTHER_ZONE_MS) -
            limit_news_gain_ms(target, now);
        bool ejected = is_ejected(target, now);
        if (pick->target == NULL || (best_ejected && !ejected) ||
            (best_ejected == ejected && cost_ms < pick->cost_ms)) {
            pick->target = target;
            pick->cost_ms = cost_ms;
            best_ejected = ejected;
        }
    }
}

/// @return expected wait at an engine before a request starts there, and what
/// the request itself takes longer there than usual.
static double
queue_cost_ms(const struct cm_live_target *target, struct timespec now)
{
    double usual_ms = CmTarget_BacklogMs(target, now) +
                      CmTarget_Load(target, now) * ENGINE_REQUEST_MS;
    double pace = CmPace_Factor(&target->pace, now);
    return usual_ms * pace + ENGINE_OWN_MS * (pace - 1) +
           CmTarget_FailureRatio(target, now) * ENGINE_FAILING_MS +
           (target->same_zone ? 0 : OTHER_ZONE_MS) -
           limit_news_gain_ms(target, now);
}

/// @return how much the slot wait in the last report of the target's agent
/// counts. Decreases linearly with its age, to 0 at REPORT_MAX_AGE_MS.
static double
report_weight(const struct cm_live_target *target, struct timespec now)
{
    double age_ms =
        (double)CmTime_DiffMs(now, target->agent_report.received_at);
    if (target->agent_report.received_at.tv_sec == 0 ||
        age_ms > REPORT_MAX_AGE_MS) {
        return 0;
    }
    return 1.0 - age_ms / REPORT_MAX_AGE_MS;
}

/// @return slot wait that is expected at an engine without a recent report:
/// the mean of the others. If an unknown engine counted as one with a free
/// slot, adapters would be loaded anew there whenever slots are short
/// everywhere.
static double
usual_slot_wait_ms(const struct candidates *candidates, struct timespec now)
{
    double sum_ms = 0;
    double weights = FREE_SLOT_REPORTS;
    for (size_t i = 0; i < candidates->n; i++) {
        const struct cm_live_target *target = candidates->targets[i];
        double weight = report_weight(target, now);
        sum_ms += weight * (double)target->agent_report.slot_wait_ms;
        weights += weight;
    }
    return sum_ms / weights;
}

/// @return expected wait until a slot there can take another adapter.
static double
slot_wait_ms(const struct cm_live_target *target, double usual_ms,
             struct timespec now)
{
    double weight = report_weight(target, now);
    return (double)target->agent_report.slot_wait_ms * weight +
           usual_ms * (1 - weight);
}

static bool
is_warm(const struct cm_adapter_copy *copy, struct timespec now)
{
    return copy != NULL &&
           (copy->resident ||
            CmTime_DiffMs(now, copy->last_resident) < CM_COPY_WARM_MS);
}

/// @param rank     of the target among the preferred engines, or
/// PREFERRED_ENGINES if it is none of them.
/// @param has_copy whether some engine has a warm copy.
/// @return what a load from the weight store costs in addition while another
/// engine has a copy.
static double
further_copy_ms(double demand)
{
    return RARE_COPY_MS * (1 - MIN(demand / HOT_DEMAND, 1));
}

/// @return cost of having the adapter in a slot of the target.
/// @param slot_ms expected wait for a slot there.
static double
adapter_cost_ms(const struct cm_adapter_copy *copy,
                const struct cm_live_target *target, size_t rank,
                bool has_copy, double demand, double slot_ms,
                struct timespec now)
{
    if (copy != NULL && copy->resident) {
        return resident_cost_ms[rank];
    }
    if (is_warm(copy, now)) {
        return slot_ms + WARM_LOAD_MS;
    }
    if (target->rate_limited) {
        return slot_ms + COLD_LOAD_AT_LIMIT_MS;
    }
    double load_ms =
        rank < PREFERRED_ENGINES ? preferred_load_ms[rank] : COLD_LOAD_MS;
    if (has_copy) {
        return slot_ms + load_ms + further_copy_ms(demand);
    }
    return slot_ms +
           (rank < PREFERRED_ENGINES ? load_ms : COLD_LOAD_NO_COPY_MS);
}

/// Preferred engines of an adapter, by descending score.
struct preferred_engines {
    const struct cm_live_target *targets[PREFERRED_ENGINES];
    uint64_t scores[PREFERRED_ENGINES];
    bool has_copy; ///< some engine has a warm copy of the adapter
};

/// Inserts `target` by its score and drops the lowest one.
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

/// Ranks the candidates of the window only: those from the adapter index
/// differ from gateway to gateway.
/// @param ejected consider the ejected targets instead of the others.
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

/// @return rank of `target`, PREFERRED_ENGINES if it is not preferred.
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

/// Picks the engine with the lowest cost.
/// @param ejected consider the ejected targets instead of the others.
static void
pick_engine(const struct candidates *candidates,
            const struct cm_pick_request *request, struct timespec now,
            bool ejected, struct cm_pick *pick)
{
    const char *adapter = request->adapter;
    struct preferred_engines preferred = {0};
    double usual_ms = 0;
    if (adapter != NULL) {
        find_preferred(candidates, adapter, now, ejected, &preferred);
        usual_ms = usual_slot_wait_ms(candidates, now);
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
            cost_ms += adapter_cost_ms(
                copy, target, preferred_rank(&preferred, target),
                preferred.has_copy, request->demand,
                slot_wait_ms(target, usual_ms, now), now);
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
    find_candidates(targets, request, now, &candidates);
    if (request->adapter == NULL) {
        // With an adapter all gateways have to agree on its preferred engines,
        // and an agent with a queue denies the lease.
        draw_candidates(&candidates, targets->picks, now);
    }
    pick_engine(&candidates, request, now, false, pick);
    if (pick->target == NULL) {
        pick_engine(&candidates, request, now, true, pick);
    }
}
