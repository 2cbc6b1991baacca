/// @file rate_limits.c
/// Claims for permits, and messages about the limits that targets name.
///
/// A limit that is named first or withdrawn is told to a few random gateways,
/// each of which tells it on. A limit that changes is told to the target's
/// arbiter only, as the others need just to know that there is one.

#include "rate_limits.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "dispatch/notices.h"
#include "peer_call.h"
#include "placement.h"
#include "peers/arbiter.h"
#include "ratelimit/message.h"
#include "request.h"

/// Timeouts of a claim, after which another arbiter is chosen, and of news.
#define CLAIM_TIMEOUT_MS 200
#define NEWS_TIMEOUT_MS 800
/// Claims that a request waits for before it uses another target.
#define WAITS_MAX 3
/// Time for which a target is left out while no arbiter answers.
#define NO_ARBITER_MS 200
/// News under way beyond which no further ones are sent.
#define NEWS_MAX 32
/// Part of the limit that an arbiter grants while another one may do so, too.
/// With a bucket that begins with one token, both stay within 6 times the rate
/// and 5 more in 4 s, which the platform allows.
#define CONTESTED_SHARE 0.3

/// A claim at the arbiter, with the requests that wait for it.
struct rate_claim {
    LIST_ENTRY(rate_claim) link;
    struct gateway *gateway;
    struct peer_call call;
    char arbiter[CM_LIMIT_NAME_SIZE];
    char target[CM_LIMIT_NAME_SIZE];
    LIST_HEAD(, request) waiters;
};

/// A message that needs no answer.
struct rate_news {
    LIST_ENTRY(rate_news) link;
    struct gateway *gateway;
    struct peer_call call;
    char peer[CM_LIMIT_NAME_SIZE];
};

static void
news_free(struct rate_news *news)
{
    LIST_REMOVE(news, link);
    PeerCall_Finish(&news->call);
    g_free(news);
}

static void
on_news_done(void *context, const GString *body)
{
    struct rate_news *news = context;
    CmRoster_CountCall(&news->gateway->gossip.roster, news->peer,
                       body != NULL);
    news_free(news);
}

static void
send_news(struct gateway *gateway, const char *peer,
          const struct cm_limit_message *message)
{
    size_t under_way = 0;
    struct rate_news *news;
    CmList_FOREACH (news, &gateway->rate_news, link) {
        under_way++;
    }
    if (under_way >= NEWS_MAX) {
        return;
    }
    news = g_new0(struct rate_news, 1);
    news->gateway = gateway;
    g_strlcpy(news->peer, peer, sizeof(news->peer));
    LIST_INSERT_HEAD(&gateway->rate_news, news, link);
    char *body = CmLimitMessage_Encode(message, Gateway_Now(gateway));
    struct peer_message call = {news->peer, RATE_LIMITS_PATH, body,
                                NEWS_TIMEOUT_MS};
    if (!PeerCall_Start(&news->call, gateway, &call, on_news_done, news)) {
        on_news_done(news, NULL);
    }
    free(body);
}

/// News that is being sent.
struct news_batch {
    struct gateway *gateway;
    struct cm_limit_message for_all;
};

static void
add_news(void *context, const struct cm_named_limit *limit)
{
    struct news_batch *batch = context;
    if ((limit->per_s < 0) != (limit->news_per_s < 0)) {
        CmLimitMessage_AddLimit(&batch->for_all, limit);
        return;
    }
    const char *arbiter =
        CmArbiter_Choose(&batch->gateway->gossip.roster, limit->target);
    if (arbiter != NULL) {
        struct cm_limit_message message;
        CmLimitMessage_Init(&message);
        CmLimitMessage_AddLimit(&message, limit);
        send_news(batch->gateway, arbiter, &message);
        CmLimitMessage_Finish(&message);
    }
}

