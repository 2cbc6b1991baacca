/// @file permits.h
/// Limits adapter loads from the weight store. One entry (HTTP front end that
/// talks to agents) grants load permits to all agents. Permits are soft state:
/// two entries that grant at the same time only slow the store down. An agent
/// that reaches no such entry paces its loads by their observed duration.

#ifndef PLACEMENT_PERMITS_H
#define PLACEMENT_PERMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"

/// Time after which an unreleased permit, or a request that was not renewed,
/// is dropped.
#define CM_PERMIT_EXPIRY_MS 10000
/// Burst size of the token bucket, in seconds of the sustained rate.
#define CM_PERMIT_BURST_S 0.4
/// Buffer size of a holder's name in bytes, with the terminator.
#define CM_PERMIT_HOLDER_MAX 64

/// One agent's request for a load permit, waiting or granted.
struct cm_permit {
    TAILQ_ENTRY(cm_permit) link;
    char holder[CM_PERMIT_HOLDER_MAX]; ///< name of the agent's target
    uint64_t number;                   ///< request number, chosen by the agent
    bool granted;
    bool caller_waits;        ///< false for a prefetch, which is granted last
    struct timespec deadline; ///< of the most urgent waiting caller
    struct timespec expires_at;
};

/// Permits granted by an entry: a token bucket limits the rate of loads, and
/// `concurrent_max` limits loads in progress.
struct cm_permits {
    TAILQ_HEAD(, cm_permit) granted;
    TAILQ_HEAD(cm_permit_queue, cm_permit) waiting; ///< most urgent first
    size_t n_granted;
    size_t concurrent_max;
    double rate;   ///< loads per second
    double tokens; ///< loads that the bucket allows to start now
    struct timespec refilled_at;
};

void
CmPermits_Init(struct cm_permits *permits, struct timespec now);

void
CmPermits_Finish(struct cm_permits *permits);

/// @param rate loads per second.
/// @param concurrent loads in progress at the same time.
void
CmPermits_SetLimits(struct cm_permits *permits, double rate,
                    size_t concurrent);

/// Queues a permit request, or renews the one with the same holder and number.
/// The renewal of a granted request means that the grant was lost on its way
/// to the agent: the request is queued again.
/// @param caller_waits false for a prefetch.
void
CmPermits_Request(struct cm_permits *permits, const char *holder,
                  uint64_t number, bool caller_waits, struct timespec deadline,
                  struct timespec now);

/// Releases a granted permit or cancels a waiting request.
void
CmPermits_Release(struct cm_permits *permits, const char *holder,
                  uint64_t number);

/// Grants the most urgent request if rate and concurrency allow it.
/// @return the request, still owned by `permits`, or NULL.
const struct cm_permit *
CmPermits_Grant(struct cm_permits *permits, struct timespec now);

/// Paces an agent's loads while no entry grants permits: additive increase and
/// multiplicative decrease (AIMD) of the load rate by observed load time.
struct cm_load_pace {
    double interval_ms; ///< between the starts of two loads
    double best_ms;     ///< fastest load observed; 0 before the first one
    struct timespec next_start;
};

/// Starts with a long interval, as the store's speed is not known yet.
void
CmLoadPace_Init(struct cm_load_pace *pace);

/// Adjusts the interval after a load that took `ms`.
void
CmLoadPace_RecordLoad(struct cm_load_pace *pace, double ms);

/// @return whether a load may start now; if so, the next one may start after
///         the interval.
bool
CmLoadPace_TryStart(struct cm_load_pace *pace, struct timespec now);

#endif
