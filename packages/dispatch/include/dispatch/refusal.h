/// @file refusal.h
/// Whether a request that no engine takes now is refused. Pure functions.

#ifndef DISPATCH_REFUSAL_H
#define DISPATCH_REFUSAL_H

#include <stdbool.h>
#include <stdint.h>

/// A request that no target takes now and that has not run.
struct cm_unplaced {
    int64_t waited_ms; ///< since its arrival
    int64_t target_latency_ms;
    int64_t client_timeout_ms; ///< until its client gives up
    int64_t blocked_ms;    ///< until a rate limit or a pause ends; 0 for none
    int64_t queue_wait_ms; ///< shortest that agents reported; 0 for none
};

/// @return whether the request is placed again later instead of being refused.
bool
CmRefusal_KeepsPlace(const struct cm_unplaced *unplaced);

/// @return time until it is placed again, in ms.
int64_t
CmRefusal_PauseMs(const struct cm_unplaced *unplaced);

#endif
