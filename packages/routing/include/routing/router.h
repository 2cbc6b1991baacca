/// @file router.h
/// Chooses the target of each request. Pure: reports, results and time are
/// passed in; nothing is sent from here.

#ifndef ROUTING_ROUTER_H
#define ROUTING_ROUTER_H

#include "routing/router_defs.h"

/// @return the policy called `name`, or NULL.
const struct cm_policy_ops *
CmPolicy_Find(const char *name);

/// Prepares a router. `random` stays the caller's.
void
CmRouter_Init(struct cm_router *router, const struct cm_policy_ops *policy,
              GRand *random);

/// Frees the router.
void
CmRouter_Finish(struct cm_router *router);

/// Finds the service called `name`, or adds it.
struct cm_route_service *
CmRouter_FindOrAddService(struct cm_router *router, const char *name,
                          bool engines);

/// Finds the target called `name`, or adds it to `service`.
struct cm_route_target *
CmRouter_FindOrAddTarget(struct cm_router *router,
                         struct cm_route_service *service, const char *name,
                         bool other_zone);

/// @return the target called `name`, or NULL.
struct cm_route_target *
CmRouter_FindTarget(const struct cm_router *router, const char *name);

/// Removes a target that the configuration no longer names.
void
CmRouter_RemoveTarget(struct cm_router *router,
                      struct cm_route_target *target);

/// Says whether new work may go to `target`.
void
CmRouter_SetUsable(struct cm_router *router, struct cm_route_target *target,
                   bool usable, struct timespec now);

/// Forgets which adapters the target holds, before a new list of them.
void
CmRouter_ClearCopies(struct cm_route_target *target);

/// The target reported an adapter in a slot.
void
CmRouter_AddCopy(struct cm_route_target *target, const char *adapter,
                 bool ready);

/// Chooses a target and counts the request for the adapter's popularity.
void
CmRouter_Pick(struct cm_router *router, struct cm_route_service *service,
              const struct cm_route_request *request, struct timespec now,
              struct cm_route_decision *decision);

/// The request was sent to the chosen target.
void
CmRouter_RecordSend(struct cm_route_target *target, const char *adapter,
                    bool loads, bool suspect, struct timespec now);

/// A request that was sent ended.
void
CmRouter_RecordEnd(struct cm_router *router, struct cm_route_target *target,
                   bool failed, bool suspect, struct timespec now);

/// @return the decision's candidates as text, to be freed.
char *
CmRouter_DescribeCandidates(const struct cm_route_decision *decision);

/// @return whether some usable target holds `adapter`, ready or loading.
bool
CmRouter_IsResident(const struct cm_route_service *service,
                    const char *adapter);

/// Finds the homes of an adapter by rendezvous hashing.
/// @return how many there are; they stand in the adapter's `homes`.
size_t
CmRouter_FindPreferred(struct cm_router *router,
                       struct cm_route_service *service,
                       struct cm_route_adapter *adapter, struct timespec now);

/// Finds the adapter called `name`, or adds it.
struct cm_route_adapter *
CmRouter_FindOrAddAdapter(struct cm_route_service *service, const char *name);

#endif
