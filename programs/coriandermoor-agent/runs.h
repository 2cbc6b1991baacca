/// @file runs.h
/// Execution of one job at the target: sending the request, checking that the
/// response comes from the requested adapter, resuming a broken stream.

#ifndef RUNS_H
#define RUNS_H

#include "agent.h"

/// Sends the job to the target.
void
Run_Start(struct job *job);

/// Cancels a run at the target. The adapter stays pinned until the engine has
/// confirmed that the run is over.
void
Run_Cancel(struct job *job);

/// Releases the job's pin after the engine's response to a cancel. Without a
/// confirmation the adapter counts as used by untracked runs.
/// @param context the job
void
Run_FinishCancel(void *context, enum cm_order_end end,
                 const struct cm_order_response *response);

/// Ends the run whose response holds the memory, as all responses take too
/// much and nothing of it has been sent to readers.
void
Run_ReleaseResponse(struct cm_memory_hold *hold);

/// Pauses reading from the target while the slowest reader's backlog exceeds
/// CM_RESPONSE_UNREAD_MAX_BYTES.
void
Run_UpdateReading(struct job *job);

#endif
