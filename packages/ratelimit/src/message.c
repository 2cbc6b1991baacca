/// @file message.c
/// Encodes and decodes the messages about rate limits.

#include "ratelimit/message.h"

#include <jansson.h>
#include <math.h>

#include "base/clock.h"
#include "ratelimit/rate_permits.h"

void
CmLimitMessage_Init(struct cm_limit_message *message)
{
    *message = (struct cm_limit_message){
        .limits = g_array_new(FALSE, FALSE, sizeof(struct cm_named_limit))};
}

void
CmLimitMessage_Finish(struct cm_limit_message *message)
{
    g_array_free(message->limits, TRUE);
}

void
CmLimitMessage_AddLimit(struct cm_limit_message *message,
                        const struct cm_named_limit *limit)
{
    if (message->limits->len < CM_LIMIT_MESSAGE_LIMITS_MAX) {
        g_array_append_vals(message->limits, limit, 1);
    }
}

char *
CmLimitMessage_Encode(const struct cm_limit_message *message,
                      struct timespec now)
{
    json_t *limits = json_array();
    for (guint i = 0; i < message->limits->len; i++) {
        const struct cm_named_limit *limit =
            &g_array_index(message->limits, struct cm_named_limit, i);
        json_array_append_new(
            limits,
            json_pack("[s,f,I,s]", limit->target, limit->per_s,
                      (json_int_t)MAX(CmTime_DiffMs(now, limit->heard), 0),
                      limit->heard_by));
    }
    json_t *json = json_pack("{s:o}", "limits", limits);
    if (message->has_claim) {
        json_object_set_new(json, "claim",
                            json_pack("[s,i,i]", message->claim.target,
                                      message->claim.wanted,
                                      message->claim.priority));
    }
    if (message->has_grant) {
        json_object_set_new(json, "grant",
                            json_pack("[i,I]", message->grant.permits,
                                      (json_int_t)message->grant.retry_ms));
    }
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

static bool
decode_limits(struct cm_limit_message *message, const json_t *limits,
              struct timespec now)
{
    size_t i;
    json_t *item;
    json_array_foreach(limits, i, item)
    {
        const char *target;
        const char *heard_by;
        json_int_t age_ms;
        struct cm_named_limit limit = {0};
        if (i >= CM_LIMIT_MESSAGE_LIMITS_MAX ||
            json_unpack(item, "[s,F,I,s]", &target, &limit.per_s, &age_ms,
                        &heard_by) != 0 ||
            !isfinite(limit.per_s) || age_ms < 0 ||
            age_ms > CM_LIMIT_EXPIRY_MS) {
            return false;
        }
        g_strlcpy(limit.target, target, sizeof(limit.target));
        g_strlcpy(limit.heard_by, heard_by, sizeof(limit.heard_by));
        limit.heard = CmTime_AddMs(now, -age_ms);
        CmLimitMessage_AddLimit(message, &limit);
    }
    return json_is_array(limits);
}

static bool
decode_claim(struct cm_limit_message *message, json_t *json)
{
    const char *target;
    if (json == NULL) {
        return true;
    }
    message->has_claim = true;
    if (json_unpack(json, "[s,i,i]", &target, &message->claim.wanted,
                    &message->claim.priority) != 0 ||
        message->claim.wanted < 1 ||
        message->claim.wanted > CM_RATE_WANTED_MAX) {
        return false;
    }
    g_strlcpy(message->claim.target, target, sizeof(message->claim.target));
    return true;
}

static bool
decode_grant(struct cm_limit_message *message, json_t *json)
{
    json_int_t retry_ms;
    if (json == NULL) {
        return true;
    }
    message->has_grant = true;
    if (json_unpack(json, "[i,I]", &message->grant.permits, &retry_ms) != 0 ||
        message->grant.permits < 0 ||
        message->grant.permits > CM_RATE_WANTED_MAX || retry_ms < 0) {
        return false;
    }
    message->grant.retry_ms = retry_ms;
    return true;
}

bool
CmLimitMessage_Decode(struct cm_limit_message *message, const char *text,
                      size_t size, struct timespec now)
{
    if (size > CM_LIMIT_MESSAGE_BYTES_MAX) {
        return false;
    }
    json_t *json = json_loadb(text, size, 0, NULL);
    bool valid =
        decode_limits(message, json_object_get(json, "limits"), now) &&
        decode_claim(message, json_object_get(json, "claim")) &&
        decode_grant(message, json_object_get(json, "grant"));
    json_decref(json);
    return valid;
}
