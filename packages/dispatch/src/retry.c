/// @file retry.c
/// Decides what follows a failed attempt of a request.

#include "dispatch/retry.h"

#define STATUS_REQUEST_TIMEOUT 408
#define STATUS_MISDIRECTED 421
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_UNAVAILABLE 503

enum cm_attempt_end
CmRetry_ClassifyStatus(int status)
{
    switch (status) {
    case STATUS_REQUEST_TIMEOUT:
    case STATUS_MISDIRECTED:
    case STATUS_TOO_MANY_REQUESTS:
    case STATUS_UNAVAILABLE:
        return CM_ATTEMPT_LOST;
    default:
        return CM_ATTEMPT_FAILED;
    }
}

/// @return whether the request may run again although it may have run before.
static bool
allows_second_run(const struct cm_retry_state *state)
{
    return state->mode != CM_RETRY_MODE_NEVER &&
           state->runs < state->max_attempts;
}

enum cm_retry_step
CmRetry_NextStep(const struct cm_retry_state *state, enum cm_attempt_end end)
{
    bool may_have_run = end == CM_ATTEMPT_FAILED || end == CM_ATTEMPT_LOST;
    if (state->left_ms < CM_RETRY_MIN_LEFT_MS ||
        (may_have_run && !allows_second_run(state))) {
        return CmRetry_FinalStep(state, end);
    }
    // Without resumption, a retry would send the answer from its start again.
    if (state->answer_started && state->mode != CM_RETRY_MODE_RESUME) {
        return CM_RETRY_CUT;
    }
    return CM_RETRY_RESEND;
}

bool
CmRetry_AllowsSuccessor(const struct cm_retry_state *state)
{
    // The stalled attempt may have run, like a lost one.
    return CmRetry_NextStep(state, CM_ATTEMPT_LOST) == CM_RETRY_RESEND;
}

enum cm_retry_step
CmRetry_FinalStep(const struct cm_retry_state *state, enum cm_attempt_end end)
{
    if (state->answer_started) {
        return CM_RETRY_CUT;
    }
    if (end == CM_ATTEMPT_FAILED) {
        return CM_RETRY_PASS_FAILURE;
    }
    return state->runs == 0 ? CM_RETRY_REFUSE : CM_RETRY_UNKNOWN;
}
