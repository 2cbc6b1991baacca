/// @file retry_window.c
/// Retry budget of one service in a sliding window.
///
/// Load pattern: an overloaded or failing service fails many requests at once,
/// and retrying them all would keep it overloaded.

#include "dispatch/retry_window.h"

#include <string.h>

#include "base/clock.h"

void
CmRetryWindow_Init(struct cm_retry_window *window, double ratio,
                   double reserve, int64_t window_ms)
{
    *window = (struct cm_retry_window){
        .ratio = ratio, .reserve = reserve, .window_ms = window_ms};
}

/// Advances the window to `now` and clears the buckets that have left it.
/// @return index of the current bucket.
static size_t
advance(struct cm_retry_window *window, struct timespec now)
{
    int64_t now_ms = CmTime_DiffMs(now, (struct timespec){0});
    int64_t bucket = now_ms / (window->window_ms / CM_RETRY_WINDOW_BUCKETS);
    int64_t steps = bucket - window->current_bucket;
    if (steps > CM_RETRY_WINDOW_BUCKETS) {
        steps = CM_RETRY_WINDOW_BUCKETS;
    }
    for (int64_t i = 0; i < steps; i++) {
        size_t index = (size_t)((bucket - i) % CM_RETRY_WINDOW_BUCKETS);
        window->requests[index] = 0;
        window->retries[index] = 0;
    }
    window->current_bucket = bucket;
    return (size_t)(bucket % CM_RETRY_WINDOW_BUCKETS);
}

void
CmRetryWindow_CountRequest(struct cm_retry_window *window, struct timespec now)
{
    window->requests[advance(window, now)]++;
}

struct cm_retry_figures
CmRetryWindow_Figures(struct cm_retry_window *window, struct timespec now)
{
    advance(window, now);
    int64_t bucket_ms = window->window_ms / CM_RETRY_WINDOW_BUCKETS;
    struct cm_retry_figures figures = {
        .covered_ms = (CM_RETRY_WINDOW_BUCKETS - 1) * bucket_ms +
                      CmTime_DiffMs(now, (struct timespec){0}) % bucket_ms};
    for (size_t i = 0; i < CM_RETRY_WINDOW_BUCKETS; i++) {
        figures.requests += window->requests[i];
        figures.retries += window->retries[i];
    }
    figures.allowed = figures.requests * window->ratio + window->reserve;
    return figures;
}

bool
CmRetryWindow_Allows(struct cm_retry_window *window, struct timespec now)
{
    struct cm_retry_figures figures = CmRetryWindow_Figures(window, now);
    return figures.retries + 1 <= figures.allowed;
}

bool
CmRetryWindow_Consume(struct cm_retry_window *window, struct timespec now)
{
    if (!CmRetryWindow_Allows(window, now)) {
        return false;
    }
    window->retries[advance(window, now)]++;
    return true;
}