/// Sends what targets have named first, changed or withdrawn.
static void
push_news(struct gateway *gateway)
{
    struct news_batch batch = {.gateway = gateway};
    struct timespec now = Gateway_Now(gateway);
    CmLimitMessage_Init(&batch.for_all);
    CmLimitTable_TakeNews(&gateway->limits, now, add_news, &batch);
    if (batch.for_all.limits->len > 0) {
        const char *chosen[CM_GOSSIP_FANOUT];
        char peers[CM_GOSSIP_FANOUT][CM_CRASH_NAME_SIZE];
        size_t n = CmRoster_ChoosePeers(&gateway->gossip.roster,
                                        CM_GOSSIP_FANOUT, chosen);
        // A failed call may remove the peers whose addresses these are.
        for (size_t i = 0; i < n; i++) {
            g_strlcpy(peers[i], chosen[i], sizeof(peers[i]));
        }
        for (size_t i = 0; i < n; i++) {
            send_news(gateway, peers[i], &batch.for_all);
        }
    }
    CmLimitMessage_Finish(&batch.for_all);
}

/// @return the target of that incarnation, or NULL if it has left.
static struct cm_live_target *
find_target(const struct gateway *gateway, const char *incarnation)
{
    char name[CM_LIMIT_NAME_SIZE];
    g_strlcpy(name, incarnation, sizeof(name));
    char *end = strrchr(name, '/');
    if (end == NULL) {
        return NULL;
    }
    *end = '\0';
    struct cm_live_target *target = CmTargets_Find(&gateway->targets, name);
    if (target == NULL) {
        return NULL;
    }
    CmTarget_WriteIncarnation(target, name, sizeof(name));
    return strcmp(name, incarnation) == 0 ? target : NULL;
}

static bool
has_left(void *context, const char *incarnation)
{
    return find_target(context, incarnation) == NULL;
}

/// Records what a response named, and lets picks know.
static void
set_limit(struct gateway *gateway, const struct cm_named_limit *limit)
{
    struct timespec now = Gateway_Now(gateway);
    CmLimitTable_Set(&gateway->limits, limit->target, limit->per_s,
                     limit->heard_by, limit->heard, now);
    const struct cm_named_limit *latest =
        CmLimitTable_Latest(&gateway->limits, limit->target);
    struct cm_live_target *target = find_target(gateway, limit->target);
    if (latest == NULL || target == NULL) {
        return;
    }
    bool limited = latest->per_s >= 0;
    if (target->rate_limited != limited) {
        target->rate_limited = limited;
        target->at_limit_until = (struct timespec){0};
    }
    target->limit_heard = latest->heard;
}

void
RateLimits_CountResponse(struct request *request)
{
    const struct attempt *attempt = &request->attempt;
    struct gateway *gateway = request->gateway;
    const struct cm_target_response *response = &attempt->response;
    // A misdirected request was answered by another incarnation, and one
    // without a stamp perhaps by an intermediary, which says nothing of
    // limits.
    if (response->misdirected ||
        (!response->has_limit &&
         (!response->has_stamp || gateway->limits.n_named == 0))) {
        return;
    }
    struct cm_named_limit limit = {
        .per_s = response->has_limit ? response->limit_per_s : CM_LIMIT_NONE,
        .heard = Gateway_Now(gateway),
    };
    CmTarget_WriteIncarnation(attempt->target, limit.target,
                              sizeof(limit.target));
    g_strlcpy(limit.heard_by, gateway->settings.common.name,
              sizeof(limit.heard_by));
    set_limit(gateway, &limit);
    push_news(gateway);
}

static void
on_changed(void *context, const struct cm_named_limit *limit,
           double before_per_s)
{
    struct gateway *gateway = context;
    int64_t age_ms = CmTime_DiffMs(Gateway_Now(gateway), limit->heard);
    if (limit->per_s < 0) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "limit", NULL,
                    "%s names no limit any longer (before: %.2f requests/s), "
                    "heard by %s %" PRId64 " ms ago",
                    limit->target, before_per_s, limit->heard_by, age_ms);
        return;
    }
    const char *arbiter =
        CmArbiter_Choose(&gateway->gossip.roster, limit->target);
    CmLog_Event(G_LOG_LEVEL_WARNING, "limit", NULL,
                "%s names a limit of %.2f requests/s (before: %s%.2f), heard "
                "by %s %" PRId64 " ms ago; permits are granted by %s",
                limit->target, limit->per_s, before_per_s < 0 ? "none, " : "",
                MAX(before_per_s, 0), limit->heard_by, age_ms,
                arbiter != NULL ? arbiter : "this gateway");
}

