/// @file config_defs.h
/// Typed values of a parsed configuration file.

#ifndef CONFIG_CONFIG_DEFS_H
#define CONFIG_CONFIG_DEFS_H

#include "config/yaml_defs.h"

#define CM_ADAPTERS_MAX 100000
#define CM_TARGETS_MAX 20000 ///< of one service
#define CM_NAME_MAX 63       ///< bytes

enum cm_service_kind {
    CM_SERVICE_ENGINES, ///< targets serve models and adapters
    CM_SERVICE_PLAIN,   ///< targets are HTTP back ends without models
};

struct cm_model {
    const char *name;
};

struct cm_adapter {
    const char *name;
    const struct cm_model *model;
    uint32_t *versions; ///< ascending
    size_t n_versions;
};

struct cm_target {
    const char *name;
    const char *zone;
};

/// Weights of the two placement objectives; they sum to one.
struct cm_objective {
    double load_stall;
    double batch_efficiency;
};

struct cm_service {
    const char *name;
    enum cm_service_kind kind;
    bool idempotent; ///< every request can safely run more than once
    bool stream;     ///< streaming responses are allowed
    int64_t timeout_ms;
    int64_t priority; ///< 0 is the highest
    int64_t retries;  ///< attempts after the first one
    int64_t hedge_ms; ///< delay of a hedged second attempt; 0 for none
    const struct cm_model **models;
    size_t n_models;
    const char **adapters; ///< "name@version", prefetched into slots
    size_t n_adapters;
    const struct cm_service **depends_on;
    size_t n_depends_on;
    struct cm_target *targets;
    size_t n_targets;
};

/// Load limits of the store that engines load adapter weights from.
struct cm_weight_store {
    double loads_per_second;
    int64_t concurrent_loads;
};

struct cm_config {
    struct cm_yaml yaml; ///< owns all strings of the configuration
    const char *deployment;
    struct cm_objective objective;
    struct cm_weight_store weight_store;
    const char **zones;
    size_t n_zones;
    struct cm_model *models;
    size_t n_models;
    struct cm_adapter *adapters;
    size_t n_adapters;
    struct cm_service *services;
    size_t n_services;
    GHashTable *adapters_by_name; ///< to struct cm_adapter
    GHashTable *targets_by_name;  ///< to struct cm_target
};

#endif
