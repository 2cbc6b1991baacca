/// @file outcome.c
/// Next step after an attempt without a whole answer.

#include "routing/outcome.h"

/// @return whether it is certain that the attempt did not and will not run.
static bool
certainly_not_run(const struct cm_attempt_state *state,
                  enum cm_attempt_event event)
{
    return event == CM_ATTEMPT_NOT_RUN || state->phase == CM_ATTEMPT_UNSENT;
}

enum cm_next_step
CmOutcome_NextStep(const struct cm_attempt_state *state,
                   enum cm_attempt_event event)
{
    bool not_run = certainly_not_run(state, event);
    bool may_repeat = not_run || state->idempotent;
    bool retry =
        event != CM_ATTEMPT_DEADLINE && may_repeat && state->retry_allowed;
    if (retry) {
        return CM_NEXT_RETRY;
    }
    return not_run ? CM_NEXT_ANSWER_NOT_RUN : CM_NEXT_ANSWER_UNKNOWN;
}

void
CmRetryBudget_Init(struct cm_retry_budget *budget)
{
    budget->tokens = CM_RETRY_BUDGET_TOKENS_MAX;
}

void
CmRetryBudget_Deposit(struct cm_retry_budget *budget)
{
    budget->tokens += CM_RETRY_BUDGET_RATIO;
    if (budget->tokens > CM_RETRY_BUDGET_TOKENS_MAX) {
        budget->tokens = CM_RETRY_BUDGET_TOKENS_MAX;
    }
}

bool
CmRetryBudget_TryWithdraw(struct cm_retry_budget *budget)
{
    if (budget->tokens < 1) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}
