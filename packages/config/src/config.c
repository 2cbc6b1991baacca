/// @file config.c
/// Parser of the configuration file: reads each section by a table of fields,
/// then checks references between sections.

#include "config/config.h"

#include <string.h>

#include "config/yaml.h"
#include "config_reader.h"

#define VERSION_MAX 1000000000
#define LOADS_PER_SECOND_MAX 10000
#define CONCURRENT_LOADS_MAX 1000
#define DEFAULT_LOADS_PER_SECOND 5
#define DEFAULT_CONCURRENT_LOADS 8
#define OBJECTIVE_SUM_TOLERANCE 0.001

/// Nodes of the top-level sections; NULL for absent ones.
struct sections {
    const struct cm_yaml_node *zones;
    const struct cm_yaml_node *objective;
    const struct cm_yaml_node *weight_store;
    const struct cm_yaml_node *models;
    const struct cm_yaml_node *adapters;
    const struct cm_yaml_node *services;
};

/// @return whether `name` has 1 to CM_NAME_MAX letters, digits, '-', '_' and
///         '.'.
static bool
is_valid_name(const char *name)
{
    size_t size = strlen(name);
    if (size == 0 || size > CM_NAME_MAX) {
        return false;
    }
    return strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                        "0123456789-_.") == size;
}

bool
CmConfigReader_AddName(struct config_reader *reader, GHashTable *table,
                       const char *kind, const char *name,
                       const struct cm_yaml_node *node, void *value)
{
    if (name == NULL) {
        return false;
    }
    if (!is_valid_name(name)) {
        CmYaml_AddFinding(
            reader->findings, node,
            "\"%s\" is not a valid %s name: use 1 to %d letters, digits, "
            "'-', '_' or '.'",
            name, kind, CM_NAME_MAX);
        return false;
    }
    if (g_hash_table_lookup(table, name) != NULL) {
        CmYaml_AddFinding(reader->findings, node, "%s \"%s\" is defined twice",
                          kind, name);
        return false;
    }
    g_hash_table_insert(table, (gpointer)name, value);
    return true;
}

static void
read_zones(struct config_reader *reader, const struct cm_yaml_node *list)
{
    struct cm_config *config = reader->config;
    config->zones = g_new0(const char *, CmYaml_CountChildren(list) + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        if (CmYaml_RequireText(node, "a zone", reader->findings) &&
            CmConfigReader_AddName(reader, reader->zones, "zone", node->value,
                                   node, (void *)node)) {
            config->zones[config->n_zones++] = node->value;
        }
    }
}

static void
read_objective(struct config_reader *reader, const struct cm_yaml_node *node)
{
    static const struct cm_yaml_field fields[] = {
        {"load_stall", CM_YAML_REAL, true,
         offsetof(struct cm_objective, load_stall), 0, 1},
        {"batch_efficiency", CM_YAML_REAL, true,
         offsetof(struct cm_objective, batch_efficiency), 0, 1},
    };
    struct cm_objective *objective = &reader->config->objective;
    size_t findings_before = reader->findings->count;
    CmYaml_ReadMapping(node, "objective", fields, G_N_ELEMENTS(fields),
                       objective, reader->findings);
    double sum = objective->load_stall + objective->batch_efficiency;
    if (reader->findings->count == findings_before &&
        (sum < 1 - OBJECTIVE_SUM_TOLERANCE ||
         sum > 1 + OBJECTIVE_SUM_TOLERANCE)) {
        CmYaml_AddFinding(
            reader->findings, node,
            "the objective weights sum to %g; they must sum to 1", sum);
    }
}

static void
read_weight_store(struct config_reader *reader,
                  const struct cm_yaml_node *node)
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
                       &reader->config->weight_store, reader->findings);
}

