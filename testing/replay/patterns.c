/// @file patterns.c
/// Load patterns: the users' deployment after its growth at a constant request
/// rate, the disturbances that occur there, and a small deployment.

#include "patterns.h"

/// Request rate of DEPLOYMENT, in requests per second. The pattern "twice the
/// load" doubles it.
#define DEPLOYMENT_RATE 380.0
#define SHORT_PROMPTS .prompt_tokens = 2200, .prefill_rate = 22.1
#define DEPLOYMENT                                                            \
    SHORT_PROMPTS, .engines = 55, .gateways = 30, .slots = 4,                 \
                   .adapters = 10000, .store_full_speed_loads = 40,           \
                   .rate = DEPLOYMENT_RATE, .duration_s = 24

const struct pattern patterns[] = {
    {.name = "steady", DEPLOYMENT},
    {.name = "burst",
     DEPLOYMENT,
     .burst_from_s = 8,
     .burst_duration_s = 4,
     .burst_factor = 1.7},
    {.name = "a quarter of the engines fails",
     DEPLOYMENT,
     .fail_at_s = 8,
     .fail_duration_s = 4,
     .fail_share = 0.25},
    {.name = "popularity shifts by two ranks",
     DEPLOYMENT,
     .shift_interval_s = 3},
    {.name = "callers give up early",
     DEPLOYMENT,
     .abandon_share = 0.3,
     .abandon_after_ms = 400},
    {.name = "a few engines, many adapters",
     .engines = 9,
     .gateways = 5,
     .slots = 6,
     .adapters = 3000,
     .store_full_speed_loads = 8,
     SHORT_PROMPTS,
     .rate = 52,
     .duration_s = 24},
    {.name = "long prompts, many adapters",
     .engines = 12,
     .gateways = 4,
     .slots = 8,
     .adapters = 3000,
     .store_full_speed_loads = 8,
     .prompt_tokens = 5200,
     .prefill_rate = 38.4,
     .rate = 60,
     .duration_s = 24},
    // Capacity is spare, but engines get crowded and adapters are cold.
    // Lengths of outputs and popularity are chosen so that the busiest engine
    // has nearly twice the mean load, a load is needed for more than a fifth
    // of the requests and the 99th percentile of the first event is 2.4 s, as
    // measured on such a day.
    {.name = "spare capacity, cold adapters",
     .engines = 57,
     .gateways = 30,
     .slots = 5,
     .adapters = 10000,
     .store_full_speed_loads = 40,
     .popularity_exponent = -1.14,
     .output_factor = 4,
     .cold_load_ms = 288,
     .prompt_tokens = 1460,
     .prompt_tokens_max = 2370,
     .prefill_rate = 18,
     .latency_target_ms = 1000,
     .rate = 290,
     .duration_s = 27},
    {.name = "twice the load",
     DEPLOYMENT,
     .burst_from_s = 0.001,
     .burst_duration_s = 24,
     .burst_factor = 2},
};

const size_t n_patterns = sizeof(patterns) / sizeof(patterns[0]);
