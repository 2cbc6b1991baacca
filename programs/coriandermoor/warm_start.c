/// @file warm_start.c
/// Popularity in the object API.

#include "warm_start.h"

#include <string.h>

#include "base/log.h"
#include "links.h"
#include "placement/snapshot.h"

#define KIND "popularity"
#define NAME "current"
/// Age of the stored snapshot from which an entry writes a new one.
#define SNAPSHOT_AGE_MS 60000
/// Time between two looks at the stored one.
#define LOOK_MIN_MS 20000
/// Share of an adapter in the time between two looks, as each one reads all.
#define LOOK_ADAPTER_MS 15
/// Prefetches an entry sends at most in one turn.
#define PREFETCHES_MAX 16
/// Least rate of an adapter that is fetched ahead, requests a second.
#define PREFETCH_RATE_MIN 0.003

static void
take_service(struct entry *entry, const char *name, const json_t *rates)
{
    struct cm_route_service *service =
        CmRouter_FindOrAddService(&entry->router, name, true);
    double factor =
        1 / (entry->router.live_entries > 1 ? entry->router.live_entries : 1);
    if (CmSnapshot_Decode(rates, &service->popularity, Entry_Now(entry),
                          factor) != CM_SNAPSHOT_RESTORED) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "warm start", NULL,
                    "the snapshot of %s is damaged; starts cold", name);
    }
}

static void
take_snapshot(struct entry *entry, const json_t *spec)
{
    json_int_t format = json_integer_value(json_object_get(spec, "format"));
    json_t *services = json_object_get(spec, "services");
    if (format > CM_SNAPSHOT_FORMAT) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "warm start", NULL,
                    "the snapshot is of a later format; starts cold");
        return;
    }
    if (format != CM_SNAPSHOT_FORMAT || !json_is_object(services)) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "warm start", NULL,
                    "the snapshot is damaged; starts cold");
        return;
    }
    const char *name;
    json_t *rates;
    json_object_foreach(services, name, rates)
    {
        take_service(entry, name, rates);
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "warm start", NULL,
                "took the snapshot of %zu services",
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

/// Writes over the version that was read; of several entries one succeeds.
static void
write_snapshot(struct entry *entry, const char *version)
{
    struct cm_objects *objects = &entry->objects.base;
    struct warm_start *warm = &entry->warm;
    json_t *object = CmObject_New(version, make_snapshot(entry));
    warm->writing = true;
    if (version == NULL) {
        objects->ops->create(objects, &warm->call, KIND, NAME, object);
    }
    else {
        objects->ops->update(objects, &warm->call, KIND, NAME, object);
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
on_answer(void *context, enum cm_object_result result, json_t *object)
{
    struct entry *entry = context;
    struct warm_start *warm = &entry->warm;
    if (warm->writing) {
        warm->writing = false; // lost or refused: the next look tries again
        return;
    }
    if (result != CM_OBJECT_OK && result != CM_OBJECT_NOT_FOUND) {
        return;
    }
    const json_t *spec = CmObject_Spec(object);
    warm->lines = count_adapters(spec);
    bool first = !warm->read;
    warm->read = true;
    if (first) {
        if (result == CM_OBJECT_OK) {
            take_snapshot(entry, spec);
        }
        return;
    }
    json_int_t at = json_integer_value(json_object_get(spec, "at"));
    json_int_t format = json_integer_value(json_object_get(spec, "format"));
    bool old = CmClock_WallMs(entry->clock) - at >= SNAPSHOT_AGE_MS;
    if (old && format <= CM_SNAPSHOT_FORMAT) {
        write_snapshot(entry, CmObject_Version(object));
    }
}

void
WarmStart_Init(struct entry *entry)
{
    CmObjectCall_Init(&entry->warm.call, on_answer, entry);
}

void
WarmStart_Finish(struct entry *entry)
{
    CmObjectCall_Finish(&entry->objects.base, &entry->warm.call);
}

static int64_t
look_interval_ms(const struct warm_start *warm)
{
    int64_t interval_ms = (int64_t)warm->lines * LOOK_ADAPTER_MS;
    return interval_ms > LOOK_MIN_MS ? interval_ms : LOOK_MIN_MS;
}

void
WarmStart_Tick(struct entry *entry)
{
    struct warm_start *warm = &entry->warm;
    struct timespec now = Entry_Now(entry);
    int64_t since_ms = CmTime_DiffMs(now, warm->looked);
    bool due = !warm->read || since_ms >= look_interval_ms(warm);
    if (!due || warm->call.active || !entry->listed_once) {
        return;
    }
    warm->looked = now;
    struct cm_objects *objects = &entry->objects.base;
    objects->ops->get(objects, &warm->call, KIND, NAME);
}

static size_t
empty_slots(const struct cm_route_target *target)
{
    uint64_t held = target->adapters->len;
    return target->usable && target->slot_count > held
               ? (size_t)(target->slot_count - held)
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

/// Sends the adapter to the first of its homes with an empty slot.
static bool
prefetch(struct entry *entry, struct cm_route_service *service,
         const char *adapter)
{
    struct cm_route_adapter *routed =
        CmRouter_FindOrAddAdapter(service, adapter);
    CmRouter_FindPreferred(&entry->router, service, routed, Entry_Now(entry));
    for (size_t i = 0; i < routed->n_preferred; i++) {
        struct cm_route_target *home = routed->preferred[i];
        struct agent_link *link = Links_Find(entry, home);
        if (empty_slots(home) == 0 || link == NULL) {
            continue;
        }
        struct cm_message message = {.type = CM_MSG_PREFETCH};
        message.prefetch.adapter = CmBytes_FromText(adapter);
        Link_Send(link, &message);
        CmLog_Decision("placement", NULL, adapter, home->name, "",
                       "popular, and a slot is empty");
        return true;
    }
    return false;
}

static void
fill_slots(struct entry *entry, struct cm_route_service *service)
{
    size_t empty = count_empty_slots(service);
    if (empty == 0) {
        return;
    }
    GArray *rates = CmSnapshot_Rank(&service->popularity, Entry_Now(entry),
                                    PREFETCH_RATE_MIN);
    size_t sent = 0;
    for (guint i = 0; i < rates->len && sent < PREFETCHES_MAX; i++) {
        const char *adapter =
            g_array_index(rates, struct cm_adapter_rate, i).adapter;
        if (!CmRouter_IsResident(service, adapter)) {
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
