/// @file router_defs.h
/// Types of the router: the entry's view of targets, adapters and their
/// copies, policies and decisions.

#ifndef ROUTING_ROUTER_DEFS_H
#define ROUTING_ROUTER_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"
#include "placement/popularity.h"

/// Targets whose cost is compared for one request.
#define CM_CANDIDATES_MAX 8
/// Preferred targets of one adapter: its first ranks by rendezvous hashing.
#define CM_PREFERRED_MAX 4
/// Time over which a target that became usable ramps up to its full capacity.
#define CM_SLOW_START_MS 5000
/// Outlier ejection: failures in a row after which a target is ejected.
#define CM_EJECT_FAILURES 5
/// Time for which an ejected target gets no requests.
#define CM_EJECT_MS 3000
/// Share of a service's targets that may be ejected at the same time.
#define CM_EJECT_MAX_PERCENT 30
/// Time for which a sent request that needs a load counts as a load in
/// progress, until the target reports it.
#define CM_EXPECTED_LOAD_MS 2000

struct cm_route_adapter;
struct cm_route_service;

/// One target as this entry sees it.
struct cm_route_target {
    LIST_ENTRY(cm_route_target) link; ///< in its service
    struct cm_route_service *service;
    char *name;
    uint64_t name_hash;
    bool usable;      ///< may get new requests; see CmRouter_SetUsable()
    bool other_zone;  ///< in another zone than this entry
    size_t index;     ///< in `usable` of the service
    uint64_t running; ///< by the last report
    uint64_t waiting; ///< by the last report
    uint64_t capacity;
    uint64_t slot_count;
    double load_ms;         ///< average wait for a load, by the last report
    double run_ms;          ///< average run time, by the last report
    double eviction_cost;   ///< retention value of the adapter that a load
                            ///< would evict, in expected uses
    uint64_t loading_slots; ///< by the last report
    uint64_t outstanding;   ///< sent by this entry, not ended
    uint64_t unreported;    ///< sent since the last report
    uint64_t suspects;      ///< outstanding ones suspected of crashing targets
    struct timespec usable_since;
    uint64_t failures; ///< in a row
    struct timespec ejected_until;
    GPtrArray *adapters; ///< of struct cm_route_adapter
};

/// An adapter at one target: resident, loading or expected to load.
struct cm_route_copy {
    struct cm_route_target *target;
    bool ready;                     ///< false while it loads
    struct timespec expected_until; ///< for a load that was not reported
    bool reported;                  ///< by the target, not only expected
};

/// One adapter that was requested, or is resident at some target.
struct cm_route_adapter {
    char *name;
    uint64_t name_hash;
    GArray *copies; ///< of struct cm_route_copy
    struct cm_route_target *preferred[CM_PREFERRED_MAX];
    size_t n_preferred;
    uint64_t preferred_epoch; ///< of the service when `preferred` was ranked
};

struct cm_route_service {
    LIST_ENTRY(cm_route_service) link;
    char *name;
    bool engines;
    LIST_HEAD(, cm_route_target) targets;
    size_t n_targets;
    GPtrArray *usable;    ///< of struct cm_route_target
    uint64_t epoch;       ///< incremented when `usable` changes
    GHashTable *adapters; ///< name to struct cm_route_adapter
    struct cm_popularity popularity;
};

/// A request to be routed.
struct cm_route_request {
    const char *id;      ///< id of the exchange; not read by the router
    const char *adapter; ///< NULL for plain services
    int64_t left_ms;     ///< time until the deadline
    const char *const *excluded; ///< targets that must not be picked again
    size_t n_excluded;
    bool suspect; ///< its content ran when a target crashed
};

enum cm_route_result {
    CM_ROUTE_PICKED,
    CM_ROUTE_NO_TARGET, ///< no usable target
    CM_ROUTE_TOO_LATE,  ///< the expected wait leaves too little time
};

struct cm_route_candidate {
    struct cm_route_target *target;
    double wait_ms; ///< expected time before the request starts
    double cost;    ///< in ms; wait, stall and batch effects by weight
};

struct cm_route_decision {
    enum cm_route_result result;
    struct cm_route_target *target;
    double wait_ms;  ///< expected at the target
    bool needs_load; ///< the target has to load the adapter first
    const char *reason;
    struct cm_route_candidate candidates[CM_CANDIDATES_MAX];
    size_t n_candidates;
};

struct cm_router;

/// A routing policy.
struct cm_policy_ops {
    const char *name;
    /// Sets the candidates, target and reason. The service has at least one
    /// usable target; `target` stays NULL if none is eligible.
    void (*pick)(struct cm_router *router, struct cm_route_service *service,
                 const struct cm_route_request *request, struct timespec now,
                 struct cm_route_decision *decision);
};

struct cm_router {
    const struct cm_policy_ops *policy;
    LIST_HEAD(, cm_route_service) services;
    GHashTable *targets; ///< name to struct cm_route_target
    GRand *random;
    double stall_weight; ///< weight of load stalls, from 0 to 1
    double batch_weight; ///< weight of full batches, from 0 to 1
    /// Number of live entries; scales the request rates that this entry
    /// counts to those of all entries.
    double live_entries;
};

#endif
