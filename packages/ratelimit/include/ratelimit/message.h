/// @file message.h
/// Message between two gateways about rate limits, as JSON: what targets name,
/// a claim for permits, and its answer. Times are sent as ages, since clocks
/// differ between machines.

#ifndef RATELIMIT_MESSAGE_H
#define RATELIMIT_MESSAGE_H

#include "ratelimit/arbiter.h"

/// Most limits of one message.
#define CM_LIMIT_MESSAGE_LIMITS_MAX 64
/// Longest message, in bytes.
#define CM_LIMIT_MESSAGE_BYTES_MAX ((size_t)16 * 1024)

struct cm_limit_message {
    GArray *limits; ///< of struct cm_named_limit
    bool has_claim;
    struct cm_rate_claim claim;
    bool has_grant;
    struct cm_rate_grant grant;
};

/// Initializes an empty message.
void
CmLimitMessage_Init(struct cm_limit_message *message);

void
CmLimitMessage_Finish(struct cm_limit_message *message);

/// Adds what a target names, unless the message is full.
void
CmLimitMessage_AddLimit(struct cm_limit_message *message,
                        const struct cm_named_limit *limit);

/// @return the message as JSON, to be freed with free().
char *
CmLimitMessage_Encode(const struct cm_limit_message *message,
                      struct timespec now);

/// Reads a message into an initialized one.
/// @return false if it is malformed; `message` is then to be finished only.
bool
CmLimitMessage_Decode(struct cm_limit_message *message, const char *text,
                      size_t size, struct timespec now);

#endif
