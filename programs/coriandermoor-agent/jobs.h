/// @file jobs.h
/// Lifecycle of the requests that entries submit: admission, sealing, sending
/// the response to its readers, expiry.

#ifndef JOBS_H
#define JOBS_H

#include "agent.h"

void
Jobs_Init(struct agent *agent);

/// Cancels and frees all jobs.
void
Jobs_Finish(struct agent *agent);

/// Queues a request, or answers that it does not run. A request id that is
/// known already is answered from its job.
void
Jobs_Submit(struct agent *agent, struct peer *peer,
            const struct cm_msg_submit *submit);

/// Ends a request whose caller is gone: a waiting one always, a running one
/// only where it is retryable.
void
Jobs_Cancel(struct agent *agent, struct cm_bytes id);

/// Guarantees that a request that has not started never starts, and replies
/// with its state. An unknown id is recorded, as its SUBMIT may arrive later.
void
Jobs_Seal(struct agent *agent, const struct cm_link_peer *peer,
          struct cm_bytes id);

/// Adds a reader that gets the response from an offset on.
void
Jobs_Attach(struct agent *agent, const struct cm_link_peer *peer,
            const struct cm_msg_attach *attach);

/// Applies a reader's acknowledged offset and window, and sends what they
/// allow.
void
Jobs_Credit(struct agent *agent, const struct cm_msg_credit *credit);

/// Ends a job and sends its outcome to its readers.
void
Job_End(struct job *job, enum cm_outcome outcome, enum cm_reason reason);

/// Sends each reader the bytes that its window allows, and the outcome after
/// the last byte.
void
Job_SendResponse(struct job *job);

/// @return bytes that the slowest reader has yet to receive.
size_t
Job_UnreadBytes(const struct job *job);

/// Ends all requests that have not started.
void
Jobs_RefuseWaiting(struct agent *agent, enum cm_reason reason);

/// Drops the responses of finished jobs after CM_JOB_RESPONSE_TTL_MS, and the
/// jobs once a resend of their id can no longer arrive.
void
Jobs_Expire(struct agent *agent);

/// @return whether no job is waiting, running or still being sent.
bool
Jobs_AllDone(const struct agent *agent);

#endif
