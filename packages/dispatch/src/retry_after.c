/// @file retry_after.c
/// Delay after which a client whose request was refused should retry.
///
/// Load pattern: many requests are refused at the same moment, after the loss
/// of engines or in a burst. Their clients should retry when the queue of the
/// least busy engine has drained, and not all at the same time: the room is
/// taken by the first that return, which are to be the most urgent ones.

#include "dispatch/retry_after.h"

#include <glib.h>

/// Bounds of the delay before the random part: an overload may pass quickly,
/// and clients retry once, within a few seconds.
#define DELAY_MIN_MS 150
#define DELAY_MAX_MS 3000
/// The longer one at a rate limit, which lasts while the target is in need.
#define LIMIT_DELAY_MAX_MS 5000
/// Least range of the random part, which otherwise is half the delay.
#define SPREAD_MIN_MS 250

/// Part of the range by which each lower priority returns later, and the
/// lowest priority that does: their ranges overlap, so that no time is left
/// unused.
#define PRIORITY_PART 0.5
#define PRIORITY_MAX 3

int64_t
CmRetryAfter_Ms(int64_t queue_wait_ms, int64_t priority, double draw)
{
    int64_t min_ms = CLAMP(queue_wait_ms, DELAY_MIN_MS, DELAY_MAX_MS);
    int64_t spread_ms = MAX(min_ms / 2, SPREAD_MIN_MS);
    double later = PRIORITY_PART * (double)CLAMP(priority, 0, PRIORITY_MAX);
    return min_ms + (int64_t)((later + draw) * (double)spread_ms);
}

int64_t
CmRetryAfter_AtLimitMs(int64_t permit_ms, int64_t refused, double draw)
{
    int64_t min_ms =
        CLAMP(permit_ms * (1 + refused), DELAY_MIN_MS, LIMIT_DELAY_MAX_MS);
    int64_t spread_ms = MAX(min_ms / 2, SPREAD_MIN_MS);
    return min_ms + (int64_t)(draw * (double)spread_ms);
}

int64_t
CmRetryAfter_AtPauseMs(int64_t pause_ms, double draw)
{
    return pause_ms + (int64_t)(draw * SPREAD_MIN_MS);
}
