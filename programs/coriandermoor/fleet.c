/// @file fleet.c
/// Keeps the member table, the links and the router's targets in line with
/// the instance list and the configuration.

#include "fleet.h"

#include <string.h>

#include "base/log.h"
#include "links.h"

/// Shortest poll interval: less than the second between two calls of
/// Fleet_PollInstances(), so that a late tick skips none.
#define POLL_INTERVAL_MIN_MS 900
/// Poll interval per instance on the list. The list is read whole, so an
/// interval that grows with it bounds the traffic to some 8 kB/s.
#define POLL_MS_PER_INSTANCE 14

static void
apply_member_change(void *context, struct cm_member *member)
{
    struct agent_link *link = member->owner;
    if (link == NULL) {
        return;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "membership", NULL, "%s is %s%s%s",
                member->name, CmMember_StateName(member->state),
                CmMember_IsDraining(member) ? ", draining" : "",
                member->listed ? "" : ", not on the instance list");
    Link_UpdateUsable(link);
}

static void
update_instance(struct entry *entry, const struct cm_instance *instance)
{
    if (strcmp(instance->role, "entry") == 0) {
        entry->live_entries += !instance->shutting_down;
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
apply_instance_list(void *context, bool ok,
                    const struct cm_instance *instances, size_t n)
{
    struct entry *entry = context;
    if (!ok) {
        return; // keep the last list: heartbeats show which agents are live
    }
    entry->has_instance_list = true;
    entry->instance_count = n;
    entry->live_entries = 0;
    CmMembers_BeginList(&entry->members);
    for (size_t i = 0; i < n; i++) {
        update_instance(entry, &instances[i]);
    }
    CmMembers_EndList(&entry->members);
    entry->router.live_entries =
        entry->live_entries > 0 ? (double)entry->live_entries : 1;
    Fleet_Sync(entry);
}

void
Fleet_Init(struct entry *entry)
{
    CmMembers_Init(&entry->members);
    entry->members.on_change = apply_member_change;
    entry->members.context = entry;
    LIST_INIT(&entry->links);
    CmHttpInstances_Init(&entry->instances, &entry->client,
                         entry->settings.platform, apply_instance_list, entry);
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

static int64_t
poll_interval_ms(const struct entry *entry)
{
    int64_t interval_ms =
        (int64_t)entry->instance_count * POLL_MS_PER_INSTANCE;
    return interval_ms > POLL_INTERVAL_MIN_MS ? interval_ms
                                              : POLL_INTERVAL_MIN_MS;
}

void
Fleet_PollInstances(struct entry *entry)
{
    struct timespec now = Entry_Now(entry);
    if (CmTime_DiffMs(now, entry->list_requested_at) <
        poll_interval_ms(entry)) {
        return;
    }
    entry->list_requested_at = now;
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
    bool newly_bound = link->target == NULL;
    link->target = CmRouter_FindOrAddTarget(&entry->router, service,
                                            target->name, other_zone);
    if (newly_bound) {
        link->slots_version = 0;
    }
    Link_UpdateUsable(link);
}

/// Removes targets that the configuration no longer names from the router.
static void
remove_unconfigured_targets(struct entry *entry,
                            const struct cm_config *config)
{
    struct agent_link *link;
    CmList_FOREACH (link, &entry->links, link) {
        if (link->target != NULL &&
            g_hash_table_lookup(config->targets_by_name, link->member->name) ==
                NULL) {
            CmRouter_RemoveTarget(&entry->router, link->target);
            link->target = NULL;
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
    remove_unconfigured_targets(entry, config);
    for (size_t i = 0; i < config->n_services; i++) {
        const struct cm_service *configured = &config->services[i];
        struct cm_route_service *service =
            CmRouter_FindOrAddService(&entry->router, configured->name,
                                      configured->kind == CM_SERVICE_ENGINES);
        for (size_t j = 0; j < configured->n_targets; j++) {
            bind_target(entry, service, &configured->targets[j]);
        }
    }
}

static void
prefetch_dependency(struct entry *entry, struct cm_route_service *service,
                    const char *adapter)
{
    if (service->usable->len == 0 || CmRouter_HasCopy(service, adapter)) {
        return;
    }
    struct cm_route_adapter *routed =
        CmRouter_FindOrAddAdapter(service, adapter);
    if (CmRouter_FindPreferred(&entry->router, service, routed,
                               Entry_Now(entry)) == 0) {
        return;
    }
    struct agent_link *link = Links_FindByTarget(entry, routed->preferred[0]);
    struct cm_message message = {.type = CM_MSG_PREFETCH};
    message.prefetch.adapter = CmBytes_FromText(adapter);
    Link_Send(link, &message);
    CmLog_Decision("placement", NULL, adapter, routed->preferred[0]->name, "",
                   "configured for a service, but in no slot");
}

void
Fleet_PrefetchDependencies(struct entry *entry)
{
    if (entry->config == NULL) {
        return;
    }
    const struct cm_config *config = &entry->config->config;
    for (size_t i = 0; i < config->n_services; i++) {
        const struct cm_service *configured = &config->services[i];
        struct cm_route_service *service =
            CmRouter_FindOrAddService(&entry->router, configured->name,
                                      configured->kind == CM_SERVICE_ENGINES);
        for (size_t j = 0; j < configured->n_adapters; j++) {
            prefetch_dependency(entry, service, configured->adapters[j]);
        }
    }
}
