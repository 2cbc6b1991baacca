/// @file clock_defs.h
/// Types of the clock interface.

#ifndef BASE_CLOCK_DEFS_H
#define BASE_CLOCK_DEFS_H

#include <stdint.h>
#include <time.h>

#define CM_MS_PER_S 1000
#define CM_NS_PER_MS 1000000
#define CM_NS_PER_S 1000000000

struct cm_clock;

/// What a clock can do. Tests pass a clock that they move by hand.
struct cm_clock_ops {
    /// Time for timeouts and leases; never goes back.
    struct timespec (*monotonic)(struct cm_clock *clock);
    /// Wall time, for records that outlive a process.
    struct timespec (*realtime)(struct cm_clock *clock);
};

struct cm_clock {
    const struct cm_clock_ops *ops;
};

/// A clock that stands still until it is moved.
struct cm_manual_clock {
    struct cm_clock base;
    struct timespec now;
};

#endif
