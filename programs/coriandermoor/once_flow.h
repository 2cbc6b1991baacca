/// @file once_flow.h
/// Requests that are not idempotent, made safe by their Idempotency-Key. A
/// claim (the record of the key) is written before the request is sent and
/// holds the answer afterwards. If a claim of an earlier attempt exists, its
/// agent seals that attempt (promises never to start it) before another one
/// may run.

#ifndef ONCE_FLOW_H
#define ONCE_FLOW_H

#include "exchange.h"

/// Starts a request that is not idempotent; rejects it without a key.
void
OnceFlow_Begin(struct exchange *exchange);

/// Writes the claim with the attempt's id and target, then sends the attempt.
void
OnceFlow_Claim(struct exchange *exchange, struct attempt *attempt);

/// Writes the answer into the claim, so that a resend by the caller gets it.
void
OnceFlow_RecordAnswer(struct exchange *exchange,
                      const struct attempt *attempt);

/// Removes the claim of an exchange that did not run. With an unknown outcome
/// the claim stays, and a resend queries the agent.
void
OnceFlow_ReleaseClaim(struct exchange *exchange, enum cm_outcome outcome);

/// Continues the exchanges that wait for this seal: under a new claim if the
/// earlier attempt never started, else with its answer.
void
OnceFlow_HandleSealed(struct agent_link *link,
                      const struct cm_msg_sealed *sealed);

/// Sends the seals that wait for this agent. If the agent has restarted, sets
/// the records of the earlier attempts to an unknown outcome instead.
void
OnceFlow_ResumeSeals(struct agent_link *link);

#endif
