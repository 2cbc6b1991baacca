/// @file members_defs.h
/// Types of the member table.

#ifndef MEMBERSHIP_MEMBERS_DEFS_H
#define MEMBERSHIP_MEMBERS_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"

/// Silence after which a member gets no new work.
#define CM_MEMBER_SUSPECT_MS 1500
/// Silence after which a member counts as gone.
#define CM_MEMBER_DEAD_MS 5000
#define CM_MEMBER_TEXT_MAX_BYTES 64

enum cm_member_state {
    CM_MEMBER_UNKNOWN, ///< listed, never heard
    CM_MEMBER_LIVE,
    CM_MEMBER_SUSPECT, ///< silent for a while
    CM_MEMBER_DEAD,    ///< silent for long
};

/// One agent as an entry sees it.
struct cm_member {
    LIST_ENTRY(cm_member) link;
    char name[CM_MEMBER_TEXT_MAX_BYTES]; ///< of its target
    char zone[CM_MEMBER_TEXT_MAX_BYTES];
    char endpoint[CM_MEMBER_TEXT_MAX_BYTES]; ///< IP:PORT of the agent
    enum cm_member_state state;
    uint64_t incarnation;   ///< of the agent that was heard last
    bool listed;            ///< on the last instance list
    bool listed_draining;   ///< the instance list says so
    bool reported_draining; ///< it says so itself
    bool in_current_list;   ///< while a list is taken in
    struct timespec last_heartbeat;
    void *owner; ///< the user's own state
};

struct cm_members {
    LIST_HEAD(, cm_member) list;
    GHashTable *by_name;
    uint64_t epoch; ///< grows when the set that may get work changes
    /// Added to both limits of silence where heartbeats come more slowly.
    int64_t slack_ms;
    /// Told after each change of a member; may be NULL.
    void (*on_change)(void *context, struct cm_member *member);
    void *context;
};

/// What a heartbeat showed.
enum cm_heartbeat_result {
    CM_HEARTBEAT_SAME_INCARNATION, ///< the incarnation known before
    CM_HEARTBEAT_NEW_INCARNATION,  ///< a newer one: the old one is gone for
                                   ///< good
    CM_HEARTBEAT_OUTDATED,         ///< an older one, to be ignored
};

#endif
