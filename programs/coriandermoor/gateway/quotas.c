/// @file quotas.c
/// Quotas of client accounts: requests that wait for a claim, and the calls
/// that carry reports and grants.

#include "quotas.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "base/log.h"
#include "peer_call.h"
#include "peers/arbiter.h"
#include "ratelimit/quota_message.h"
#include "request.h"

/// Timeout of a report, after which the gateway uses its own share.
#define REPORT_TIMEOUT_MS 200
/// What all quotas have in common: they have one arbiter, so that one report
/// carries the claims of all accounts.
#define ARBITER_KEY "quotas"

/// A report under way.
struct quota_call {
    struct gateway *gateway;
    struct peer_call call;
    char arbiter[CM_QUOTA_NAME_SIZE];
    bool release;
    struct timespec started_at; ///< by boot time
};

static bool
has_quotas(const struct gateway *gateway)
{
    return gateway->catalog != NULL && gateway->catalog->accounts != NULL &&
           gateway->catalog->accounts->n_limited > 0;
}

/// @return the account's quota in the configuration in force, or NULL if it
/// has none.
static const struct cm_quota *
find_quota(const struct gateway *gateway, const char *name)
{
    if (gateway->catalog == NULL || gateway->catalog->accounts == NULL) {
        return NULL;
    }
    const struct cm_account *account =
        CmAccounts_FindByName(gateway->catalog->accounts, name);
    return account != NULL && CmQuota_IsLimited(&account->quota)
               ? &account->quota
               : NULL;
}

static struct cm_quota_rate
rate_of(const struct gateway *gateway, const struct cm_quota *quota)
{
    return (struct cm_quota_rate){quota->rate_per_s, quota->burst,
                                  gateway->settings.quota_slack};
}

/// @return the number of gateways that own shares, as far as this one knows.
static double
count_gateways(struct gateway *gateway)
{
    double least = (double)gateway->gossip.roster.peers->len + 1;
    if (gateway->gateways_updated.tv_sec != 0) {
        least = MAX(least, (double)gateway->n_gateways);
    }
    return CmQuotaArbiter_Gateways(&gateway->quota_arbiter, least,
                                   Gateway_Now(gateway));
}

/// Grants a claim as the arbiter, with the shares that it holds.
static struct cm_quota_grant
grant_claim(struct gateway *gateway, const struct cm_quota_claim *claim)
{
    struct timespec now = Gateway_Now(gateway);
    const struct cm_quota *quota = find_quota(gateway, claim->account);
    if (quota == NULL) {
        // The quota was removed, or this gateway doesn't know it yet.
        struct cm_quota_grant grant = {.amount = claim->need + claim->want};
        g_strlcpy(grant.account, claim->account, sizeof(grant.account));
        bool known = gateway->catalog != NULL &&
                     gateway->catalog->accounts != NULL &&
                     CmAccounts_FindByName(gateway->catalog->accounts,
                                           claim->account) != NULL;
        grant.amount = known ? grant.amount : 0;
        return grant;
    }
    double share = MIN(CmQuotaArbiter_Shares(&gateway->quota_arbiter, now) /
                           count_gateways(gateway),
                       1);
    struct cm_quota_rate rate = rate_of(gateway, quota);
    struct cm_quota_grant grant = CmQuotaArbiter_Grant(
        &gateway->quota_arbiter, claim, &rate, share, now);
    gateway->count.quota_grants.value += (int64_t)grant.amount;
    return grant;
}

static bool
claim(struct gateway *gateway, bool all);

/// Marks the waiting requests whose claims the report carries, or all of them
/// if nothing more is claimed for.
static void
mark_claimed(struct gateway *gateway)
{
    struct request *request;
    CmTailq_FOREACH (request, &gateway->quota_waiters, quota.link) {
        request->quota.claimed = !CmQuotaBalances_HasUnclaimed(
            &gateway->quotas, request->account->name);
    }
}

/// The claims of the waiting requests are to be made again, elsewhere.
static void
unmark_claimed(struct gateway *gateway)
{
    struct request *request;
    CmTailq_FOREACH (request, &gateway->quota_waiters, quota.link) {
        request->quota.claimed = false;
        CmQuotaBalances_Need(&gateway->quotas, request->account->name,
                             request->quota.cost, Gateway_Now(gateway));
    }
}

