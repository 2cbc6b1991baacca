/// @file trial.h
/// Trials of contents that were in several crashes, but may not have caused
/// them: copies that ran at once, or a rack that ended.
///
/// A content on trial may only be run alone. One gateway, the arbiter, grants
/// its trials; all gateways choose the same one. A trial that completes clears
/// the content, and one whose target crashes refuses it. A trial that shows
/// neither, as its caller left or its gateway was killed, ends after a while.

#ifndef QUARANTINE_TRIAL_H
#define QUARANTINE_TRIAL_H

#include "peers/arbiter.h"
#include "quarantine/gossip.h"

/// Trials of one content between two completed runs. The platform allows three
/// more sends after the third crash; one is left for two gateways that choose
/// different arbiters, or for a target that rejects a trial.
#define CM_TRIALS_MAX 2
/// Late grants up to which a rejected trial is replaced.
#define CM_TRIAL_REPLACED_GRANTS_MAX 1
/// Time after which a trial that showed nothing ends. Covers the start of the
/// next incarnation of a target that fell silent.
#define CM_TRIAL_TIMEOUT_MS 20000
/// Pause between two claims for a trial that is under way elsewhere.
#define CM_TRIAL_CLAIM_INTERVAL_MS 50
/// Longest time that a request waits for its trial, or for the end of another
/// one, before it is refused.
#define CM_TRIAL_WAIT_MAX_MS 500

/// What a request with a content may do now.
enum cm_trial_step {
    CM_TRIAL_NOT_NEEDED, ///< run it
    CM_TRIAL_CLAIM,      ///< claim a trial, or wait for the end of one
    CM_TRIAL_REFUSE,     ///< it is refused, or its trials are spent
};

/// @param suspect what is held against the content, or NULL.
enum cm_trial_step
CmTrial_NextStep(const struct cm_suspect *suspect, struct timespec now);

/// Grants a trial, as the arbiter, unless another one is under way or all are
/// spent. A claim that is repeated gets the same answer.
/// @param claimant address of the gateway that is to run it.
/// @param claim_id random, drawn by the claimant.
bool
CmTrial_Grant(struct cm_gossip *gossip, const char *content,
              const char *claimant, uint64_t claim_id, struct timespec now);

/// Gives back a trial that was granted to this gateway, but did not reach a
/// target.
void
CmTrial_GiveBack(struct cm_gossip *gossip, const char *content,
                 struct timespec now);

/// @return whether a trial that its target rejected without running it may be
///         given back, for another one. The platform counts rejected sends,
///         too, but none within CM_CONTACT_MS of a crash, as targets that have
///         just started reject what was meant for their predecessors.
bool
CmTrial_IsReplaceable(const struct cm_suspect *suspect);

/// Composes a claim to the arbiter, into an initialized message. The arbiter
/// answers by CmGossip_Answer().
void
CmTrial_ComposeClaim(struct cm_gossip *gossip, const char *content,
                     uint64_t claim_id, struct timespec now,
                     struct cm_exchange *claim);

#endif
