/// @file wait_limit.h
/// How long a wait at an engine a request accepts, from one agent that is
/// asked to the next. Pure.

#ifndef DISPATCH_WAIT_LIMIT_H
#define DISPATCH_WAIT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct cm_live_target;

struct cm_wait_limit {
    int busy_answers; ///< agents that said busy since the last send
    const struct cm_live_target
        *last_busy_target; ///< the last of them, not owned
};

/// @return whether no other engine is asked if this one says busy: it is the
/// best although it said so, or enough others did.
bool
CmWaitLimit_IsFinal(const struct cm_wait_limit *asking,
                    const struct cm_live_target *target);

/// Time left in which a request may begin, in ms; negative if it is over.
struct cm_time_left {
    int64_t on_time_ms;        ///< for its answer to be on time
    int64_t client_timeout_ms; ///< for its caller to be still there
};

/// @return wait at `target` beyond which its agent is to say busy, in ms.
int64_t
CmWaitLimit_MaxQueueWaitMs(const struct cm_wait_limit *asking,
                           const struct cm_live_target *target,
                           const struct cm_time_left *left);

/// `target` said busy, and another engine may be asked.
void
CmWaitLimit_CountBusy(struct cm_wait_limit *asking,
                      const struct cm_live_target *target);

#endif