/// Grants permits as the target's arbiter. A target that names no limit any
/// longer needs none.
static struct cm_rate_grant
grant_permits(struct gateway *gateway, const struct cm_rate_claim *claim)
{
    struct timespec now = Gateway_Now(gateway);
    const struct cm_named_limit *limit =
        CmLimitTable_Find(&gateway->limits, claim->target);
    if (limit == NULL) {
        return (struct cm_rate_grant){.permits = claim->wanted};
    }
    bool contested =
        CmArbiter_IsContested(&gateway->gossip.roster, claim->target);
    gateway->count.contested_grants.value += contested;
    struct cm_rate_grant grant =
        CmRateArbiter_Grant(&gateway->rate_arbiter, claim, limit->per_s,
                            contested ? CONTESTED_SHARE : 1, now);
    gateway->count.limit_grants.value += grant.permits;
    return grant;
}

static void
claim_free(struct rate_claim *claim)
{
    LIST_REMOVE(claim, link);
    PeerCall_Finish(&claim->call);
    g_free(claim);
}

/// Reads the limits of a message.
static void
apply_limits(struct gateway *gateway, const struct cm_limit_message *message)
{
    for (guint i = 0; i < message->limits->len; i++) {
        set_limit(gateway,
                  &g_array_index(message->limits, struct cm_named_limit, i));
    }
    push_news(gateway);
}

/// Applies the arbiter's answer.
/// @return whether it is valid.
static bool
apply_answer(struct rate_claim *claim, const GString *body)
{
    struct gateway *gateway = claim->gateway;
    struct timespec now = Gateway_Now(gateway);
    struct cm_limit_message answer;
    CmLimitMessage_Init(&answer);
    bool valid = body != NULL &&
                 CmLimitMessage_Decode(&answer, body->str, body->len, now) &&
                 answer.has_grant;
    if (valid) {
        apply_limits(gateway, &answer);
    }
    CmRatePermits_Apply(&gateway->rate_permits, claim->target,
                        valid ? &answer.grant : NULL, now);
    CmLimitMessage_Finish(&answer);
    return valid;
}

static void
on_claim_done(void *context, const GString *body)
{
    struct rate_claim *claim = context;
    struct gateway *gateway = claim->gateway;
    bool valid = apply_answer(claim, body);
    CmRoster_CountCall(&gateway->gossip.roster, claim->arbiter, valid);
    // The waiters may start another claim for the same target.
    LIST_HEAD(, request) waiters = LIST_HEAD_INITIALIZER(waiters);
    struct request *request;
    while ((request = LIST_FIRST(&claim->waiters)) != NULL) {
        LIST_REMOVE(request, permit.link);
        LIST_INSERT_HEAD(&waiters, request, permit.link);
    }
    claim_free(claim);
    while ((request = LIST_FIRST(&waiters)) != NULL) {
        LIST_REMOVE(request, permit.link);
        request->permit.waiting = false;
        request->permit.waits++;
        Request_Place(request);
    }
}

static struct rate_claim *
find_claim(const struct gateway *gateway, const char *target)
{
    struct rate_claim *claim;
    CmList_FOREACH (claim, &gateway->rate_claims, link) {
        if (strcmp(claim->target, target) == 0) {
            return claim;
        }
    }
    return NULL;
}

/// Sends a claim to the arbiter.
/// @return NULL if the call can't be started.
static struct rate_claim *
send_claim(struct gateway *gateway, const char *arbiter,
           const struct cm_rate_claim *wanted,
           const struct cm_named_limit *limit)
{
    struct rate_claim *claim = g_new0(struct rate_claim, 1);
    claim->gateway = gateway;
    g_strlcpy(claim->arbiter, arbiter, sizeof(claim->arbiter));
    g_strlcpy(claim->target, wanted->target, sizeof(claim->target));
    LIST_INIT(&claim->waiters);
    LIST_INSERT_HEAD(&gateway->rate_claims, claim, link);
    struct cm_limit_message message;
    CmLimitMessage_Init(&message);
    CmLimitMessage_AddLimit(&message, limit);
    message.has_claim = true;
    message.claim = *wanted;
    char *body = CmLimitMessage_Encode(&message, Gateway_Now(gateway));
    struct peer_message call = {claim->arbiter, RATE_LIMITS_PATH, body,
                                CLAIM_TIMEOUT_MS};
    if (!PeerCall_Start(&claim->call, gateway, &call, on_claim_done, claim)) {
        CmRoster_CountCall(&gateway->gossip.roster, claim->arbiter, false);
        claim_free(claim);
        claim = NULL;
    }
    CmLimitMessage_Finish(&message);
    free(body);
    return claim;
}

