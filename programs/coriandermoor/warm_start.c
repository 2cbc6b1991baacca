/// @file warm_start.c
/// Snapshot of the adapters' request rates in the object API, and prefetches
/// into empty slots.

#include "warm_start.h"

#include <string.h>

#include "base/log.h"
#include "links.h"
#include "placement/snapshot.h"

#define SNAPSHOT_KIND "popularity"
#define SNAPSHOT_NAME "current"
/// Age of the stored snapshot from which an entry replaces it.
#define SNAPSHOT_MAX_AGE_MS 60000
/// Shortest time between two reads of the stored snapshot.
#define CHECK_INTERVAL_MIN_MS 20000
/// Time between two reads per stored adapter: each read fetches all of them,
/// so the interval grows with their number.
#define CHECK_MS_PER_ADAPTER 15
/// Most prefetches of one service in one call of WarmStart_Prefetch().
#define PREFETCHES_PER_CALL_MAX 16
/// Lowest request rate of an adapter that is prefetched.
#define PREFETCH_RATE_MIN_RPS 0.003

static void
load_service(struct entry *entry, const char *name, const json_t *rates)
{
    struct cm_route_service *service =
        CmRouter_FindOrAddService(&entry->router, name, true);
    double factor =
        1 / (entry->router.live_entries > 1 ? entry->router.live_entries : 1);
    if (CmSnapshot_Decode(rates, &service->popularity, Entry_Now(entry),
                          factor) != CM_SNAPSHOT_RESTORED) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "warm start", NULL,
                    "snapshot of service %s is invalid; starting without its "
                    "request rates",
                    name);
    }
}

static void
load_snapshot(struct entry *entry, const json_t *spec)
{
    json_int_t format = json_integer_value(json_object_get(spec, "format"));
    json_t *services = json_object_get(spec, "services");
    if (format > CM_SNAPSHOT_FORMAT) {
        CmLog_Event(
            G_LOG_LEVEL_WARNING, "warm start", NULL,
            "snapshot has a newer format; starting without request rates");
        return;
    }
    if (format != CM_SNAPSHOT_FORMAT || !json_is_object(services)) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "warm start", NULL,
                    "snapshot is invalid; starting without request rates");
        return;
    }
    const char *name;
    json_t *rates;
    json_object_foreach(services, name, rates)
    {
        load_service(entry, name, rates);
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "warm start", NULL,
                "loaded the snapshot of %zu services",
                json_object_size(services));
}

static json_t *
make_snapshot(struct entry *entry)
{
    json_t *services = json_object();
    const struct cm_route_service *service;
    CmList_FOREACH (service, &entry->router.services, link) {
        if (service->engines) {
            json_object_set_new(services, service->name,
                                CmSnapshot_Encode(&service->popularity,
                                                  Entry_Now(entry),
                                                  entry->router.live_entries));
        }
    }
    return json_pack("{s:i,s:I,s:o}", "format", CM_SNAPSHOT_FORMAT, "at",
                     (json_int_t)CmClock_WallMs(entry->clock), "services",
                     services);
}

/// Replaces the version that was read. If several entries try, the object API
/// accepts one write.
static void
write_snapshot(struct entry *entry, const char *version)
{
    struct cm_objects *objects = &entry->objects.base;
    struct warm_start *warm = &entry->warm_start;
    json_t *object = CmObject_New(version, make_snapshot(entry));
    warm->writing = true;
    if (version == NULL) {
        objects->ops->create(objects, &warm->call, SNAPSHOT_KIND,
                             SNAPSHOT_NAME, object);
    }
    else {
        objects->ops->update(objects, &warm->call, SNAPSHOT_KIND,
                             SNAPSHOT_NAME, object);
    }
    json_decref(object);
}

static size_t
count_adapters(const json_t *spec)
{
    size_t count = 0;
    const char *name;
    json_t *rates;
    json_object_foreach(json_object_get(spec, "services"), name, rates)
    {
        count += json_array_size(rates);
    }
    return count;
}

