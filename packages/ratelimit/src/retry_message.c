/// @file retry_message.c
/// JSON form of claims on the retry reserve and of grants.

#include "ratelimit/retry_message.h"

#include <jansson.h>
#include <string.h>

/// Longest valid time until permits may be had.
#define RETRY_MS_MAX ((json_int_t)7200 * 1000)

char *
CmRetryClaim_Encode(const struct cm_retry_claim *claim)
{
    json_t *json = json_pack("{s:s,s:i}", "service", claim->service, "wanted",
                             claim->wanted);
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

bool
CmRetryClaim_Decode(struct cm_retry_claim *claim, const char *text,
                    size_t size)
{
    json_t *json = json_loadb(text, size, 0, NULL);
    const char *service;
    json_int_t wanted;
    bool valid = json != NULL &&
                 json_unpack(json, "{s:s,s:I}", "service", &service, "wanted",
                             &wanted) == 0 &&
                 service[0] != '\0' && strlen(service) < CM_RETRY_NAME_SIZE &&
                 wanted > 0 && wanted <= CM_RETRY_WANTED_MAX;
    if (valid) {
        *claim = (struct cm_retry_claim){.wanted = (int)wanted};
        g_strlcpy(claim->service, service, sizeof(claim->service));
    }
    json_decref(json);
    return valid;
}

char *
CmRetryGrant_Encode(const struct cm_retry_grant *grant)
{
    json_t *json = json_pack("{s:i,s:I}", "permits", grant->permits,
                             "retry_ms", (json_int_t)grant->retry_ms);
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

bool
CmRetryGrant_Decode(struct cm_retry_grant *grant, int wanted, const char *text,
                    size_t size)
{
    json_t *json = json_loadb(text, size, 0, NULL);
    json_int_t permits;
    json_int_t retry_ms;
    bool valid = json != NULL &&
                 json_unpack(json, "{s:I,s:I}", "permits", &permits,
                             "retry_ms", &retry_ms) == 0 &&
                 permits >= 0 && permits <= wanted && retry_ms >= 0 &&
                 retry_ms <= RETRY_MS_MAX;
    if (valid) {
        *grant = (struct cm_retry_grant){(int)permits, retry_ms};
    }
    json_decref(json);
    return valid;
}
