/// @file attempts.h
/// One attempt at one agent: sending, receiving, giving up.

#ifndef ATTEMPTS_H
#define ATTEMPTS_H

#include "exchange.h"

/// Makes an attempt at the agent behind `link`.
struct attempt *
Attempt_New(struct exchange *exchange, struct agent_link *link, bool loads);

/// Makes an attempt that reads the answer of an existing job.
struct attempt *
Attempt_NewAttached(struct exchange *exchange, struct agent_link *link,
                    const char *job, uint64_t incarnation);

/// Sends the request, now or once the link is ready.
void
Attempt_Send(struct attempt *attempt);

/// Frees the attempt. @param failed whether the target is to blame.
void
Attempt_Free(struct attempt *attempt, bool failed);

/// Gives the attempt up, and the job with it where that does no harm.
void
Attempt_Cancel(struct attempt *attempt);

/// Tells the agent that nobody waits for the job.
void
Attempt_CancelJob(struct attempt *attempt);

/// Tells the agent how much arrived.
void
Attempt_SendCredit(struct attempt *attempt);

/// After a new connection: asks for what is missing.
void
Attempt_Resume(struct attempt *attempt);

/// Looks whether the attempt waited too long for the agent's first word.
void
Attempt_CheckTimeouts(struct attempt *attempt, struct timespec now);

/// Messages of the agent about attempts.
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
