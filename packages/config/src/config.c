/// @file config.c
/// The operators' text: reading by tables, then checks across the parts.

#include "config/config.h"

#include <string.h>

#include "config/yaml.h"
#include "config_reader.h"

#define VERSION_MAX 1000000000
#define LOADS_PER_SECOND_MAX 10000
#define CONCURRENT_LOADS_MAX 1000
#define DEFAULT_LOADS_PER_SECOND 5
#define DEFAULT_CONCURRENT_LOADS 8
#define WEIGHT_TOLERANCE 0.001

/// Top-level parts, before they are looked into.
struct parts {
    const struct cm_yaml_node *zones;
    const struct cm_yaml_node *objective;
    const struct cm_yaml_node *weight_store;
    const struct cm_yaml_node *models;
    const struct cm_yaml_node *adapters;
    const struct cm_yaml_node *services;
};

/// @return whether `name` is a plain name: letters, digits, '-', '_', '.'.
static bool
name_ok(const char *name)
{
    size_t size = strlen(name);
    if (size == 0 || size > CM_NAME_MAX) {
        return false;
    }
    return strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                        "0123456789-_.") == size;
}

bool
CmReading_Register(struct reading *reading, GHashTable *table,
                   const char *what, const char *name,
                   const struct cm_yaml_node *node, void *value)
{
    if (name == NULL) {
        return false;
    }
    if (!name_ok(name)) {
        CmYaml_AddFinding(
            reading->findings, node,
            "\"%s\" is no name for a %s: up to %d letters, digits, "
            "'-', '_' and '.'",
            name, what, CM_NAME_MAX);
        return false;
    }
    if (g_hash_table_lookup(table, name) != NULL) {
        CmYaml_AddFinding(reading->findings, node, "%s \"%s\" stands twice",
                          what, name);
        return false;
    }
    g_hash_table_insert(table, (gpointer)name, value);
    return true;
}

static void
read_zones(struct reading *reading, const struct cm_yaml_node *list)
{
    struct cm_config *config = reading->config;
    config->zones = g_new0(const char *, CmYaml_CountChildren(list) + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        if (CmYaml_RequireText(node, "a zone", reading->findings) &&
            CmReading_Register(reading, reading->zones, "zone", node->value,
                               node, (void *)node)) {
            config->zones[config->n_zones++] = node->value;
        }
    }
}

static void
read_objective(struct reading *reading, const struct cm_yaml_node *node)
{
    static const struct cm_yaml_field fields[] = {
        {"load_stall", CM_YAML_REAL, true,
         offsetof(struct cm_objective, load_stall), 0, 1},
        {"batch_efficiency", CM_YAML_REAL, true,
         offsetof(struct cm_objective, batch_efficiency), 0, 1},
    };
    struct cm_objective *objective = &reading->config->objective;
    size_t before = reading->findings->count;
    CmYaml_ReadMapping(node, "objective", fields, G_N_ELEMENTS(fields),
                       objective, reading->findings);
    double sum = objective->load_stall + objective->batch_efficiency;
    if (reading->findings->count == before &&
        (sum < 1 - WEIGHT_TOLERANCE || sum > 1 + WEIGHT_TOLERANCE)) {
        CmYaml_AddFinding(reading->findings, node,
                          "the weights of the objective sum to %g, not 1",
                          sum);
    }
}

static void
read_weight_store(struct reading *reading, const struct cm_yaml_node *node)
{
    static const struct cm_yaml_field fields[] = {
        {"loads_per_second", CM_YAML_REAL, false,
         offsetof(struct cm_weight_store, loads_per_second), 0.01,
         LOADS_PER_SECOND_MAX},
        {"concurrent_loads", CM_YAML_INTEGER, false,
         offsetof(struct cm_weight_store, concurrent_loads), 1,
         CONCURRENT_LOADS_MAX},
    };
    CmYaml_ReadMapping(node, "weight_store", fields, G_N_ELEMENTS(fields),
                       &reading->config->weight_store, reading->findings);
}

static void
read_models(struct reading *reading, const struct cm_yaml_node *list)
{
    static const struct cm_yaml_field fields[] = {
        {"name", CM_YAML_STRING, true, offsetof(struct cm_model, name), 0, 0},
    };
    struct cm_config *config = reading->config;
    config->models = g_new0(struct cm_model, CmYaml_CountChildren(list) + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        struct cm_model *model = &config->models[config->n_models];
        CmYaml_ReadMapping(node, "model", fields, G_N_ELEMENTS(fields), model,
                           reading->findings);
        if (CmReading_Register(reading, reading->models, "model", model->name,
                               node, model)) {
            config->n_models++;
        }
    }
}

