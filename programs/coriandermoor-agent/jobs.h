/// @file jobs.h
/// Requests of an agent: accepting, sealing, reading answers, forgetting.

#ifndef JOBS_H
#define JOBS_H

#include "agent.h"

/// Prepares the tables.
void
Jobs_Init(struct agent *agent);

/// Frees all jobs.
void
Jobs_Finish(struct agent *agent);

/// Takes a request in, or answers that it will not run.
void
Jobs_Submit(struct agent *agent, struct peer *peer,
            const struct cm_msg_submit *submit);

/// Nobody waits for the request any more.
void
Jobs_Cancel(struct agent *agent, struct cm_bytes id);

/// Makes sure that a request that has not started never does.
void
Jobs_Seal(struct agent *agent, const struct cm_link_peer *peer,
          struct cm_bytes id);

/// Lets a further reader have the answer from an offset on.
void
Jobs_Attach(struct agent *agent, const struct cm_link_peer *peer,
            const struct cm_msg_attach *attach);

/// A reader has received and allows more.
void
Jobs_Credit(struct agent *agent, const struct cm_msg_credit *credit);

/// Ends a job: its readers learn how.
void
Job_End(struct job *job, enum cm_outcome outcome, enum cm_reason reason);

/// Sends readers what they may have by now.
void
Job_SendAnswer(struct job *job);

/// @return bytes that the slowest reader has yet to receive.
size_t
Job_UnreadBytes(const struct job *job);

/// Refuses all requests that have not started.
void
Jobs_RefuseWaiting(struct agent *agent, enum cm_reason reason);

/// Forgets finished jobs whose time has come.
void
Jobs_Expire(struct agent *agent);

/// @return whether no job waits, runs, or has answer bytes left to send.
bool
Jobs_AllDone(const struct agent *agent);

#endif
