/// @file store_watches.c
/// Applies configuration, targets and adapter versions from the platform's
/// store.

#include "store_watches.h"

#include <inttypes.h>

#include "base/log.h"
#include "catalog_codec.h"
#include "crash_watch.h"
#include "peer_fetch.h"
#include "stream_versions.h"
#include "target_codec.h"

/// Pause between two watch calls for the configuration. Batches a burst of
/// changes, which still comes into force well within its time limit.
#define CATALOG_GAP_MS 50
/// Watch timeout for configuration and versions, which change rarely. The
/// target watch has a short timeout and detects a store outage.
#define SLOW_WATCH_TIMEOUT_MS 15000
/// Pause between two watch calls for adapter versions.
#define VERSION_GAP_MS 300
/// Pause between two watch calls for targets, as a share of the time within
/// which a draining target must be known (setting drain_ms). Batches the
/// heartbeats, as each of them changes a target's entry.
#define TARGET_GAP_SHARE 0.5
/// Watch timeout for targets. Short, as a call that returns also shows that
/// the store is reachable.
#define TARGET_WATCH_TIMEOUT_MS 800
/// Time for targets whose entries expired during a store outage to register
/// again.
#define REMOVAL_DELAY_MS 2500

/// Time after the store came back from an older copy in which it may list
/// targets that had left. By then their entries have expired.
#define OLD_ENTRIES_MS 5000
/// Time for which it is remembered that a target has left: more than the age
/// of a copy.
#define LEFT_TARGETS_MS 60000

/// Puts `catalog` into force if its version is higher than the current one,
/// otherwise frees it.
/// @return whether it is now in force.
static bool
replace_catalog(struct gateway *gateway, struct cm_catalog *catalog)
{
    int64_t known = gateway->catalog != NULL ? gateway->catalog->version : -1;
    if (catalog->version <= known) {
        if (catalog->version < known) {
            CmLog_Event(G_LOG_LEVEL_WARNING, "config", NULL,
                        "version %" PRId64 " is older than %" PRId64
                        " in force: ignored",
                        catalog->version, known);
        }
        CmCatalog_Unref(catalog);
        return false;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "config", NULL,
                "version %" PRId64 " replaces %" PRId64 ": %zu routes",
                catalog->version, known, catalog->n_routes);
    CmCatalog_Unref(gateway->catalog);
    gateway->catalog = catalog;
    gateway->count.config_version.value = catalog->version;
    return true;
}

void
StoreWatch_ApplyConfig(struct gateway *gateway, const char *name,
                       const json_t *spec)
{
    GError *error = NULL;
    struct cm_catalog *catalog = CmCatalogCodec_Decode(spec, &error);
    if (catalog == NULL) {
        CmLog_Event(G_LOG_LEVEL_CRITICAL, "config", NULL,
                    "configuration %s is invalid, the current one stays in "
                    "force: %s",
                    name, error->message);
        g_clear_error(&error);
        return;
    }
    if (replace_catalog(gateway, catalog)) {
        json_decref(gateway->config_json);
        gateway->config_json = json_deep_copy(spec);
    }
}

static void
on_catalog(void *context, const char *name, const json_t *spec)
{
    StoreWatch_ApplyConfig(context, name, spec);
}

static void
on_catalog_confirmed(void *context, struct timespec started_at)
{
    struct gateway *gateway = context;
    // A store that tells no era does not come back from older copies.
    if (gateway->peer_fetch.settled || gateway->store.era == 0) {
        CmConfigAge_Confirm(&gateway->config_age, started_at);
    }
    else {
        // The store may list a copy in which a withdrawn key is still there.
        gateway->peer_fetch.listed_at = started_at;
    }
}

static void
on_catalog_removed(void *context, const char *name)
{
    CmLog_Event(G_LOG_LEVEL_WARNING, "config", NULL,
                "configuration %s was removed from the store, the current one "
                "stays in force",
                name);
}

struct adapter_context {
    struct gateway *gateway;
    struct cm_live_target *target;
};

static void
on_listed_adapter(void *context, const char *adapter, int64_t version)
{
    struct adapter_context *listed = context;
    CmTarget_ListAdapter(listed->target, adapter,
                         Gateway_Now(listed->gateway));
}

/// Names an incarnation: an id alone may be used again.
static char *
incarnation_key(const char *id, int64_t started_ms)
{
    return g_strdup_printf("%s/%" PRId64, id, started_ms);
}

static gboolean
left_long_ago(void *key, void *value, void *now)
{
    return CmTime_DiffMs(*(struct timespec *)now, *(struct timespec *)value) >
           LEFT_TARGETS_MS;
}

