/// @file wait_limit.c
/// Longest queue wait at an engine that a request accepts.
///
/// Load pattern: many gateways choose engines by reports that are seconds old,
/// while each agent knows its engine's current queue. The first agents asked
/// therefore accept a request only if it can start almost at once, and their
/// reports decide which one is asked next. After a few busy answers the best
/// engine accepts the request if it can still be on time. Longer queues under
/// lasting overload would not raise the throughput and make every answer late.
/// A request that is late already is accepted only where it can start almost
/// at once.

#include "dispatch/wait_limit.h"

#include <glib.h>

/// Queue wait (prefill of queued prompts, slots in use) that is accepted from
/// the first agent, and its increase for each busy answer: the prefill time of
/// one and a half prompts.
#define QUEUE_WAIT_STEP_MS 150
/// Busy answers after which the next engine's agent is the last one asked.
#define BUSY_ANSWERS_MAX 3

bool
CmWaitLimit_IsFinal(const struct cm_wait_limit *limit,
                    const struct cm_live_target *target)
{
    return limit->busy_answers >= BUSY_ANSWERS_MAX ||
           target == limit->last_busy_target;
}

int64_t
CmWaitLimit_MaxQueueWaitMs(const struct cm_wait_limit *limit,
                           const struct cm_live_target *target,
                           const struct cm_time_left *left)
{
    int64_t max_ms = MIN(MAX(left->on_time_ms, (int64_t)QUEUE_WAIT_STEP_MS),
                         left->client_timeout_ms);
    if (CmWaitLimit_IsFinal(limit, target)) {
        return max_ms;
    }
    return MIN((int64_t)QUEUE_WAIT_STEP_MS * (1 + limit->busy_answers),
               max_ms);
}

void
CmWaitLimit_CountBusy(struct cm_wait_limit *limit,
                      const struct cm_live_target *target)
{
    limit->busy_answers++;
    limit->last_busy_target = target;
}
