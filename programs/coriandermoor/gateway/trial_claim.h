/// @file trial_claim.h
/// Lets a request whose content is on trial wait until it may run alone.

#ifndef GATEWAY_TRIAL_CLAIM_H
#define GATEWAY_TRIAL_CLAIM_H

#include "request_defs.h"

/// What a request may do that is about to be sent.
enum trial_admission {
    TRIAL_ADMITTED, ///< send it
    TRIAL_WAITS,    ///< Request_SendTo() is called again later
    TRIAL_REFUSED,  ///< end it, for the reason that was set
};

/// Decides whether the request may be sent to `target` now. If its content is
/// on trial, claims the trial and remembers the target.
/// @param[out] reason set if the request is refused.
enum trial_admission
TrialClaim_Admit(struct request *request, struct cm_live_target *target,
                 const char **reason);

/// Continues a waiting request whose timer has expired.
void
TrialClaim_HandleTimer(struct request *request);

/// Continues a waiting request after the arbiter's answer, or its failure.
void
TrialClaim_HandleAnswer(struct request *request, bool granted);

/// Keeps the trial of an attempt that no target ran for the next one.
void
TrialClaim_CountUnsent(struct request *request);

/// Gives back the trial of an attempt that its target rejected without running
/// it, if it may be replaced. The next attempt claims another one.
void
TrialClaim_CountRejected(struct request *request);

/// Ends the request's wait, and gives back its unused trial.
void
TrialClaim_Finish(struct request *request);

#endif
