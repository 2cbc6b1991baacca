/// @file retry_window.h
/// Limit on repeated sends, kept by each gateway alone: a share of its own
/// requests, and its part of a fixed reserve. The sum over all gateways then
/// stays below the operators' bound without talk between them.

#ifndef DISPATCH_RETRY_WINDOW_H
#define DISPATCH_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/// Parts of which a window consists.
#define CM_RETRY_WINDOW_BUCKETS 10

/// Repeats and requests of one service in a sliding window.
struct cm_retry_window {
    double ratio;           ///< repeats allowed for each request
    double reserve;         ///< repeats allowed besides, in a window
    int64_t window_ms;      ///< length of the window
    int64_t current_bucket; ///< number of the current part
    int requests[CM_RETRY_WINDOW_BUCKETS];
    int retries[CM_RETRY_WINDOW_BUCKETS];
};

/// Prepares an empty window.
void
CmRetryWindow_Init(struct cm_retry_window *budget, double ratio,
                   double reserve, int64_t window_ms);

/// A request for the service arrived.
void
CmRetryWindow_CountRequest(struct cm_retry_window *budget,
                           struct timespec now);

/// @return whether one more repeat fits the window.
bool
CmRetryWindow_Allows(struct cm_retry_window *budget, struct timespec now);

/// @return whether one more repeat fits the window; counts it if it does.
bool
CmRetryWindow_Consume(struct cm_retry_window *budget, struct timespec now);

#endif
