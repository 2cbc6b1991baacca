/// @file signal_time.h
/// Bounds the time at which a signal was sent that a process handles: it may
/// have had no processor time in between.

#ifndef BASE_SIGNAL_TIME_H
#define BASE_SIGNAL_TIME_H

#include "base/clock.h"

/// Times of a periodic event that tells when the process was running.
struct cm_signal_time {
    struct timespec last;   ///< of the last tick that counts
    struct timespec before; ///< of the one before
};

/// Initializes it as of `now`.
void
CmSignalTime_Init(struct cm_signal_time *time, struct timespec now);

/// Records a tick, first thing when it runs.
void
CmSignalTime_Tick(struct cm_signal_time *time, struct timespec now);

/// @return the earliest time at which a signal can have been sent whose
/// handler runs now.
struct timespec
CmSignalTime_Earliest(const struct cm_signal_time *time);

#endif