/// Lets the waiting requests whose claims are answered go on, or denies them,
/// and claims for those that came meanwhile.
static void
serve_waiters(struct gateway *gateway)
{
    struct request *request;
    while ((request = TAILQ_FIRST(&gateway->quota_waiters)) != NULL &&
           request->quota.claimed) {
        Request_EndQuotaWait(request);
    }
    if (request != NULL && claim(gateway, false)) {
        serve_waiters(gateway);
    }
}

static void
add_claim(void *context, const struct cm_quota_claim *claim)
{
    struct cm_quota_report *report = context;
    g_array_append_val(report->claims, *claim);
}

/// Answers the gateway's own claims, as it is the arbiter.
static void
grant_own_claims(struct gateway *gateway, const struct cm_quota_report *report)
{
    struct timespec now = Gateway_Now(gateway);
    // Its end keeps this gateway from another arbiter until the release.
    CmQuotaLink_CountReport(&gateway->quotas.link, now);
    CmQuotaArbiter_Delegate(&gateway->quota_arbiter,
                            gateway->gossip.roster.self.address, 0, now);
    for (guint i = 0; i < report->claims->len; i++) {
        struct cm_quota_grant grant = grant_claim(
            gateway, &g_array_index(report->claims, struct cm_quota_claim, i));
        CmQuotaBalances_Apply(&gateway->quotas, &grant, now);
    }
    CmQuotaLink_CountAnswer(&gateway->quotas.link, false,
                            count_gateways(gateway), now);
}

static void
call_free(struct quota_call *call)
{
    call->gateway->quota_call = NULL;
    PeerCall_Finish(&call->call);
    g_free(call);
}

/// Applies the arbiter's answer.
/// @return whether it is valid.
static bool
apply_answer(struct quota_call *call, const GString *body)
{
    struct gateway *gateway = call->gateway;
    struct timespec now = Gateway_Now(gateway);
    struct cm_quota_answer answer;
    CmQuotaAnswer_Init(&answer);
    bool valid =
        body != NULL && CmQuotaAnswer_Decode(&answer, body->str, body->len);
    if (valid) {
        for (guint i = 0; i < answer.grants->len; i++) {
            CmQuotaBalances_Apply(
                &gateway->quotas,
                &g_array_index(answer.grants, struct cm_quota_grant, i), now);
        }
        if (gateway->quotas.link.failing) {
            CmLog_Event(G_LOG_LEVEL_INFO, "quota", NULL,
                        "%s grants quotas again", call->arbiter);
        }
        CmQuotaLink_CountAnswer(&gateway->quotas.link,
                                call->release || answer.declines,
                                answer.gateways, now);
        if (answer.declines) {
            CmQuotaLink_Avoid(&gateway->quotas.link, call->arbiter, now);
            CmQuotaBalances_ClaimFailed(&gateway->quotas, now);
            unmark_claimed(gateway);
        }
        Admission_LearnAge(gateway, answer.config_version,
                           answer.config_age_ms, call->started_at);
    }
    CmQuotaAnswer_Finish(&answer);
    return valid;
}

static void
count_failure(struct gateway *gateway, const char *arbiter)
{
    if (!gateway->quotas.link.failing) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "quota", NULL,
                    "%s does not answer: this gateway uses its own share of "
                    "the quotas, one of %.0f",
                    arbiter, gateway->quotas.link.gateways);
    }
    CmQuotaLink_CountFailure(&gateway->quotas.link, Gateway_Now(gateway));
    CmQuotaBalances_ClaimFailed(&gateway->quotas, Gateway_Now(gateway));
    // The waiting requests get what this gateway grants to itself.
    mark_claimed(gateway);
}

static void
on_answer(void *context, const GString *body)
{
    struct quota_call *call = context;
    struct gateway *gateway = call->gateway;
    bool valid = apply_answer(call, body);
    CmRoster_CountCall(&gateway->gossip.roster, call->arbiter, valid);
    if (!valid) {
        count_failure(gateway, call->arbiter);
    }
    call_free(call);
    serve_waiters(gateway);
}

