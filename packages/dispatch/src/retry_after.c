/// @file retry_after.c
/// When a refused caller may come back.
///
/// Load pattern: many are refused within the same moment, as engines were lost
/// or a burst came. They come back when what is ahead at the least busy engine
/// has been worked off, and not as one wave.

#include "dispatch/retry_after.h"

#include <glib.h>

/// Time to come back in: a refusal may be a moment's, and callers come back
/// once within a few seconds.
#define DELAY_MIN_MS 150
#define DELAY_MAX_MS 1200
/// Spread over at least this time, or over the wait itself.
#define SPREAD_MIN_MS 250

int64_t
CmRetryAfter_Ms(int64_t queue_wait_ms, double draw)
{
    int64_t min_ms = CLAMP(queue_wait_ms, DELAY_MIN_MS, DELAY_MAX_MS);
    int64_t spread_ms = MAX(min_ms / 2, SPREAD_MIN_MS);
    return min_ms + (int64_t)(draw * (double)spread_ms);
}
