/// @file admission.c
/// Client accounts of requests.

#include "admission.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "peer_fetch.h"
#include "request.h"

bool
Admission_AcceptsKeys(struct gateway *gateway)
{
    const struct cm_catalog *catalog = gateway->catalog;
    if (catalog == NULL || catalog->accounts == NULL) {
        return true;
    }
    const struct cm_gateway_settings *settings = &gateway->settings;
    gateway->config_age.doubtful = gateway->store.era > 0 &&
                                   !gateway->peer_fetch.settled &&
                                   !gateway->config_age.confirmed;
    return CmConfigAge_AllowsKeys(
        &gateway->config_age,
        settings->strict_revoke ? (int64_t)settings->revoke_ms : 0,
        CmClock_BootTime(gateway->clock));
}

/// @return age of the configuration from which the store is asked anew, and
/// other gateways no longer rely on this one.
static int64_t
refresh_age_ms(const struct gateway *gateway)
{
    return (int64_t)(gateway->settings.revoke_ms *
                     CM_CONFIG_AGE_REFRESH_SHARE);
}

bool
Admission_IsConfirmed(struct gateway *gateway)
{
    return Admission_AcceptsKeys(gateway) &&
           (!gateway->settings.strict_revoke ||
            CmConfigAge_Ms(&gateway->config_age,
                           CmClock_BootTime(gateway->clock)) <=
                refresh_age_ms(gateway));
}

/// @return whether requests of the route need a key.
static bool
needs_key(const struct cm_catalog *catalog, const struct cm_route *route)
{
    return catalog->accounts != NULL && !route->is_public;
}

static const char *
find_key(const struct request *request)
{
    return CmCallCodec_FindKey(CmH1Conn_Head(&request->caller->conn));
}

/// Sets the priority where the configuration has client accounts.
/// @param first priority of the account, or of the route if it has none.
static void
set_rank(struct request *request, int64_t first)
{
    const struct cm_priority_ranks *ranks = &request->catalog->ranks;
    request->priority =
        CmPriorityRanks_Of(ranks, first, request->route->priority);
    request->engine_priority = CmPriorityRanks_Level(ranks, request->priority);
}

enum admission
Admission_Identify(struct request *request)
{
    request->account = NULL;
    request->priority = request->route->priority;
    request->engine_priority = MIN(request->priority, CM_PRIORITY_LEVELS - 1);
    if (request->catalog->accounts != NULL) {
        set_rank(request, request->route->priority);
    }
    if (!needs_key(request->catalog, request->route)) {
        return ADMISSION_GRANTED;
    }
    // An unknown key may be a new one.
    if (!Admission_AcceptsKeys(request->gateway)) {
        return ADMISSION_TOO_OLD;
    }
    const char *key = find_key(request);
    request->account =
        key != NULL ? CmAccounts_FindByKey(request->catalog->accounts, key)
                    : NULL;
    if (request->account == NULL) {
        return ADMISSION_NO_KEY;
    }
    if (request->account->priority != CM_ACCOUNT_NO_PRIORITY) {
        set_rank(request, request->account->priority);
    }
    return ADMISSION_GRANTED;
}

enum admission
Admission_Recheck(const struct request *request)
{
    const struct gateway *gateway = request->gateway;
    const struct cm_catalog *latest = gateway->catalog;
    if (request->account == NULL || latest->accounts == NULL) {
        return ADMISSION_GRANTED;
    }
    if (!Admission_AcceptsKeys(request->gateway)) {
        return ADMISSION_TOO_OLD;
    }
    if (latest == request->catalog) {
        return ADMISSION_GRANTED;
    }
    const char *key = find_key(request);
    const struct cm_account *account =
        key != NULL ? CmAccounts_FindByKey(latest->accounts, key) : NULL;
    return account != NULL &&
                   strcmp(account->name, request->account->name) == 0
               ? ADMISSION_GRANTED
               : ADMISSION_NO_KEY;
}

const char *
Admission_Reason(enum admission admission)
{
    switch (admission) {
    case ADMISSION_NO_KEY:
        return "the key is missing, unknown or withdrawn";
    case ADMISSION_TOO_OLD:
        return "the configuration is too old to accept keys";
    default:
        return "";
    }
}

void
Admission_LearnAge(struct gateway *gateway, int64_t version, int64_t age_ms,
                   struct timespec asked_at)
{
    if (gateway->catalog == NULL || age_ms < 0 ||
        version < gateway->catalog->version) {
        return;
    }
    if (version == gateway->catalog->version) {
        CmConfigAge_Confirm(&gateway->config_age,
                            CmTime_AddMs(asked_at, -age_ms));
        return;
    }
    // The store may have told the other gateway a moment earlier.
    if (!Admission_IsConfirmed(gateway) || !gateway->catalog_watch.reachable) {
        PeerFetch_AskForFacts(gateway);
    }
}

/// Asks the store for the configuration if no other gateway tells in time that
/// it is still the latest.
static void
refresh(struct gateway *gateway)
{
    const struct cm_gateway_settings *settings = &gateway->settings;
    struct timespec now = CmClock_BootTime(gateway->clock);
    int64_t age_ms = CmConfigAge_Ms(&gateway->config_age, now);
    int64_t limit_ms = refresh_age_ms(gateway);
    if (settings->strict_revoke && gateway->catalog != NULL &&
        gateway->catalog->accounts != NULL && age_ms > limit_ms) {
        CmStoreWatch_Refresh(&gateway->catalog_watch, limit_ms);
    }
}

void
Admission_Tick(struct gateway *gateway)
{
    refresh(gateway);
    bool accepts = Admission_AcceptsKeys(gateway);
    gateway->count.config_age_ms.value =
        CmConfigAge_Ms(&gateway->config_age, CmClock_BootTime(gateway->clock));
    if (accepts == !gateway->rejects_keys) {
        return;
    }
    gateway->rejects_keys = !accepts;
    CmLog_Event(
        accepts ? G_LOG_LEVEL_INFO : G_LOG_LEVEL_WARNING, "accounts", NULL,
        "keys are %s: configuration %" PRId64 " was last confirmed %" PRId64
        " ms ago%s",
        accepts ? "accepted again" : "not accepted",
        gateway->count.config_version.value,
        gateway->count.config_age_ms.value,
        gateway->config_age.doubtful ? ", no other gateway was asked yet"
                                     : "");
}
