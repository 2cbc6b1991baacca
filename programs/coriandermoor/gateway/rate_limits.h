/// @file rate_limits.h
/// Rate limits that targets name (packages/ratelimit): requests to such a
/// target need a permit, which one gateway grants for all of them.

#ifndef GATEWAY_RATE_LIMITS_H
#define GATEWAY_RATE_LIMITS_H

#include "request_defs.h"

/// Path of the messages at the control address.
#define RATE_LIMITS_PATH "/rate-limits"

/// What a request may do that is about to be placed at a target.
enum rate_admission {
    RATE_ADMITTED, ///< the target names no limit, or there is a permit
    RATE_WAITS,    ///< Request_Place() is called again later
    RATE_DENIED,   ///< picks leave the target out for some time
};

void
RateLimits_Init(struct gateway *gateway);

void
RateLimits_Finish(struct gateway *gateway);

/// Records the limit that the attempt's response names, or that it names none.
void
RateLimits_CountResponse(struct request *request);

/// Takes a permit for the request, or claims one.
enum rate_admission
RateLimits_Admit(struct request *request, struct cm_live_target *target);

/// Uses up the permit of a request that is sent to `target`.
void
RateLimits_CountSend(struct request *request,
                     const struct cm_live_target *target);

/// @return ms until a target of the request's service that is at its limit may
/// be used again, 0 if there is no such target.
int64_t
RateLimits_WaitMs(const struct request *request);

/// Ends the request's wait, and gives back its unused permit.
void
RateLimits_FinishRequest(struct request *request);

/// Applies a message of another gateway.
/// @return the response, to be freed with free(), or NULL if the message is
/// malformed.
char *
RateLimits_Answer(struct gateway *gateway, const GString *text);

/// Drops what has expired and sends news; to be called several times a second.
void
RateLimits_Tick(struct gateway *gateway);

#endif
