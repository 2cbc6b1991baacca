/// @file router.h
/// Chooses the target of each request. The router performs no I/O: its caller
/// passes in the agents' reports, the results of requests and the time.

#ifndef ROUTING_ROUTER_H
#define ROUTING_ROUTER_H

#include "routing/router_defs.h"

/// @return the policy called `name`, or NULL.
const struct cm_policy_ops *
CmPolicy_Find(const char *name);

/// @param random is still owned by the caller.
void
CmRouter_Init(struct cm_router *router, const struct cm_policy_ops *policy,
              GRand *random);

void
CmRouter_Finish(struct cm_router *router);

/// @param engines whether a new service has engines, which serve adapters.
/// @return the service called `name`, added if there is none.
struct cm_route_service *
CmRouter_FindOrAddService(struct cm_router *router, const char *name,
                          bool engines);

/// @param other_zone whether the target is in another zone than this entry;
///        also set on a known target.
/// @return the target called `name`, added to `service` if there is none.
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

/// Sets whether `target` may get new requests. A target that becomes usable
/// gets its full share only after CM_SLOW_START_MS.
void
CmRouter_SetUsable(struct cm_router *router, struct cm_route_target *target,
                   bool usable, struct timespec now);

/// Removes all adapter copies of the target, before a new report adds them.
void
CmRouter_ClearCopies(struct cm_route_target *target);

/// Adds an adapter copy that the target reported.
/// @param ready false while the adapter loads.
void
CmRouter_AddCopy(struct cm_route_target *target, const char *adapter_name,
                 bool ready);

/// Chooses a target by the policy. The first pick of a request also counts
/// towards the popularity of its adapter.
void
CmRouter_Pick(struct cm_router *router, struct cm_route_service *service,
              const struct cm_route_request *request, struct timespec now,
              struct cm_route_decision *decision);

/// Counts a request that was sent to the chosen target.
/// @param loads whether the target has to load the adapter. If so, later
///        requests for the adapter treat the target as a copy for
///        CM_EXPECTED_LOAD_MS.
void
CmRouter_RecordSend(struct cm_route_target *target, const char *adapter_name,
                    bool loads, bool suspect, struct timespec now);

/// Counts the end of a sent request. After CM_EJECT_FAILURES failures in a row
/// the target is ejected for CM_EJECT_MS.
void
CmRouter_RecordEnd(struct cm_router *router, struct cm_route_target *target,
                   bool failed, bool suspect, struct timespec now);

/// @return the decision's candidates as text, freed by the caller.
char *
CmRouter_DescribeCandidates(const struct cm_route_decision *decision);

/// @return whether a usable target has a copy of the adapter: it is resident
///         there, loads or is expected to load.
bool
CmRouter_HasCopy(const struct cm_route_service *service,
                 const char *adapter_name);

/// Ranks targets for an adapter by rendezvous hashing, up to CM_PREFERRED_MAX,
/// into its `preferred`.
/// @return how many of the first ones its request rate calls for.
size_t
CmRouter_FindPreferred(struct cm_router *router,
                       struct cm_route_service *service,
                       struct cm_route_adapter *adapter, struct timespec now);

/// @return the adapter called `name`, added if there is none.
struct cm_route_adapter *
CmRouter_FindOrAddAdapter(struct cm_route_service *service, const char *name);

#endif
