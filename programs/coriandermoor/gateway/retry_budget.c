/// @file retry_budget.c
/// Retry budgets of services: requests that wait for a permit, and the calls
/// that carry claims and grants.

#include "retry_budget.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/log.h"
#include "peer_call.h"
#include "placement.h"
#include "ratelimit/retry_message.h"
#include "ratelimit/retry_window.h"
#include "request.h"

#define MS_PER_S 1000
/// Timeout of a claim, after which the next holder is asked.
#define CLAIM_TIMEOUT_MS 200

struct service_budget;

/// A claim under way.
struct claim_call {
    struct service_budget *budget;
    struct peer_call call;
    char holder[CM_PEER_ADDRESS_SIZE];
    int wanted;
    struct timespec claimed_at; ///< by boot time
};

/// Budget of one service.
struct service_budget {
    struct gateway *gateway;
    char name[CM_RETRY_NAME_SIZE];
    struct cm_retry_window window;
    struct claim_call *claim; ///< under way; NULL for none
    TAILQ_HEAD(, request) waiters;
    unsigned round; ///< of answers; waiters of an earlier one are placed again
    bool placing;   ///< waiters are being placed: the next claim is for all
    struct timespec logged_at;
};

static struct timespec
boot_time(const struct gateway *gateway)
{
    return CmClock_BootTime(gateway->clock);
}

static void
claim_free(struct claim_call *claim)
{
    claim->budget->claim = NULL;
    PeerCall_Finish(&claim->call);
    g_free(claim);
}

static void
budget_free(void *value)
{
    struct service_budget *budget = value;
    if (budget->claim != NULL) {
        claim_free(budget->claim);
    }
    g_free(budget);
}

/// Without any candidate each gateway holds a part.
static bool
is_holder(const struct cm_roster *roster, const struct cm_roster_peer *peer)
{
    return CmRosterPeer_IsCandidate(peer) ||
           CmRoster_CountCandidates(roster) == 0;
}

/// @return the number of holders, those included that don't respond.
static size_t
count_holders(const struct cm_roster *roster)
{
    size_t n = CmRoster_CountCandidates(roster);
    return n > 0 ? n : (size_t)roster->peers->len + 1;
}

static int
compare_addresses(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/// @return the whole reserve of a service.
static struct cm_retry_part
whole_reserve(const struct gateway *gateway)
{
    const struct cm_gateway_settings *settings = &gateway->settings;
    return (struct cm_retry_part){
        .size = settings->retry_reserve,
        .window_ms = (int64_t)(settings->retry_window_s * MS_PER_S)};
}

/// @return the part that each holder has.
static struct cm_retry_part
part_of_holder(const struct gateway *gateway)
{
    struct cm_retry_part part = whole_reserve(gateway);
    part.size /= (double)count_holders(&gateway->gossip.roster);
    return part;
}

/// Lists the holders that respond; this gateway's address is that of its
/// roster.
static void
list_holders(const struct gateway *gateway, struct cm_retry_holders *holders)
{
    const struct cm_roster *roster = &gateway->gossip.roster;
    holders->n = 0;
    if (is_holder(roster, &roster->self)) {
        holders->addresses[holders->n++] = roster->self.address;
    }
    for (guint i = 0; i < roster->peers->len; i++) {
        const struct cm_roster_peer *peer = CmRoster_PeerAt(roster, i);
        if (holders->n < CM_RETRY_HOLDERS_MAX && is_holder(roster, peer) &&
            CmRosterPeer_Responds(peer)) {
            holders->addresses[holders->n++] = peer->address;
        }
    }
    qsort(holders->addresses, holders->n, sizeof(holders->addresses[0]),
          compare_addresses);
}

static bool
is_own_address(const struct gateway *gateway, const char *address)
{
    return strcmp(address, gateway->gossip.roster.self.address) == 0;
}

void
RetryBudget_Init(struct gateway *gateway)
{
    struct timespec now = boot_time(gateway);
    gateway->retry_budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, budget_free);
    CmRetryReserve_Init(&gateway->retry_reserve, now);
    CmRetryPermits_Init(&gateway->retry_permits,
                        CmHash_Text(gateway->settings.common.name, 0), now);
}

