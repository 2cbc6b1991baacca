/// @file members.h
/// Table of the agents that may get new requests. It joins the instance list,
/// which lags, with heartbeats, which are current. A silent agent becomes
/// suspect before it counts as dead; each start of an agent is a new
/// incarnation. No I/O and no clock: input and time are passed in.

#ifndef MEMBERSHIP_MEMBERS_H
#define MEMBERSHIP_MEMBERS_H

#include "membership/members_defs.h"

void
CmMembers_Init(struct cm_members *members);

/// Frees all members.
void
CmMembers_Finish(struct cm_members *members);

/// Starts an update from an instance list: CmMembers_UpdateListed() for each
/// of its lines, then CmMembers_EndList().
void
CmMembers_BeginList(struct cm_members *members);

/// Adds or updates the member of one line of the instance list. Another
/// endpoint means a replaced instance, whose state is unknown again.
struct cm_member *
CmMembers_UpdateListed(struct cm_members *members, const char *name,
                       const char *endpoint, const char *zone, bool draining);

/// Ends the update: members that were not on the list are no longer listed. A
/// member that still sends heartbeats stays usable, as the list lags.
void
CmMembers_EndList(struct cm_members *members);

/// Records a heartbeat, unless it comes from an older incarnation.
/// @param draining whether the member reports that it takes no new requests
enum cm_heartbeat_result
CmMembers_RecordHeartbeat(struct cm_members *members, struct cm_member *member,
                          uint64_t incarnation, bool draining,
                          struct timespec now);

/// Marks members without a recent heartbeat as suspect or dead.
void
CmMembers_UpdateStates(struct cm_members *members, struct timespec now);

/// @return the member called `name`, or NULL.
struct cm_member *
CmMembers_Find(const struct cm_members *members, const char *name);

/// @return whether `member` may get new requests.
bool
CmMember_IsUsable(const struct cm_member *member);

/// @return whether the member or the instance list reports it as draining.
bool
CmMember_IsDraining(const struct cm_member *member);

/// @return "unknown", "live", "suspect" or "dead".
const char *
CmMember_StateName(enum cm_member_state state);

#endif