static enum rate_admission
deny(struct gateway *gateway, struct cm_live_target *target, int64_t ms)
{
    target->at_limit_until = CmTime_AddMs(Gateway_Now(gateway), MAX(ms, 1));
    return RATE_DENIED;
}

static enum rate_admission
wait_for(struct request *request, struct rate_claim *claim)
{
    LIST_INSERT_HEAD(&claim->waiters, request, permit.link);
    request->permit.waiting = true;
    request->placement = PLACEMENT_CLAIMING_PERMIT;
    Request_SetPlacementTimer(request, Request_LeftMs(request));
    return RATE_WAITS;
}

/// Claims permits, at this gateway if it is the arbiter.
/// @param[out] claim the claim to wait for; NULL if it is answered already.
/// @return false if there is no answer.
static bool
claim_permits(struct request *request, const struct cm_named_limit *limit,
              struct rate_claim **claim)
{
    struct gateway *gateway = request->gateway;
    struct timespec now = Gateway_Now(gateway);
    struct cm_rate_claim wanted = {
        .wanted = CmRatePermits_StartClaim(&gateway->rate_permits,
                                           limit->target, 1, now),
        .priority = (int)request->priority,
    };
    g_strlcpy(wanted.target, limit->target, sizeof(wanted.target));
    gateway->count.limit_claims.value++;
    const char *arbiter =
        CmArbiter_Choose(&gateway->gossip.roster, limit->target);
    if (arbiter == NULL) {
        struct cm_rate_grant grant = grant_permits(gateway, &wanted);
        CmRatePermits_Apply(&gateway->rate_permits, wanted.target, &grant,
                            now);
        *claim = NULL;
        return true;
    }
    *claim = send_claim(gateway, arbiter, &wanted, limit);
    if (*claim == NULL) {
        CmRatePermits_Apply(&gateway->rate_permits, wanted.target, NULL, now);
    }
    return *claim != NULL;
}

static void
give_back(struct request *request)
{
    struct permit *permit = &request->permit;
    if (permit->target != NULL) {
        char name[CM_LIMIT_NAME_SIZE];
        CmTarget_WriteIncarnation(permit->target, name, sizeof(name));
        CmRatePermits_GiveBack(&request->gateway->rate_permits, name,
                               Gateway_Now(request->gateway));
        CmTarget_Unref(permit->target);
        permit->target = NULL;
    }
}

enum rate_admission
RateLimits_Admit(struct request *request, struct cm_live_target *target)
{
    struct gateway *gateway = request->gateway;
    struct permit *permit = &request->permit;
    if (gateway->limits.n_named == 0 || permit->target == target) {
        return RATE_ADMITTED;
    }
    char name[CM_LIMIT_NAME_SIZE];
    CmTarget_WriteIncarnation(target, name, sizeof(name));
    const struct cm_named_limit *limit =
        CmLimitTable_Find(&gateway->limits, name);
    if (limit == NULL) {
        return RATE_ADMITTED;
    }
    struct timespec now = Gateway_Now(gateway);
    if (permit->waits == 0) {
        CmRatePermits_CountDemand(&gateway->rate_permits, name, now);
    }
    for (;;) {
        int64_t blocked_ms = 0;
        struct rate_claim *claim = NULL;
        switch (CmRatePermits_Take(&gateway->rate_permits, name, now,
                                   &blocked_ms)) {
        case CM_RATE_PERMIT_TAKEN:
            give_back(request);
            permit->target = CmTarget_Ref(target);
            permit->waits = 0;
            // Its response tells the limit; no further request need ask.
            target->limit_heard = now;
            return RATE_ADMITTED;
        case CM_RATE_PERMIT_BLOCKED:
            return deny(gateway, target, blocked_ms);
        case CM_RATE_PERMIT_WAIT:
            claim = find_claim(gateway, name);
            break;
        case CM_RATE_PERMIT_CLAIM:
            if (permit->waits >= WAITS_MAX ||
                !claim_permits(request, limit, &claim)) {
                return deny(gateway, target, NO_ARBITER_MS);
            }
            break;
        }
        if (claim != NULL) {
            return wait_for(request, claim);
        }
    }
}