/// Sends a report to the arbiter.
static void
send_report(struct gateway *gateway, const struct cm_quota_report *report)
{
    struct quota_call *call = g_new0(struct quota_call, 1);
    call->gateway = gateway;
    call->release = report->release;
    call->started_at = CmClock_BootTime(gateway->clock);
    g_strlcpy(call->arbiter, gateway->quotas.link.arbiter,
              sizeof(call->arbiter));
    gateway->quota_call = call;
    gateway->count.quota_reports.value++;
    char *body = CmQuotaReport_Encode(report);
    struct peer_message message = {call->arbiter, QUOTAS_PATH, body,
                                   REPORT_TIMEOUT_MS};
    if (!report->release) {
        CmQuotaLink_CountReport(&gateway->quotas.link, Gateway_Now(gateway));
    }
    if (!PeerCall_Start(&call->call, gateway, &message, on_answer, call)) {
        CmRoster_CountCall(&gateway->gossip.roster, call->arbiter, false);
        count_failure(gateway, call->arbiter);
        call_free(call);
    }
    free(body);
}

/// @return whether a gateway may be the arbiter, as far as this one knows: its
/// configuration is not too old.
static bool
may_be_arbiter(void *context, const char *address)
{
    struct gateway *gateway = context;
    if (strcmp(address, gateway->gossip.roster.self.address) == 0) {
        return Admission_IsConfirmed(gateway);
    }
    return !CmQuotaLink_Avoids(&gateway->quotas.link, address,
                               Gateway_Now(gateway));
}

/// Sends the claims of all accounts, or of those with waiting requests, unless
/// a report is under way: its answer sends the next one.
/// @return whether the waiting requests can be served at once.
static bool
claim(struct gateway *gateway, bool all)
{
    if (gateway->quota_call != NULL) {
        return false;
    }
    struct timespec now = Gateway_Now(gateway);
    const char *chosen = CmArbiter_ChooseAmong(
        &gateway->gossip.roster, ARBITER_KEY, may_be_arbiter, gateway);
    struct cm_quota_report report;
    CmQuotaReport_Init(&report);
    g_strlcpy(report.gateway, gateway->gossip.roster.self.address,
              sizeof(report.gateway));
    report.gateways = gateway->quotas.link.gateways;
    switch (CmQuotaLink_Step(&gateway->quotas.link,
                             chosen != NULL ? chosen : "", now)) {
    case CM_QUOTA_LINK_REPORT:
        CmQuotaBalances_Claim(&gateway->quotas, all,
                              CM_QUOTA_MESSAGE_CLAIMS_MAX, now, add_claim,
                              &report);
        mark_claimed(gateway);
        if (gateway->quotas.link.arbiter[0] == '\0') {
            grant_own_claims(gateway, &report);
        }
        else {
            send_report(gateway, &report);
        }
        break;
    case CM_QUOTA_LINK_RELEASE:
        // Waiting requests are claimed for once the share is back.
        if (gateway->quotas.link.arbiter[0] == '\0') {
            CmQuotaArbiter_Release(&gateway->quota_arbiter,
                                   gateway->gossip.roster.self.address);
            CmQuotaLink_CountAnswer(&gateway->quotas.link, true,
                                    gateway->quotas.link.gateways, now);
            CmQuotaReport_Finish(&report);
            return claim(gateway, all);
        }
        else {
            report.release = true;
            send_report(gateway, &report);
        }
        break;
    case CM_QUOTA_LINK_WAIT:
        CmQuotaBalances_ClaimFailed(&gateway->quotas, now);
        mark_claimed(gateway);
        break;
    }
    CmQuotaReport_Finish(&report);
    return gateway->quota_call == NULL;
}

/// Takes the cost, or tells why not.
static enum cm_quota_step
take(struct request *request, bool waited)
{
    struct gateway *gateway = request->gateway;
    const struct cm_quota *quota = find_quota(gateway, request->account->name);
    if (quota == NULL) {
        return CM_QUOTA_TAKEN;
    }
    const struct cm_caller_request *parsed = &request->parsed;
    double cost = CmQuota_Cost(
        quota, parsed->has_tokens
                   ? parsed->prompt_tokens + MAX(parsed->max_output_tokens, 0)
                   : -1);
    struct cm_quota_rate rate = rate_of(gateway, quota);
    request->quota.cost = cost;
    enum cm_quota_step step = CmQuotaBalances_Take(
        &gateway->quotas, request->account->name, cost, &rate, waited,
        Gateway_Now(gateway), &request->quota.retry_ms);
    if (step == CM_QUOTA_TAKEN) {
        request->quota.taken = cost;
    }
    else if (step == CM_QUOTA_DENIED) {
        gateway->count.quota_refusals.value++;
    }
    return step;
}

