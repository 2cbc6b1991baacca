/// @file arbiter.h
/// Grants permits for the requests to targets that name a rate limit, to all
/// gateways together: one token bucket for each target, at the one gateway
/// that is its arbiter. Pure: no input or output, the time is passed in.

#ifndef RATELIMIT_ARBITER_H
#define RATELIMIT_ARBITER_H

#include "ratelimit/limit_table.h"

/// Least rate at which permits are granted, so that some response tells when a
/// limit is no longer named.
#define CM_RATE_MIN_PER_S 0.2
/// Tokens of a full bucket: these, and what arrives in CM_RATE_BURST_S. With
/// 4 s of the rate they stay below 1.5 times that and 5 more, which the
/// platform allows.
#define CM_RATE_BURST 3.0
#define CM_RATE_BURST_S 0.5
/// Claims a second that an arbiter gets, for each second for which a gateway
/// whose claim is not granted in full pauses. Bounds the messages while many
/// gateways want more than the limits allow.
#define CM_RATE_CLAIMS_PER_PAUSE_S 60.0
/// Time without a claim after which a bucket is dropped.
#define CM_RATE_BUCKET_EXPIRY_MS 60000

/// A gateway's claim for permits of one target.
struct cm_rate_claim {
    char target[CM_LIMIT_NAME_SIZE];
    int wanted;
    int priority; ///< of the most urgent request; 0 is the most urgent
};

struct cm_rate_grant {
    int permits;
    int64_t retry_ms; ///< if not all are granted, time until the next claim
};

struct cm_rate_arbiter {
    GHashTable *buckets; ///< target to its bucket
    double claims_per_s; ///< moving average
    struct timespec claimed_at;
};

void
CmRateArbiter_Init(struct cm_rate_arbiter *arbiter);

void
CmRateArbiter_Finish(struct cm_rate_arbiter *arbiter);

/// Grants up to the wanted number of permits.
/// @param per_s the limit that the target names.
/// @param share part of it that this arbiter grants; below 1 while it only
///              stands in for another one, which may still grant, too.
struct cm_rate_grant
CmRateArbiter_Grant(struct cm_rate_arbiter *arbiter,
                    const struct cm_rate_claim *claim, double per_s,
                    double share, struct timespec now);

/// Drops buckets without claims; to be called periodically.
void
CmRateArbiter_Expire(struct cm_rate_arbiter *arbiter, struct timespec now);

#endif
