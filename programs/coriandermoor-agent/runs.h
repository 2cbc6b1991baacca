/// @file runs.h
/// Running one job on the target: the last gate before, the check of the
/// answer after.

#ifndef RUNS_H
#define RUNS_H

#include "agent.h"

/// Sends the job to the target.
void
Run_Start(struct job *job);

/// Gives a run up at the target.
void
Run_Cancel(struct job *job);

/// Stops or continues reading the answer as its readers keep up.
void
Run_UpdateReading(struct job *job);

#endif
