/// @file quota_message.c
/// JSON form of reports and grants.

#include "ratelimit/quota_message.h"

#include <jansson.h>
#include <math.h>

/// Largest valid amount, far beyond any quota.
#define AMOUNT_MAX 1e15

void
CmQuotaReport_Init(struct cm_quota_report *report)
{
    *report = (struct cm_quota_report){0};
    report->claims = g_array_new(FALSE, FALSE, sizeof(struct cm_quota_claim));
}

void
CmQuotaReport_Finish(struct cm_quota_report *report)
{
    g_array_free(report->claims, TRUE);
}

void
CmQuotaAnswer_Init(struct cm_quota_answer *answer)
{
    *answer = (struct cm_quota_answer){0};
    answer->grants = g_array_new(FALSE, FALSE, sizeof(struct cm_quota_grant));
}

void
CmQuotaAnswer_Finish(struct cm_quota_answer *answer)
{
    g_array_free(answer->grants, TRUE);
}

static char *
encode(json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT | JSON_REAL_PRECISION(9));
    json_decref(json);
    return text;
}

char *
CmQuotaReport_Encode(const struct cm_quota_report *report)
{
    json_t *claims = json_array();
    for (guint i = 0; i < report->claims->len; i++) {
        const struct cm_quota_claim *claim =
            &g_array_index(report->claims, struct cm_quota_claim, i);
        json_array_append_new(claims, json_pack("[s,f,f,f,f]", claim->account,
                                                claim->need, claim->first,
                                                claim->want, claim->unused));
    }
    return encode(json_pack("{s:s,s:f,s:b,s:o}", "gateway", report->gateway,
                            "gateways", report->gateways, "release",
                            (int)report->release, "claims", claims));
}

static bool
is_amount(double amount)
{
    return isfinite(amount) && amount >= 0 && amount <= AMOUNT_MAX;
}

static bool
decode_claim(json_t *item, struct cm_quota_claim *claim)
{
    const char *account;
    *claim = (struct cm_quota_claim){0};
    return json_unpack(item, "[s,F,F,F,F]", &account, &claim->need,
                       &claim->first, &claim->want, &claim->unused) == 0 &&
           g_strlcpy(claim->account, account, sizeof(claim->account)) <
               sizeof(claim->account) &&
           is_amount(claim->need) && is_amount(claim->first) &&
           is_amount(claim->want) && is_amount(claim->unused);
}

bool
CmQuotaReport_Decode(struct cm_quota_report *report, const char *text,
                     size_t size)
{
    if (size > CM_QUOTA_MESSAGE_BYTES_MAX) {
        return false;
    }
    json_t *json = json_loadb(text, size, 0, NULL);
    const char *gateway;
    json_t *claims;
    int release;
    bool valid = json_unpack(json, "{s:s,s:F,s:b,s:o}", "gateway", &gateway,
                             "gateways", &report->gateways, "release",
                             &release, "claims", &claims) == 0 &&
                 is_amount(report->gateways) && json_is_array(claims) &&
                 json_array_size(claims) <= CM_QUOTA_MESSAGE_CLAIMS_MAX &&
                 g_strlcpy(report->gateway, gateway, sizeof(report->gateway)) <
                     sizeof(report->gateway);
    for (size_t i = 0; valid && i < json_array_size(claims); i++) {
        struct cm_quota_claim claim;
        valid = decode_claim(json_array_get(claims, i), &claim);
        g_array_append_val(report->claims, claim);
    }
    report->release = valid && release != 0;
    json_decref(json);
    return valid;
}

char *
CmQuotaAnswer_Encode(const struct cm_quota_answer *answer)
{
    json_t *grants = json_array();
    for (guint i = 0; i < answer->grants->len; i++) {
        const struct cm_quota_grant *grant =
            &g_array_index(answer->grants, struct cm_quota_grant, i);
        json_array_append_new(grants,
                              json_pack("[s,f,f,I]", grant->account,
                                        grant->amount, grant->total_per_s,
                                        (json_int_t)grant->retry_ms));
    }
    return encode(
        json_pack("{s:f,s:b,s:I,s:I,s:o}", "gateways", answer->gateways,
                  "declines", (int)answer->declines, "config_version",
                  (json_int_t)answer->config_version, "config_age_ms",
                  (json_int_t)answer->config_age_ms, "grants", grants));
}

static bool
decode_grant(json_t *item, struct cm_quota_grant *grant)
{
    const char *account;
    json_int_t retry_ms;
    *grant = (struct cm_quota_grant){0};
    if (json_unpack(item, "[s,F,F,I]", &account, &grant->amount,
                    &grant->total_per_s, &retry_ms) != 0 ||
        g_strlcpy(grant->account, account, sizeof(grant->account)) >=
            sizeof(grant->account) ||
        !is_amount(grant->amount) || !is_amount(grant->total_per_s) ||
        retry_ms < 0) {
        return false;
    }
    grant->retry_ms = retry_ms;
    return true;
}

bool
CmQuotaAnswer_Decode(struct cm_quota_answer *answer, const char *text,
                     size_t size)
{
    if (size > CM_QUOTA_MESSAGE_BYTES_MAX) {
        return false;
    }
    json_t *json = json_loadb(text, size, 0, NULL);
    json_t *grants;
    json_int_t version = -1;
    json_int_t age_ms = -1;
    int declines = 0;
    bool valid = json_unpack(json, "{s:F,s?b,s?I,s?I,s:o}", "gateways",
                             &answer->gateways, "declines", &declines,
                             "config_version", &version, "config_age_ms",
                             &age_ms, "grants", &grants) == 0 &&
                 is_amount(answer->gateways) && json_is_array(grants) &&
                 json_array_size(grants) <= CM_QUOTA_MESSAGE_CLAIMS_MAX;
    for (size_t i = 0; valid && i < json_array_size(grants); i++) {
        struct cm_quota_grant grant;
        valid = decode_grant(json_array_get(grants, i), &grant);
        g_array_append_val(answer->grants, grant);
    }
    answer->declines = declines != 0;
    answer->config_version = version;
    answer->config_age_ms = MAX(age_ms, -1);
    json_decref(json);
    return valid;
}