static int
compare_versions(const void *a, const void *b)
{
    uint32_t left = *(const uint32_t *)a;
    uint32_t right = *(const uint32_t *)b;
    return left < right ? -1 : left > right;
}

static bool
parse_version(const char *text, uint32_t *version)
{
    guint64 number;
    if (!g_ascii_string_to_unsigned(text, 10, 1, VERSION_MAX, &number, NULL)) {
        return false;
    }
    *version = (uint32_t)number;
    return true;
}

static void
read_versions(struct reading *reading, struct cm_adapter *adapter,
              const struct cm_yaml_node *list)
{
    adapter->versions = g_new0(uint32_t, CmYaml_CountChildren(list) + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        uint32_t version;
        if (node->kind != CM_YAML_SCALAR ||
            !parse_version(node->value, &version)) {
            CmYaml_AddFinding(reading->findings, node,
                              "a version must be a whole number from 1 to %d",
                              VERSION_MAX);
            continue;
        }
        for (size_t i = 0; i < adapter->n_versions; i++) {
            if (adapter->versions[i] == version) {
                CmYaml_AddFinding(reading->findings, node,
                                  "version %u stands twice", version);
            }
        }
        adapter->versions[adapter->n_versions++] = version;
    }
    qsort(adapter->versions, adapter->n_versions, sizeof(uint32_t),
          compare_versions);
    if (adapter->n_versions == 0) {
        CmYaml_AddFinding(reading->findings, list,
                          "an adapter needs a version");
    }
}

/// An adapter as it stands in the text.
struct adapter_text {
    const char *name;
    const char *model;
    const struct cm_yaml_node *versions;
};

static void
read_adapter(struct reading *reading, const struct cm_yaml_node *node)
{
    static const struct cm_yaml_field fields[] = {
        {"name", CM_YAML_STRING, true, offsetof(struct adapter_text, name), 0,
         0},
        {"model", CM_YAML_STRING, true, offsetof(struct adapter_text, model),
         0, 0},
        {"versions", CM_YAML_LIST, true,
         offsetof(struct adapter_text, versions), 0, 0},
    };
    struct adapter_text text = {0};
    CmYaml_ReadMapping(node, "adapter", fields, G_N_ELEMENTS(fields), &text,
                       reading->findings);
    struct cm_config *config = reading->config;
    struct cm_adapter *adapter = &config->adapters[config->n_adapters];
    adapter->name = text.name;
    if (text.model != NULL) {
        adapter->model = g_hash_table_lookup(reading->models, text.model);
        if (adapter->model == NULL) {
            CmYaml_AddFinding(reading->findings, node, "unknown model \"%s\"",
                              text.model);
        }
    }
    if (CmReading_Register(reading, config->adapters_by_name, "adapter",
                           text.name, node, adapter)) {
        config->n_adapters++;
        if (text.versions != NULL) {
            read_versions(reading, adapter, text.versions);
        }
    }
}

static void
read_adapters(struct reading *reading, const struct cm_yaml_node *list)
{
    struct cm_config *config = reading->config;
    size_t count = CmYaml_CountChildren(list);
    if (count > CM_ADAPTERS_MAX) {
        CmYaml_AddFinding(reading->findings, list, "more than %d adapters",
                          CM_ADAPTERS_MAX);
        return;
    }
    config->adapters = g_new0(struct cm_adapter, count + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        read_adapter(reading, node);
    }
}

static void
read_parts(struct reading *reading, const struct parts *parts)
{
    if (parts->zones != NULL) {
        read_zones(reading, parts->zones);
    }
    if (parts->objective != NULL) {
        read_objective(reading, parts->objective);
    }
    if (parts->weight_store != NULL) {
        read_weight_store(reading, parts->weight_store);
    }
    if (parts->models != NULL) {
        read_models(reading, parts->models);
    }
    if (parts->adapters != NULL) {
        read_adapters(reading, parts->adapters);
    }
    if (parts->services != NULL) {
        CmReading_Services(reading, parts->services);
    }
}

/// Fields of the top level: texts go to the configuration, lists to parts.
struct top {
    const char *deployment;
    struct parts parts;
};

