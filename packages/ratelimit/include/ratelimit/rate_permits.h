/// @file rate_permits.h
/// Permits of one gateway for targets that name a rate limit: those it holds,
/// and when it may claim more. Pure, as arbiter.h.

#ifndef RATELIMIT_RATE_PERMITS_H
#define RATELIMIT_RATE_PERMITS_H

#include "ratelimit/arbiter.h"

/// Time after which permits that were not used are dropped.
#define CM_RATE_PERMIT_VALID_MS 500
/// Most permits of one claim.
#define CM_RATE_WANTED_MAX 256
/// Longest time for which a target is not claimed for again.
#define CM_RATE_BLOCK_MAX_MS 5000

/// What a request that is about to be placed at a target may do.
enum cm_rate_permit_step {
    CM_RATE_PERMIT_TAKEN,  ///< it has a permit
    CM_RATE_PERMIT_CLAIM,  ///< claim permits at the arbiter
    CM_RATE_PERMIT_WAIT,   ///< wait for the claim that is under way
    CM_RATE_PERMIT_BLOCKED ///< no permit for some time: use another target
};

struct cm_rate_permits {
    GHashTable *targets; ///< name to its state
};

void
CmRatePermits_Init(struct cm_rate_permits *permits);

void
CmRatePermits_Finish(struct cm_rate_permits *permits);

/// Counts a request that would use the target.
void
CmRatePermits_CountDemand(struct cm_rate_permits *permits, const char *target,
                          struct timespec now);

/// Takes a permit if one is held.
/// @param[out] blocked_ms time until the target may be claimed for again, set
///             if it is blocked.
enum cm_rate_permit_step
CmRatePermits_Take(struct cm_rate_permits *permits, const char *target,
                   struct timespec now, int64_t *blocked_ms);

/// Gives a permit back that was not used.
void
CmRatePermits_GiveBack(struct cm_rate_permits *permits, const char *target,
                       struct timespec now);

/// Starts a claim: CmRatePermits_Take() lets requests wait until
/// CmRatePermits_Apply().
/// @param waiting requests that wait for a permit.
/// @return the number of permits to claim, by the recent demand.
int
CmRatePermits_StartClaim(struct cm_rate_permits *permits, const char *target,
                         int waiting, struct timespec now);

/// Applies the answer to a claim, or NULL if there was none.
void
CmRatePermits_Apply(struct cm_rate_permits *permits, const char *target,
                    const struct cm_rate_grant *grant, struct timespec now);

/// Drops unused state; to be called periodically.
void
CmRatePermits_Expire(struct cm_rate_permits *permits, struct timespec now);

#endif
