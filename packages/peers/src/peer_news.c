/// @file peer_news.c
/// Codec of news of gateways: [candidate, steady, heard].

#include "peers/peer_news.h"

/// Longest age of a message: a year.
#define AGE_MAX_MS ((int64_t)365 * 24 * 3600 * 1000)

json_t *
CmPeerNews_Encode(const struct cm_peer_news *news)
{
    return json_pack("[I,I,I]", (json_int_t)news->candidate_ms,
                     (json_int_t)news->steady_ms, (json_int_t)news->heard_ms);
}

bool
CmPeerNews_DecodeAge(int64_t *ms, const json_t *json)
{
    *ms = json_integer_value(json);
    return json_is_integer(json) && *ms >= CM_PEER_NEVER && *ms <= AGE_MAX_MS;
}

bool
CmPeerNews_Decode(struct cm_peer_news *news, const json_t *json)
{
    return CmPeerNews_DecodeAge(&news->candidate_ms,
                                json_array_get(json, 0)) &&
           CmPeerNews_DecodeAge(&news->steady_ms, json_array_get(json, 1)) &&
           CmPeerNews_DecodeAge(&news->heard_ms, json_array_get(json, 2));
}