static void
read_top(struct reading *reading, const struct cm_yaml_node *root)
{
    static const struct cm_yaml_field fields[] = {
        {"deployment", CM_YAML_STRING, true, offsetof(struct top, deployment),
         0, 0},
        {"zones", CM_YAML_LIST, true, offsetof(struct top, parts.zones), 0, 0},
        {"objective", CM_YAML_NESTED_MAPPING, false,
         offsetof(struct top, parts.objective), 0, 0},
        {"weight_store", CM_YAML_NESTED_MAPPING, false,
         offsetof(struct top, parts.weight_store), 0, 0},
        {"models", CM_YAML_LIST, false, offsetof(struct top, parts.models), 0,
         0},
        {"adapters", CM_YAML_LIST, false, offsetof(struct top, parts.adapters),
         0, 0},
        {"services", CM_YAML_LIST, true, offsetof(struct top, parts.services),
         0, 0},
    };
    struct top top = {0};
    CmYaml_ReadMapping(root, "the text", fields, G_N_ELEMENTS(fields), &top,
                       reading->findings);
    reading->config->deployment = top.deployment;
    read_parts(reading, &top.parts);
}

bool
CmConfig_Init(struct cm_config *config, const char *text, size_t size,
              struct cm_findings *findings)
{
    memset(config, 0, sizeof(*config));
    config->objective = (struct cm_objective){0.5, 0.5};
    config->weight_store.loads_per_second = DEFAULT_LOADS_PER_SECOND;
    config->weight_store.concurrent_loads = DEFAULT_CONCURRENT_LOADS;
    config->adapters_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    config->targets_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    CmYaml_Init(&config->yaml, text, size, findings);
    if (config->yaml.root == NULL) {
        return false;
    }
    struct reading reading = {
        .config = config,
        .findings = findings,
        .zones = g_hash_table_new(g_str_hash, g_str_equal),
        .models = g_hash_table_new(g_str_hash, g_str_equal),
        .services = g_hash_table_new(g_str_hash, g_str_equal),
    };
    read_top(&reading, config->yaml.root);
    g_hash_table_destroy(reading.zones);
    g_hash_table_destroy(reading.models);
    g_hash_table_destroy(reading.services);
    return findings->count == 0;
}

void
CmConfig_Finish(struct cm_config *config)
{
    for (size_t i = 0; config->adapters != NULL && i < config->n_adapters;
         i++) {
        g_free(config->adapters[i].versions);
    }
    for (size_t i = 0; i < config->n_services; i++) {
        g_free(config->services[i].models);
        g_free(config->services[i].adapters);
        g_free(config->services[i].depends_on);
        g_free(config->services[i].targets);
    }
    g_free(config->zones);
    g_free(config->models);
    g_free(config->adapters);
    g_free(config->services);
    g_hash_table_destroy(config->adapters_by_name);
    g_hash_table_destroy(config->targets_by_name);
    CmYaml_Finish(&config->yaml);
}

const struct cm_service *
CmConfig_FindService(const struct cm_config *config, const char *name)
{
    for (size_t i = 0; i < config->n_services; i++) {
        if (strcmp(config->services[i].name, name) == 0) {
            return &config->services[i];
        }
    }
    return NULL;
}

const struct cm_target *
CmConfig_FindTarget(const struct cm_service *service, const char *name)
{
    for (size_t i = 0; i < service->n_targets; i++) {
        if (strcmp(service->targets[i].name, name) == 0) {
            return &service->targets[i];
        }
    }
    return NULL;
}

const struct cm_adapter *
CmConfig_FindAdapter(const struct cm_config *config, const char *reference,
                     uint32_t *version)
{
    const char *at = strrchr(reference, '@');
    if (at == NULL || !parse_version(at + 1, version) ||
        at - reference > CM_NAME_MAX) {
        return NULL;
    }
    char name[CM_NAME_MAX + 1];
    g_strlcpy(name, reference, (gsize)(at - reference) + 1);
    const struct cm_adapter *adapter =
        g_hash_table_lookup(config->adapters_by_name, name);
    for (size_t i = 0; adapter != NULL && i < adapter->n_versions; i++) {
        if (adapter->versions[i] == *version) {
            return adapter;
        }
    }
    return NULL;
}

const struct cm_service *
CmConfig_FindServiceByModel(const struct cm_config *config,
                            const struct cm_model *model)
{
    for (size_t i = 0; i < config->n_services; i++) {
        const struct cm_service *service = &config->services[i];
        for (size_t j = 0; j < service->n_models; j++) {
            if (service->models[j] == model) {
                return service;
            }
        }
    }
    return NULL;
}
