/// @file config_defs.h
/// The operators' text as typed values.

#ifndef CONFIG_CONFIG_DEFS_H
#define CONFIG_CONFIG_DEFS_H

#include "config/yaml_defs.h"

#define CM_ADAPTERS_MAX 100000
#define CM_TARGETS_MAX 20000
#define CM_NAME_MAX 63

enum cm_service_kind {
    CM_SERVICE_ENGINES, ///< targets serve models and adapters
    CM_SERVICE_PLAIN,   ///< targets are ordinary HTTP services
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

/// What the operators want to be weighed; the two sum to one.
struct cm_objective {
    double load_stall;
    double batch_efficiency;
};

struct cm_service {
    const char *name;
    enum cm_service_kind kind;
    bool idempotent; ///< a second run of any call is harmless
    bool stream;     ///< streamed answers are allowed
    int64_t timeout_ms;
    int64_t priority; ///< 0 is most urgent
    int64_t retries;  ///< further attempts after the first
    int64_t hedge_ms; ///< second attempt of a slow lookup; 0 is never
    const struct cm_model **models;
    size_t n_models;
    const char **adapters; ///< "name@version" that always hold a slot
    size_t n_adapters;
    const struct cm_service **depends_on;
    size_t n_depends_on;
    struct cm_target *targets;
    size_t n_targets;
};

struct cm_weight_store {
    double loads_per_second;
    int64_t concurrent_loads;
};

struct cm_config {
    struct cm_yaml yaml; ///< owns all texts
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