enum quota_admission
Quotas_Admit(struct request *request)
{
    struct gateway *gateway = request->gateway;
    if (request->account == NULL || !has_quotas(gateway)) {
        return QUOTA_ADMITTED;
    }
    switch (take(request, false)) {
    case CM_QUOTA_TAKEN:
        return QUOTA_ADMITTED;
    case CM_QUOTA_DENIED:
        return QUOTA_DENIED;
    case CM_QUOTA_CLAIM:
        break;
    }
    request->quota.claimed = false;
    TAILQ_INSERT_TAIL(&gateway->quota_waiters, request, quota.link);
    request->quota.waiting = true;
    return claim(gateway, false) ? Quotas_EndWait(request) : QUOTA_WAITS;
}

enum quota_admission
Quotas_EndWait(struct request *request)
{
    if (request->quota.waiting) {
        TAILQ_REMOVE(&request->gateway->quota_waiters, request, quota.link);
        request->quota.waiting = false;
    }
    return take(request, true) == CM_QUOTA_TAKEN ? QUOTA_ADMITTED
                                                 : QUOTA_DENIED;
}

void
Quotas_FinishRequest(struct request *request)
{
    struct gateway *gateway = request->gateway;
    if (request->quota.waiting) {
        TAILQ_REMOVE(&gateway->quota_waiters, request, quota.link);
        request->quota.waiting = false;
    }
    if (request->quota.taken > 0 && request->retry.runs == 0) {
        CmQuotaBalances_GiveBack(&gateway->quotas, request->account->name,
                                 request->quota.taken);
    }
    request->quota.taken = 0;
}

char *
Quotas_Answer(struct gateway *gateway, const GString *text)
{
    struct cm_quota_report report;
    CmQuotaReport_Init(&report);
    char *body = NULL;
    if (CmQuotaReport_Decode(&report, text->str, text->len)) {
        struct cm_quota_answer answer;
        CmQuotaAnswer_Init(&answer);
        answer.declines = !Admission_IsConfirmed(gateway);
        if (report.release || answer.declines) {
            CmQuotaArbiter_Release(&gateway->quota_arbiter, report.gateway);
        }
        else {
            CmQuotaArbiter_Delegate(&gateway->quota_arbiter, report.gateway,
                                    report.gateways, Gateway_Now(gateway));
        }
        for (guint i = 0; !answer.declines && i < report.claims->len; i++) {
            struct cm_quota_grant grant =
                grant_claim(gateway, &g_array_index(report.claims,
                                                    struct cm_quota_claim, i));
            g_array_append_val(answer.grants, grant);
        }
        answer.gateways = count_gateways(gateway);
        answer.config_version = gateway->count.config_version.value;
        answer.config_age_ms = CmConfigAge_Ms(
            &gateway->config_age, CmClock_BootTime(gateway->clock));
        body = CmQuotaAnswer_Encode(&answer);
        CmQuotaAnswer_Finish(&answer);
    }
    else {
        CmLog_Event(G_LOG_LEVEL_WARNING, "quota", NULL,
                    "a malformed report of another gateway is ignored, %zu "
                    "bytes",
                    text->len);
    }
    CmQuotaReport_Finish(&report);
    return body;
}

void
Quotas_Tick(struct gateway *gateway)
{
    struct timespec now = Gateway_Now(gateway);
    CmQuotaArbiter_Expire(&gateway->quota_arbiter, now);
    CmQuotaBalances_Expire(&gateway->quotas, now);
    if (!has_quotas(gateway) || CmTime_Before(now, gateway->quota_report_at)) {
        return;
    }
    gateway->quota_report_at = CmTime_AddMs(
        now, CmQuotaArbiter_ReportMs(gateway->quotas.link.gateways));
    if (claim(gateway, true)) {
        serve_waiters(gateway);
    }
}

void
Quotas_Init(struct gateway *gateway)
{
    struct timespec now = Gateway_Now(gateway);
    TAILQ_INIT(&gateway->quota_waiters);
    CmQuotaArbiter_Init(&gateway->quota_arbiter, now);
    CmQuotaBalances_Init(&gateway->quotas, now);
}

void
Quotas_Finish(struct gateway *gateway)
{
    if (gateway->quota_call != NULL) {
        call_free(gateway->quota_call);
    }
    CmQuotaBalances_Finish(&gateway->quotas);
    CmQuotaArbiter_Finish(&gateway->quota_arbiter);
}
