/// @file outcome.h
/// Decides what follows when an attempt ends without a complete response: a
/// retry, or an error response that says whether the request ran. Performs no
/// I/O.

#ifndef ROUTING_OUTCOME_H
#define ROUTING_OUTCOME_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/// Last phase that an attempt is known to have reached.
enum cm_attempt_phase {
    CM_ATTEMPT_UNSENT,   ///< certainly not sent to the agent
    CM_ATTEMPT_SENT,     ///< sent, no message about it received
    CM_ATTEMPT_ACCEPTED, ///< in the agent's queue
    CM_ATTEMPT_STARTED,  ///< handed to the target
};

/// How the attempt ended.
enum cm_attempt_event {
    CM_ATTEMPT_NOT_RUN,       ///< the agent reports that it never starts
    CM_ATTEMPT_ABORTED,       ///< the agent reports that the run was aborted
    CM_ATTEMPT_AGENT_LOST,    ///< the agent process has ended
    CM_ATTEMPT_AGENT_TIMEOUT, ///< no message from the agent in time
    CM_ATTEMPT_DEADLINE,      ///< the request's deadline has passed
};

struct cm_attempt_state {
    enum cm_attempt_phase phase;
    bool idempotent;    ///< the request may run twice
    bool retry_allowed; ///< by attempts, retry budget and deadline
};

enum cm_next_step {
    CM_NEXT_RETRY,          ///< at another target
    CM_NEXT_ANSWER_NOT_RUN, ///< it did not run and never will
    CM_NEXT_ANSWER_UNKNOWN, ///< it may have run
};

/// @return the next step; "not-run" only if the request certainly did not and
///         will not run. A request that may have run is retried only if it is
///         idempotent.
enum cm_next_step
CmOutcome_NextStep(const struct cm_attempt_state *state,
                   enum cm_attempt_event event);

/// Retry budget: a token bucket that limits retries to a ratio of the first
/// attempts, so that retries cannot overload targets that already fail.
struct cm_retry_budget {
    double tokens; ///< retries that may be made now
};

/// Retries per first attempt.
#define CM_RETRY_BUDGET_RATIO 0.2
/// Burst of retries with a full budget.
#define CM_RETRY_BUDGET_TOKENS_MAX 10.0

/// Fills the budget.
void
CmRetryBudget_Init(struct cm_retry_budget *budget);

/// Adds the retry ratio of one first attempt.
void
CmRetryBudget_Deposit(struct cm_retry_budget *budget);

/// @return whether a retry may be made; if so, its token is removed.
bool
CmRetryBudget_TryWithdraw(struct cm_retry_budget *budget);

#endif
