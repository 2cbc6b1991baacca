/// @file arbiter.c
/// Token buckets of the targets that name a limit.
///
/// Load pattern: a target in need names a few requests a second, and callers
/// of all gateways want more. Urgent requests go first: while an urgent claim
/// was denied shortly before, others leave it a token.

#include "ratelimit/arbiter.h"

#include <math.h>

#include "base/clock.h"

#define MS_PER_S 1000.0
/// Time for which others leave a token after a more urgent claim was denied,
/// at least, and as the number of tokens that arrive meanwhile.
#define URGENT_MIN_MS 1000.0
#define URGENT_TOKENS 2.0

struct bucket {
    char target[CM_LIMIT_NAME_SIZE];
    double tokens;
    struct timespec updated;
    int urgent_priority; ///< of the last denied claim, if recent
    struct timespec urgent_until;
};

void
CmRateArbiter_Init(struct cm_rate_arbiter *arbiter)
{
    *arbiter = (struct cm_rate_arbiter){0};
    arbiter->buckets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void
CmRateArbiter_Finish(struct cm_rate_arbiter *arbiter)
{
    g_hash_table_destroy(arbiter->buckets);
}

static struct bucket *
find_or_add(struct cm_rate_arbiter *arbiter, const char *target,
            struct timespec now)
{
    struct bucket *bucket = g_hash_table_lookup(arbiter->buckets, target);
    if (bucket == NULL) {
        bucket = g_new0(struct bucket, 1);
        g_strlcpy(bucket->target, target, sizeof(bucket->target));
        bucket->tokens = 1;
        bucket->updated = now;
        g_hash_table_insert(arbiter->buckets, bucket->target, bucket);
    }
    return bucket;
}

static void
refill(struct bucket *bucket, double per_s, struct timespec now)
{
    double elapsed_s = (double)CmTime_DiffMs(now, bucket->updated) / MS_PER_S;
    bucket->tokens = MIN(bucket->tokens + MAX(elapsed_s, 0) * per_s,
                         CM_RATE_BURST + per_s * CM_RATE_BURST_S);
    bucket->updated = now;
}

static void
count_claim(struct cm_rate_arbiter *arbiter, struct timespec now)
{
    double elapsed_s =
        (double)CmTime_DiffMs(now, arbiter->claimed_at) / MS_PER_S;
    arbiter->claims_per_s =
        arbiter->claims_per_s * exp(-MAX(elapsed_s, 0)) + 1;
    arbiter->claimed_at = now;
}

/// Remembers that a claim was denied, so that less urgent ones leave a token.
static void
note_denied(struct bucket *bucket, int priority, double per_s,
            struct timespec now)
{
    bool recent = CmTime_Before(now, bucket->urgent_until);
    if (!recent || priority <= bucket->urgent_priority) {
        bucket->urgent_priority = priority;
        bucket->urgent_until =
            CmTime_AddMs(now, (int64_t)MAX(URGENT_MIN_MS,
                                           URGENT_TOKENS / per_s * MS_PER_S));
    }
}

struct cm_rate_grant
CmRateArbiter_Grant(struct cm_rate_arbiter *arbiter,
                    const struct cm_rate_claim *claim, double per_s,
                    double share, struct timespec now)
{
    double rate = MAX(per_s, CM_RATE_MIN_PER_S) * share;
    struct bucket *bucket = find_or_add(arbiter, claim->target, now);
    refill(bucket, rate, now);
    bool others_first = CmTime_Before(now, bucket->urgent_until) &&
                        bucket->urgent_priority < claim->priority;
    double left = bucket->tokens - others_first;
    struct cm_rate_grant grant = {
        .permits = (int)CLAMP(floor(left), 0, MAX(claim->wanted, 0))};
    bucket->tokens -= grant.permits;
    count_claim(arbiter, now);
    if (grant.permits < claim->wanted) {
        double pause_s = arbiter->claims_per_s / CM_RATE_CLAIMS_PER_PAUSE_S;
        double token_s = (1 - left + grant.permits) / rate;
        grant.retry_ms = (int64_t)ceil(MAX(pause_s, token_s) * MS_PER_S);
    }
    if (grant.permits == 0) {
        note_denied(bucket, claim->priority, rate, now);
    }
    return grant;
}

void
CmRateArbiter_Expire(struct cm_rate_arbiter *arbiter, struct timespec now)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, arbiter->buckets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct bucket *bucket = value;
        if (CmTime_DiffMs(now, bucket->updated) >= CM_RATE_BUCKET_EXPIRY_MS) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
