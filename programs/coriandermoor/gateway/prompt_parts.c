/// @file prompt_parts.c
/// Names the parts of prompts, finds the suspects among them, and clears those
/// that a request shows to be sound.

#include "prompt_parts.h"

#include <string.h>

#include "base/log.h"
#include "crash_watch.h"
#include "peer_gossip.h"

/// Time after the first byte of an answer within which a part crashes its
/// target.
#define SURVIVED_MS 500
/// Most answers whose targets are still to survive them.
#define SURVIVALS_MAX 256

/// An answer that ended before its target has shown that it survives it.
struct survival {
    LIST_ENTRY(survival) link;
    struct gateway *gateway;
    struct cm_live_target *target;
    struct timespec since; ///< the answer's first byte
    char request[CM_CALL_ID_MAX];
    struct prompt_parts parts;
    struct event *timer;
};

const struct prompt_parts *
PromptParts_Of(struct request *request)
{
    if (request->parts == NULL) {
        struct cm_prompt_part parts[CM_PROMPT_PARTS_MAX];
        request->parts = g_new0(struct prompt_parts, 1);
        request->parts->n = CmCallCodec_DecodePromptParts(
            CmH1Conn_Head(&request->caller->conn), parts);
        for (size_t i = 0; i < request->parts->n; i++) {
            CmContentName_ComposePart(request->parts->names[i], parts[i].id,
                                      parts[i].length);
        }
    }
    return request->parts;
}

/// @return whether `left` is the one that decides what may be done with a
/// request that has both.
static bool
precedes(const struct cm_suspect *left, const struct cm_suspect *right)
{
    if (left->refused != right->refused) {
        return left->refused;
    }
    return left->weight != right->weight ? left->weight > right->weight
                                         : left->position > right->position;
}

const struct cm_suspect *
PromptParts_FindSuspect(struct request *request)
{
    const struct cm_quarantine *quarantine = &request->gateway->quarantine;
    if (quarantine->n_parts == 0 ||
        quarantine->n_refused + quarantine->n_on_trial == 0) {
        return NULL;
    }
    const struct prompt_parts *parts = PromptParts_Of(request);
    const struct cm_suspect *found = NULL;
    for (size_t i = 0; i < parts->n; i++) {
        const struct cm_suspect *suspect =
            CmQuarantine_Find(quarantine, parts->names[i]);
        if (suspect != NULL && (suspect->refused || suspect->on_trial) &&
            (found == NULL || precedes(suspect, found))) {
            found = suspect;
        }
    }
    return found;
}

bool
PromptParts_AreRefusedTogether(struct request *request)
{
    const struct cm_quarantine *quarantine = &request->gateway->quarantine;
    if (quarantine->n_parts == 0 || quarantine->n_on_trial == 0) {
        return false;
    }
    const struct prompt_parts *parts = PromptParts_Of(request);
    const struct cm_suspect *suspects[CM_PROMPT_PARTS_MAX];
    for (size_t i = 0; i < parts->n; i++) {
        suspects[i] = CmQuarantine_Find(quarantine, parts->names[i]);
        int members = 0;
        for (size_t j = 0; suspects[i] != NULL && j <= i; j++) {
            members += suspects[j] != NULL && suspects[j]->group > 0 &&
                       suspects[j]->group == suspects[i]->group;
        }
        if (members > 0 && members == suspects[i]->group_size) {
            return true;
        }
    }
    return false;
}

/// Clears the suspects among the parts, here and at all gateways.
static void
clear(struct gateway *gateway, const struct prompt_parts *parts,
      const struct cm_live_target *target, const char *request)
{
    CrashWatch_ForgetParts(gateway, parts);
    struct cm_crash_record *record = NULL;
    for (size_t i = 0; gateway->quarantine.n_parts > 0 && i < parts->n; i++) {
        const struct cm_suspect *suspect =
            CmQuarantine_Find(&gateway->quarantine, parts->names[i]);
        if (suspect == NULL) {
            continue;
        }
        if (record == NULL) {
            record = CmCrashRecord_New(
                CM_CRASH_RECORD_COMPLETED, Gateway_RandomId(gateway), "",
                gateway->settings.common.name, Gateway_Now(gateway));
        }
        CmLog_Event(G_LOG_LEVEL_INFO, "quarantine", request,
                    "%s survives %s, which is cleared of %d crashes",
                    target->id, suspect->content, suspect->crashes);
        gateway->count.parts_cleared.value++;
        CmCrashRecord_AddContent(record, parts->names[i]);
    }
    if (record != NULL) {
        PeerGossip_Observe(gateway, record);
    }
}

/// @return whether parts may be suspects, so that it matters which are sound.
static bool
has_suspects(const struct gateway *gateway)
{
    return gateway->quarantine.n_parts > 0 ||
           !LIST_EMPTY(&gateway->crash_suspicions);
}

void
PromptParts_CountEvents(struct request *request)
{
    struct attempt *attempt = &request->attempt;
    if (!attempt->parts_cleared &&
        CmTime_DiffMs(request->last_event_at, attempt->first_event_at) >=
            SURVIVED_MS) {
        attempt->parts_cleared = true;
        if (has_suspects(request->gateway)) {
            clear(request->gateway, PromptParts_Of(request), attempt->target,
                  request->parsed.id);
        }
    }
}

static void
survival_free(struct survival *survival)
{
    LIST_REMOVE(survival, link);
    event_free(survival->timer);
    CmTarget_Unref(survival->target);
    g_free(survival);
}

static void
on_survived(evutil_socket_t fd, short what, void *context)
{
    struct survival *survival = context;
    if (!CrashWatch_HasCrashed(survival->gateway, survival->target,
                               survival->since)) {
        clear(survival->gateway, &survival->parts, survival->target,
              survival->request);
    }
    survival_free(survival);
}

static bool
has_room(const struct gateway *gateway)
{
    size_t n = 0;
    const struct survival *survival;
    CmList_FOREACH (survival, &gateway->survivals, link) {
        n++;
    }
    return n < SURVIVALS_MAX;
}

void
PromptParts_CountCompleted(struct request *request)
{
    struct gateway *gateway = request->gateway;
    const struct attempt *attempt = &request->attempt;
    if (attempt->parts_cleared || !has_suspects(gateway) ||
        !has_room(gateway) || PromptParts_Of(request)->n == 0) {
        return;
    }
    struct timespec now = Gateway_Now(gateway);
    struct survival *survival = g_new0(struct survival, 1);
    survival->gateway = gateway;
    survival->target = CmTarget_Ref(attempt->target);
    survival->since =
        attempt->first_event_at.tv_sec != 0 ? attempt->first_event_at : now;
    g_strlcpy(survival->request, request->parsed.id,
              sizeof(survival->request));
    survival->parts = *request->parts;
    survival->timer = evtimer_new(gateway->base, on_survived, survival);
    struct timeval left = CmTime_Timeval(
        MAX(SURVIVED_MS - CmTime_DiffMs(now, survival->since), 0));
    evtimer_add(survival->timer, &left);
    LIST_INSERT_HEAD(&gateway->survivals, survival, link);
}

void
PromptParts_Init(struct gateway *gateway)
{
    LIST_INIT(&gateway->survivals);
}

void
PromptParts_Finish(struct gateway *gateway)
{
    struct survival *survival;
    while ((survival = LIST_FIRST(&gateway->survivals)) != NULL) {
        survival_free(survival);
    }
}
