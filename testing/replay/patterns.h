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
    int store_quick; ///< loads from the store at once at full speed
    double rate;     ///< requests a second
    double seconds;
    double burst_from_s; ///< from here on burst_x times the rate
    double burst_for_s;
    double burst_x;
    double shift_s;   ///< popularity moves on by two places; 0 for never
    double lost_at_s; ///< a share of the engines is lost; 0 for never
    double lost_for_s;
    double lost_share;
    double leave_share; ///< of the callers, who leave after leave_ms
    double leave_ms;
};

extern const struct pattern patterns[];
extern const size_t n_patterns;

#endif
