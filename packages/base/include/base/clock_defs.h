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

/// Operations of a clock; tests pass a manual clock.
struct cm_clock_ops {
    /// Time for timeouts and leases; never goes backwards.
    struct timespec (*monotonic)(struct cm_clock *clock);
    /// Wall time, for records that outlive a process.
    struct timespec (*realtime)(struct cm_clock *clock);
    /// Like `monotonic`, and also counts the time in which the machine is
    /// suspended, for limits that hold for a suspended machine, too.
    struct timespec (*boottime)(struct cm_clock *clock);
};

struct cm_clock {
    const struct cm_clock_ops *ops;
};

/// Clock that changes only by CmManualClock_Advance(). `base` comes first, as
/// a `struct cm_clock` pointer is cast back to this type.
struct cm_manual_clock {
    struct cm_clock base;
    struct timespec now;
};

#endif
