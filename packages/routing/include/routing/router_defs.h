/// @file router_defs.h
/// Types of the router: targets as an entry sees them, adapters and where
/// they are, policies and decisions.

#ifndef ROUTING_ROUTER_DEFS_H
#define ROUTING_ROUTER_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"
#include "placement/popularity.h"

/// Most targets that are weighed for one request.
#define CM_CANDIDATES_MAX 8
/// Most homes of one adapter.
#define CM_PREFERRED_MAX 4
/// Time in which a target that came back is given its full share again.
#define CM_SLOW_START_MS 5000
/// Failures in a row after which a target is left out for a while.
#define CM_EJECT_FAILURES 5
#define CM_EJECT_MS 3000
/// Most targets of a service that may be left out at once, percent.
#define CM_EJECT_MAX_PERCENT 30
/// Time for which a routed miss counts as a load under way.
#define CM_EXPECTED_LOAD_MS 2000

struct cm_route_adapter;
struct cm_route_service;

/// One target as this entry sees it.
struct cm_route_target {
    LIST_ENTRY(cm_route_target) link; ///< in its service
    struct cm_route_service *service;
    char *name;
    uint64_t name_hash;
    bool usable;     ///< live, not leaving, healthy
    bool other_zone; ///< in another zone than this entry
    size_t index;    ///< in the service's array of usable targets
    uint64_t running;
    uint64_t waiting;
    uint64_t capacity;
    uint64_t slot_count;
    double load_ms;
    double run_ms;
    double eviction_cost;   ///< expected uses of what a load would evict
    uint64_t loading_slots; ///< slots that load by the last report
    uint64_t outstanding;   ///< sent by this entry and not ended
    uint64_t unreported;    ///< sent since the last report
    uint64_t suspects;      ///< of those, suspected of crashing targets
    struct timespec usable_since;
    uint64_t failures;
    struct timespec ejected_until;
    GPtrArray *adapters; ///< of struct cm_route_adapter
};

/// One target that holds, loads or is about to load an adapter.
struct cm_route_copy {
    struct cm_route_target *target;
    bool ready;
    struct timespec expected_until; ///< holders by own routing only
    bool reported;
};

/// One adapter that was asked for or is held somewhere.
struct cm_route_adapter {
    char *name;
    uint64_t name_hash;
    GArray *copies; ///< of struct cm_route_copy
    struct cm_route_target *preferred[CM_PREFERRED_MAX];
    size_t n_preferred;
    uint64_t preferred_epoch; ///< of the service when the homes were computed
};

struct cm_route_service {
    LIST_ENTRY(cm_route_service) link;
    char *name;
    bool engines;
    LIST_HEAD(, cm_route_target) targets;
    size_t n_targets;
    GPtrArray *usable;    ///< of struct cm_route_target
    uint64_t epoch;       ///< grows when `usable` changes
    GHashTable *adapters; ///< name to struct cm_route_adapter
    struct cm_popularity popularity;
};

/// What is to be routed.
struct cm_route_request {
    const char *id;
    const char *adapter;         ///< NULL for plain services
    int64_t left_ms;             ///< until the deadline
    const char *const *excluded; ///< targets not to be used again
    size_t n_excluded;
    bool suspect; ///< its content ran when a target fell
};

enum cm_route_result {
    CM_ROUTE_PICKED,
    CM_ROUTE_NO_TARGET, ///< no usable target
    CM_ROUTE_TOO_LATE,  ///< no target can start it in time
};

struct cm_route_candidate {
    struct cm_route_target *target;
    double wait_ms; ///< expected time before it starts
    double cost;    ///< wait weighted by the objective
};

struct cm_route_decision {
    enum cm_route_result result;
    struct cm_route_target *target;
    double wait_ms;  ///< expected, of the chosen or the best target
    bool needs_load; ///< the target has yet to load the adapter
    const char *reason;
    struct cm_route_candidate candidates[CM_CANDIDATES_MAX];
    size_t n_candidates;
};

struct cm_router;

/// A way to choose among targets.
struct cm_policy_ops {
    const char *name;
    /// Fills the candidates, target and reason; there is a usable target.
    void (*pick)(struct cm_router *router, struct cm_route_service *service,
                 const struct cm_route_request *request, struct timespec now,
                 struct cm_route_decision *decision);
};

struct cm_router {
    const struct cm_policy_ops *policy;
    LIST_HEAD(, cm_route_service) services;
    GHashTable *targets; ///< name to struct cm_route_target
    GRand *random;
    double stall_weight; ///< objective, from 0 to 1
    double batch_weight;
    double live_entries; ///< live entries, to scale own popularity
};

#endif
