/// @file retry_window.h
/// Retries of one service that a gateway may make for the requests that it has
/// received itself. The sum over all gateways keeps the ratio without any
/// message between them, and so does the sum over the processes that a gateway
/// has been: each counts for itself, beginning with nothing received. Pure.

#ifndef RATELIMIT_RETRY_WINDOW_H
#define RATELIMIT_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/// Buckets into which a window is divided.
#define CM_RETRY_WINDOW_BUCKETS 100
/// Buckets by which a retry is counted for longer than the window, as it
/// reaches its target later than it was sent.
#define CM_RETRY_WINDOW_MARGIN 5
/// Buckets that are kept: those of retries, and of the window before them.
#define CM_RETRY_WINDOW_KEPT                                                  \
    (2 * CM_RETRY_WINDOW_BUCKETS + CM_RETRY_WINDOW_MARGIN + 1)

/// Requests and retries of one service.
struct cm_retry_window {
    double ratio;      ///< retries allowed for each request
    int64_t window_ms; ///< length of the window
    int64_t bucket;    ///< present bucket, counted from the clock's zero
    int requests[CM_RETRY_WINDOW_KEPT];
    int retries[CM_RETRY_WINDOW_KEPT];
};

/// What a window holds at one moment, for logs.
struct cm_retry_figures {
    int requests; ///< in the last window
    int retries;  ///< those that count
};

/// Initializes an empty window.
/// @param now in this and all other functions by the time since boot, which
/// does not stand still while the machine is suspended.
void
CmRetryWindow_Init(struct cm_retry_window *window, double ratio,
                   int64_t window_ms, struct timespec now);

/// Counts an incoming request, which raises the budget by the ratio.
void
CmRetryWindow_CountRequest(struct cm_retry_window *window,
                           struct timespec now);

/// @return whether the requests allow one more retry.
bool
CmRetryWindow_Allows(struct cm_retry_window *window, struct timespec now);

/// Counts one retry, whether or not the requests allow it.
void
CmRetryWindow_CountRetry(struct cm_retry_window *window, struct timespec now);

struct cm_retry_figures
CmRetryWindow_Figures(struct cm_retry_window *window, struct timespec now);

#endif