static void
handle_result(void *context, enum cm_object_result result, json_t *object)
{
    struct entry *entry = context;
    struct warm_start *warm = &entry->warm_start;
    if (warm->writing) {
        // After a failed write, the next read still finds an old snapshot and
        // writes again.
        warm->writing = false;
        return;
    }
    if (result != CM_OBJECT_OK && result != CM_OBJECT_NOT_FOUND) {
        return;
    }
    const json_t *spec = CmObject_Spec(object);
    warm->adapter_count = count_adapters(spec);
    bool first = !warm->loaded;
    warm->loaded = true;
    if (first) {
        if (result == CM_OBJECT_OK) {
            load_snapshot(entry, spec);
        }
        return;
    }
    json_int_t at = json_integer_value(json_object_get(spec, "at"));
    json_int_t format = json_integer_value(json_object_get(spec, "format"));
    bool outdated = CmClock_WallMs(entry->clock) - at >= SNAPSHOT_MAX_AGE_MS;
    if (outdated && format <= CM_SNAPSHOT_FORMAT) {
        write_snapshot(entry, CmObject_Version(object));
    }
}

void
WarmStart_Init(struct entry *entry)
{
    CmObjectCall_Init(&entry->warm_start.call, handle_result, entry);
}

void
WarmStart_Finish(struct entry *entry)
{
    CmObjectCall_Finish(&entry->objects.base, &entry->warm_start.call);
}

static int64_t
check_interval_ms(const struct warm_start *warm)
{
    int64_t interval_ms = (int64_t)warm->adapter_count * CHECK_MS_PER_ADAPTER;
    return interval_ms > CHECK_INTERVAL_MIN_MS ? interval_ms
                                               : CHECK_INTERVAL_MIN_MS;
}

void
WarmStart_SyncSnapshot(struct entry *entry)
{
    struct warm_start *warm = &entry->warm_start;
    struct timespec now = Entry_Now(entry);
    int64_t since_ms = CmTime_DiffMs(now, warm->checked_at);
    bool due = !warm->loaded || since_ms >= check_interval_ms(warm);
    if (!due || warm->call.active || !entry->has_instance_list) {
        return;
    }
    warm->checked_at = now;
    struct cm_objects *objects = &entry->objects.base;
    objects->ops->get(objects, &warm->call, SNAPSHOT_KIND, SNAPSHOT_NAME);
}

static size_t
empty_slots(const struct cm_route_target *target)
{
    uint64_t resident = target->adapters->len;
    return target->usable && target->slot_count > resident
               ? (size_t)(target->slot_count - resident)
               : 0;
}

static size_t
count_empty_slots(const struct cm_route_service *service)
{
    size_t count = 0;
    for (guint i = 0; i < service->usable->len; i++) {
        count += empty_slots(g_ptr_array_index(service->usable, i));
    }
    return count;
}

/// Sends a prefetch to the adapter's first preferred engine with an empty
/// slot.
/// @return whether there is one.
static bool
prefetch(struct entry *entry, struct cm_route_service *service,
         const char *adapter)
{
    struct cm_route_adapter *routed =
        CmRouter_FindOrAddAdapter(service, adapter);
    CmRouter_FindPreferred(&entry->router, service, routed, Entry_Now(entry));
    for (size_t i = 0; i < routed->n_preferred; i++) {
        struct cm_route_target *engine = routed->preferred[i];
        struct agent_link *link = Links_FindByTarget(entry, engine);
        if (empty_slots(engine) == 0 || link == NULL) {
            continue;
        }
        struct cm_message message = {.type = CM_MSG_PREFETCH};
        message.prefetch.adapter = CmBytes_FromText(adapter);
        Link_Send(link, &message);
        CmLog_Decision("placement", NULL, adapter, engine->name, "",
                       "popular, and its preferred engine has an empty slot");
        return true;
    }
    return false;
}

static void
fill_slots(struct entry *entry, struct cm_route_service *service)
{
    size_t empty_count = count_empty_slots(service);
    if (empty_count == 0) {
        return;
    }
    GArray *rates = CmSnapshot_Rank(&service->popularity, Entry_Now(entry),
                                    PREFETCH_RATE_MIN_RPS);
    size_t sent = 0;
    for (guint i = 0; i < rates->len && sent < PREFETCHES_PER_CALL_MAX; i++) {
        const char *adapter =
            g_array_index(rates, struct cm_adapter_rate, i).adapter;
        if (!CmRouter_HasCopy(service, adapter)) {
            sent += prefetch(entry, service, adapter);
        }
    }
    g_array_free(rates, TRUE);
}

void
WarmStart_Prefetch(struct entry *entry)
{
    struct cm_route_service *service;
    CmList_FOREACH (service, &entry->router.services, link) {
        if (service->engines) {
            fill_slots(entry, service);
        }
    }
}
