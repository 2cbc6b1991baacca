/// @file retry.c
/// What follows when one attempt of a request ends.

#include "dispatch/retry.h"

#define STATUS_TIMEOUT 408
#define STATUS_MISDIRECTED 421
#define STATUS_TOO_MANY 429
#define STATUS_UNAVAILABLE 503

enum cm_attempt_end
CmRetry_ClassifyStatus(int status)
{
    switch (status) {
    case STATUS_TIMEOUT:
    case STATUS_MISDIRECTED:
    case STATUS_TOO_MANY:
    case STATUS_UNAVAILABLE:
        return CM_ATTEMPT_LOST;
    default:
        return CM_ATTEMPT_FAILED;
    }
}

/// @return whether a run that may have happened allows another one.
static bool
may_run_again(const struct cm_retry_state *life)
{
    return life->mode != CM_RETRY_MODE_NEVER &&
           life->runs < life->max_attempts;
}

enum cm_retry_step
CmRetry_NextStep(const struct cm_retry_state *life, enum cm_attempt_end end)
{
    bool ran = end == CM_ATTEMPT_FAILED || end == CM_ATTEMPT_LOST;
    if (life->left_ms < CM_RETRY_MIN_LEFT_MS ||
        (ran && !may_run_again(life))) {
        return CmRetry_FinalStep(life, end);
    }
    if (life->answer_started && life->mode != CM_RETRY_MODE_RESUME) {
        return CM_RETRY_CUT;
    }
    return CM_RETRY_RESEND;
}

enum cm_retry_step
CmRetry_FinalStep(const struct cm_retry_state *life, enum cm_attempt_end end)
{
    if (life->answer_started) {
        return CM_RETRY_CUT;
    }
    if (end == CM_ATTEMPT_FAILED) {
        return CM_RETRY_PASS_FAILURE;
    }
    return life->runs == 0 ? CM_RETRY_REFUSE : CM_RETRY_UNKNOWN;
}
