/// @file refusal.c
/// Whether a request that no engine takes now is refused.
///
/// Load pattern: for seconds, more requests arrive than engines can begin. A
/// caller that is refused at once can return when there is room. One that is
/// refused after it has waited has lost that time, and returns as a new
/// request at the end of the queue; its late response would still have had
/// value. Agents answer at once when the expected wait is too long, so that
/// requests reach this decision within milliseconds, unless a wait became
/// longer than expected: an engine was lost, or loads and runs took longer
/// than before. These few keep their place until their deadline.

#include "dispatch/refusal.h"

#include <glib.h>

/// A request is refused until it has waited for this part of the route's
/// target latency: half, the longest time by which callers accept a refusal.
#define REFUSAL_LATEST_PART 2
/// Time for the refusal to reach its caller.
#define REFUSAL_TRANSFER_MS 20
/// Bounds of the pause. An agent reads a report each 20 ms while leases wait.
#define PAUSE_MIN_MS 40
#define PAUSE_MAX_MS 200
/// Part of the expected wait after which it is placed again: others end early.
#define PAUSE_PART 4

bool
CmRefusal_KeepsPlace(const struct cm_unplaced *unplaced)
{
    return (unplaced->waited_ms + REFUSAL_TRANSFER_MS) * REFUSAL_LATEST_PART >
               unplaced->target_latency_ms &&
           unplaced->client_timeout_ms >
               MAX(unplaced->blocked_ms, (int64_t)PAUSE_MIN_MS);
}

int64_t
CmRefusal_PauseMs(const struct cm_unplaced *unplaced)
{
    if (unplaced->blocked_ms > 0) {
        return unplaced->blocked_ms;
    }
    int64_t pause_ms = CLAMP(unplaced->queue_wait_ms / PAUSE_PART,
                             PAUSE_MIN_MS, PAUSE_MAX_MS);
    return MIN(pause_ms, unplaced->client_timeout_ms);
}
