/// @file quota_balance.c
/// What one gateway holds of the quotas.
///
/// Load pattern: most accounts stay far below their quotas, so that what was
/// granted ahead serves their requests at once. An account at many times its
/// quota is denied here, without a message for each request.

#include "ratelimit/quota_balance.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"

#define MS_PER_S 1000.0
/// Longest time after which a denied request is told to come back, in ms.
#define RETRY_MAX_MS 3600000.0
/// Time constant of demand and grants.
#define AVERAGE_S 1.0
/// What a gateway holds ahead, as a time of the account's demand.
#define AHEAD_S 0.6
/// Least part of an account's grants that a gateway is taken to get, when it
/// says how long a denied request has to wait.
#define PART_MIN 0.05
/// Largest part of a quota that a gateway grants to itself: below that of an
/// arbiter that may leave a bucket in debt.
#define OWN_SHARE_MAX 0.5
/// Time without requests after which an account is dropped.
#define EXPIRY_MS 60000
/// Number of gateways that is assumed until an arbiter has told it.
#define GATEWAYS_DEFAULT 32

struct balance {
    char account[CM_QUOTA_NAME_SIZE];
    double held;
    double need;  ///< cost of the requests that wait
    double first; ///< cost of the first of them
    double cost;  ///< of the latest request
    double demand_per_s;
    double granted_per_s;
    double total_per_s; ///< granted to all gateways, as the arbiter tells
    double denied;      ///< cost of the denied requests, less the quota since
    struct timespec updated;
    struct timespec used_at;
    struct timespec blocked_until;
};

void
CmQuotaBalances_Init(struct cm_quota_balances *balances, struct timespec now)
{
    *balances = (struct cm_quota_balances){0};
    balances->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    CmQuotaArbiter_Init(&balances->own_share, now);
}

void
CmQuotaBalances_Finish(struct cm_quota_balances *balances)
{
    g_hash_table_destroy(balances->accounts);
    CmQuotaArbiter_Finish(&balances->own_share);
}

/// Brings the averages up to `now`.
static void
decay(struct balance *balance, struct timespec now)
{
    double elapsed_s = MAX(CmTime_DiffS(now, balance->updated), 0);
    double factor = exp(-elapsed_s / AVERAGE_S);
    balance->demand_per_s *= factor;
    balance->granted_per_s *= factor;
    balance->updated = now;
}

static struct balance *
find_or_add(struct cm_quota_balances *balances, const char *account,
            struct timespec now)
{
    struct balance *balance = g_hash_table_lookup(balances->accounts, account);
    if (balance == NULL) {
        balance = g_new0(struct balance, 1);
        g_strlcpy(balance->account, account, sizeof(balance->account));
        balance->updated = now;
        g_hash_table_insert(balances->accounts, balance->account, balance);
    }
    return balance;
}

/// @return part of what all gateways were granted that this one was.
static double
part_of_grants(const struct balance *balance)
{
    return balance->total_per_s > 0
               ? CLAMP(balance->granted_per_s / balance->total_per_s, PART_MIN,
                       1)
               : 1;
}

/// @return part of the quota that this gateway grants to itself while its
/// arbiter does not answer.
static double
own_share(const struct cm_quota_balances *balances,
          const struct balance *balance, const struct cm_quota_rate *rate,
          struct timespec now)
{
    const struct cm_quota_link *link = &balances->link;
    double gateways = link->gateways > 0 ? link->gateways : GATEWAYS_DEFAULT;
    double share = 1 / gateways;
    // The arbiter may still grant this gateway's share to others. What all
    // gateways go on to use, as before, is limited.
    if (CmTime_Before(now, link->delegated_until) &&
        balance->total_per_s > 0) {
        if (CmTime_DiffMs(now, link->gap_at) >= CM_QUOTA_GAP_MS) {
            return 0;
        }
        // As at the beginning of the gap: it has decayed since.
        double granted_per_s =
            balance->granted_per_s *
            exp(CmTime_DiffS(now, link->gap_at) / AVERAGE_S);
        return MIN(granted_per_s / balance->total_per_s, 1) *
               CM_QUOTA_GAP_SHARE;
    }
    return share;
}

static void
take_own_share(struct cm_quota_balances *balances, struct balance *balance,
               double cost, const struct cm_quota_rate *rate,
               struct timespec now)
{
    double need = MAX(cost - balance->held, 0);
    struct cm_quota_claim claim = {.need = need, .first = need};
    g_strlcpy(claim.account, balance->account, sizeof(claim.account));
    double share = MIN(own_share(balances, balance, rate, now), OWN_SHARE_MAX);
    if (share <= 0) {
        return;
    }
    // The arbiter's bucket has the burst until the share is taken back.
    struct cm_quota_rate allowed = *rate;
    if (CmTime_Before(now, balances->link.delegated_until)) {
        allowed.burst = 0;
    }
    struct cm_quota_grant grant = CmQuotaArbiter_Grant(
        &balances->own_share, &claim, &allowed, share, now);
    balance->held += grant.amount;
}

