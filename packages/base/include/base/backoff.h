/// @file backoff.h
/// A time that doubles with each failure, between two bounds.

#ifndef BASE_BACKOFF_H
#define BASE_BACKOFF_H

#include <stdint.h>

struct cm_backoff {
    int64_t min_ms;
    int64_t max_ms;
    int64_t delay_ms; ///< 0 until the first failure
};

/// @return the time to use now.
int64_t
CmBackoff_DelayMs(const struct cm_backoff *backoff);

/// A failure: doubles the time.
void
CmBackoff_Increase(struct cm_backoff *backoff);

/// A success: back to the shortest time.
void
CmBackoff_Reset(struct cm_backoff *backoff);

#endif
