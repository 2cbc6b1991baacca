/// @file quota_arbiter.h
/// Grants the quotas of client accounts to all gateways together. Each gateway
/// owns an equal share of every quota and delegates it to the one arbiter that
/// it uses; an arbiter grants no more than the shares that it holds. So the
/// sum over all gateways stays within the quota also while some are cut off
/// from others, and while two of them act as arbiters. Pure: no input or
/// output, the time is passed in.

#ifndef RATELIMIT_QUOTA_ARBITER_H
#define RATELIMIT_QUOTA_ARBITER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <time.h>

/// Size of the names of accounts and gateways; longer names are truncated.
#define CM_QUOTA_NAME_SIZE 64
/// Interval of a gateway's reports to its arbiter, up to this many gateways;
/// it grows in proportion beyond, so that an arbiter's load stays the same.
#define CM_QUOTA_REPORT_MS 400
#define CM_QUOTA_REPORT_GATEWAYS 40
/// Reports after which a delegation ends, and the time that a gateway waits in
/// addition before it uses its share itself or delegates it anew.
#define CM_QUOTA_DELEGATION_REPORTS 3
#define CM_QUOTA_DELEGATION_MARGIN_MS 300
/// Part of the burst that a new bucket holds: an arbiter that starts again, or
/// another one, does not grant the whole burst once more.
#define CM_QUOTA_START_SHARE 0.1
/// Part of what is left beyond waiting requests that is granted ahead.
#define CM_QUOTA_AHEAD_SHARE 0.25
/// Time for which a gateway that no longer reports keeps its share: it may be
/// cut off and use it.
#define CM_QUOTA_MEMBER_MS 600000
/// Time without a claim after which a bucket is dropped. It is full by then,
/// unless the burst takes longer than that.
#define CM_QUOTA_BUCKET_EXPIRY_MS 60000

/// What one account's quota allows all gateways together.
struct cm_quota_rate {
    double rate_per_s;
    double burst;
    /// What one request may cost beyond a full bucket. A larger request is
    /// never within the quota.
    double debt;
};

/// Claim of one gateway for one account.
struct cm_quota_claim {
    char account[CM_QUOTA_NAME_SIZE];
    double need;   ///< cost of the requests that wait
    double first;  ///< cost of the first of them
    double want;   ///< expected beyond that until the next report
    double unused; ///< granted before and not used
};

struct cm_quota_grant {
    char account[CM_QUOTA_NAME_SIZE];
    double amount;
    double total_per_s; ///< granted to all gateways, moving average
    int64_t retry_ms;   ///< time until the rest of the need may be had
};

struct cm_quota_arbiter {
    GHashTable *buckets;     ///< account to its bucket
    GHashTable *delegations; ///< gateway to the end of its delegation
    GHashTable *members;     ///< gateway to the time when it last reported
    double told_gateways;    ///< highest number that a gateway has told
    struct timespec told_at;
    struct timespec since; ///< when it became the arbiter
};

void
CmQuotaArbiter_Init(struct cm_quota_arbiter *arbiter, struct timespec now);

void
CmQuotaArbiter_Finish(struct cm_quota_arbiter *arbiter);

/// @return whether a request of this cost can ever be within the quota.
static inline bool
CmQuotaRate_Fits(const struct cm_quota_rate *rate, double cost)
{
    return cost <= MAX(rate->burst, rate->rate_per_s) + rate->debt;
}

/// @return the interval of reports, in ms.
int64_t
CmQuotaArbiter_ReportMs(double gateways);

/// Records that a gateway delegates its share.
/// @param gateways number of gateways that it knows of; 0 if it knows none.
void
CmQuotaArbiter_Delegate(struct cm_quota_arbiter *arbiter, const char *gateway,
                        double gateways, struct timespec now);

/// Records that a gateway takes its share back.
void
CmQuotaArbiter_Release(struct cm_quota_arbiter *arbiter, const char *gateway);

/// @param least number of gateways that are known otherwise.
/// @return the number of gateways that own shares: all that have reported
/// within CM_QUOTA_MEMBER_MS, and what the others have told.
double
CmQuotaArbiter_Gateways(struct cm_quota_arbiter *arbiter, double least,
                        struct timespec now);

/// @return the number of shares that are delegated to the arbiter. Its own one
/// counts only while it delegates it to itself.
double
CmQuotaArbiter_Shares(struct cm_quota_arbiter *arbiter, struct timespec now);

/// Grants at most what the claim asks for.
/// @param rate quota of the account.
/// @param share part of it that this arbiter may grant.
struct cm_quota_grant
CmQuotaArbiter_Grant(struct cm_quota_arbiter *arbiter,
                     const struct cm_quota_claim *claim,
                     const struct cm_quota_rate *rate, double share,
                     struct timespec now);

/// Drops buckets without claims and delegations that have ended; to be called
/// periodically.
void
CmQuotaArbiter_Expire(struct cm_quota_arbiter *arbiter, struct timespec now);

#endif
