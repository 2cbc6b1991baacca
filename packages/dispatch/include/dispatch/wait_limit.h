/// @file wait_limit.h
/// Longest queue wait at an engine that a request accepts. The limit rises
/// with each agent that rejects the request as busy. Pure functions.

#ifndef DISPATCH_WAIT_LIMIT_H
#define DISPATCH_WAIT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct cm_live_target;

/// Busy answers of one request since its last send.
struct cm_wait_limit {
    int busy_answers;
    const struct cm_live_target *last_busy_target; ///< not owned
};

/// @return whether no other engine is asked after `target`, busy or not:
/// enough agents have answered busy, or `target` is the best choice again
/// although it was the last one that answered busy.
bool
CmWaitLimit_IsFinal(const struct cm_wait_limit *limit,
                    const struct cm_live_target *target);

/// Time left in which a request may start at an engine, in ms; negative once
/// it has passed.
struct cm_time_left {
    int64_t on_time_ms;        ///< until its answer misses the latency target
    int64_t client_timeout_ms; ///< until its client gives up
};

/// @return queue wait at `target` above which its agent answers busy, in ms.
int64_t
CmWaitLimit_MaxQueueWaitMs(const struct cm_wait_limit *limit,
                           const struct cm_live_target *target,
                           const struct cm_time_left *left);

/// Counts a busy answer of `target`, which raises the limit for the next one.
void
CmWaitLimit_CountBusy(struct cm_wait_limit *limit,
                      const struct cm_live_target *target);

#endif