/// Remembers that the store no longer lists a target.
static void
remember_left(struct gateway *gateway, const struct cm_live_target *target)
{
    struct timespec *left_at = g_new(struct timespec, 1);
    *left_at = Gateway_Now(gateway);
    g_hash_table_foreach_remove(gateway->left_targets, left_long_ago, left_at);
    g_hash_table_replace(gateway->left_targets,
                         incarnation_key(target->id, target->started_ms),
                         left_at);
}

/// @return whether the entry is of a target that had left before the store
/// came back from an older copy. Its list shows such targets until they
/// expire.
static bool
is_old_entry(const struct gateway *gateway, const struct cm_target_info *info)
{
    if (!gateway->listing_targets || gateway->restored_at.tv_sec == 0 ||
        CmTime_DiffMs(Gateway_Now(gateway), gateway->restored_at) >=
            OLD_ENTRIES_MS) {
        return false;
    }
    char *key = incarnation_key(info->id, info->started_ms);
    bool left = g_hash_table_contains(gateway->left_targets, key);
    g_free(key);
    return left;
}

static void
on_target(void *context, const char *name, const json_t *spec)
{
    struct gateway *gateway = context;
    struct cm_target_info info;
    if (!CmTargetCodec_Decode(name, spec, &info)) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "targets", NULL,
                    "store entry %s is not a valid target: no new work", name);
        CmTargets_Remove(&gateway->targets, name);
        return;
    }
    struct cm_live_target *known = CmTargets_Find(&gateway->targets, name);
    if (known == NULL && is_old_entry(gateway, &info)) {
        CmLog_Event(G_LOG_LEVEL_INFO, "targets", NULL,
                    "%s had left before the store came back: no work until "
                    "its entry is written again or does not expire",
                    name);
        gateway->skipped_targets = true;
        return;
    }
    bool was_draining = known != NULL && known->draining;
    struct cm_live_target *target = CmTargets_Update(&gateway->targets, &info);
    if (target == NULL) {
        return;
    }
    if (target->is_new) {
        CrashWatch_CountStart(gateway, target);
        target->model_missing_since = Gateway_Now(gateway);
        CmLog_Event(G_LOG_LEVEL_INFO, "targets", NULL,
                    "new target %s of service %s at %s in zone %s, software "
                    "version %s",
                    name, info.service, info.address, info.zone,
                    info.software);
    }
    if (info.draining && !was_draining) {
        CmLog_Event(G_LOG_LEVEL_INFO, "targets", NULL,
                    "%s at %s is draining: no new work", name, info.address);
    }
    struct adapter_context listed = {gateway, target};
    CmTarget_BeginAdapterList(target);
    CmTargetCodec_EachAdapter(spec, on_listed_adapter, &listed);
    CmTarget_EndAdapterList(target, Gateway_Now(gateway));
}

static void
on_target_removed(void *context, const char *name)
{
    struct gateway *gateway = context;
    CmLog_Event(G_LOG_LEVEL_INFO, "targets", NULL,
                "%s is no longer listed: no new work", name);
    const struct cm_live_target *target =
        CmTargets_Find(&gateway->targets, name);
    if (target != NULL) {
        remember_left(gateway, target);
    }
    CmTargets_Remove(&gateway->targets, name);
}

static void
on_targets_begin(void *context)
{
    struct gateway *gateway = context;
    gateway->listing_targets = true;
    gateway->skipped_targets = false;
    CmTargets_BeginList(&gateway->targets);
}

static void
on_removal(evutil_socket_t fd, short what, void *context)
{
    struct gateway *gateway = context;
    size_t removed = CmTargets_EndList(&gateway->targets);
    if (removed > 0) {
        CmLog_Event(
            G_LOG_LEVEL_INFO, "targets", NULL,
            "%zu targets are missing from the store's list: no new work",
            removed);
    }
}

/// Delays the removal of unlisted targets: after a store outage a missing
/// target may be live and register again.
static void
on_targets_listed(void *context)
{
    struct gateway *gateway = context;
    gateway->listing_targets = false;
    if (gateway->skipped_targets) {
        CmStoreWatch_ListAgain(&gateway->target_watch, OLD_ENTRIES_MS);
    }
    if (gateway->targets.count == 0) {
        return;
    }
    struct timeval wait = CmTime_Timeval(REMOVAL_DELAY_MS);
    evtimer_add(gateway->removal_timer, &wait);
}

static void
on_targets_confirmed(void *context, struct timespec started_at)
{
    struct gateway *gateway = context;
    gateway->targets_confirmed_at = started_at;
    StreamVersions_HandleList(gateway);
}

static void
on_version(void *context, const char *name, const json_t *spec)
{
    struct gateway *gateway = context;
    char *adapter;
    int64_t version;
    if (!CmTargetCodec_DecodeVersion(spec, &adapter, &version)) {
        return;
    }
    if (version > CmTargets_Version(&gateway->targets, adapter)) {
        CmLog_Event(G_LOG_LEVEL_INFO, "versions", NULL,
                    "adapter %s has version %" PRId64, adapter, version);
    }
    CmTargets_SetVersion(&gateway->targets, adapter, version);
    g_free(adapter);
}

