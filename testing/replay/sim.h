/// @file sim.h
/// Event queue and clock of the simulation.

#ifndef REPLAY_SIM_H
#define REPLAY_SIM_H

#include <glib.h>

#include "base/clock.h"

struct sim {
    GSequence *events; ///< of struct sim_event, in order of their time
    struct timespec now;
    guint64 next_number; ///< of the next event; breaks ties in time
};

/// Initializes the clock and an empty queue.
void
Sim_Init(struct sim *sim);

void
Sim_Finish(struct sim *sim);

/// Schedules a call of `action` in `ms` of simulated time.
void
Sim_Schedule(struct sim *sim, double ms, void (*action)(void *),
             void *context);

/// Runs all events in order of their time, until none is left.
void
Sim_Run(struct sim *sim);

/// @return simulated time since the start, in ms.
double
Sim_ElapsedMs(const struct sim *sim);

#endif