void
RateLimits_CountSend(struct request *request,
                     const struct cm_live_target *target)
{
    struct permit *permit = &request->permit;
    if (permit->target != target) {
        give_back(request);
        return;
    }
    if (permit->target != NULL) {
        request->gateway->count.limit_permits.value++;
        CmTarget_Unref(permit->target);
        permit->target = NULL;
    }
}

int64_t
RateLimits_WaitMs(const struct request *request)
{
    const struct gateway *gateway = request->gateway;
    const GPtrArray *targets =
        gateway->limits.n_named > 0
            ? CmTargetIndex_OfService(&gateway->targets.index,
                                      request->service)
            : NULL;
    struct timespec now = Gateway_Now(gateway);
    int64_t least_ms = 0;
    for (guint i = 0; targets != NULL && i < targets->len; i++) {
        const struct cm_live_target *target = g_ptr_array_index(targets, i);
        int64_t wait_ms = CmTime_DiffMs(target->at_limit_until, now);
        if (CmTarget_MayGetWork(target, now) && wait_ms > 0 &&
            (least_ms == 0 || wait_ms < least_ms)) {
            least_ms = wait_ms;
        }
    }
    return least_ms;
}

void
RateLimits_FinishRequest(struct request *request)
{
    struct permit *permit = &request->permit;
    if (permit->waiting) {
        LIST_REMOVE(request, permit.link);
        permit->waiting = false;
    }
    permit->waits = 0;
    give_back(request);
}

char *
RateLimits_Answer(struct gateway *gateway, const GString *text)
{
    struct timespec now = Gateway_Now(gateway);
    struct cm_limit_message message;
    struct cm_limit_message answer;
    CmLimitMessage_Init(&message);
    CmLimitMessage_Init(&answer);
    char *body = NULL;
    if (CmLimitMessage_Decode(&message, text->str, text->len, now)) {
        apply_limits(gateway, &message);
        if (message.has_claim) {
            answer.has_grant = true;
            answer.grant = grant_permits(gateway, &message.claim);
            const struct cm_named_limit *known =
                CmLimitTable_Latest(&gateway->limits, message.claim.target);
            if (known != NULL) {
                CmLimitMessage_AddLimit(&answer, known);
            }
        }
        body = CmLimitMessage_Encode(&answer, now);
    }
    CmLimitMessage_Finish(&message);
    CmLimitMessage_Finish(&answer);
    return body;
}

void
RateLimits_Tick(struct gateway *gateway)
{
    struct timespec now = Gateway_Now(gateway);
    CmLimitTable_Expire(&gateway->limits, now, has_left, gateway);
    CmRateArbiter_Expire(&gateway->rate_arbiter, now);
    CmRatePermits_Expire(&gateway->rate_permits, now);
    push_news(gateway);
}

void
RateLimits_Init(struct gateway *gateway)
{
    static const struct cm_limit_listener listener = {on_changed};
    CmLimitTable_Init(&gateway->limits, &listener, gateway);
    CmRateArbiter_Init(&gateway->rate_arbiter);
    CmRatePermits_Init(&gateway->rate_permits);
    LIST_INIT(&gateway->rate_claims);
    LIST_INIT(&gateway->rate_news);
}

void
RateLimits_Finish(struct gateway *gateway)
{
    struct rate_claim *claim;
    while ((claim = LIST_FIRST(&gateway->rate_claims)) != NULL) {
        claim_free(claim);
    }
    struct rate_news *news;
    while ((news = LIST_FIRST(&gateway->rate_news)) != NULL) {
        news_free(news);
    }
    CmRatePermits_Finish(&gateway->rate_permits);
    CmRateArbiter_Finish(&gateway->rate_arbiter);
    CmLimitTable_Finish(&gateway->limits);
}