/// @return time after which a request that is denied now is within the quota.
static int64_t
deny(struct balance *balance, double cost, const struct cm_quota_rate *rate,
     struct timespec now)
{
    balance->denied += cost;
    int64_t wait_ms = (int64_t)MIN(
        balance->denied / (rate->rate_per_s * part_of_grants(balance)) *
            MS_PER_S,
        RETRY_MAX_MS);
    int64_t blocked_ms = CmTime_DiffMs(balance->blocked_until, now);
    return MAX(wait_ms, blocked_ms);
}

static void
add_need(struct balance *balance, double cost)
{
    if (balance->need <= 0) {
        balance->first = MAX(cost - balance->held, 0);
        balance->need = balance->first;
    }
    else {
        balance->need += cost;
    }
}

enum cm_quota_step
CmQuotaBalances_Take(struct cm_quota_balances *balances, const char *account,
                     double cost, const struct cm_quota_rate *rate,
                     bool waited, struct timespec now, int64_t *retry_ms)
{
    struct balance *balance = find_or_add(balances, account, now);
    double elapsed_s = MAX(CmTime_DiffS(now, balance->used_at), 0);
    balance->denied = MAX(balance->denied - elapsed_s * rate->rate_per_s *
                                                part_of_grants(balance),
                          0);
    balance->used_at = now;
    decay(balance, now);
    if (!CmQuotaRate_Fits(rate, cost)) {
        // It does not count for those that are denied after it.
        *retry_ms = (int64_t)RETRY_MAX_MS;
        return CM_QUOTA_DENIED;
    }
    if (!waited) {
        balance->demand_per_s += cost / AVERAGE_S;
        balance->cost = cost;
    }
    if (balance->held < cost && balances->link.failing) {
        take_own_share(balances, balance, cost, rate, now);
    }
    if (balance->held >= cost) {
        balance->held -= cost;
        return CM_QUOTA_TAKEN;
    }
    if (waited || balances->link.failing ||
        CmTime_Before(now, balance->blocked_until)) {
        *retry_ms = deny(balance, cost, rate, now);
        return CM_QUOTA_DENIED;
    }
    add_need(balance, cost);
    return CM_QUOTA_CLAIM;
}

void
CmQuotaBalances_Need(struct cm_quota_balances *balances, const char *account,
                     double cost, struct timespec now)
{
    add_need(find_or_add(balances, account, now), cost);
}

void
CmQuotaBalances_GiveBack(struct cm_quota_balances *balances,
                         const char *account, double cost)
{
    struct balance *balance = g_hash_table_lookup(balances->accounts, account);
    if (balance != NULL) {
        balance->held += cost;
    }
}

/// Takes the account's claim off its balance.
/// @return whether there is one.
static bool
take_claim(struct balance *balance, struct timespec now,
           struct cm_quota_claim *claim)
{
    decay(balance, now);
    // Less than a request costs can't be used, here or elsewhere.
    double ahead = balance->demand_per_s * AHEAD_S;
    ahead = ahead >= balance->cost ? ahead : 0;
    *claim = (struct cm_quota_claim){
        .need = balance->need,
        .first = balance->first,
        .want = MAX(ahead - balance->held, 0),
        .unused = balance->need > 0 ? 0 : MAX(balance->held - ahead, 0),
    };
    bool blocked = CmTime_Before(now, balance->blocked_until);
    claim->want = blocked ? 0 : claim->want;
    g_strlcpy(claim->account, balance->account, sizeof(claim->account));
    balance->held -= claim->unused;
    balance->need = 0;
    balance->first = 0;
    return claim->need > 0 || claim->want >= 1 || claim->unused >= 1;
}

void
CmQuotaBalances_Claim(struct cm_quota_balances *balances, bool all, size_t max,
                      struct timespec now,
                      void (*each)(void *context,
                                   const struct cm_quota_claim *claim),
                      void *context)
{
    struct cm_quota_claim claim;
    GHashTableIter iter;
    void *value;
    size_t n = 0;
    g_hash_table_iter_init(&iter, balances->accounts);
    while (n < max && g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((struct balance *)value)->need > 0 &&
            take_claim(value, now, &claim)) {
            each(context, &claim);
            n++;
        }
    }
    if (!all) {
        return;
    }
    size_t at = 0;
    g_hash_table_iter_init(&iter, balances->accounts);
    while (n < max && g_hash_table_iter_next(&iter, NULL, &value)) {
        if (at++ >= balances->claimed && take_claim(value, now, &claim)) {
            each(context, &claim);
            n++;
        }
    }
    balances->claimed = n < max ? 0 : at;
}