static void
on_version_removed(void *context, const char *name)
{
    CmLog_Event(G_LOG_LEVEL_INFO, "versions", NULL,
                "version record %s was removed from the store, the known "
                "version stays",
                name);
}

static void
on_era_changed(void *context, int64_t era)
{
    struct gateway *gateway = context;
    gateway->restored_at = Gateway_Now(gateway);
    if (gateway->catalog != NULL && gateway->catalog->accounts != NULL) {
        PeerFetch_AskAgain(gateway);
    }
    gateway->count.store_restores.value++;
    CmLog_Event(G_LOG_LEVEL_WARNING, "store", NULL,
                "the store came back from an older copy, era %" PRId64
                " begins: listing everything again",
                era);
}

static void
on_era_listed(void *context, const struct cm_store_restoration *changes)
{
    CmLog_Event(G_LOG_LEVEL_WARNING, "store", NULL,
                "era %" PRId64 " (before: %" PRId64 "): %s listed at revision "
                "%" PRId64 " (before: %" PRId64 "), %zu are gone, %zu new, "
                "%zu changed",
                changes->era, changes->previous_era, changes->kind,
                changes->revision, changes->previous_revision,
                changes->n_missing, changes->n_new, changes->n_changed);
}

/// Where withdrawn keys must be refused in time, calls end well before that:
/// only an answer shows that the configuration is still the latest.
static struct cm_store_poll_timing
catalog_timing(const struct gateway *gateway)
{
    const struct cm_gateway_settings *settings = &gateway->settings;
    int64_t wait_ms = SLOW_WATCH_TIMEOUT_MS;
    // The candidates ask the store; the others learn from them how old the
    // configuration is, and ask themselves if they don't.
    const struct cm_roster *roster = &gateway->gossip.roster;
    if (settings->strict_revoke && (CmRosterPeer_IsCandidate(&roster->self) ||
                                    CmRoster_CountCandidates(roster) == 0)) {
        wait_ms = MIN(wait_ms,
                      (int64_t)(settings->revoke_ms * CM_CONFIG_WAIT_SHARE));
    }
    return (struct cm_store_poll_timing){CATALOG_GAP_MS, wait_ms};
}

static struct cm_store_poll_timing
target_timing(const struct gateway *gateway)
{
    return (struct cm_store_poll_timing){
        (int64_t)(gateway->settings.drain_ms * TARGET_GAP_SHARE),
        TARGET_WATCH_TIMEOUT_MS};
}

void
StoreWatch_UpdateTiming(struct gateway *gateway)
{
    gateway->target_watch.timing = target_timing(gateway);
    gateway->catalog_watch.timing = catalog_timing(gateway);
}

void
StoreWatch_Init(struct gateway *gateway)
{
    static const struct cm_store_listener catalogs = {
        NULL, on_catalog, on_catalog_removed, NULL, on_catalog_confirmed};
    static const struct cm_store_listener targets = {
        on_targets_begin, on_target, on_target_removed, on_targets_listed,
        on_targets_confirmed};
    static const struct cm_store_listener versions = {
        NULL, on_version, on_version_removed, NULL, NULL};
    struct cm_store_poll_timing catalog = catalog_timing(gateway);
    struct cm_store_poll_timing version = {VERSION_GAP_MS,
                                           SLOW_WATCH_TIMEOUT_MS};
    struct cm_store_poll_timing target = target_timing(gateway);
    struct cm_store *store = &gateway->store;
    gateway->left_targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gateway->removal_timer = evtimer_new(gateway->base, on_removal, gateway);
    static const struct cm_store_era_listener eras = {on_era_changed,
                                                      on_era_listed};
    CmStore_Init(store, &gateway->pool, gateway->settings.store);
    CmStore_SetEraListener(store, &eras, gateway);
    CmStoreWatch_Init(&gateway->catalog_watch, store, CM_STORE_CONFIGURATION,
                      catalog, &catalogs, gateway);
    CmStoreWatch_Init(&gateway->target_watch, store, CM_STORE_TARGETS, target,
                      &targets, gateway);
    CmStoreWatch_Init(&gateway->version_watch, store,
                      CM_STORE_ADAPTER_VERSIONS, version, &versions, gateway);
}

void
StoreWatch_Finish(struct gateway *gateway)
{
    CmStoreWatch_Finish(&gateway->catalog_watch);
    CmStoreWatch_Finish(&gateway->target_watch);
    CmStoreWatch_Finish(&gateway->version_watch);
    event_free(gateway->removal_timer);
    g_hash_table_destroy(gateway->left_targets);
}
