/// @file quota_balance.h
/// Quotas at one gateway: what it holds of them, what it claims, and which
/// arbiter it delegates its share to. Pure, as quota_arbiter.h.

#ifndef RATELIMIT_QUOTA_BALANCE_H
#define RATELIMIT_QUOTA_BALANCE_H

#include <stdint.h>

#include "ratelimit/quota_arbiter.h"

/// Longest time for which a request waits for a claim.
#define CM_QUOTA_WAIT_MS 150
/// Time for which an account whose claim was not met is not claimed for
/// again, at least and at most: a smaller request may be within the quota
/// before the one that was denied.
#define CM_QUOTA_BLOCK_MIN_MS 50
#define CM_QUOTA_BLOCK_MAX_MS 400
/// Time without an answer of the arbiter after which grants are dropped.
#define CM_QUOTA_GRANT_VALID_MS 1000
/// Share of a quota that the gateways use together at most, in the parts that
/// they had before, while their arbiter does not answer and still holds their
/// shares. With the time of a delegation, 1.5 s, this stays below what an
/// account may exceed.
#define CM_QUOTA_GAP_SHARE 0.5
/// Time of that, and time until the next one begins at the earliest: an
/// arbiter that answers now and then would add them up within one window.
#define CM_QUOTA_GAP_MS 1500
#define CM_QUOTA_GAP_PAUSE_MS 10000

/// What a request may do.
enum cm_quota_step {
    CM_QUOTA_TAKEN,  ///< its cost is taken from the balance
    CM_QUOTA_CLAIM,  ///< wait for a claim
    CM_QUOTA_DENIED, ///< it is beyond the quota
};

/// What a gateway does next about its arbiter.
enum cm_quota_link_step {
    CM_QUOTA_LINK_REPORT,  ///< report and delegate to `arbiter`
    CM_QUOTA_LINK_RELEASE, ///< take the share back from `arbiter`
    CM_QUOTA_LINK_WAIT,    ///< the share is still delegated to another one
};

/// Time for which a gateway that has declined is not chosen as the arbiter.
#define CM_QUOTA_AVOID_MS 2000
/// Gateways that are avoided at once; seeds, of which there are few.
#define CM_QUOTA_AVOIDED_MAX 8

/// A gateway that has declined to be the arbiter.
struct cm_quota_avoided {
    char address[CM_QUOTA_NAME_SIZE];
    struct timespec until;
};

/// The arbiter of this gateway.
struct cm_quota_link {
    char arbiter[CM_QUOTA_NAME_SIZE]; ///< "" for this gateway itself
    bool chosen;                      ///< one has been chosen
    bool failing;                     ///< the last call got no answer
    struct timespec delegated_until;  ///< by this gateway's view
    struct timespec answered_at;
    /// End of a delegation whose report got no answer: it may arrive late.
    struct timespec unanswered_until;
    struct timespec gap_at; ///< the last time that it began to fail
    double gateways;        ///< number that own shares; 0 until it is known
    struct cm_quota_avoided avoided[CM_QUOTA_AVOIDED_MAX];
};

struct cm_quota_balances {
    GHashTable *accounts; ///< name to its balance
    struct cm_quota_link link;
    struct cm_quota_arbiter own_share; ///< grants while no arbiter answers
    size_t claimed; ///< accounts before it in the table have claimed in turn
};

void
CmQuotaBalances_Init(struct cm_quota_balances *balances, struct timespec now);

void
CmQuotaBalances_Finish(struct cm_quota_balances *balances);

/// Takes the cost of a request from the balance.
/// @param waited it has waited for a claim already.
/// @param[out] retry_ms time after which it may come back, if it is denied:
/// after those that were denied before it.
enum cm_quota_step
CmQuotaBalances_Take(struct cm_quota_balances *balances, const char *account,
                     double cost, const struct cm_quota_rate *rate,
                     bool waited, struct timespec now, int64_t *retry_ms);

/// Adds the cost of a request that waits to the next claim.
void
CmQuotaBalances_Need(struct cm_quota_balances *balances, const char *account,
                     double cost, struct timespec now);

/// Gives back the cost of a request that has not run.
void
CmQuotaBalances_GiveBack(struct cm_quota_balances *balances,
                         const char *account, double cost);

/// Calls `each` for at most `max` accounts that claim, first for those with
/// waiting requests. The next call goes on with the others.
/// @param all whether accounts without waiting requests claim, too.
void
CmQuotaBalances_Claim(struct cm_quota_balances *balances, bool all, size_t max,
                      struct timespec now,
                      void (*each)(void *context,
                                   const struct cm_quota_claim *claim),
                      void *context);

/// @return whether requests of the account wait that are not claimed for yet.
bool
CmQuotaBalances_HasUnclaimed(const struct cm_quota_balances *balances,
                             const char *account);

/// Applies one grant.
void
CmQuotaBalances_Apply(struct cm_quota_balances *balances,
                      const struct cm_quota_grant *grant, struct timespec now);

/// Ends the wait of all requests whose claim got no answer.
void
CmQuotaBalances_ClaimFailed(struct cm_quota_balances *balances,
                            struct timespec now);

/// Drops accounts that are not used; to be called periodically.
void
CmQuotaBalances_Expire(struct cm_quota_balances *balances,
                       struct timespec now);

/// @param chosen address of the arbiter that all gateways should use, or ""
/// for this gateway.
enum cm_quota_link_step
CmQuotaLink_Step(struct cm_quota_link *link, const char *chosen,
                 struct timespec now);

/// Records that a report is sent, which delegates the share.
void
CmQuotaLink_CountReport(struct cm_quota_link *link, struct timespec now);

/// Records the answer to a report or a release.
/// @param gateways that own shares, by the answer.
void
CmQuotaLink_CountAnswer(struct cm_quota_link *link, bool released,
                        double gateways, struct timespec now);

/// Records that a gateway declines to be the arbiter.
void
CmQuotaLink_Avoid(struct cm_quota_link *link, const char *address,
                  struct timespec now);

/// @return whether the gateway has declined lately.
bool
CmQuotaLink_Avoids(const struct cm_quota_link *link, const char *address,
                   struct timespec now);

/// Records that there was no answer.
void
CmQuotaLink_CountFailure(struct cm_quota_link *link, struct timespec now);

#endif
