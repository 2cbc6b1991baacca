/// @file clock.h
/// Clock interface with a system clock and a manual clock for tests, and
/// arithmetic on `struct timespec` in milliseconds.

#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdbool.h>
#include <sys/time.h>

#include "base/clock_defs.h"

/// @return the clock of the operating system; shared, never freed.
struct cm_clock *
CmClock_System(void);

/// Initializes a clock that advances only by CmManualClock_Advance().
void
CmManualClock_Init(struct cm_manual_clock *clock);

void
CmManualClock_Advance(struct cm_manual_clock *clock, int64_t ms);

/// @return the monotonic time of `clock`.
struct timespec
CmClock_Now(struct cm_clock *clock);

/// @return the monotonic time of `clock` with the time in which the machine
/// was suspended.
struct timespec
CmClock_BootTime(struct cm_clock *clock);

/// @return the wall time of `clock` in milliseconds since the epoch.
int64_t
CmClock_WallMs(struct cm_clock *clock);

/// @return `t` plus `ms` milliseconds; `ms` may be negative.
struct timespec
CmTime_AddMs(struct timespec t, int64_t ms);

/// @return `a - b` in milliseconds, rounded towards zero.
int64_t
CmTime_DiffMs(struct timespec a, struct timespec b);

/// @return `a - b` in seconds.
double
CmTime_DiffS(struct timespec a, struct timespec b);

/// @return whether `a` is earlier than `b`.
bool
CmTime_Before(struct timespec a, struct timespec b);

/// @return `ms` as a `struct timeval`, for libevent.
struct timeval
CmTime_Timeval(int64_t ms);

#endif
