/// @file retry_window.c
/// Retries that a gateway's own requests allow.
///
/// Load pattern: an overloaded or failing service fails many requests at once,
/// and retrying them all would keep it overloaded; gateways are killed and
/// started meanwhile.
///
/// For every window, the retries from its start until now are at most the
/// ratio times the mean of the requests of that window and of the one before.
/// The limit over all gateways takes the larger of the two. A gateway must not
/// do that by itself: if callers move from one gateway to another, the sum of
/// the larger ones exceeds the larger sum, while means add up. The window
/// before lets many requests be retried at once when targets fail after a calm
/// time; the present one lets a process that has just started retry, too.

#include "ratelimit/retry_window.h"

#include <string.h>

#include "base/clock.h"

/// The mean of two windows.
#define MEAN 0.5
/// Buckets that lie in a window wherever in its first bucket it begins.
#define INNER_BUCKETS (CM_RETRY_WINDOW_BUCKETS - 1)
#define ROUNDING 1e-9

/// @return the bucket of a time, counted from the clock's zero.
static int64_t
bucket_of(const struct cm_retry_window *window, struct timespec now)
{
    return CmTime_DiffMs(now, (struct timespec){0}) * CM_RETRY_WINDOW_BUCKETS /
           window->window_ms;
}

void
CmRetryWindow_Init(struct cm_retry_window *window, double ratio,
                   int64_t window_ms, struct timespec now)
{
    *window = (struct cm_retry_window){.ratio = ratio, .window_ms = window_ms};
    window->bucket = bucket_of(window, now);
}

/// @return the index of the bucket `age` buckets ago.
static size_t
index_at(const struct cm_retry_window *window, int age)
{
    return (size_t)((window->bucket - age) % CM_RETRY_WINDOW_KEPT);
}

/// Advances the window to `now` and clears the buckets that have left it.
static void
advance(struct cm_retry_window *window, struct timespec now)
{
    int64_t bucket = bucket_of(window, now);
    if (bucket - window->bucket >= CM_RETRY_WINDOW_KEPT) {
        memset(window->requests, 0, sizeof(window->requests));
        memset(window->retries, 0, sizeof(window->retries));
        window->bucket = bucket;
    }
    while (window->bucket < bucket) {
        window->bucket++;
        window->requests[index_at(window, 0)] = 0;
        window->retries[index_at(window, 0)] = 0;
    }
}

void
CmRetryWindow_CountRequest(struct cm_retry_window *window, struct timespec now)
{
    advance(window, now);
    window->requests[index_at(window, 0)]++;
}

/// @return requests from `oldest` buckets ago until `newest` buckets ago.
static int
count_requests(const struct cm_retry_window *window, int oldest, int newest)
{
    int requests = 0;
    for (int age = newest; age <= oldest; age++) {
        requests += window->requests[index_at(window, age)];
    }
    return requests;
}

bool
CmRetryWindow_Allows(struct cm_retry_window *window, struct timespec now)
{
    advance(window, now);
    int retries = 1;
    int requests = count_requests(window, INNER_BUCKETS, 0);
    // Windows that begin in the bucket `start` buckets ago. Those that have
    // ended count, too, while their retries may still be on their way.
    for (int start = 0;
         start < CM_RETRY_WINDOW_BUCKETS + CM_RETRY_WINDOW_MARGIN; start++) {
        retries += window->retries[index_at(window, start)];
        if (retries > window->ratio * MEAN * requests + ROUNDING) {
            return false;
        }
        requests +=
            window->requests[index_at(window, start + 1 + INNER_BUCKETS)];
        if (start >= INNER_BUCKETS) {
            requests -=
                window->requests[index_at(window, start - INNER_BUCKETS)];
        }
    }
    return true;
}

void
CmRetryWindow_CountRetry(struct cm_retry_window *window, struct timespec now)
{
    advance(window, now);
    window->retries[index_at(window, 0)]++;
}

struct cm_retry_figures
CmRetryWindow_Figures(struct cm_retry_window *window, struct timespec now)
{
    advance(window, now);
    struct cm_retry_figures figures = {
        .requests = count_requests(window, CM_RETRY_WINDOW_BUCKETS - 1, 0)};
    for (int age = 0; age < CM_RETRY_WINDOW_BUCKETS + CM_RETRY_WINDOW_MARGIN;
         age++) {
        figures.retries += window->retries[index_at(window, age)];
    }
    return figures;
}
