/// @file permits.h
/// The weight store's budget. One entry hands out permits (soft state: a
/// second holder for a moment only makes the store slower). An agent without
/// such an entry paces itself by the load times it observes.

#ifndef PLACEMENT_PERMITS_H
#define PLACEMENT_PERMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"

/// Time after which a permit that was not returned counts as free.
#define CM_PERMIT_EXPIRY_MS 10000
/// Loads that may start at once after a quiet time, in seconds of the rate.
#define CM_PERMIT_BURST_S 0.4
#define CM_PERMIT_HOLDER_MAX 64

/// One agent's request for a permit.
struct cm_permit {
    TAILQ_ENTRY(cm_permit) link;
    char holder[CM_PERMIT_HOLDER_MAX];
    uint64_t number; ///< the agent's own
    bool granted;
    bool caller_waits; ///< a caller waits; prefetches come last
    struct timespec deadline;
    struct timespec expires_at;
};

/// The entry's side.
struct cm_permits {
    TAILQ_HEAD(, cm_permit) granted;
    TAILQ_HEAD(cm_permit_queue, cm_permit) waiting; ///< most urgent first
    size_t n_granted;
    size_t concurrent_max;
    double rate;   ///< loads a second
    double tokens; ///< loads that may start now
    struct timespec refilled_at;
};

/// Prepares a budget.
void
CmPermits_Init(struct cm_permits *permits, struct timespec now);

/// Frees all requests.
void
CmPermits_Finish(struct cm_permits *permits);

/// Sets the store's limits, from the operators' text.
void
CmPermits_SetLimits(struct cm_permits *permits, double rate,
                    size_t concurrent);

/// An agent asks, or asks again. A later question replaces the earlier one.
void
CmPermits_Request(struct cm_permits *permits, const char *holder,
                  uint64_t number, bool waiter, struct timespec deadline,
                  struct timespec now);

/// An agent returns a permit, or no longer wants one.
void
CmPermits_Release(struct cm_permits *permits, const char *holder,
                  uint64_t number);

/// Grants the most urgent request where the budget allows it.
/// @return the request, which stays the table's, or NULL.
const struct cm_permit *
CmPermits_Grant(struct cm_permits *permits, struct timespec now);

/// The agent's own pace while no entry answers: additive increase,
/// multiplicative decrease on the observed load time.
struct cm_load_pace {
    double interval_ms; ///< between two loads
    double best_ms;     ///< fastest load seen
    struct timespec next_start;
};

/// Prepares a pace that starts carefully.
void
CmLoadPace_Init(struct cm_load_pace *pace);

/// Takes note of a load that took `ms`.
void
CmLoadPace_RecordLoad(struct cm_load_pace *pace, double ms);

/// @return whether a load may start now; if so, the next one has to wait.
bool
CmLoadPace_TryStart(struct cm_load_pace *pace, struct timespec now);

#endif
