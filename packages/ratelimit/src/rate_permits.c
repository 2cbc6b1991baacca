/// @file rate_permits.c
/// Permits that one gateway holds.

#include "ratelimit/rate_permits.h"

#include "base/clock.h"

/// Length of the spans in which the demand is counted; a claim covers the
/// demand of one.
#define DEMAND_SPAN_MS 500
/// Time without use after which a target's state is dropped.
#define EXPIRY_MS 60000

struct target_permits {
    char target[CM_LIMIT_NAME_SIZE];
    int held;
    struct timespec held_until;
    bool claiming;
    struct timespec blocked_until;
    struct timespec span_start;
    int span_demand;      ///< requests in the present span
    int last_span_demand; ///< in the one before
};

void
CmRatePermits_Init(struct cm_rate_permits *permits)
{
    permits->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void
CmRatePermits_Finish(struct cm_rate_permits *permits)
{
    g_hash_table_destroy(permits->targets);
}

static struct target_permits *
find_or_add(struct cm_rate_permits *permits, const char *target)
{
    struct target_permits *state =
        g_hash_table_lookup(permits->targets, target);
    if (state == NULL) {
        state = g_new0(struct target_permits, 1);
        g_strlcpy(state->target, target, sizeof(state->target));
        g_hash_table_insert(permits->targets, state->target, state);
    }
    return state;
}

void
CmRatePermits_CountDemand(struct cm_rate_permits *permits, const char *target,
                          struct timespec now)
{
    struct target_permits *state = find_or_add(permits, target);
    int64_t since_ms = CmTime_DiffMs(now, state->span_start);
    if (since_ms >= DEMAND_SPAN_MS) {
        state->last_span_demand =
            since_ms < 2 * (int64_t)DEMAND_SPAN_MS ? state->span_demand : 0;
        state->span_demand = 0;
        state->span_start = now;
    }
    state->span_demand++;
}

enum cm_rate_permit_step
CmRatePermits_Take(struct cm_rate_permits *permits, const char *target,
                   struct timespec now, int64_t *blocked_ms)
{
    struct target_permits *state = find_or_add(permits, target);
    if (!CmTime_Before(now, state->held_until)) {
        state->held = 0;
    }
    if (state->held > 0) {
        state->held--;
        return CM_RATE_PERMIT_TAKEN;
    }
    if (state->claiming) {
        return CM_RATE_PERMIT_WAIT;
    }
    if (CmTime_Before(now, state->blocked_until)) {
        *blocked_ms = MAX(CmTime_DiffMs(state->blocked_until, now), 1);
        return CM_RATE_PERMIT_BLOCKED;
    }
    return CM_RATE_PERMIT_CLAIM;
}

void
CmRatePermits_GiveBack(struct cm_rate_permits *permits, const char *target,
                       struct timespec now)
{
    struct target_permits *state = find_or_add(permits, target);
    if (!CmTime_Before(now, state->held_until)) {
        state->held = 0;
        state->held_until = CmTime_AddMs(now, CM_RATE_PERMIT_VALID_MS);
    }
    state->held++;
}

int
CmRatePermits_StartClaim(struct cm_rate_permits *permits, const char *target,
                         int waiting, struct timespec now)
{
    struct target_permits *state = find_or_add(permits, target);
    state->claiming = true;
    return CLAMP(MAX(waiting, state->last_span_demand), 1, CM_RATE_WANTED_MAX);
}

void
CmRatePermits_Apply(struct cm_rate_permits *permits, const char *target,
                    const struct cm_rate_grant *grant, struct timespec now)
{
    struct target_permits *state = find_or_add(permits, target);
    state->claiming = false;
    if (grant == NULL) {
        return;
    }
    if (grant->permits > 0) {
        state->held += grant->permits;
        state->held_until = CmTime_AddMs(now, CM_RATE_PERMIT_VALID_MS);
    }
    state->blocked_until =
        CmTime_AddMs(now, MIN(grant->retry_ms, CM_RATE_BLOCK_MAX_MS));
}

void
CmRatePermits_Expire(struct cm_rate_permits *permits, struct timespec now)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, permits->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct target_permits *state = value;
        if (!state->claiming &&
            CmTime_DiffMs(now, state->span_start) >= EXPIRY_MS) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
