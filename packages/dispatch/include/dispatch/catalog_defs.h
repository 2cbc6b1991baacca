/// @file catalog_defs.h
/// The operators' configuration in the form that dispatch decisions use:
/// routes, services, limits. Decoded from the platform's objects and immutable
/// afterwards.

#ifndef DISPATCH_CATALOG_DEFS_H
#define DISPATCH_CATALOG_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "dispatch/accounts.h"
#include "dispatch/priority_ranks.h"

/// Whether a request that may have run can be sent again.
enum cm_retry_mode {
    CM_RETRY_MODE_NEVER,      ///< runs at most once each time it is received
    CM_RETRY_MODE_IDEMPOTENT, ///< running it again is harmless
    CM_RETRY_MODE_RESUME,     ///< a stream that another target can continue
};

/// One destination of a route's traffic split.
struct cm_split {
    char *service;
    double weight; ///< relative to the route's other destinations
};

/// One route: requests to `host` whose path starts with `prefix`.
struct cm_route {
    char *name;
    char *host;
    char *prefix;
    bool stream;
    bool is_public; ///< requests need no key
    enum cm_retry_mode retry_mode;
    int64_t timeout_ms;        ///< longest time until the answer is complete
    int64_t target_latency_ms; ///< latency up to which an answer is on time
    int64_t target_gap_ms;     ///< longest gap between events that is on time
    int64_t priority;          ///< 0 is the most urgent
    int64_t max_attempts;
    struct cm_split *splits;
    size_t n_splits;
};

/// Properties that all engines of a service share.
struct cm_engine_traits {
    char *model;           ///< base model, NULL for plain services
    int64_t adapter_slots; ///< adapters that an engine holds at once
    int64_t batch;         ///< requests that an engine runs at once
    int64_t kv_tokens;     ///< capacity of the KV cache in tokens
};

struct cm_service_spec {
    char *name;
    int64_t max_connections; ///< to one target, over all gateways
    struct cm_engine_traits engine;
};

/// Limits on the requests and connections of a caller.
struct cm_caller_limits {
    int64_t header_bytes;
    int64_t body_bytes;
    int64_t header_timeout_ms;
    int64_t idle_timeout_ms;
};

/// One version of the configuration. Each request keeps a reference to the
/// version that was in force when it arrived.
struct cm_catalog {
    int references;
    int64_t version;
    struct cm_route *routes; ///< longest prefix first
    size_t n_routes;
    struct cm_service_spec *services;
    size_t n_services;
    struct cm_caller_limits limits;
    struct cm_accounts *accounts;   ///< NULL if requests need no keys
    struct cm_priority_ranks ranks; ///< of accounts and routes
};

#endif