void
RetryBudget_Finish(struct gateway *gateway)
{
    g_hash_table_destroy(gateway->retry_budgets);
    CmRetryPermits_Finish(&gateway->retry_permits);
    CmRetryReserve_Finish(&gateway->retry_reserve);
}

/// @return the budget of a service, created on first use.
static struct service_budget *
find_or_add(struct gateway *gateway, const char *name)
{
    const struct cm_gateway_settings *settings = &gateway->settings;
    // Services whose long names begin alike share a budget.
    char key[CM_RETRY_NAME_SIZE];
    g_strlcpy(key, name, sizeof(key));
    struct service_budget *budget =
        g_hash_table_lookup(gateway->retry_budgets, key);
    if (budget == NULL) {
        budget = g_new0(struct service_budget, 1);
        budget->gateway = gateway;
        g_strlcpy(budget->name, key, sizeof(budget->name));
        TAILQ_INIT(&budget->waiters);
        CmRetryWindow_Init(&budget->window, settings->retry_ratio,
                           (int64_t)(settings->retry_window_s * MS_PER_S),
                           boot_time(gateway));
        g_hash_table_insert(gateway->retry_budgets, budget->name, budget);
    }
    budget->window.ratio = settings->retry_ratio;
    return budget;
}

static struct service_budget *
budget_of(const struct request *request)
{
    return find_or_add(request->gateway, request->service);
}

void
RetryBudget_CountRequest(const struct request *request)
{
    CmRetryWindow_CountRequest(&budget_of(request)->window,
                               boot_time(request->gateway));
}

/// @return whether the request may be sent again without a further claim.
static bool
is_allowed(struct request *request, struct service_budget *budget)
{
    struct gateway *gateway = request->gateway;
    struct timespec now = boot_time(gateway);
    return CmRetryPermit_IsValid(&request->retry_permit.permit, now) ||
           CmRetryWindow_Allows(&budget->window, now) ||
           CmRetryPermits_Take(&gateway->retry_permits, budget->name,
                               &request->retry_permit.permit, now);
}

/// @return the address of a holder to claim at, valid until the next change of
/// the roster, or NULL if there is none.
static const char *
choose_holder(const struct service_budget *budget)
{
    struct gateway *gateway = budget->gateway;
    struct cm_retry_part reserve = whole_reserve(gateway);
    struct cm_retry_holders holders;
    list_holders(gateway, &holders);
    int holder =
        CmRetryPermits_ChooseHolder(&gateway->retry_permits, budget->name,
                                    &holders, &reserve, boot_time(gateway));
    return holder != CM_RETRY_NO_HOLDER ? holders.addresses[holder] : NULL;
}

static void
apply_grant(struct service_budget *budget, const char *holder,
            const struct cm_retry_grant *grant, struct timespec claimed_at)
{
    struct gateway *gateway = budget->gateway;
    struct cm_retry_part reserve = whole_reserve(gateway);
    CmRetryPermits_Apply(&gateway->retry_permits, budget->name, holder, grant,
                         &reserve, claimed_at, boot_time(gateway));
}

static struct cm_retry_grant
grant_permits(struct gateway *gateway, const struct cm_retry_claim *claim)
{
    struct cm_retry_part part = part_of_holder(gateway);
    struct cm_retry_grant grant = CmRetryReserve_Grant(
        &gateway->retry_reserve, claim, &part, boot_time(gateway));
    gateway->count.retry_grants.value += grant.permits;
    return grant;
}

/// Places the requests again that have waited for an answer.
static void
place_waiters(struct service_budget *budget)
{
    struct request *request;
    budget->round++;
    budget->placing = true;
    while ((request = TAILQ_FIRST(&budget->waiters)) != NULL &&
           request->retry_permit.round != budget->round) {
        TAILQ_REMOVE(&budget->waiters, request, retry_permit.link);
        request->retry_permit.waiting = false;
        Request_Place(request);
    }
    budget->placing = false;
}

