/// @file attempts.h
/// Attempts: sends a request to one agent, receives the answer, resends what
/// the agent did not acknowledge and cancels the job.

#ifndef ATTEMPTS_H
#define ATTEMPTS_H

#include "exchange.h"

/// Creates an attempt at the agent behind `link`, and opens the link if it is
/// closed. Attempt_Send() sends it.
/// @param loads whether the target must load the adapter first.
struct attempt *
Attempt_New(struct exchange *exchange, struct agent_link *link, bool loads);

/// Creates an attempt that reads the answer of an existing job.
/// @param job         id of the job at the agent.
/// @param incarnation incarnation of the agent that has the job.
struct attempt *
Attempt_NewAttached(struct exchange *exchange, struct agent_link *link,
                    const char *job, uint64_t incarnation);

/// Sends the request now if the link is ready; otherwise the link's first
/// report sends it.
void
Attempt_Send(struct attempt *attempt);

/// Frees the attempt and ends it in the router's accounts.
/// @param failed whether it counts as a failure of the target.
void
Attempt_Free(struct attempt *attempt, bool failed);

/// Frees the attempt and cancels its job, unless the job belongs to another
/// attempt.
void
Attempt_Cancel(struct attempt *attempt);

/// Asks the agent to cancel the job. Does nothing if the request was not sent
/// or the job belongs to another attempt.
void
Attempt_CancelJob(struct attempt *attempt);

/// Acknowledges the received bytes, which lets the agent send up to
/// CM_ANSWER_WINDOW_BYTES more.
void
Attempt_SendCredit(struct attempt *attempt);

/// Continues the attempt over a new connection: sends the request again if
/// the agent did not accept it, else requests the missing part of the answer.
void
Attempt_Resume(struct attempt *attempt);

/// Sends the request again if the agent did not acknowledge it in time, and
/// fails the attempt if it could not be sent in time.
void
Attempt_CheckTimeouts(struct attempt *attempt, struct timespec now);

/// Handlers of the agent's messages. Messages about streams that this entry
/// does not read (any more) are ignored.
void
Attempts_HandleAccepted(struct agent_link *link, struct cm_bytes id);
void
Attempts_HandleStarted(struct agent_link *link, struct cm_bytes id);
void
Attempts_HandleHead(struct agent_link *link, const struct cm_msg_head *head);
void
Attempts_HandleChunk(struct agent_link *link,
                     const struct cm_msg_chunk *chunk);
void
Attempts_HandleEnd(struct agent_link *link, const struct cm_msg_end *end);

#endif