bool
CmQuotaBalances_HasUnclaimed(const struct cm_quota_balances *balances,
                             const char *account)
{
    const struct balance *balance =
        g_hash_table_lookup(balances->accounts, account);
    return balance != NULL && balance->need > 0;
}

void
CmQuotaBalances_Apply(struct cm_quota_balances *balances,
                      const struct cm_quota_grant *grant, struct timespec now)
{
    struct balance *balance = find_or_add(balances, grant->account, now);
    decay(balance, now);
    balance->held += grant->amount;
    balance->granted_per_s += grant->amount / AVERAGE_S;
    balance->total_per_s = grant->total_per_s;
    if (grant->retry_ms > 0) {
        balance->blocked_until =
            CmTime_AddMs(now, CLAMP(grant->retry_ms, CM_QUOTA_BLOCK_MIN_MS,
                                    CM_QUOTA_BLOCK_MAX_MS));
    }
}

void
CmQuotaBalances_ClaimFailed(struct cm_quota_balances *balances,
                            struct timespec now)
{
    bool expired = CmTime_DiffMs(now, balances->link.answered_at) >=
                   CM_QUOTA_GRANT_VALID_MS;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, balances->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct balance *balance = value;
        balance->need = 0;
        balance->first = 0;
        if (expired) {
            balance->held = 0;
        }
    }
}

void
CmQuotaBalances_Expire(struct cm_quota_balances *balances, struct timespec now)
{
    CmQuotaArbiter_Expire(&balances->own_share, now);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, balances->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct balance *balance = value;
        if (CmTime_DiffMs(now, balance->used_at) >= EXPIRY_MS) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

enum cm_quota_link_step
CmQuotaLink_Step(struct cm_quota_link *link, const char *chosen,
                 struct timespec now)
{
    if (!link->chosen || (strcmp(link->arbiter, chosen) != 0 &&
                          !CmTime_Before(now, link->delegated_until))) {
        g_strlcpy(link->arbiter, chosen, sizeof(link->arbiter));
        link->chosen = true;
        return CM_QUOTA_LINK_REPORT;
    }
    if (strcmp(link->arbiter, chosen) == 0) {
        // A report would delegate the share anew, for as long as its answers
        // are lost.
        return link->failing && chosen[0] != '\0' ? CM_QUOTA_LINK_RELEASE
                                                  : CM_QUOTA_LINK_REPORT;
    }
    return link->failing ? CM_QUOTA_LINK_WAIT : CM_QUOTA_LINK_RELEASE;
}

void
CmQuotaLink_CountReport(struct cm_quota_link *link, struct timespec now)
{
    int64_t valid_ms =
        CM_QUOTA_DELEGATION_REPORTS * CmQuotaArbiter_ReportMs(link->gateways) +
        CM_QUOTA_DELEGATION_MARGIN_MS;
    link->delegated_until = CmTime_AddMs(now, valid_ms);
}

void
CmQuotaLink_CountAnswer(struct cm_quota_link *link, bool released,
                        double gateways, struct timespec now)
{
    link->failing = false;
    link->answered_at = now;
    link->gateways = gateways;
    if (released) {
        link->delegated_until = CmTime_Before(now, link->unanswered_until)
                                    ? link->unanswered_until
                                    : now;
    }
}

void
CmQuotaLink_Avoid(struct cm_quota_link *link, const char *address,
                  struct timespec now)
{
    struct cm_quota_avoided *entry = &link->avoided[0];
    for (size_t i = 0; i < CM_QUOTA_AVOIDED_MAX; i++) {
        struct cm_quota_avoided *other = &link->avoided[i];
        if (strcmp(other->address, address) == 0) {
            entry = other;
            break;
        }
        if (CmTime_Before(other->until, entry->until)) {
            entry = other;
        }
    }
    g_strlcpy(entry->address, address, sizeof(entry->address));
    entry->until = CmTime_AddMs(now, CM_QUOTA_AVOID_MS);
}

bool
CmQuotaLink_Avoids(const struct cm_quota_link *link, const char *address,
                   struct timespec now)
{
    for (size_t i = 0; i < CM_QUOTA_AVOIDED_MAX; i++) {
        if (strcmp(link->avoided[i].address, address) == 0) {
            return CmTime_Before(now, link->avoided[i].until);
        }
    }
    return false;
}

void
CmQuotaLink_CountFailure(struct cm_quota_link *link, struct timespec now)
{
    if (!link->failing &&
        CmTime_DiffMs(now, link->gap_at) >= CM_QUOTA_GAP_PAUSE_MS) {
        link->gap_at = now;
    }
    link->failing = true;
    link->unanswered_until = link->delegated_until;
}
