/// @file members.h
/// Who may get work: the instance list (which lags) joined with heartbeats
/// (which are fresh). Suspicion comes before removal; each start of an agent
/// is a new incarnation. Pure: time and input are passed in.

#ifndef MEMBERSHIP_MEMBERS_H
#define MEMBERSHIP_MEMBERS_H

#include "membership/members_defs.h"

/// Prepares an empty table.
void
CmMembers_Init(struct cm_members *members);

/// Frees all members.
void
CmMembers_Finish(struct cm_members *members);

/// Starts taking in one instance list.
void
CmMembers_BeginList(struct cm_members *members);

/// One line of the instance list.
struct cm_member *
CmMembers_UpdateListed(struct cm_members *members, const char *name,
                       const char *endpoint, const char *zone, bool leaving);

/// Ends the list: members that were not on it are no longer listed. A member
/// that is still heard keeps its place, as the list lags.
void
CmMembers_EndList(struct cm_members *members);

/// A heartbeat of the member `name`.
enum cm_heartbeat_result
CmMembers_RecordHeartbeat(struct cm_members *members, struct cm_member *member,
                          uint64_t incarnation, bool leaving,
                          struct timespec now);

/// Turns silent members to suspect and dead.
void
CmMembers_UpdateStates(struct cm_members *members, struct timespec now);

/// @return the member called `name`, or NULL.
struct cm_member *
CmMembers_Find(const struct cm_members *members, const char *name);

/// @return whether new work may go to `member`.
bool
CmMember_IsUsable(const struct cm_member *member);

/// @return whether the member says, or the list says, that it leaves.
bool
CmMember_IsDraining(const struct cm_member *member);

/// @return a short name of the state.
const char *
CmMember_StateName(enum cm_member_state state);

#endif