static void
read_models(struct config_reader *reader, const struct cm_yaml_node *list)
{
    static const struct cm_yaml_field fields[] = {
        {"name", CM_YAML_STRING, true, offsetof(struct cm_model, name), 0, 0},
    };
    struct cm_config *config = reader->config;
    config->models = g_new0(struct cm_model, CmYaml_CountChildren(list) + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        struct cm_model *model = &config->models[config->n_models];
        CmYaml_ReadMapping(node, "model", fields, G_N_ELEMENTS(fields), model,
                           reader->findings);
        if (CmConfigReader_AddName(reader, reader->models, "model",
                                   model->name, node, model)) {
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
read_versions(struct config_reader *reader, struct cm_adapter *adapter,
              const struct cm_yaml_node *list)
{
    adapter->versions = g_new0(uint32_t, CmYaml_CountChildren(list) + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        uint32_t version;
        if (node->kind != CM_YAML_SCALAR ||
            !parse_version(node->value, &version)) {
            CmYaml_AddFinding(reader->findings, node,
                              "a version must be a whole number from 1 to %d",
                              VERSION_MAX);
            continue;
        }
        for (size_t i = 0; i < adapter->n_versions; i++) {
            if (adapter->versions[i] == version) {
                CmYaml_AddFinding(reader->findings, node,
                                  "version %u is listed twice", version);
            }
        }
        adapter->versions[adapter->n_versions++] = version;
    }
    qsort(adapter->versions, adapter->n_versions, sizeof(uint32_t),
          compare_versions);
    if (adapter->n_versions == 0) {
        CmYaml_AddFinding(reader->findings, list,
                          "an adapter needs at least one version");
    }
}

/// Fields of an adapter before references are resolved.
struct raw_adapter {
    const char *name;
    const char *model;
    const struct cm_yaml_node *versions;
};

static void
read_adapter(struct config_reader *reader, const struct cm_yaml_node *node)
{
    static const struct cm_yaml_field fields[] = {
        {"name", CM_YAML_STRING, true, offsetof(struct raw_adapter, name), 0,
         0},
        {"model", CM_YAML_STRING, true, offsetof(struct raw_adapter, model), 0,
         0},
        {"versions", CM_YAML_LIST, true,
         offsetof(struct raw_adapter, versions), 0, 0},
    };
    struct raw_adapter raw = {0};
    CmYaml_ReadMapping(node, "adapter", fields, G_N_ELEMENTS(fields), &raw,
                       reader->findings);
    struct cm_config *config = reader->config;
    struct cm_adapter *adapter = &config->adapters[config->n_adapters];
    adapter->name = raw.name;
    if (raw.model != NULL) {
        adapter->model = g_hash_table_lookup(reader->models, raw.model);
        if (adapter->model == NULL) {
            CmYaml_AddFinding(reader->findings, node, "unknown model \"%s\"",
                              raw.model);
        }
    }
    if (CmConfigReader_AddName(reader, config->adapters_by_name, "adapter",
                               raw.name, node, adapter)) {
        config->n_adapters++;
        if (raw.versions != NULL) {
            read_versions(reader, adapter, raw.versions);
        }
    }
}

static void
read_adapters(struct config_reader *reader, const struct cm_yaml_node *list)
{
    struct cm_config *config = reader->config;
    size_t count = CmYaml_CountChildren(list);
    if (count > CM_ADAPTERS_MAX) {
        CmYaml_AddFinding(reader->findings, list,
                          "more than the limit of %d adapters",
                          CM_ADAPTERS_MAX);
        return;
    }
    config->adapters = g_new0(struct cm_adapter, count + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        read_adapter(reader, node);
    }
}

static void
read_sections(struct config_reader *reader, const struct sections *sections)
{
    if (sections->zones != NULL) {
        read_zones(reader, sections->zones);
    }
    if (sections->objective != NULL) {
        read_objective(reader, sections->objective);
    }
    if (sections->weight_store != NULL) {
        read_weight_store(reader, sections->weight_store);
    }
    if (sections->models != NULL) {
        read_models(reader, sections->models);
    }
    if (sections->adapters != NULL) {
        read_adapters(reader, sections->adapters);
    }
    if (sections->services != NULL) {
        CmConfigReader_ReadServices(reader, sections->services);
    }
}

/// Fields of the top-level mapping.
struct top_level {
    const char *deployment;
    struct sections sections;
};

static void
read_top_level(struct config_reader *reader, const struct cm_yaml_node *root)
{
    static const struct cm_yaml_field fields[] = {
        {"deployment", CM_YAML_STRING, true,
         offsetof(struct top_level, deployment), 0, 0},
        {"zones", CM_YAML_LIST, true,
         offsetof(struct top_level, sections.zones), 0, 0},
        {"objective", CM_YAML_NESTED_MAPPING, false,
         offsetof(struct top_level, sections.objective), 0, 0},
        {"weight_store", CM_YAML_NESTED_MAPPING, false,
         offsetof(struct top_level, sections.weight_store), 0, 0},
        {"models", CM_YAML_LIST, false,
         offsetof(struct top_level, sections.models), 0, 0},
        {"adapters", CM_YAML_LIST, false,
         offsetof(struct top_level, sections.adapters), 0, 0},
        {"services", CM_YAML_LIST, true,
         offsetof(struct top_level, sections.services), 0, 0},
    };
    struct top_level top_level = {0};
    CmYaml_ReadMapping(root, "the configuration", fields, G_N_ELEMENTS(fields),
                       &top_level, reader->findings);
    reader->config->deployment = top_level.deployment;
    read_sections(reader, &top_level.sections);
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
    struct config_reader reader = {
        .config = config,
        .findings = findings,
        .zones = g_hash_table_new(g_str_hash, g_str_equal),
        .models = g_hash_table_new(g_str_hash, g_str_equal),
        .services = g_hash_table_new(g_str_hash, g_str_equal),
    };
    read_top_level(&reader, config->yaml.root);
    g_hash_table_destroy(reader.zones);
    g_hash_table_destroy(reader.models);
    g_hash_table_destroy(reader.services);
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
