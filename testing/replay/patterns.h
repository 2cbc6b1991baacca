/// @file patterns.h
/// Load patterns that are replayed.

#ifndef REPLAY_PATTERNS_H
#define REPLAY_PATTERNS_H

#include <stddef.h>

struct pattern {
    const char *name;
    int engines;
    int gateways;
    int slots;
    int adapters;
    int store_full_speed_loads; ///< loads from the store at once at full speed
    double rate;                ///< requests a second
    double duration_s;
    double burst_from_s; ///< from here on burst_x times the rate
    double burst_duration_s;
    double burst_factor;
    double
        shift_interval_s; ///< popularity moves on by two places; 0 for never
    double fail_at_s;     ///< a share of the engines is lost; 0 for never
    double fail_duration_s;
    double fail_share;
    double abandon_share; ///< of the callers, who leave after leave_ms
    double abandon_after_ms;
};

extern const struct pattern patterns[];
extern const size_t n_patterns;

#endif
