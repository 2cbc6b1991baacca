/// @file sim.h
/// Events in simulated time.

#ifndef REPLAY_SIM_H
#define REPLAY_SIM_H

#include <glib.h>

#include "base/clock.h"

struct sim {
    GSequence *events;
    struct timespec now;
    guint64 next_number; ///< of the next event; equal times keep their order
};

void
Sim_Init(struct sim *sim);

void
Sim_Finish(struct sim *sim);

/// Calls `action` with `context` in `ms` from now.
void
Sim_Schedule(struct sim *sim, double ms, void (*action)(void *),
             void *context);

/// Runs until no event is left.
void
Sim_Run(struct sim *sim);

/// @return ms since the start.
double
Sim_ElapsedMs(const struct sim *sim);

#endif