static void
claim_for_waiters(struct service_budget *budget);

static void
on_answer(void *context, const GString *body)
{
    struct claim_call *claim = context;
    struct service_budget *budget = claim->budget;
    struct cm_retry_grant grant;
    bool valid = body != NULL && CmRetryGrant_Decode(&grant, claim->wanted,
                                                     body->str, body->len);
    apply_grant(budget, claim->holder, valid ? &grant : NULL,
                claim->claimed_at);
    CmRoster_CountCall(&budget->gateway->gossip.roster, claim->holder, valid);
    claim_free(claim);
    place_waiters(budget);
    claim_for_waiters(budget);
}

/// Sends a claim.
/// @return false if the call can't be started.
static bool
send_claim(struct service_budget *budget, const char *holder,
           const struct cm_retry_claim *wanted)
{
    struct gateway *gateway = budget->gateway;
    struct claim_call *claim = g_new0(struct claim_call, 1);
    claim->budget = budget;
    g_strlcpy(claim->holder, holder, sizeof(claim->holder));
    claim->wanted = wanted->wanted;
    claim->claimed_at = boot_time(gateway);
    budget->claim = claim;
    gateway->count.retry_claims.value++;
    char *body = CmRetryClaim_Encode(wanted);
    struct peer_message message = {claim->holder, RETRY_PERMITS_PATH, body,
                                   CLAIM_TIMEOUT_MS};
    bool started =
        PeerCall_Start(&claim->call, gateway, &message, on_answer, claim);
    if (!started) {
        claim_free(claim);
    }
    free(body);
    return started;
}

static int
count_waiters(const struct service_budget *budget)
{
    int waiting = 0;
    const struct request *request;
    CmTailq_FOREACH (request, &budget->waiters, retry_permit.link) {
        waiting++;
    }
    return waiting;
}

/// Claims at a holder, which this gateway may be itself.
/// @return whether an answer is to come.
static bool
claim_at(struct service_budget *budget, const char *holder, int waiting)
{
    struct gateway *gateway = budget->gateway;
    struct timespec now = boot_time(gateway);
    struct cm_retry_part reserve = whole_reserve(gateway);
    struct cm_retry_claim wanted = {
        .wanted = CmRetryPermits_Wanted(&gateway->retry_permits, budget->name,
                                        waiting, &reserve, now)};
    g_strlcpy(wanted.service, budget->name, sizeof(wanted.service));
    if (is_own_address(gateway, holder)) {
        struct cm_retry_grant grant = grant_permits(gateway, &wanted);
        apply_grant(budget, holder, &grant, now);
        return false;
    }
    if (send_claim(budget, holder, &wanted)) {
        return true;
    }
    apply_grant(budget, holder, NULL, now);
    return false;
}

/// Claims for the requests that wait, unless a claim is under way. Once no
/// holder has anything left, placing them denies them.
static void
claim_for_waiters(struct service_budget *budget)
{
    while (!TAILQ_EMPTY(&budget->waiters) && budget->claim == NULL &&
           !budget->placing) {
        const char *holder = choose_holder(budget);
        if (holder == NULL ||
            !claim_at(budget, holder, count_waiters(budget))) {
            place_waiters(budget);
        }
    }
}

/// Lets a request wait for a permit. It may be placed again, and end, before
/// this returns.
static void
wait_for_permit(struct request *request, struct service_budget *budget)
{
    request->retry_permit.waiting = true;
    request->retry_permit.round = budget->round;
    TAILQ_INSERT_TAIL(&budget->waiters, request, retry_permit.link);
    request->placement = PLACEMENT_CLAIMING_RETRY;
    Request_SetPlacementTimer(request, Request_LeftMs(request));
    claim_for_waiters(budget);
}

