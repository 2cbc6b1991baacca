/// @file once_flow.h
/// Requests that must not be repeated: claim before the run, seal before a
/// second one, record after it.

#ifndef ONCE_FLOW_H
#define ONCE_FLOW_H

#include "exchange.h"

/// Starts a request that needs a key.
void
OnceFlow_Begin(struct exchange *exchange);

/// Writes the claim that names the attempt, then sends it.
void
OnceFlow_Claim(struct exchange *exchange, struct attempt *attempt);

/// Keeps the answer for a resend.
void
OnceFlow_RecordAnswer(struct exchange *exchange,
                      const struct attempt *attempt);

/// The exchange ends without an answer: frees or settles its claim.
void
OnceFlow_ReleaseClaim(struct exchange *exchange, enum cm_outcome outcome);

/// An agent answered a seal.
void
OnceFlow_HandleSealed(struct agent_link *link,
                      const struct cm_msg_sealed *sealed);

/// An agent reported: waiting seals may be sent, or are in vain.
void
OnceFlow_ResumeSeals(struct agent_link *link);

#endif
