/// @file retry_reserve.c
/// Grants of a part of the retry reserve.
///
/// Load pattern: gateways whose own requests allow no retry claim permits, a
/// few at a time after an engine's crash, or all of them at once and for as
/// long as most engines refuse.

#include "ratelimit/retry_reserve.h"

#include <math.h>

#include "base/clock.h"
#include "base/list.h"
#include "ratelimit/retry_window.h"

#define MS_PER_S 1000
/// Grants that are kept as one: those within this part of the window.
#define MERGED_PART 200

/// Permits granted at about one time.
struct grant {
    TAILQ_ENTRY(grant) link;
    struct timespec at;
    int permits;
};

struct service {
    char name[CM_RETRY_NAME_SIZE];
    TAILQ_HEAD(grant_list, grant) grants; ///< the oldest first
    int permits;                          ///< of all of them
    int64_t hold_ms;
};

static void
drop_first(struct service *service)
{
    struct grant *grant = TAILQ_FIRST(&service->grants);
    TAILQ_REMOVE(&service->grants, grant, link);
    service->permits -= grant->permits;
    g_free(grant);
}

static void
service_free(void *value)
{
    struct service *service = value;
    while (!TAILQ_EMPTY(&service->grants)) {
        drop_first(service);
    }
    g_free(service);
}

void
CmRetryReserve_Init(struct cm_retry_reserve *reserve, struct timespec now)
{
    *reserve = (struct cm_retry_reserve){.since = now, .claims_since = now};
    reserve->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
}

void
CmRetryReserve_Finish(struct cm_retry_reserve *reserve)
{
    g_hash_table_destroy(reserve->services);
}

void
CmRetryReserve_WaitFrom(struct cm_retry_reserve *reserve, struct timespec time)
{
    if (CmTime_Before(reserve->since, time)) {
        reserve->since = time;
    }
}

int64_t
CmRetryReserve_HoldMs(const struct cm_retry_part *part)
{
    return part->window_ms +
           part->window_ms * CM_RETRY_WINDOW_MARGIN / CM_RETRY_WINDOW_BUCKETS +
           CM_RETRY_PERMIT_VALID_MS + part->window_ms / MERGED_PART;
}

static struct service *
find_or_add(struct cm_retry_reserve *reserve, const char *name,
            const struct cm_retry_part *part)
{
    struct service *service = g_hash_table_lookup(reserve->services, name);
    if (service == NULL) {
        service = g_new0(struct service, 1);
        g_strlcpy(service->name, name, sizeof(service->name));
        TAILQ_INIT(&service->grants);
        g_hash_table_insert(reserve->services, service->name, service);
    }
    service->hold_ms = CmRetryReserve_HoldMs(part);
    return service;
}

static void
drop_old_grants(struct service *service, struct timespec now)
{
    const struct grant *grant;
    while ((grant = TAILQ_FIRST(&service->grants)) != NULL &&
           CmTime_DiffMs(now, grant->at) >= service->hold_ms) {
        drop_first(service);
    }
}

int
CmRetryReserve_Left(struct cm_retry_reserve *reserve, const char *name,
                    const struct cm_retry_part *part, struct timespec now)
{
    struct service *service = find_or_add(reserve, name, part);
    drop_old_grants(service, now);
    return (int)floor(MAX(part->size - service->permits, 0));
}

void
CmRetryReserve_Count(struct cm_retry_reserve *reserve, const char *name,
                     int permits, const struct cm_retry_part *part,
                     struct timespec now)
{
    struct service *service = find_or_add(reserve, name, part);
    struct grant *last = TAILQ_LAST(&service->grants, grant_list);
    if (last == NULL ||
        CmTime_DiffMs(now, last->at) >= part->window_ms / MERGED_PART) {
        last = g_new0(struct grant, 1);
        last->at = now;
        TAILQ_INSERT_TAIL(&service->grants, last, link);
    }
    last->permits += permits;
    service->permits += permits;
}

/// @return time until permits that are granted now come back, or until the
/// first ones may be granted.
static int64_t
next_permit_ms(struct cm_retry_reserve *reserve, const char *name,
               const struct cm_retry_part *part, struct timespec now)
{
    int64_t hold_ms = CmRetryReserve_HoldMs(part);
    int64_t age_ms = CmTime_DiffMs(now, reserve->since);
    if (age_ms < hold_ms) {
        return hold_ms - age_ms;
    }
    const struct grant *oldest =
        TAILQ_FIRST(&find_or_add(reserve, name, part)->grants);
    // Without any grant the part is smaller than one permit.
    return oldest != NULL ? MAX(hold_ms - CmTime_DiffMs(now, oldest->at), 1)
                          : hold_ms;
}

/// @return the time by which a denied claimant is to come back later, so that
/// all of them together claim about CM_RETRY_CLAIMS_PER_S times a second.
static int64_t
spread_ms(struct cm_retry_reserve *reserve, struct timespec now)
{
    int64_t elapsed_ms = CmTime_DiffMs(now, reserve->claims_since);
    if (elapsed_ms >= MS_PER_S) {
        reserve->claims_before =
            elapsed_ms < 2 * MS_PER_S ? reserve->claims : 0;
        reserve->claims = 0;
        reserve->claims_since = now;
    }
    reserve->claims++;
    return (int64_t)MAX(reserve->claims, reserve->claims_before) * MS_PER_S /
           CM_RETRY_CLAIMS_PER_S;
}

struct cm_retry_grant
CmRetryReserve_Grant(struct cm_retry_reserve *reserve,
                     const struct cm_retry_claim *claim,
                     const struct cm_retry_part *part, struct timespec now)
{
    struct cm_retry_grant grant = {0};
    if (CmTime_DiffMs(now, reserve->since) >= CmRetryReserve_HoldMs(part)) {
        int left = CmRetryReserve_Left(reserve, claim->service, part, now);
        grant.permits =
            MIN(left, CLAMP(claim->wanted, 0, CM_RETRY_WANTED_MAX));
    }
    if (grant.permits > 0) {
        CmRetryReserve_Count(reserve, claim->service, grant.permits, part,
                             now);
    }
    if (grant.permits < claim->wanted) {
        grant.retry_ms = next_permit_ms(reserve, claim->service, part, now) +
                         spread_ms(reserve, now);
    }
    return grant;
}

void
CmRetryReserve_Expire(struct cm_retry_reserve *reserve, struct timespec now)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, reserve->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct service *service = value;
        drop_old_grants(service, now);
        if (TAILQ_EMPTY(&service->grants)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
