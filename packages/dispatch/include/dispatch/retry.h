/// @file retry.h
/// What follows when one attempt of a request ends: pure, one table.

#ifndef DISPATCH_RETRY_H
#define DISPATCH_RETRY_H

#include "dispatch/catalog_defs.h"

/// Time below which another attempt is not worth its target's work.
#define CM_RETRY_MIN_LEFT_MS 30

/// How an attempt ended short of a success.
enum cm_attempt_end {
    CM_ATTEMPT_UNSENT,   ///< nothing reached the target
    CM_ATTEMPT_REJECTED, ///< the target says that it did not run it
    CM_ATTEMPT_FAILED,   ///< the target ran it and answers a failure
    CM_ATTEMPT_LOST,     ///< broke off or fell silent: may have run
};

/// What is known of the request.
struct cm_retry_state {
    enum cm_retry_mode mode;
    int64_t max_attempts;
    int64_t runs;        ///< attempts that ran or may have run
    int64_t left_ms;     ///< until the caller gives up
    bool answer_started; ///< a part of the answer is on its way to the caller
};

enum cm_retry_step {
    CM_RETRY_RESEND,       ///< send it to another target, if the budget allows
    CM_RETRY_PASS_FAILURE, ///< pass the target's failure on
    CM_RETRY_REFUSE,       ///< certainly not run: say so
    CM_RETRY_UNKNOWN,      ///< may have run: promise nothing
    CM_RETRY_CUT,          ///< break the answer off visibly
};

/// @return how an attempt ended which a target answered with `status`, which
/// is no success, without stating that it did not run the request: a status
/// that would tell the caller so must not be passed on.
enum cm_attempt_end
CmRetry_ClassifyStatus(int status);

/// @return what follows `end`. `life` already counts that attempt.
enum cm_retry_step
CmRetry_NextStep(const struct cm_retry_state *life, enum cm_attempt_end end);

/// @return what follows if the step was CM_RETRY_RESEND and no further attempt
/// can be made.
enum cm_retry_step
CmRetry_FinalStep(const struct cm_retry_state *life, enum cm_attempt_end end);

#endif
