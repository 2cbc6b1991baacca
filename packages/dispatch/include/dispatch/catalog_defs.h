/// @file catalog_defs.h
/// What the operators have configured, as the decisions need it: routes,
/// services, limits. Built by the platform's adapter, then never changed.

#ifndef DISPATCH_CATALOG_DEFS_H
#define DISPATCH_CATALOG_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// What may be repeated.
enum cm_retry_mode {
    CM_RETRY_MODE_NEVER,      ///< at most one run for each attempt of a caller
    CM_RETRY_MODE_IDEMPOTENT, ///< a second run is harmless
    CM_RETRY_MODE_RESUME,     ///< a stream that may go on at another target
};

/// One destination of a route.
struct cm_split {
    char *service;
    double weight; ///< relative to the route's other destinations
};

/// One route: requests of `host` whose path begins with `prefix`.
struct cm_route {
    char *name;
    char *host;
    char *prefix;
    bool stream;
    enum cm_retry_mode retry_mode;
    int64_t timeout_ms;        ///< longest time until the final answer
    int64_t target_latency_ms; ///< time within which an answer is on time
    int64_t target_gap_ms; ///< longest pause between events that is on time
    int64_t priority;      ///< 0 is the most urgent
    int64_t max_attempts;
    struct cm_split *splits;
    size_t n_splits;
};

/// What the engines of a service have in common.
struct cm_engine_traits {
    char *model;           ///< base model, NULL for plain services
    int64_t adapter_slots; ///< adapters an engine holds at once
    int64_t batch;         ///< requests an engine runs at once
    int64_t kv_tokens;     ///< tokens of prompt memory
};

/// One service.
struct cm_service_spec {
    char *name;
    int64_t max_connections; ///< of one target, from all gateways
    struct cm_engine_traits engine;
};

/// Limits on what a caller may send.
struct cm_caller_limits {
    int64_t header_bytes;
    int64_t body_bytes;
    int64_t header_timeout_ms;
    int64_t idle_timeout_ms;
};

/// One configuration; shared by the requests that began under it.
struct cm_catalog {
    int references;
    int64_t version;
    struct cm_route *routes; ///< longest prefix first
    size_t n_routes;
    struct cm_service_spec *services;
    size_t n_services;
    struct cm_caller_limits limits;
};

#endif
