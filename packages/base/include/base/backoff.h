/// @file backoff.h
/// Exponential backoff: a delay that doubles with each failure, up to a
/// maximum.

#ifndef BASE_BACKOFF_H
#define BASE_BACKOFF_H

#include <stdint.h>

struct cm_backoff {
    int64_t min_ms;
    int64_t max_ms;
    int64_t delay_ms; ///< 0 until the first failure
};

/// @return the delay before the next attempt.
int64_t
CmBackoff_DelayMs(const struct cm_backoff *backoff);

/// Doubles the delay after a failure, up to `max_ms`.
void
CmBackoff_Increase(struct cm_backoff *backoff);

/// Sets the delay back to `min_ms` after a success.
void
CmBackoff_Reset(struct cm_backoff *backoff);

#endif
