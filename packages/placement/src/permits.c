/// @file permits.c
/// Grants load permits by rate, concurrency and urgency, and paces loads of
/// agents without an entry.

#include "placement/permits.h"

#include <glib.h>
#include <string.h>

#include "base/clock.h"

/// Interval between the starts of two loads before any load was observed.
#define PACE_START_MS 1000
/// Bounds of that interval.
#define PACE_MIN_MS 100
#define PACE_MAX_MS 10000
/// Decrease of the interval after each load that shows no overload.
#define PACE_DECREASE_MS 50
/// Load time relative to the fastest load above which the store counts as
/// overloaded.
#define OVERLOAD_FACTOR 1.5

void
CmPermits_Init(struct cm_permits *permits, struct timespec now)
{
    memset(permits, 0, sizeof(*permits));
    TAILQ_INIT(&permits->granted);
    TAILQ_INIT(&permits->waiting);
    permits->refilled_at = now;
}

void
CmPermits_Finish(struct cm_permits *permits)
{
    struct cm_permit *permit;
    while ((permit = TAILQ_FIRST(&permits->granted)) != NULL) {
        TAILQ_REMOVE(&permits->granted, permit, link);
        g_free(permit);
    }
    while ((permit = TAILQ_FIRST(&permits->waiting)) != NULL) {
        TAILQ_REMOVE(&permits->waiting, permit, link);
        g_free(permit);
    }
}

void
CmPermits_SetLimits(struct cm_permits *permits, double rate, size_t concurrent)
{
    permits->rate = rate;
    permits->concurrent_max = concurrent;
}

static bool
is_request(const struct cm_permit *permit, const char *holder, uint64_t number)
{
    return permit->number == number && strcmp(permit->holder, holder) == 0;
}

static struct cm_permit *
find_waiting(struct cm_permits *permits, const char *holder, uint64_t number)
{
    struct cm_permit *permit;
    CmTailq_FOREACH (permit, &permits->waiting, link) {
        if (is_request(permit, holder, number)) {
            return permit;
        }
    }
    return NULL;
}

static struct cm_permit *
find_granted(struct cm_permits *permits, const char *holder, uint64_t number)
{
    struct cm_permit *permit;
    CmTailq_FOREACH (permit, &permits->granted, link) {
        if (is_request(permit, holder, number)) {
            return permit;
        }
    }
    return NULL;
}

static bool
is_more_urgent(const struct cm_permit *a, const struct cm_permit *b)
{
    if (a->caller_waits != b->caller_waits) {
        return a->caller_waits;
    }
    return CmTime_Before(a->deadline, b->deadline);
}

static void
insert_waiting(struct cm_permits *permits, struct cm_permit *permit)
{
    struct cm_permit *other;
    CmTailq_FOREACH (other, &permits->waiting, link) {
        if (is_more_urgent(permit, other)) {
            TAILQ_INSERT_BEFORE(other, permit, link);
            return;
        }
    }
    TAILQ_INSERT_TAIL(&permits->waiting, permit, link);
}

void
CmPermits_Request(struct cm_permits *permits, const char *holder,
                  uint64_t number, bool caller_waits, struct timespec deadline,
                  struct timespec now)
{
    struct cm_permit *permit = find_granted(permits, holder, number);
    if (permit != NULL) {
        // The agent repeats the request because it did not receive the grant.
        // The permit returns to the queue and its token to the bucket.
        TAILQ_REMOVE(&permits->granted, permit, link);
        permits->n_granted--;
        permits->tokens += 1;
    }
    else {
        permit = find_waiting(permits, holder, number);
        if (permit != NULL) {
            TAILQ_REMOVE(&permits->waiting, permit, link);
        }
        else {
            permit = g_new0(struct cm_permit, 1);
            g_strlcpy(permit->holder, holder, sizeof(permit->holder));
            permit->number = number;
        }
    }
    permit->granted = false;
    permit->caller_waits = caller_waits;
    permit->deadline = deadline;
    permit->expires_at = CmTime_AddMs(now, CM_PERMIT_EXPIRY_MS);
    insert_waiting(permits, permit);
}

void
CmPermits_Release(struct cm_permits *permits, const char *holder,
                  uint64_t number)
{
    struct cm_permit *permit = find_granted(permits, holder, number);
    if (permit != NULL) {
        TAILQ_REMOVE(&permits->granted, permit, link);
        permits->n_granted--;
        g_free(permit);
        return;
    }
    permit = find_waiting(permits, holder, number);
    if (permit != NULL) {
        TAILQ_REMOVE(&permits->waiting, permit, link);
        g_free(permit);
    }
}

static void
refill_tokens(struct cm_permits *permits, struct timespec now)
{
    double elapsed_s = CmTime_DiffS(now, permits->refilled_at);
    double burst = permits->rate * CM_PERMIT_BURST_S;
    burst = burst > 1 ? burst : 1;
    permits->tokens += elapsed_s * permits->rate;
    permits->tokens = permits->tokens < burst ? permits->tokens : burst;
    permits->refilled_at = now;
}

static void
drop_expired(struct cm_permits *permits, struct timespec now)
{
    struct cm_permit *permit;
    struct cm_permit *next;
    CmTailq_FOREACH_SAFE (permit, &permits->granted, link, next) {
        if (!CmTime_Before(now, permit->expires_at)) {
            TAILQ_REMOVE(&permits->granted, permit, link);
            permits->n_granted--;
            g_free(permit);
        }
    }
    CmTailq_FOREACH_SAFE (permit, &permits->waiting, link, next) {
        if (!CmTime_Before(now, permit->expires_at)) {
            TAILQ_REMOVE(&permits->waiting, permit, link);
            g_free(permit);
        }
    }
}

const struct cm_permit *
CmPermits_Grant(struct cm_permits *permits, struct timespec now)
{
    refill_tokens(permits, now);
    drop_expired(permits, now);
    struct cm_permit *permit = TAILQ_FIRST(&permits->waiting);
    if (permit == NULL || permits->n_granted >= permits->concurrent_max ||
        permits->tokens < 1) {
        return NULL;
    }
    permits->tokens -= 1;
    permits->n_granted++;
    permit->granted = true;
    permit->expires_at = CmTime_AddMs(now, CM_PERMIT_EXPIRY_MS);
    TAILQ_REMOVE(&permits->waiting, permit, link);
    TAILQ_INSERT_TAIL(&permits->granted, permit, link);
    return permit;
}

void
CmLoadPace_Init(struct cm_load_pace *pace)
{
    memset(pace, 0, sizeof(*pace));
    pace->interval_ms = PACE_START_MS;
}

void
CmLoadPace_RecordLoad(struct cm_load_pace *pace, double ms)
{
    if (pace->best_ms == 0 || ms < pace->best_ms) {
        pace->best_ms = ms;
    }
    if (ms > pace->best_ms * OVERLOAD_FACTOR) {
        pace->interval_ms *= 2;
    }
    else {
        pace->interval_ms -= PACE_DECREASE_MS;
    }
    if (pace->interval_ms < PACE_MIN_MS) {
        pace->interval_ms = PACE_MIN_MS;
    }
    if (pace->interval_ms > PACE_MAX_MS) {
        pace->interval_ms = PACE_MAX_MS;
    }
}

bool
CmLoadPace_TryStart(struct cm_load_pace *pace, struct timespec now)
{
    if (CmTime_Before(now, pace->next_start)) {
        return false;
    }
    pace->next_start = CmTime_AddMs(now, (int64_t)pace->interval_ms);
    return true;
}
