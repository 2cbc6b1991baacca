/// @file retry_window_test.c
/// The retry budget of one gateway in every position of the window, by tables
/// of load patterns.

#include "cm_test.h"
#include "base/clock.h"
#include "ratelimit/retry_window.h"

#define WINDOW_MS 10000
#define STEP_MS 10
#define RATIO 0.2
#define LENGTH_MS 60000
#define STEPS (LENGTH_MS / STEP_MS)
#define WINDOW_STEPS (WINDOW_MS / STEP_MS)

/// Requests at a constant rate; all of them are retried as often as the budget
/// allows while targets refuse them.
struct load_pattern {
    const char *name;
    int requests_per_s;
    double reserve;
    int64_t start_ms; ///< of the process, by its clock
    int refused_from_ms;
    int refused_until_ms;
};

static int requests[STEPS];
static int retries[STEPS];

static int
sum(const int *counts, int from, int until)
{
    int total = 0;
    for (int i = MAX(from, 0); i < until; i++) {
        total += counts[i];
    }
    return total;
}

static void
run_pattern(const struct load_pattern *load)
{
    struct cm_retry_window window;
    struct timespec start = CmTime_AddMs((struct timespec){0}, load->start_ms);
    CmRetryWindow_Init(&window, RATIO, load->reserve, WINDOW_MS, start);
    for (int step = 0; step < STEPS; step++) {
        int64_t ms = (int64_t)step * STEP_MS;
        struct timespec now = CmTime_AddMs(start, ms);
        requests[step] = (int)(load->requests_per_s * (ms + STEP_MS) / 1000 -
                               load->requests_per_s * ms / 1000);
        for (int i = 0; i < requests[step]; i++) {
            CmRetryWindow_CountRequest(&window, now);
        }
        retries[step] = 0;
        if (ms >= load->refused_from_ms && ms < load->refused_until_ms) {
            while (CmRetryWindow_Consume(&window, now)) {
                retries[step]++;
            }
        }
    }
}

/// @return the worst number of retries in a window beyond what is allowed.
static double
worst_excess(const struct load_pattern *load)
{
    double worst = -1e9;
    for (int from = 0; from + WINDOW_STEPS <= STEPS; from++) {
        int until = from + WINDOW_STEPS;
        int counted = sum(requests, from, until);
        counted = MAX(counted, sum(requests, from - WINDOW_STEPS, from));
        counted = MAX(counted, sum(requests, from - WINDOW_STEPS / 2,
                                   until - WINDOW_STEPS / 2));
        double allowed = counted * RATIO + load->reserve;
        worst = MAX(worst, sum(retries, from, until) - allowed);
    }
    return worst;
}

/// Guards against retries that a window counts for less than its length: its
/// first bucket was as good as over when the refusals began.
static void
test_retries_forgotten_before_the_window_ends(void)
{
    static const struct load_pattern patterns[] = {
        {"begins with a second", 11, 3.7, 1000000, 15000, 45000},
        {"begins late in a second", 11, 3.7, 1000900, 15000, 45000},
        {"many requests", 240, 82, 1000700, 15000, 45000},
        {"refused again after a pause", 11, 3.7, 1000950, 15000, 17000},
        {"30 requests a second", 30, 9, 100000, 0, 40000},
        {"5 requests a second", 5, 9, 100000, 0, 40000},
        {"no requests", 0, 3, 100000, 0, 40000},
        {"no reserve", 100, 0, 100000, 0, 40000},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++) {
        run_pattern(&patterns[i]);
        double excess = worst_excess(&patterns[i]);
        if (excess > 1e-9) {
            CU_FAIL("more retries than the budget allows");
            printf("\n    %s: %.1f too many", patterns[i].name, excess);
        }
    }
}

static const struct cm_test tests[] = {
    {"retries forgotten before the window ends",
     test_retries_forgotten_before_the_window_ends},
};

CM_TEST_MAIN("retry window", tests)
