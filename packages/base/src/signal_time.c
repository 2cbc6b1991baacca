/// @file signal_time.c
/// Earliest time of a signal: a stopped or starved process handles signals
/// late, and the event loop may run ticks that are due before their handlers.

#include "base/signal_time.h"

/// Ticks that follow each other faster run in one pass of the event loop after
/// a pause, before any signal handler.
#define TICK_MIN_MS 100

void
CmSignalTime_Init(struct cm_signal_time *time, struct timespec now)
{
    *time = (struct cm_signal_time){now, now};
}

void
CmSignalTime_Tick(struct cm_signal_time *time, struct timespec now)
{
    if (CmTime_DiffMs(now, time->last) < TICK_MIN_MS) {
        return;
    }
    time->before = time->last;
    time->last = now;
}

struct timespec
CmSignalTime_Earliest(const struct cm_signal_time *time)
{
    return time->before;
}
