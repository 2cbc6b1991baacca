/// @file asking.h
/// How long a wait at an engine a request accepts, from one agent that is
/// asked to the next. Pure.

#ifndef DISPATCH_ASKING_H
#define DISPATCH_ASKING_H

#include <stdbool.h>
#include <stdint.h>

struct cm_live_target;

struct cm_asking {
    int busy; ///< agents that said busy since the last send
    const struct cm_live_target *last_busy; ///< the last of them, not owned
};

/// @return whether no other engine is asked if this one says busy: it is the
/// best although it said so, or enough others did.
bool
CmAsking_IsLast(const struct cm_asking *asking,
                const struct cm_live_target *target);

/// Time left in which a request may begin, in ms; negative if it is over.
struct cm_time_left {
    int64_t on_time_ms; ///< for its answer to be on time
    int64_t useful_ms;  ///< for its caller to be still there
};

/// @return wait at `target` beyond which its agent is to say busy, in ms.
int64_t
CmAsking_AheadMaxMs(const struct cm_asking *asking,
                    const struct cm_live_target *target,
                    const struct cm_time_left *left);

/// `target` said busy, and another engine may be asked.
void
CmAsking_Busy(struct cm_asking *asking, const struct cm_live_target *target);

#endif
