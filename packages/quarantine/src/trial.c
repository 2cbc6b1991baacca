/// @file trial.c
/// Grants of trials.

#include "quarantine/trial.h"

#include "base/clock.h"

static bool
is_under_way(const struct cm_suspect *suspect, struct timespec now)
{
    return suspect->trials > suspect->trial_crashes &&
           CmTime_DiffMs(now, suspect->last_trial) < CM_TRIAL_TIMEOUT_MS;
}

enum cm_trial_step
CmTrial_NextStep(const struct cm_suspect *suspect, struct timespec now)
{
    if (suspect == NULL) {
        return CM_TRIAL_NOT_NEEDED;
    }
    if (suspect->refused) {
        return CM_TRIAL_REFUSE;
    }
    if (!suspect->on_trial) {
        return CM_TRIAL_NOT_NEEDED;
    }
    bool spent = suspect->trials >= CM_TRIALS_MAX;
    return spent && !is_under_way(suspect, now) ? CM_TRIAL_REFUSE
                                                : CM_TRIAL_CLAIM;
}

bool
CmTrial_Grant(struct cm_gossip *gossip, const char *content,
              const char *claimant, uint64_t claim_id, struct timespec now)
{
    if (g_hash_table_contains(gossip->quarantine->by_id, &claim_id)) {
        return true;
    }
    const struct cm_suspect *suspect =
        CmQuarantine_Find(gossip->quarantine, content);
    if (CmTrial_NextStep(suspect, now) != CM_TRIAL_CLAIM ||
        is_under_way(suspect, now)) {
        return false;
    }
    struct cm_crash_record *record =
        CmCrashRecord_New(CM_CRASH_RECORD_TRIAL, claim_id, "", claimant, now);
    CmCrashRecord_AddContent(record, content);
    CmGossip_Observe(gossip, record, now);
    return true;
}

void
CmTrial_GiveBack(struct cm_gossip *gossip, const char *content,
                 struct timespec now)
{
    uint64_t id = ((uint64_t)g_rand_int(gossip->random) << 32) |
                  g_rand_int(gossip->random);
    struct cm_crash_record *record = CmCrashRecord_New(
        CM_CRASH_RECORD_UNUSED, id, "", gossip->roster.self.address, now);
    CmCrashRecord_AddContent(record, content);
    CmGossip_Observe(gossip, record, now);
}

bool
CmTrial_IsReplaceable(const struct cm_suspect *suspect)
{
    return suspect != NULL &&
           suspect->late_grants <= CM_TRIAL_REPLACED_GRANTS_MAX;
}

void
CmTrial_ComposeClaim(struct cm_gossip *gossip, const char *content,
                     uint64_t claim_id, struct timespec now,
                     struct cm_exchange *claim)
{
    CmGossip_ComposePoll(gossip, now, claim);
    claim->claim_id = claim_id;
    g_strlcpy(claim->claim, content, sizeof(claim->claim));
}
