/// @file target_notices.c
/// Records what targets say of themselves in their responses.

#include "target_notices.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "dispatch/notices.h"
#include "request.h"

/// @return whether another incarnation than the intended one has answered.
static bool
is_from_another(const struct attempt *attempt)
{
    const struct cm_target_response *response = &attempt->response;
    return response->misdirected && response->instance[0] != '\0' &&
           strcmp(response->instance, attempt->target->id) != 0;
}

bool
TargetNotices_IsAbsent(const struct request *request)
{
    const struct attempt *attempt = &request->attempt;
    return is_from_another(attempt) ||
           (attempt->response.misdirected && request->parsed.model == NULL);
}

static void
note_leaving(struct request *request)
{
    struct gateway *gateway = request->gateway;
    const struct attempt *attempt = &request->attempt;
    struct timespec now = Gateway_Now(gateway);
    bool other = is_from_another(attempt);
    const char *id = other ? attempt->response.instance : attempt->target->id;
    bool begins =
        other ? CmNotices_AddLeavingById(&gateway->targets, id, now)
              : CmNotices_AddLeaving(&gateway->targets, attempt->target, now);
    if (begins) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "notice", request->parsed.id,
                    "%s at %s says that it leaves: no new work", id,
                    attempt->target->address);
    }
}

void
TargetNotices_CountResponse(struct request *request)
{
    struct gateway *gateway = request->gateway;
    const struct attempt *attempt = &request->attempt;
    const struct cm_target_response *response = &attempt->response;
    if (response->leaving) {
        note_leaving(request);
    }
    if (response->has_pause &&
        CmNotices_AddPause(&gateway->targets, attempt->target,
                           response->pause_ms, g_rand_double(gateway->random),
                           Gateway_Now(gateway))) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "notice", request->parsed.id,
                    "%s at %s asks for a pause of %" PRId64
                    " ms: no requests meanwhile",
                    attempt->target->id, attempt->target->address,
                    response->pause_ms);
    }
}

int64_t
TargetNotices_PauseLeftMs(const struct request *request)
{
    const struct gateway *gateway = request->gateway;
    return CmNotices_PauseLeftMs(&gateway->targets, request->service,
                                 request->parsed.model != NULL,
                                 Gateway_Now(gateway));
}

static void
end_notice(void *context, struct cm_notice *notice,
           struct cm_live_target *target)
{
    const struct gateway *gateway = context;
    struct timespec now = Gateway_Now(gateway);
    if (notice->leaving && notice->listed && target == NULL && !notice->gone) {
        notice->gone = true;
        CmLog_Event(G_LOG_LEVEL_INFO, "notice", NULL,
                    "%s is gone, %" PRId64 " ms after it said that it leaves",
                    notice->incarnation,
                    CmTime_DiffMs(now, notice->leaving_since));
    }
    if (notice->pausing && !CmTime_Before(now, notice->paused_until)) {
        notice->pausing = false;
        CmLog_Event(G_LOG_LEVEL_INFO, "notice", NULL,
                    "the pause of %s ends after %" PRId64 " ms",
                    notice->incarnation,
                    CmTime_DiffMs(notice->paused_until, notice->pause_began));
    }
}

void
TargetNotices_Tick(struct gateway *gateway)
{
    CmNotices_ForEach(&gateway->targets, end_notice, gateway);
    CmNotices_Expire(&gateway->targets, Gateway_Now(gateway));
}

static void
count_notice(void *context, struct cm_notice *notice,
             struct cm_live_target *target)
{
    struct gateway *gateway = context;
    gateway->count.leaving_targets.value += notice->leaving && target != NULL;
    gateway->count.paused_targets.value += notice->pausing && target != NULL;
}

void
TargetNotices_UpdateGauges(struct gateway *gateway)
{
    gateway->count.leaving_targets.value = 0;
    gateway->count.paused_targets.value = 0;
    CmNotices_ForEach(&gateway->targets, count_notice, gateway);
}
