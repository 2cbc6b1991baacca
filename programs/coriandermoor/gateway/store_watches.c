/// @file store_watches.c
/// Configuration, targets and adapter versions from the platform's store.

#include "store_watches.h"

#include <inttypes.h>

#include "base/log.h"
#include "catalog_codec.h"
#include "target_codec.h"

/// Pause between two watches of the configuration: a storm of changes still
/// comes into force well within its bound.
#define CATALOG_GAP_MS 50
/// Longest wait of the rare changes; an outage is noticed by the targets'.
#define RARE_WAIT_MS 15000
#define VERSION_GAP_MS 300
/// Pause between two watches of the targets, whose entries change with their
/// heartbeats, as a part of the time within which a leaving one must be known.
#define TARGET_GAP_SHARE 0.5
/// Longest wait for a change of the targets; the watch shows that the store
/// answers.
#define TARGET_WAIT_MS 800
/// Time for entries that lapsed during an outage of the store to come back.
#define RETURN_WAIT_MS 2500

/// Puts a configuration into force unless one as new is.
/// @return whether it is in force now.
static bool
put_catalog(struct gateway *gateway, struct cm_catalog *catalog)
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
    gateway->count.version.value = catalog->version;
    return true;
}

void
Feeds_TakeCatalog(struct gateway *gateway, const char *name,
                  const json_t *spec)
{
    GError *error = NULL;
    struct cm_catalog *catalog = CmCatalogCodec_Decode(spec, &error);
    if (catalog == NULL) {
        CmLog_Event(G_LOG_LEVEL_CRITICAL, "config", NULL,
                    "%s is not understood, the one in force stays: %s", name,
                    error->message);
        g_clear_error(&error);
        return;
    }
    if (put_catalog(gateway, catalog)) {
        json_decref(gateway->configuration);
        gateway->configuration = json_deep_copy(spec);
    }
}

static void
on_catalog(void *context, const char *name, const json_t *spec)
{
    Feeds_TakeCatalog(context, name, spec);
}

static void
on_catalog_removed(void *context, const char *name)
{
    CmLog_Event(G_LOG_LEVEL_WARNING, "config", NULL,
                "%s was removed, the one in force stays", name);
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

static void
on_target(void *context, const char *name, const json_t *spec)
{
    struct gateway *gateway = context;
    struct cm_target_info info;
    if (!CmTargetCodec_Decode(name, spec, &info)) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "targets", NULL,
                    "entry %s is no target's: skipped", name);
        CmTargets_Remove(&gateway->targets, name);
        return;
    }
    struct cm_live_target *known = CmTargets_Find(&gateway->targets, name);
    bool was_leaving = known != NULL && known->draining;
    struct cm_live_target *target = CmTargets_Update(&gateway->targets, &info);
    if (target == NULL) {
        return;
    }
    if (known != target) {
        target->model_missing_since = Gateway_Now(gateway);
        CmLog_Event(G_LOG_LEVEL_INFO, "targets", NULL,
                    "%s of %s at %s in %s is new", name, info.service,
                    info.address, info.zone);
    }
    if (info.draining && !was_leaving) {
        CmLog_Event(G_LOG_LEVEL_INFO, "targets", NULL,
                    "%s at %s leaves: no new work", name, info.address);
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
    CmTargets_Remove(&gateway->targets, name);
}

static void
on_targets_begin(void *context)
{
    CmTargets_BeginList(&((struct gateway *)context)->targets);
}

static void
on_removal(evutil_socket_t fd, short what, void *context)
{
    struct gateway *gateway = context;
    size_t removed = CmTargets_EndList(&gateway->targets);
    if (removed > 0) {
        CmLog_Event(G_LOG_LEVEL_INFO, "targets", NULL,
                    "%zu targets are missing from the list: no new work",
                    removed);
    }
}

/// After an outage entries come back within a while: until then a missing
/// one may still be live.
static void
on_targets_listed(void *context)
{
    struct gateway *gateway = context;
    if (gateway->targets.count == 0) {
        return;
    }
    struct timeval wait = CmTime_Timeval(RETURN_WAIT_MS);
    evtimer_add(gateway->removal, &wait);
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
                    "%s has version %" PRId64, adapter, version);
    }
    CmTargets_SetVersion(&gateway->targets, adapter, version);
    g_free(adapter);
}

static void
on_version_removed(void *context, const char *name)
{
    CmLog_Event(G_LOG_LEVEL_INFO, "versions", NULL,
                "the record %s was removed, its version stays", name);
}

static struct cm_store_poll_timing
target_pace(const struct gateway *gateway)
{
    return (struct cm_store_poll_timing){
        (int64_t)((double)gateway->settings.drain_ms * TARGET_GAP_SHARE),
        TARGET_WAIT_MS};
}

void
Feeds_SetPace(struct gateway *gateway)
{
    gateway->target_feed.timing = target_pace(gateway);
}

void
Feeds_Init(struct gateway *gateway)
{
    static const struct cm_store_listener catalogs = {
        NULL, on_catalog, on_catalog_removed, NULL};
    static const struct cm_store_listener targets = {
        on_targets_begin, on_target, on_target_removed, on_targets_listed};
    static const struct cm_store_listener versions = {
        NULL, on_version, on_version_removed, NULL};
    struct cm_store_poll_timing rare = {CATALOG_GAP_MS, RARE_WAIT_MS};
    struct cm_store_poll_timing version = {VERSION_GAP_MS, RARE_WAIT_MS};
    struct cm_store_poll_timing target = target_pace(gateway);
    struct cm_store *store = &gateway->store;
    gateway->removal = evtimer_new(gateway->base, on_removal, gateway);
    CmStore_Init(store, &gateway->pool, gateway->settings.store);
    CmStoreWatch_Init(&gateway->catalog_feed, store, CM_STORE_CONFIGURATION,
                      rare, &catalogs, gateway);
    CmStoreWatch_Init(&gateway->target_feed, store, CM_STORE_TARGETS, target,
                      &targets, gateway);
    CmStoreWatch_Init(&gateway->version_feed, store, CM_STORE_ADAPTER_VERSIONS,
                      version, &versions, gateway);
}

void
Feeds_Finish(struct gateway *gateway)
{
    CmStoreWatch_Finish(&gateway->catalog_feed);
    CmStoreWatch_Finish(&gateway->target_feed);
    CmStoreWatch_Finish(&gateway->version_feed);
    event_free(gateway->removal);
}
