/// @file retry.h
/// Decides what follows a failed attempt of a request: a retry at another
/// target or one of the final answers. Pure functions.

#ifndef DISPATCH_RETRY_H
#define DISPATCH_RETRY_H

#include "dispatch/catalog_defs.h"

/// Time left below which a retry could hardly finish and would only load its
/// target.
#define CM_RETRY_MIN_LEFT_MS 30

/// How an attempt failed.
enum cm_attempt_end {
    CM_ATTEMPT_UNSENT,   ///< nothing reached the target
    CM_ATTEMPT_REJECTED, ///< the target states that it did not run the request
    CM_ATTEMPT_FAILED,   ///< the target ran the request and answered an error
    CM_ATTEMPT_LOST,     ///< connection lost or timed out: may have run
};

/// State of a request on which the decision depends.
struct cm_retry_state {
    enum cm_retry_mode mode;
    int64_t max_attempts;
    int64_t runs;        ///< attempts that ran or may have run
    int64_t left_ms;     ///< until the client gives up
    bool answer_started; ///< a part of the answer was sent to the client
};

enum cm_retry_step {
    CM_RETRY_RESEND,       ///< send to another target if the budget allows it
    CM_RETRY_PASS_FAILURE, ///< forward the target's error
    CM_RETRY_REFUSE,       ///< answer that the request did not run
    CM_RETRY_UNKNOWN,      ///< answer an error that leaves open whether it ran
    CM_RETRY_CUT, ///< close the connection, so that the client sees a cut
};

/// Classifies an error status that came without the target's statement that it
/// did not run the request. Statuses by which a client would conclude that the
/// request did not run count as lost, so that they are not forwarded.
enum cm_attempt_end
CmRetry_ClassifyStatus(int status);

/// @return the step after an attempt that ended with `end`; `state` already
/// counts that attempt.
enum cm_retry_step
CmRetry_NextStep(const struct cm_retry_state *state, enum cm_attempt_end end);

/// @return whether a stalled attempt may be replaced by another one. `state`
/// already counts the stalled attempt.
bool
CmRetry_AllowsSuccessor(const struct cm_retry_state *state);

/// @return the step instead of CM_RETRY_RESEND if no other attempt is
/// possible.
enum cm_retry_step
CmRetry_FinalStep(const struct cm_retry_state *state, enum cm_attempt_end end);

#endif
