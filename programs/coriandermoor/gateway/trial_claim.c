/// @file trial_claim.c
/// Claims trials at their arbiter (quarantine/trial.h) for requests that are
/// about to be sent.

#include "trial_claim.h"

#include <string.h>

#include "base/log.h"
#include "crash_watch.h"
#include "lease.h"
#include "peer_gossip.h"
#include "placement.h"
#include "quarantine/trial.h"
#include "request.h"

/// Part of its remaining time that a request waits at most.
#define WAIT_DIVISOR 4
/// Retry-After of a request that was not tried, as another copy of its content
/// is: trials take about as long as a run.
#define RETRY_AFTER_MS 1000

static void
remember_target(struct trial *trial, struct cm_live_target *target)
{
    if (trial->target != target) {
        if (trial->target != NULL) {
            CmTarget_Unref(trial->target);
        }
        trial->target = target != NULL ? CmTarget_Ref(target) : NULL;
    }
}

static void
start_wait(struct request *request)
{
    struct trial *trial = &request->trial;
    struct gateway *gateway = request->gateway;
    if (trial->give_up_at.tv_sec == 0) {
        int64_t wait_ms =
            MIN(CM_TRIAL_WAIT_MAX_MS, Request_LeftMs(request) / WAIT_DIVISOR);
        trial->give_up_at = CmTime_AddMs(Gateway_Now(gateway), wait_ms);
    }
    if (trial->claim_id == 0) {
        trial->claim_id = Gateway_RandomId(gateway);
    }
}

/// Sets what the request is tried for. A claim or permission for something
/// else, whose verdict has changed meanwhile, is given up.
static void
set_content(struct request *request, const char *content)
{
    struct trial *trial = &request->trial;
    if (strcmp(trial->content, content) == 0) {
        return;
    }
    if (trial->call != NULL) {
        PeerGossip_ForgetClaim(trial->call);
        trial->call = NULL;
    }
    // Giving a trial back updates the verdicts, to which `content` belongs.
    char given_back[CM_CONTENT_SIZE];
    g_strlcpy(given_back, trial->content, sizeof(given_back));
    g_strlcpy(trial->content, content, sizeof(trial->content));
    trial->claim_id = 0;
    if (trial->granted) {
        trial->granted = false;
        PeerGossip_GiveBackTrial(request->gateway, given_back);
    }
}

/// Claims the trial at its arbiter, which may be this gateway.
/// @return whether it is granted already.
static bool
claim(struct request *request)
{
    struct gateway *gateway = request->gateway;
    struct trial *trial = &request->trial;
    const char *content = trial->content;
    const char *arbiter = CmArbiter_Choose(&gateway->gossip.roster, content);
    if (arbiter == NULL) {
        return PeerGossip_GrantTrial(gateway, content, trial->claim_id);
    }
    if (trial->call == NULL) {
        trial->call = PeerGossip_ClaimTrial(gateway, arbiter, content,
                                            trial->claim_id, request);
    }
    return false;
}

static enum trial_admission
refuse(struct request *request, const char *why, const char **reason)
{
    CmLog_Event(G_LOG_LEVEL_INFO, "quarantine", request->parsed.id,
                "%s is on trial: %s", request->trial.content, why);
    request->gateway->count.trial_refusals.value++;
    request->min_queue_wait_ms = RETRY_AFTER_MS;
    *reason = "its content is on trial after several crashes of targets";
    return TRIAL_REFUSED;
}

static enum trial_admission
admit_trial(struct request *request, const struct cm_live_target *target)
{
    struct trial *trial = &request->trial;
    CmLog_Event(G_LOG_LEVEL_WARNING, "quarantine", request->parsed.id,
                "%s is tried alone at %s", trial->content, target->id);
    request->gateway->count.trials.value++;
    trial->granted = false;
    trial->running = true;
    return TRIAL_ADMITTED;
}

enum trial_admission
TrialClaim_Admit(struct request *request, struct cm_live_target *target,
                 const char **reason)
{
    struct trial *trial = &request->trial;
    struct timespec now = Gateway_Now(request->gateway);
    bool was_tried = trial->running;
    trial->running = false;
    if (CrashWatch_Refuses(request)) {
        *reason = CrashWatch_Reason(request);
        return TRIAL_REFUSED;
    }
    const struct cm_suspect *suspect = CrashWatch_Suspect(request);
    if (CmTrial_NextStep(suspect, now) == CM_TRIAL_NOT_NEEDED) {
        return TRIAL_ADMITTED;
    }
    if (was_tried) {
        return refuse(request, "its trial has ended", reason);
    }
    set_content(request, suspect->content);
    remember_target(trial, target);
    start_wait(request);
    if (trial->granted || claim(request)) {
        return admit_trial(request, target);
    }
    if (!CmTime_Before(now, trial->give_up_at)) {
        return refuse(request, "another copy of it is tried", reason);
    }
    request->placement = PLACEMENT_CLAIMING;
    Request_SetPlacementTimer(request, CM_TRIAL_CLAIM_INTERVAL_MS);
    return TRIAL_WAITS;
}

/// Sends the request to the target that was picked before.
static void
resume(struct request *request)
{
    struct cm_live_target *target = CmTarget_Ref(request->trial.target);
    Request_SendTo(request, target);
    CmTarget_Unref(target);
}

void
TrialClaim_HandleTimer(struct request *request)
{
    resume(request);
}

void
TrialClaim_HandleAnswer(struct request *request, bool granted)
{
    request->trial.call = NULL;
    if (!granted) {
        return;
    }
    request->trial.granted = true;
    // Otherwise another target is being asked for a lease or a permit.
    if (request->placement == PLACEMENT_CLAIMING) {
        resume(request);
    }
}

void
TrialClaim_CountUnsent(struct request *request)
{
    struct trial *trial = &request->trial;
    trial->granted = trial->granted || trial->running;
    trial->running = false;
}

void
TrialClaim_CountRejected(struct request *request)
{
    struct trial *trial = &request->trial;
    if (!trial->running ||
        !CmTrial_IsReplaceable(CrashWatch_Suspect(request))) {
        return;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "quarantine", request->parsed.id,
                "%s did not run, its trial is given back", trial->content);
    PeerGossip_GiveBackTrial(request->gateway, trial->content);
    trial->running = false;
    trial->claim_id = 0;
    trial->give_up_at = (struct timespec){0};
}

void
TrialClaim_Finish(struct request *request)
{
    struct trial *trial = &request->trial;
    if (trial->call != NULL) {
        PeerGossip_ForgetClaim(trial->call);
        trial->call = NULL;
    }
    if (trial->granted) {
        PeerGossip_GiveBackTrial(request->gateway, trial->content);
        trial->granted = false;
    }
    remember_target(trial, NULL);
    trial->claim_id = 0;
    trial->give_up_at = (struct timespec){0};
}