enum retry_admission
RetryBudget_Admit(struct request *request)
{
    if (request->sends == 0) {
        return RETRY_ADMITTED;
    }
    struct service_budget *budget = budget_of(request);
    while (!is_allowed(request, budget)) {
        const char *holder = choose_holder(budget);
        if (holder == NULL) {
            return RETRY_DENIED;
        }
        if (!is_own_address(request->gateway, holder)) {
            wait_for_permit(request, budget);
            return RETRY_WAITS;
        }
        claim_at(budget, holder, 1);
    }
    return RETRY_ADMITTED;
}

bool
RetryBudget_AllowsSend(struct request *request)
{
    return request->sends == 0 || is_allowed(request, budget_of(request));
}

bool
RetryBudget_MayRetry(const struct request *request)
{
    struct service_budget *budget = budget_of(request);
    struct timespec now = boot_time(request->gateway);
    return CmRetryPermit_IsValid(&request->retry_permit.permit, now) ||
           CmRetryWindow_Allows(&budget->window, now) ||
           choose_holder(budget) != NULL;
}

static void
give_back(struct request *request)
{
    if (request->retry_permit.permit.held) {
        struct gateway *gateway = request->gateway;
        CmRetryPermits_GiveBack(
            &gateway->retry_permits, budget_of(request)->name,
            &request->retry_permit.permit, boot_time(gateway));
    }
}

void
RetryBudget_CountSend(struct request *request)
{
    // TargetCall_Send() has counted this attempt.
    if (request->sends <= 1) {
        return;
    }
    struct gateway *gateway = request->gateway;
    struct cm_retry_window *window = &budget_of(request)->window;
    struct timespec now = boot_time(gateway);
    gateway->count.retries_sent.value++;
    if (request->retry_permit.permit.held &&
        !CmRetryWindow_Allows(window, now)) {
        request->retry_permit.permit.held = false;
        gateway->count.retries_by_permit.value++;
        return;
    }
    // Counts even if a request has left the window since it allowed the retry.
    CmRetryWindow_CountRetry(window, now);
    give_back(request);
}

void
RetryBudget_CountDenied(const struct request *request)
{
    struct gateway *gateway = request->gateway;
    struct service_budget *budget = budget_of(request);
    struct timespec now = Gateway_Now(gateway);
    gateway->count.retries_denied.value++;
    if (CmTime_DiffMs(now, budget->logged_at) < MS_PER_S) {
        return;
    }
    budget->logged_at = now;
    struct cm_retry_figures figures =
        CmRetryWindow_Figures(&budget->window, boot_time(gateway));
    CmLog_Event(G_LOG_LEVEL_INFO, "budget", request->parsed.id,
                "service %s: %d retries for %d requests of the last %g s, and "
                "no permit; this process runs for %" PRId64 " ms",
                request->service, figures.retries, figures.requests,
                gateway->settings.retry_window_s,
                CmTime_DiffMs(now, gateway->started_at));
}

void
RetryBudget_FinishRequest(struct request *request)
{
    if (request->retry_permit.waiting) {
        TAILQ_REMOVE(&budget_of(request)->waiters, request, retry_permit.link);
        request->retry_permit.waiting = false;
    }
    give_back(request);
}

char *
RetryBudget_Answer(struct gateway *gateway, const GString *text)
{
    struct cm_retry_claim claim;
    if (!CmRetryClaim_Decode(&claim, text->str, text->len)) {
        return NULL;
    }
    struct cm_retry_grant grant = {.retry_ms = CM_RETRY_SILENT_MS};
    const struct cm_roster *roster = &gateway->gossip.roster;
    if (is_holder(roster, &roster->self)) {
        grant = grant_permits(gateway, &claim);
    }
    return CmRetryGrant_Encode(&grant);
}

void
RetryBudget_Tick(struct gateway *gateway)
{
    struct timespec now = boot_time(gateway);
    CmRetryReserve_WaitFrom(&gateway->retry_reserve,
                            gateway->gossip.roster.counted_since);
    CmRetryReserve_Expire(&gateway->retry_reserve, now);
    CmRetryPermits_Expire(&gateway->retry_permits, now);
}
