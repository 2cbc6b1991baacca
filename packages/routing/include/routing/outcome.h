/// @file outcome.h
/// What follows when an attempt ends without a whole answer: another attempt,
/// a question to the agent, or the final outcome. Pure, one table.

#ifndef ROUTING_OUTCOME_H
#define ROUTING_OUTCOME_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/// How far an attempt is known to have come.
enum cm_attempt_phase {
    CM_ATTEMPT_UNSENT,   ///< certainly not sent
    CM_ATTEMPT_SENT,     ///< sent, nothing heard
    CM_ATTEMPT_ACCEPTED, ///< in the agent's queue
    CM_ATTEMPT_STARTED,  ///< handed to the target
};

/// What happened to the attempt.
enum cm_attempt_event {
    CM_ATTEMPT_NOT_RUN,    ///< the agent says: never started, and never will
    CM_ATTEMPT_ABORTED,    ///< the agent says: the run broke off
    CM_ATTEMPT_AGENT_LOST, ///< the agent's incarnation is gone for good
    CM_ATTEMPT_AGENT_TIMEOUT, ///< the agent is silent for too long
    CM_ATTEMPT_DEADLINE,      ///< the caller's time is over
};

struct cm_attempt_state {
    enum cm_attempt_phase phase;
    bool idempotent;    ///< a second run is harmless
    bool retry_allowed; ///< attempts, budget and time allow another one
};

enum cm_next_step {
    CM_NEXT_RETRY, ///< send it to another target
    CM_NEXT_ANSWER_NOT_RUN,
    CM_NEXT_ANSWER_UNKNOWN,
};

/// @return what to do. "not-run" follows only from certain knowledge.
enum cm_next_step
CmOutcome_NextStep(const struct cm_attempt_state *state,
                   enum cm_attempt_event event);

/// Budget of retries: a fifth of the first attempts, with a small reserve.
struct cm_retry_budget {
    double tokens;
};

/// Share of first attempts that may be followed by another one.
#define CM_RETRY_BUDGET_RATIO 0.2
#define CM_RETRY_BUDGET_TOKENS_MAX 10.0

/// Prepares a full budget.
void
CmRetryBudget_Init(struct cm_retry_budget *budget);

/// A first attempt was made.
void
CmRetryBudget_Deposit(struct cm_retry_budget *budget);

/// @return whether a retry may be made; takes it from the budget.
bool
CmRetryBudget_TryWithdraw(struct cm_retry_budget *budget);

#endif
