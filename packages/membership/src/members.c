/// @file members.c
/// The member table.

#include "membership/members.h"

#include <string.h>

#include "base/clock.h"

void
CmMembers_Init(struct cm_members *members)
{
    LIST_INIT(&members->list);
    members->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    members->epoch = 1;
    members->slack_ms = 0;
    members->on_change = NULL;
    members->context = NULL;
}

void
CmMembers_Finish(struct cm_members *members)
{
    struct cm_member *member;
    while ((member = LIST_FIRST(&members->list)) != NULL) {
        LIST_REMOVE(member, link);
        g_free(member);
    }
    g_hash_table_destroy(members->by_name);
}

static void
note_change(struct cm_members *members, struct cm_member *member)
{
    members->epoch++;
    if (members->on_change != NULL) {
        members->on_change(members->context, member);
    }
}

void
CmMembers_BeginList(struct cm_members *members)
{
    struct cm_member *member;
    CmList_FOREACH (member, &members->list, link) {
        member->in_current_list = false;
    }
}

static struct cm_member *
add_member(struct cm_members *members, const char *name)
{
    struct cm_member *member = g_new0(struct cm_member, 1);
    g_strlcpy(member->name, name, sizeof(member->name));
    LIST_INSERT_HEAD(&members->list, member, link);
    g_hash_table_insert(members->by_name, member->name, member);
    return member;
}

struct cm_member *
CmMembers_UpdateListed(struct cm_members *members, const char *name,
                       const char *endpoint, const char *zone, bool leaving)
{
    struct cm_member *member = CmMembers_Find(members, name);
    bool changed = false;
    if (member == NULL) {
        member = add_member(members, name);
        changed = true;
    }
    changed |= !member->listed || member->listed_draining != leaving ||
               strcmp(member->endpoint, endpoint) != 0;
    if (strcmp(member->endpoint, endpoint) != 0) {
        // A replaced instance: nothing is known of it yet.
        member->state = CM_MEMBER_UNKNOWN;
        member->incarnation = 0;
        member->reported_draining = false;
    }
    member->listed = true;
    member->in_current_list = true;
    member->listed_draining = leaving;
    g_strlcpy(member->endpoint, endpoint, sizeof(member->endpoint));
    g_strlcpy(member->zone, zone, sizeof(member->zone));
    if (changed) {
        note_change(members, member);
    }
    return member;
}

void
CmMembers_EndList(struct cm_members *members)
{
    struct cm_member *member;
    CmList_FOREACH (member, &members->list, link) {
        if (member->listed && !member->in_current_list) {
            member->listed = false;
            note_change(members, member);
        }
    }
}

enum cm_heartbeat_result
CmMembers_RecordHeartbeat(struct cm_members *members, struct cm_member *member,
                          uint64_t incarnation, bool leaving,
                          struct timespec now)
{
    if (incarnation < member->incarnation) {
        return CM_HEARTBEAT_OUTDATED;
    }
    enum cm_heartbeat_result heard = incarnation > member->incarnation
                                         ? CM_HEARTBEAT_NEW_INCARNATION
                                         : CM_HEARTBEAT_SAME_INCARNATION;
    bool changed = heard == CM_HEARTBEAT_NEW_INCARNATION ||
                   member->reported_draining != leaving ||
                   member->state != CM_MEMBER_LIVE;
    member->incarnation = incarnation;
    member->reported_draining = leaving;
    member->state = CM_MEMBER_LIVE;
    member->last_heartbeat = now;
    if (changed) {
        note_change(members, member);
    }
    return heard;
}

void
CmMembers_UpdateStates(struct cm_members *members, struct timespec now)
{
    struct cm_member *member;
    CmList_FOREACH (member, &members->list, link) {
        int64_t silent_ms =
            CmTime_DiffMs(now, member->last_heartbeat) - members->slack_ms;
        if (member->state == CM_MEMBER_LIVE &&
            silent_ms >= CM_MEMBER_SUSPECT_MS) {
            member->state = CM_MEMBER_SUSPECT;
            note_change(members, member);
        }
        if (member->state == CM_MEMBER_SUSPECT &&
            silent_ms >= CM_MEMBER_DEAD_MS) {
            member->state = CM_MEMBER_DEAD;
            note_change(members, member);
        }
    }
}

struct cm_member *
CmMembers_Find(const struct cm_members *members, const char *name)
{
    return g_hash_table_lookup(members->by_name, name);
}

bool
CmMember_IsDraining(const struct cm_member *member)
{
    return member->listed_draining || member->reported_draining;
}

bool
CmMember_IsUsable(const struct cm_member *member)
{
    return member->state == CM_MEMBER_LIVE && !CmMember_IsDraining(member);
}

const char *
CmMember_StateName(enum cm_member_state state)
{
    static const char *const names[] = {"unknown", "live", "suspect", "dead"};
    return names[state];
}
