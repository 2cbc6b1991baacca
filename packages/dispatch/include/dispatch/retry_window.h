/// @file retry_window.h
/// Retry budget of one service in a sliding window. Each gateway enforces its
/// own part without coordination: a ratio of its own requests and its share of
/// a fixed reserve, so that the sum over all gateways stays below the
/// operators' limit.

#ifndef DISPATCH_RETRY_WINDOW_H
#define DISPATCH_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/// Buckets into which a window is divided.
#define CM_RETRY_WINDOW_BUCKETS 10

/// Requests and retries of one service in a sliding window.
struct cm_retry_window {
    double ratio;           ///< retries allowed for each request
    double reserve;         ///< retries allowed in a window besides the ratio
    int64_t window_ms;      ///< length of the window
    int64_t current_bucket; ///< number since the clock's zero, not an index
    int requests[CM_RETRY_WINDOW_BUCKETS];
    int retries[CM_RETRY_WINDOW_BUCKETS];
};

/// What a window holds at one moment, for logs.
struct cm_retry_figures {
    int requests;
    int retries;
    double allowed;     ///< retries that these requests and the reserve allow
    int64_t covered_ms; ///< time to which both counts extend
};

/// Initializes an empty window.
void
CmRetryWindow_Init(struct cm_retry_window *window, double ratio,
                   double reserve, int64_t window_ms);

/// Counts an incoming request, which raises the budget by the ratio.
void
CmRetryWindow_CountRequest(struct cm_retry_window *window,
                           struct timespec now);

/// @return whether the budget allows one more retry.
bool
CmRetryWindow_Allows(struct cm_retry_window *window, struct timespec now);

/// Counts one retry if the budget allows it.
/// @return whether it does.
bool
CmRetryWindow_Consume(struct cm_retry_window *window, struct timespec now);

struct cm_retry_figures
CmRetryWindow_Figures(struct cm_retry_window *window, struct timespec now);

#endif
