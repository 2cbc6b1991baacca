/// @file runs.h
/// Running one job on the target: the last gate before, the check of the
/// answer after.

#ifndef RUNS_H
#define RUNS_H

#include "agent.h"

/// Sends the job to the target.
void
Run_Start(struct job *job);

/// Gives a run up at the target. Its adapter stays pinned until the engine
/// has confirmed that the run is over.
void
Run_Cancel(struct job *job);

/// The engine answered a cancel; `context` is the job.
void
Run_Released(void *context, enum cm_order_end end,
             const struct cm_order_response *answer);

/// Stops or continues reading the answer as its readers keep up.
void
Run_UpdateReading(struct job *job);

#endif
