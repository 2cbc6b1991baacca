/// @file quota_arbiter.c
/// Token buckets of client accounts.
///
/// Load pattern: one account sends many times its quota through a few or all
/// gateways, while others send at most theirs.

#include "ratelimit/quota_arbiter.h"

#include <math.h>

#include "base/clock.h"

#define MS_PER_S 1000.0
/// Longest time that a grant names, in ms: a quota of next to nothing.
#define RETRY_MAX_MS 3600000.0
/// Time in which a new arbiter hears of all gateways.
#define NEW_ARBITER_MS 3000
/// Share of a quota that at most one arbiter can hold more than.
#define MAJORITY 0.5
/// Time from the beginning of a term in which no bucket gets into debt: a debt
/// ends with the term of its arbiter.
#define DEBT_TERM_MS 8000
/// Time constant of the average of what was granted.
#define AVERAGE_S 1.0

struct bucket {
    char account[CM_QUOTA_NAME_SIZE];
    double level;
    double total_per_s; ///< granted, moving average
    struct timespec updated;
};

void
CmQuotaArbiter_Init(struct cm_quota_arbiter *arbiter, struct timespec now)
{
    *arbiter = (struct cm_quota_arbiter){.since = now};
    arbiter->buckets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    arbiter->delegations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    arbiter->members =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
CmQuotaArbiter_Finish(struct cm_quota_arbiter *arbiter)
{
    g_hash_table_destroy(arbiter->buckets);
    g_hash_table_destroy(arbiter->delegations);
    g_hash_table_destroy(arbiter->members);
}

int64_t
CmQuotaArbiter_ReportMs(double gateways)
{
    return (int64_t)(CM_QUOTA_REPORT_MS *
                     MAX(gateways / CM_QUOTA_REPORT_GATEWAYS, 1));
}

static void
set_time(GHashTable *table, const char *gateway, struct timespec time)
{
    struct timespec *entry = g_hash_table_lookup(table, gateway);
    if (entry == NULL) {
        entry = g_new(struct timespec, 1);
        g_hash_table_insert(table, g_strdup(gateway), entry);
    }
    *entry = time;
}

static gboolean
has_ended(void *gateway, void *end, void *now)
{
    return !CmTime_Before(*(struct timespec *)now, *(struct timespec *)end);
}

static gboolean
reported_long_ago(void *gateway, void *time, void *now)
{
    return CmTime_DiffMs(*(struct timespec *)now, *(struct timespec *)time) >=
           CM_QUOTA_MEMBER_MS;
}

double
CmQuotaArbiter_Gateways(struct cm_quota_arbiter *arbiter, double least,
                        struct timespec now)
{
    double known = MAX(least, g_hash_table_size(arbiter->members));
    if (CmTime_DiffMs(now, arbiter->told_at) < CM_QUOTA_MEMBER_MS) {
        known = MAX(known, arbiter->told_gateways);
    }
    return MAX(known, 1);
}

void
CmQuotaArbiter_Delegate(struct cm_quota_arbiter *arbiter, const char *gateway,
                        double gateways, struct timespec now)
{
    g_hash_table_foreach_remove(arbiter->delegations, has_ended, &now);
    if (g_hash_table_size(arbiter->delegations) == 0) {
        // Another arbiter may have granted the same quotas until now.
        g_hash_table_remove_all(arbiter->buckets);
        arbiter->since = now;
    }
    set_time(arbiter->members, gateway, now);
    // Only what it can't know yet by itself is taken from others: a number
    // that gateways tell each other would never fall.
    if (CmTime_DiffMs(now, arbiter->since) < NEW_ARBITER_MS &&
        gateways > arbiter->told_gateways) {
        arbiter->told_gateways = gateways;
        arbiter->told_at = now;
    }
    int64_t valid_ms =
        CM_QUOTA_DELEGATION_REPORTS *
        CmQuotaArbiter_ReportMs(g_hash_table_size(arbiter->members));
    set_time(arbiter->delegations, gateway, CmTime_AddMs(now, valid_ms));
}

void
CmQuotaArbiter_Release(struct cm_quota_arbiter *arbiter, const char *gateway)
{
    g_hash_table_remove(arbiter->delegations, gateway);
}

double
CmQuotaArbiter_Shares(struct cm_quota_arbiter *arbiter, struct timespec now)
{
    g_hash_table_foreach_remove(arbiter->delegations, has_ended, &now);
    return g_hash_table_size(arbiter->delegations);
}

static struct bucket *
find_or_add(struct cm_quota_arbiter *arbiter, const char *account,
            double capacity, double rate_per_s, struct timespec now)
{
    struct bucket *bucket = g_hash_table_lookup(arbiter->buckets, account);
    if (bucket == NULL) {
        bucket = g_new0(struct bucket, 1);
        g_strlcpy(bucket->account, account, sizeof(bucket->account));
        // Nothing was granted since this arbiter began.
        bucket->level = MIN(capacity * CM_QUOTA_START_SHARE +
                                CmTime_DiffS(now, arbiter->since) * rate_per_s,
                            capacity);
        bucket->updated = now;
        g_hash_table_insert(arbiter->buckets, bucket->account, bucket);
    }
    return bucket;
}

struct cm_quota_grant
CmQuotaArbiter_Grant(struct cm_quota_arbiter *arbiter,
                     const struct cm_quota_claim *claim,
                     const struct cm_quota_rate *rate, double share,
                     struct timespec now)
{
    double rate_per_s = rate->rate_per_s * share;
    // A quota without a burst must still let a single request pass.
    double capacity = MAX(rate->burst * share, rate_per_s);
    struct bucket *bucket =
        find_or_add(arbiter, claim->account, capacity, rate_per_s, now);
    double elapsed_s = MAX(CmTime_DiffS(now, bucket->updated), 0);
    bucket->level =
        MIN(bucket->level + elapsed_s * rate_per_s + MAX(claim->unused, 0),
            capacity);
    bucket->updated = now;
    bucket->total_per_s *= exp(-elapsed_s / AVERAGE_S);
    struct cm_quota_grant grant = {0};
    g_strlcpy(grant.account, claim->account, sizeof(grant.account));
    double need = MAX(claim->need, 0);
    grant.amount = MIN(need, MAX(bucket->level, 0));
    // A request that costs more than a full bucket may leave it in debt, but
    // only at the one arbiter that can hold most of the shares, once the debts
    // at an earlier one are paid.
    if (share > MAJORITY &&
        CmTime_DiffMs(now, arbiter->since) >= DEBT_TERM_MS &&
        grant.amount < claim->first &&
        bucket->level >= MIN(claim->first, capacity) &&
        CmQuotaRate_Fits(rate, claim->first)) {
        grant.amount = claim->first;
    }
    // Less than one request needs would only be out of use for a while.
    if (grant.amount < claim->first) {
        grant.amount = 0;
    }
    if (grant.amount < need) {
        double ms = (need - grant.amount) / MAX(rate_per_s, 1e-9) * MS_PER_S;
        grant.retry_ms = (int64_t)ceil(MIN(ms, RETRY_MAX_MS));
    }
    else {
        double left = MAX(bucket->level - grant.amount, 0);
        grant.amount += MIN(MAX(claim->want, 0), left * CM_QUOTA_AHEAD_SHARE);
    }
    bucket->level -= grant.amount;
    bucket->total_per_s += (grant.amount - MAX(claim->unused, 0)) / AVERAGE_S;
    grant.total_per_s = MAX(bucket->total_per_s, 0);
    return grant;
}

void
CmQuotaArbiter_Expire(struct cm_quota_arbiter *arbiter, struct timespec now)
{
    g_hash_table_foreach_remove(arbiter->delegations, has_ended, &now);
    g_hash_table_foreach_remove(arbiter->members, reported_long_ago, &now);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, arbiter->buckets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct bucket *bucket = value;
        if (CmTime_DiffMs(now, bucket->updated) >= CM_QUOTA_BUCKET_EXPIRY_MS) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
