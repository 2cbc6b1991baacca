/// @file members_defs.h
/// Types of the member table: one member for each agent.

#ifndef MEMBERSHIP_MEMBERS_DEFS_H
#define MEMBERSHIP_MEMBERS_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"

/// Time without a heartbeat after which a member gets no new requests.
#define CM_MEMBER_SUSPECT_MS 1500
/// Time without a heartbeat after which a member counts as dead.
#define CM_MEMBER_DEAD_MS 5000
/// Buffer size of a name, zone or endpoint, with the terminator.
#define CM_MEMBER_TEXT_MAX_BYTES 64

enum cm_member_state {
    CM_MEMBER_UNKNOWN, ///< listed, no heartbeat yet
    CM_MEMBER_LIVE,
    CM_MEMBER_SUSPECT, ///< silent for CM_MEMBER_SUSPECT_MS
    CM_MEMBER_DEAD,    ///< silent for CM_MEMBER_DEAD_MS
};

/// One agent, by the last instance list and the last heartbeat.
struct cm_member {
    LIST_ENTRY(cm_member) link;
    char name[CM_MEMBER_TEXT_MAX_BYTES]; ///< of the agent's target
    char zone[CM_MEMBER_TEXT_MAX_BYTES];
    char endpoint[CM_MEMBER_TEXT_MAX_BYTES]; ///< IP:PORT of the agent
    enum cm_member_state state;
    uint64_t incarnation;   ///< of the last accepted heartbeat
    bool listed;            ///< on the last instance list
    bool listed_draining;   ///< according to the instance list
    bool reported_draining; ///< according to its last heartbeat
    bool in_current_list;   ///< on the list of the update in progress
    struct timespec last_heartbeat;
    void *owner; ///< state of the table's user
};

struct cm_members {
    LIST_HEAD(, cm_member) list;
    GHashTable *by_name;
    uint64_t epoch; ///< grows with each change of a member
    /// Added to both timeouts. Above 0 if heartbeats are sent less often, as
    /// by an entry with many links.
    int64_t slack_ms;
    /// Called after each change of a member; may be NULL.
    void (*on_change)(void *context, struct cm_member *member);
    void *context;
};

/// Incarnation of a heartbeat compared with the last known one.
enum cm_heartbeat_result {
    CM_HEARTBEAT_SAME_INCARNATION, ///< the last known one
    CM_HEARTBEAT_NEW_INCARNATION,  ///< newer; the former process has ended
    CM_HEARTBEAT_OUTDATED,         ///< older; the heartbeat is ignored
};

#endif
