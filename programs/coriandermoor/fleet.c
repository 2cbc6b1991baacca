/// @file fleet.c
/// Joins the instance list, the configuration and the router's targets.

#include "fleet.h"

#include <string.h>

#include "base/log.h"
#include "links.h"

#define POLL_MIN_MS 900
/// Share of a line of the list in the time between two reads; keeps them to
/// some eight kilobytes a second.
#define POLL_LINE_MS 14

static void
on_member_changed(void *context, struct cm_member *member)
{
    struct agent_link *link = member->owner;
    if (link == NULL) {
        return;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "membership", NULL, "%s is %s%s%s",
                member->name, CmMember_StateName(member->state),
                CmMember_IsDraining(member) ? ", leaving" : "",
                member->listed ? "" : ", not listed");
    Link_UpdateUsable(link);
}

static void
take_instance(struct entry *entry, const struct cm_instance *instance)
{
    if (strcmp(instance->role, "entry") == 0) {
        entry->entries += !instance->shutting_down;
        return;
    }
    if (strcmp(instance->role, "agent") != 0) {
        return;
    }
    struct cm_member *member = CmMembers_Find(&entry->members, instance->name);
    bool moved = member != NULL && member->owner != NULL &&
                 strcmp(member->endpoint, instance->address) != 0;
    member = CmMembers_UpdateListed(&entry->members, instance->name,
                                    instance->address, instance->zone,
                                    instance->shutting_down);
    if (member->owner == NULL) {
        Link_New(entry, member);
    }
    else if (moved) {
        Link_Close(member->owner);
    }
}

static void
on_instances(void *context, bool ok, const struct cm_instance *instances,
             size_t n)
{
    struct entry *entry = context;
    if (!ok) {
        return; // the last list stays: members speak for themselves
    }
    entry->listed_once = true;
    entry->list_lines = n;
    entry->entries = 0;
    CmMembers_BeginList(&entry->members);
    for (size_t i = 0; i < n; i++) {
        take_instance(entry, &instances[i]);
    }
    CmMembers_EndList(&entry->members);
    entry->router.live_entries =
        entry->entries > 0 ? (double)entry->entries : 1;
    Fleet_Sync(entry);
}

void
Fleet_Init(struct entry *entry)
{
    CmMembers_Init(&entry->members);
    entry->members.on_change = on_member_changed;
    entry->members.context = entry;
    LIST_INIT(&entry->links);
    CmHttpInstances_Init(&entry->instances, &entry->client,
                         entry->settings.platform, on_instances, entry);
}

void
Fleet_Finish(struct entry *entry)
{
    struct agent_link *link;
    while ((link = LIST_FIRST(&entry->links)) != NULL) {
        Link_Free(link);
    }
    CmHttpInstances_Finish(&entry->instances);
    CmMembers_Finish(&entry->members);
}

/// The list is read whole: the longer it is, the less often.
static int64_t
poll_interval_ms(const struct entry *entry)
{
    int64_t interval_ms = (int64_t)entry->list_lines * POLL_LINE_MS;
    return interval_ms > POLL_MIN_MS ? interval_ms : POLL_MIN_MS;
}

void
Fleet_Poll(struct entry *entry)
{
    struct timespec now = Entry_Now(entry);
    if (CmTime_DiffMs(now, entry->list_asked) < poll_interval_ms(entry)) {
        return;
    }
    entry->list_asked = now;
    entry->instances.base.ops->list(&entry->instances.base);
}

static void
bind_target(struct entry *entry, struct cm_route_service *service,
            const struct cm_target *target)
{
    struct cm_member *member = CmMembers_Find(&entry->members, target->name);
    if (member == NULL || member->owner == NULL) {
        return;
    }
    struct agent_link *link = member->owner;
    bool other_zone = strcmp(target->zone, entry->settings.common.zone) != 0;
    bool fresh = link->route == NULL;
    link->route = CmRouter_FindOrAddTarget(&entry->router, service,
                                           target->name, other_zone);
    if (fresh) {
        link->slots_seen = 0;
    }
    Link_UpdateUsable(link);
}

/// Takes targets away that the configuration no longer names.
static void
drop_unnamed(struct entry *entry, const struct cm_config *config)
{
    struct agent_link *link;
    CmList_FOREACH (link, &entry->links, link) {
        if (link->route != NULL &&
            g_hash_table_lookup(config->targets_by_name, link->member->name) ==
                NULL) {
            CmRouter_RemoveTarget(&entry->router, link->route);
            link->route = NULL;
        }
    }
}

void
Fleet_Sync(struct entry *entry)
{
    if (entry->config == NULL) {
        return;
    }
    const struct cm_config *config = &entry->config->config;
    drop_unnamed(entry, config);
    for (size_t i = 0; i < config->n_services; i++) {
        const struct cm_service *named = &config->services[i];
        struct cm_route_service *service = CmRouter_FindOrAddService(
            &entry->router, named->name, named->kind == CM_SERVICE_ENGINES);
        for (size_t j = 0; j < named->n_targets; j++) {
            bind_target(entry, service, &named->targets[j]);
        }
    }
}

static void
prefetch(struct entry *entry, struct cm_route_service *service,
         const char *adapter)
{
    if (service->usable->len == 0 || CmRouter_IsResident(service, adapter)) {
        return;
    }
    struct cm_route_adapter *routed =
        CmRouter_FindOrAddAdapter(service, adapter);
    if (CmRouter_FindPreferred(&entry->router, service, routed,
                               Entry_Now(entry)) == 0) {
        return;
    }
    struct agent_link *link = Links_Find(entry, routed->preferred[0]);
    struct cm_message message = {.type = CM_MSG_PREFETCH};
    message.prefetch.adapter = CmBytes_FromText(adapter);
    Link_Send(link, &message);
    CmLog_Decision("placement", NULL, adapter, routed->preferred[0]->name, "",
                   "a service depends on it");
}

void
Fleet_Prefetch(struct entry *entry)
{
    if (entry->config == NULL) {
        return;
    }
    const struct cm_config *config = &entry->config->config;
    for (size_t i = 0; i < config->n_services; i++) {
        const struct cm_service *named = &config->services[i];
        struct cm_route_service *service = CmRouter_FindOrAddService(
            &entry->router, named->name, named->kind == CM_SERVICE_ENGINES);
        for (size_t j = 0; j < named->n_adapters; j++) {
            prefetch(entry, service, named->adapters[j]);
        }
    }
}
