/// @file patterns.h
/// Load patterns that the simulation runs.

#ifndef REPLAY_PATTERNS_H
#define REPLAY_PATTERNS_H

#include <stddef.h>

/// Size of a deployment, its load, and the disturbances during it.
struct pattern {
    const char *name;
    int engines;
    int gateways;
    int slots; ///< per engine
    int adapters;
    /// Concurrent loads from the weight store that run at full speed.
    int store_full_speed_loads;
    double prompt_tokens; ///< length of each prompt
    /// Prompts are evenly distributed up to this length; 0 if all are equal.
    double prompt_tokens_max;
    /// Tokens of an output, as a multiple of the usual; 0 for the usual.
    double output_factor;
    double popularity_exponent; ///< 0 for the default
    double cold_load_ms;   ///< load from the weight store; 0 for the default
    int latency_target_ms; ///< until the first event; 0 for the default
    double prefill_rate;   ///< of an engine, in tokens per ms
    double rate;           ///< requests per second
    double duration_s;
    /// Burst: the rate is multiplied by burst_factor, 0 for no burst.
    double burst_from_s;
    double burst_duration_s;
    double burst_factor;
    /// Interval at which each popularity rank moves to the adapter with the
    /// number two higher, 0 for never.
    double shift_interval_s;
    /// Failure of fail_share of the engines, 0 for none.
    double fail_at_s;
    double fail_duration_s;
    double fail_share;
    double abandon_share; ///< share of callers that give up early
    double abandon_after_ms;
};

extern const struct pattern patterns[];
extern const size_t n_patterns;

#endif
