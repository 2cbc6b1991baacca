/// @file retry_permits.c
/// Permits of one gateway for retries.
///
/// Load pattern: retry_reserve.c. Holders come and go. Claims wait for each
/// other, so that one message carries what all waiting requests need. A holder
/// that has nothing left says when to come back; until then the other ones are
/// asked, and if none is left, retries are denied at once.

#include "ratelimit/retry_permits.h"

#include "base/clock.h"

struct service {
    char name[CM_RETRY_NAME_SIZE];
    int spare; ///< permits that no request holds
    struct timespec spare_until;
    GHashTable *blocked; ///< holder to struct timespec, the end of its block
};

static void
service_free(void *value)
{
    struct service *service = value;
    g_hash_table_destroy(service->blocked);
    g_free(service);
}

void
CmRetryPermits_Init(struct cm_retry_permits *permits, size_t first,
                    struct timespec now)
{
    *permits = (struct cm_retry_permits){.first = first};
    permits->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
    CmRetryReserve_Init(&permits->used, now);
}

void
CmRetryPermits_Finish(struct cm_retry_permits *permits)
{
    CmRetryReserve_Finish(&permits->used);
    g_hash_table_destroy(permits->services);
}

static struct service *
find_or_add(struct cm_retry_permits *permits, const char *name)
{
    struct service *service = g_hash_table_lookup(permits->services, name);
    if (service == NULL) {
        service = g_new0(struct service, 1);
        g_strlcpy(service->name, name, sizeof(service->name));
        service->blocked =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(permits->services, service->name, service);
    }
    return service;
}

static bool
is_blocked(const struct service *service, const char *holder,
           struct timespec now)
{
    const struct timespec *until =
        g_hash_table_lookup(service->blocked, holder);
    return until != NULL && CmTime_Before(now, *until);
}

static void
block(struct service *service, const char *holder, struct timespec until)
{
    struct timespec *blocked_until = g_new(struct timespec, 1);
    *blocked_until = until;
    g_hash_table_replace(service->blocked, g_strdup(holder), blocked_until);
}

int
CmRetryPermits_ChooseHolder(struct cm_retry_permits *permits,
                            const char *service_name,
                            const struct cm_retry_holders *holders,
                            const struct cm_retry_part *reserve,
                            struct timespec now)
{
    if (CmRetryReserve_Left(&permits->used, service_name, reserve, now) == 0) {
        return CM_RETRY_NO_HOLDER;
    }
    const struct service *service = find_or_add(permits, service_name);
    for (size_t i = 0; i < holders->n; i++) {
        size_t holder = (permits->first + i) % holders->n;
        if (!is_blocked(service, holders->addresses[holder], now)) {
            return (int)holder;
        }
    }
    return CM_RETRY_NO_HOLDER;
}

int
CmRetryPermits_Wanted(struct cm_retry_permits *permits, const char *service,
                      int waiting, const struct cm_retry_part *reserve,
                      struct timespec now)
{
    int left = CmRetryReserve_Left(&permits->used, service, reserve, now);
    return MIN(MIN(waiting, left), CM_RETRY_WANTED_MAX);
}

/// Adds permits that no request holds. All of them end with the first one.
static void
add_spare(struct service *service, int permits, struct timespec until,
          struct timespec now)
{
    bool alone =
        service->spare == 0 || !CmTime_Before(now, service->spare_until);
    service->spare = alone ? permits : service->spare + permits;
    if (alone || CmTime_Before(until, service->spare_until)) {
        service->spare_until = until;
    }
}

void
CmRetryPermits_Apply(struct cm_retry_permits *permits,
                     const char *service_name, const char *holder,
                     const struct cm_retry_grant *grant,
                     const struct cm_retry_part *reserve,
                     struct timespec claimed_at, struct timespec now)
{
    struct service *service = find_or_add(permits, service_name);
    if (grant == NULL) {
        block(service, holder, CmTime_AddMs(now, CM_RETRY_SILENT_MS));
        return;
    }
    if (grant->retry_ms > 0) {
        block(service, holder, CmTime_AddMs(now, grant->retry_ms));
    }
    if (grant->permits > 0) {
        add_spare(service, grant->permits,
                  CmTime_AddMs(claimed_at, CM_RETRY_PERMIT_VALID_MS), now);
        CmRetryReserve_Count(&permits->used, service_name, grant->permits,
                             reserve, now);
    }
}

bool
CmRetryPermits_Take(struct cm_retry_permits *permits, const char *name,
                    struct cm_retry_permit *permit, struct timespec now)
{
    struct service *service = g_hash_table_lookup(permits->services, name);
    if (service == NULL || service->spare == 0 ||
        !CmTime_Before(now, service->spare_until)) {
        return false;
    }
    service->spare--;
    *permit = (struct cm_retry_permit){true, service->spare_until};
    return true;
}

void
CmRetryPermits_GiveBack(struct cm_retry_permits *permits, const char *name,
                        struct cm_retry_permit *permit, struct timespec now)
{
    if (CmRetryPermit_IsValid(permit, now)) {
        add_spare(find_or_add(permits, name), 1, permit->until, now);
    }
    permit->held = false;
}

bool
CmRetryPermit_IsValid(const struct cm_retry_permit *permit,
                      struct timespec now)
{
    return permit->held && CmTime_Before(now, permit->until);
}

static gboolean
is_over(void *holder, void *blocked_until, void *now)
{
    return !CmTime_Before(*(struct timespec *)now,
                          *(struct timespec *)blocked_until);
}

void
CmRetryPermits_Expire(struct cm_retry_permits *permits, struct timespec now)
{
    CmRetryReserve_Expire(&permits->used, now);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, permits->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct service *service = value;
        g_hash_table_foreach_remove(service->blocked, is_over, &now);
        if (!CmTime_Before(now, service->spare_until) &&
            g_hash_table_size(service->blocked) == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
