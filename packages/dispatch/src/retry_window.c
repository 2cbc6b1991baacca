/// @file retry_window.c
/// Limit on repeated sends.
///
/// Load pattern: a service in trouble fails many requests at once; repeating
/// them all would keep it in trouble.

#include "dispatch/retry_window.h"

#include <string.h>

#include "base/clock.h"

void
CmRetryWindow_Init(struct cm_retry_window *budget, double ratio,
                   double reserve, int64_t window_ms)
{
    *budget = (struct cm_retry_window){
        .ratio = ratio, .reserve = reserve, .window_ms = window_ms};
}

/// Moves the window on, dropping what has left it.
static size_t
advance(struct cm_retry_window *budget, struct timespec now)
{
    int64_t now_ms = CmTime_DiffMs(now, (struct timespec){0});
    int64_t part = now_ms / (budget->window_ms / CM_RETRY_WINDOW_BUCKETS);
    int64_t steps = part - budget->current_bucket;
    if (steps > CM_RETRY_WINDOW_BUCKETS) {
        steps = CM_RETRY_WINDOW_BUCKETS;
    }
    for (int64_t i = 0; i < steps; i++) {
        size_t slot = (size_t)((part - i) % CM_RETRY_WINDOW_BUCKETS);
        budget->requests[slot] = 0;
        budget->retries[slot] = 0;
    }
    budget->current_bucket = part;
    return (size_t)(part % CM_RETRY_WINDOW_BUCKETS);
}

void
CmRetryWindow_CountRequest(struct cm_retry_window *budget, struct timespec now)
{
    budget->requests[advance(budget, now)]++;
}

bool
CmRetryWindow_Allows(struct cm_retry_window *budget, struct timespec now)
{
    advance(budget, now);
    int requests = 0;
    int repeats = 0;
    for (size_t i = 0; i < CM_RETRY_WINDOW_BUCKETS; i++) {
        requests += budget->requests[i];
        repeats += budget->retries[i];
    }
    return repeats + 1 <= requests * budget->ratio + budget->reserve;
}

bool
CmRetryWindow_Consume(struct cm_retry_window *budget, struct timespec now)
{
    if (!CmRetryWindow_Allows(budget, now)) {
        return false;
    }
    budget->retries[advance(budget, now)]++;
    return true;
}
