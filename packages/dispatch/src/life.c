/// @file life.c
/// What follows when one attempt of a request ends.

#include "dispatch/life.h"

#define STATUS_TIMEOUT 408
#define STATUS_MISDIRECTED 421
#define STATUS_TOO_MANY 429
#define STATUS_UNAVAILABLE 503

enum cm_attempt_end
CmLife_AnswerEnd(int status)
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
may_run_again(const struct cm_life *life)
{
    return life->repeat != CM_REPEAT_NEVER && life->runs < life->max_attempts;
}

enum cm_life_step
CmLife_After(const struct cm_life *life, enum cm_attempt_end end)
{
    bool ran = end == CM_ATTEMPT_FAILED || end == CM_ATTEMPT_LOST;
    if (life->left_ms < CM_RETRY_MIN_LEFT_MS ||
        (ran && !may_run_again(life))) {
        return CmLife_GiveUp(life, end);
    }
    if (life->began && life->repeat != CM_REPEAT_RESUME) {
        return CM_LIFE_CUT;
    }
    return CM_LIFE_AGAIN;
}

enum cm_life_step
CmLife_GiveUp(const struct cm_life *life, enum cm_attempt_end end)
{
    if (life->began) {
        return CM_LIFE_CUT;
    }
    if (end == CM_ATTEMPT_FAILED) {
        return CM_LIFE_PASS;
    }
    return life->runs == 0 ? CM_LIFE_REFUSE : CM_LIFE_UNKNOWN;
}
