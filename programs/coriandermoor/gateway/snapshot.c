/// @file snapshot.c
/// Encodes and applies snapshots of a gateway's state.

#include "snapshot.h"

#include "base/log.h"
#include "dispatch/notices.h"
#include "store_watches.h"
#include "target_codec.h"

/// @return the adapters in the target's slots, without those that are still
/// loading.
static json_t *
compose_resident(const struct cm_live_target *target)
{
    json_t *resident = json_array();
    GHashTableIter iter;
    void *adapter;
    void *copy;
    g_hash_table_iter_init(&iter, target->copies);
    while (g_hash_table_iter_next(&iter, &adapter, &copy)) {
        if (((struct cm_adapter_copy *)copy)->resident) {
            json_array_append_new(resident, json_string(adapter));
        }
    }
    return resident;
}

static json_t *
compose_target(const struct cm_live_target *target)
{
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:b,s:b,s:b,s:o}", "id", target->id,
        "service", target->service, "address", target->address, "zone",
        target->zone, "software", target->software, "slots",
        (json_int_t)target->max_requests, "started_ms",
        (json_int_t)target->started_ms, "draining",
        (int)CmTarget_IsLeaving(target), "is_engine", (int)target->is_engine,
        "has_model", (int)target->has_model, "held", compose_resident(target));
}

static json_t *
compose_versions(const struct cm_targets *targets)
{
    json_t *versions = json_object();
    GHashTableIter iter;
    void *adapter;
    void *version;
    g_hash_table_iter_init(&iter, targets->versions);
    while (g_hash_table_iter_next(&iter, &adapter, &version)) {
        json_object_set_new(versions, adapter,
                            json_integer(*(const int64_t *)version));
    }
    return versions;
}

char *
Snapshot_Compose(const struct gateway *gateway)
{
    if (!Gateway_CanServe(gateway)) {
        return NULL;
    }
    json_t *targets = json_array();
    const struct cm_live_target *target;
    CmList_FOREACH (target, &gateway->targets.list, link) {
        json_array_append_new(targets, compose_target(target));
    }
    json_t *snapshot =
        json_pack("{s:I,s:O,s:o,s:o}", "era", (json_int_t)gateway->store.era,
                  "configuration", gateway->config_json, "targets", targets,
                  "versions", compose_versions(&gateway->targets));
    char *text = json_dumps(snapshot, JSON_COMPACT);
    json_decref(snapshot);
    return text;
}

char *
Snapshot_ComposeFacts(const struct gateway *gateway)
{
    if (!Gateway_CanServe(gateway)) {
        return NULL;
    }
    json_t *draining = json_array();
    const struct cm_live_target *target;
    CmList_FOREACH (target, &gateway->targets.list, link) {
        if (CmTarget_IsLeaving(target)) {
            json_array_append_new(draining,
                                  json_pack("{s:s,s:I}", "id", target->id,
                                            "started_ms",
                                            (json_int_t)target->started_ms));
        }
    }
    json_t *facts =
        json_pack("{s:I,s:O,s:o,s:o}", "era", (json_int_t)gateway->store.era,
                  "configuration", gateway->config_json, "draining", draining,
                  "versions", compose_versions(&gateway->targets));
    char *text = json_dumps(facts, JSON_COMPACT);
    json_decref(facts);
    return text;
}

static void
apply_target(struct gateway *gateway, const json_t *entry)
{
    struct cm_target_info info = {0};
    json_int_t slots;
    json_int_t started_ms;
    int draining;
    int is_engine = 0;
    int has_model;
    const json_t *resident;
    // json_unpack() takes a non-const pointer, but doesn't modify the value.
    if (json_unpack(
            (json_t *)entry, "{s:s,s:s,s:s,s:s,s?s,s:I,s:I,s:b,s?b,s:b,s:o}",
            "id", &info.id, "service", &info.service, "address", &info.address,
            "zone", &info.zone, "software", &info.software, "slots", &slots,
            "started_ms", &started_ms, "draining", &draining, "is_engine",
            &is_engine, "has_model", &has_model, "held", &resident) != 0 ||
        info.id[0] == '\0' || slots <= 0 ||
        !CmTargetCodec_IsAddress(info.address)) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "peers", NULL,
                    "a target in a peer gateway's snapshot is malformed: "
                    "skipped");
        return;
    }
    info.max_requests = slots;
    info.started_ms = started_ms;
    info.draining = draining != 0;
    info.is_engine = is_engine != 0;
    info.has_model = has_model != 0;
    struct cm_live_target *target = CmTargets_Update(&gateway->targets, &info);
    // `target` is NULL if a newer target has taken its address.
    size_t i;
    json_t *adapter;
    json_array_foreach(resident, i, adapter)
    {
        if (target != NULL && json_is_string(adapter)) {
            CmTarget_SetResident(target, json_string_value(adapter), true,
                                 Gateway_Now(gateway));
        }
    }
}

static void
apply_versions(struct gateway *gateway, json_t *versions)
{
    const char *adapter;
    json_t *version;
    json_object_foreach(versions, adapter, version)
    {
        CmTargets_SetVersion(&gateway->targets, adapter,
                             json_integer_value(version));
    }
}

bool
Snapshot_ApplyFacts(struct gateway *gateway, const char *text, size_t size)
{
    json_t *facts = json_loadb(text, size, 0, NULL);
    const json_t *configuration = json_object_get(facts, "configuration");
    const json_t *draining = json_object_get(facts, "draining");
    json_t *versions = json_object_get(facts, "versions");
    // A gateway that has not heard of the store's return from an older copy
    // knows nothing that this one lacks.
    bool valid = json_is_object(configuration) && json_is_array(draining) &&
                 json_is_object(versions) &&
                 json_integer_value(json_object_get(facts, "era")) >=
                     gateway->store.era;
    if (valid) {
        StoreWatch_ApplyConfig(gateway, "from a peer gateway", configuration);
        apply_versions(gateway, versions);
        size_t i;
        json_t *entry;
        json_array_foreach(draining, i, entry)
        {
            const char *id = json_string_value(json_object_get(entry, "id"));
            struct cm_live_target *target =
                id != NULL ? CmTargets_Find(&gateway->targets, id) : NULL;
            if (target != NULL &&
                target->started_ms ==
                    json_integer_value(json_object_get(entry, "started_ms"))) {
                target->draining = true;
            }
        }
        CmStore_LearnEra(&gateway->store,
                         json_integer_value(json_object_get(facts, "era")));
    }
    json_decref(facts);
    return valid;
}

bool
Snapshot_Apply(struct gateway *gateway, const char *text, size_t size)
{
    // NULL if the text is no JSON; then the lookups return NULL as well.
    json_t *snapshot = json_loadb(text, size, 0, NULL);
    const json_t *configuration = json_object_get(snapshot, "configuration");
    const json_t *targets = json_object_get(snapshot, "targets");
    json_t *versions = json_object_get(snapshot, "versions");
    json_int_t era = json_integer_value(json_object_get(snapshot, "era"));
    // The targets of an earlier era may have left since.
    bool valid = json_is_object(configuration) && json_is_array(targets) &&
                 json_is_object(versions) && era >= gateway->store.era;
    if (valid) {
        CmStore_LearnEra(&gateway->store, era);
        StoreWatch_ApplyConfig(gateway, "from a peer gateway", configuration);
        size_t i;
        json_t *entry;
        json_array_foreach(targets, i, entry)
        {
            apply_target(gateway, entry);
        }
        apply_versions(gateway, versions);
    }
    json_decref(snapshot);
    return valid;
}
