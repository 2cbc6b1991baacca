/// @file wait_limit.c
/// How long a wait at an engine a request accepts.
///
/// Load pattern: many gateways choose engines by what they were told seconds
/// ago. Agents know, so the first ones asked take a request only if it begins
/// at once; what they tell decides who is asked next; after a few the best one
/// takes it if it can still be on time. Under lasting overload longer queues
/// would serve nobody more, and everybody late; a request that is late already
/// is taken where it begins at once.

#include "dispatch/wait_limit.h"

#include <glib.h>

/// Wait (prompts to be read, slots in use) that is accepted without a look at
/// others: a prompt and a half.
#define AHEAD_MS 150
/// Agents that may say busy before one is taken as it is.
#define BUSY_MAX 3

bool
CmWaitLimit_IsFinal(const struct cm_wait_limit *asking,
                    const struct cm_live_target *target)
{
    return asking->busy_answers >= BUSY_MAX ||
           target == asking->last_busy_target;
}

int64_t
CmWaitLimit_MaxQueueWaitMs(const struct cm_wait_limit *asking,
                           const struct cm_live_target *target,
                           const struct cm_time_left *left)
{
    int64_t most_ms =
        MIN(MAX(left->on_time_ms, (int64_t)AHEAD_MS), left->client_timeout_ms);
    if (CmWaitLimit_IsFinal(asking, target)) {
        return most_ms;
    }
    return MIN((int64_t)AHEAD_MS * (1 + asking->busy_answers), most_ms);
}

void
CmWaitLimit_CountBusy(struct cm_wait_limit *asking,
                      const struct cm_live_target *target)
{
    asking->busy_answers++;
    asking->last_busy_target = target;
}
