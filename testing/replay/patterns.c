/// @file patterns.c
/// Load patterns: the shape of the users' grown deployment, at a rate that
/// fills three quarters of it, and what goes wrong there.

#include "patterns.h"

/// Requests a second that 55 engines serve on time; CAPACITY_RATE times two is
/// twice the load.
#define CAPACITY_RATE 380.0
#define SHAPE                                                                 \
    .engines = 55, .gateways = 30, .slots = 4, .adapters = 10000,             \
    .store_quick = 40, .rate = CAPACITY_RATE, .seconds = 24

const struct pattern patterns[] = {
    {.name = "steady", SHAPE},
    {.name = "a burst of all kinds",
     SHAPE,
     .burst_from_s = 8,
     .burst_for_s = 4,
     .burst_x = 1.7},
    {.name = "a quarter of the engines is lost",
     SHAPE,
     .lost_at_s = 8,
     .lost_for_s = 4,
     .lost_share = 0.25},
    {.name = "popularity moves by two places", SHAPE, .shift_s = 3},
    {.name = "callers leave early",
     SHAPE,
     .leave_share = 0.3,
     .leave_ms = 400},
    {.name = "a few engines, many adapters",
     .engines = 9,
     .gateways = 5,
     .slots = 6,
     .adapters = 3000,
     .store_quick = 8,
     .rate = 52,
     .seconds = 24},
    {.name = "twice the load",
     SHAPE,
     .burst_from_s = 0.001,
     .burst_for_s = 24,
     .burst_x = 2},
};

const size_t n_patterns = sizeof(patterns) / sizeof(patterns[0]);
