/// @file admission.h
/// Decides who sends a request, and whether its key is accepted: on arrival,
/// and again before each attempt, as the key may be withdrawn meanwhile.

#ifndef GATEWAY_ADMISSION_H
#define GATEWAY_ADMISSION_H

#include "gateway.h"

enum admission {
    ADMISSION_GRANTED,
    ADMISSION_NO_KEY, ///< the key is missing, unknown or withdrawn
    /// The configuration may be too old to tell whether the key is withdrawn.
    ADMISSION_TOO_OLD,
};

/// Finds the request's account, and sets its priority.
enum admission
Admission_Identify(struct request *request);

/// @return whether an attempt of the request may be sent now, with regard to
/// the configuration that is in force by now.
enum admission
Admission_Recheck(const struct request *request);

/// @return text for logs and callers.
const char *
Admission_Reason(enum admission admission);

/// @return whether keys can be accepted now. Where the configuration has no
/// client accounts, this is always so.
bool
Admission_AcceptsKeys(struct gateway *gateway);

/// @return whether the configuration was confirmed so lately that this gateway
/// may speak for others: well before they would cease to accept keys.
bool
Admission_IsConfirmed(struct gateway *gateway);

/// Learns from another gateway how old its configuration is. One that is cut
/// off from the store goes on to accept keys so, and the others need fewer
/// calls to the store.
/// @param age_ms time since the store showed that gateway that its version was
/// the latest; negative for never.
/// @param asked_at when that gateway was asked, by boot time.
void
Admission_LearnAge(struct gateway *gateway, int64_t version, int64_t age_ms,
                   struct timespec asked_at);

/// Asks the store again if the configuration gets too old, and logs when the
/// gateway begins or ceases to accept keys; to be called periodically.
void
Admission_Tick(struct gateway *gateway);

#endif
