/// @file retry_message.h
/// Messages between a gateway and a holder of the retry reserve, as JSON.

#ifndef RATELIMIT_RETRY_MESSAGE_H
#define RATELIMIT_RETRY_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>

#include "ratelimit/retry_reserve.h"

/// @return the claim as JSON, to be freed with free().
char *
CmRetryClaim_Encode(const struct cm_retry_claim *claim);

/// @return false if the text is malformed.
bool
CmRetryClaim_Decode(struct cm_retry_claim *claim, const char *text,
                    size_t size);

/// @return the grant as JSON, to be freed with free().
char *
CmRetryGrant_Encode(const struct cm_retry_grant *grant);

/// @param wanted number of permits that were claimed.
/// @return false if the text is malformed, or grants more.
bool
CmRetryGrant_Decode(struct cm_retry_grant *grant, int wanted, const char *text,
                    size_t size);

#endif
