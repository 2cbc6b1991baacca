/// @file services.c
/// Parser of the configuration's services: their fields, targets and
/// dependencies.

#include <string.h>

#include "config/yaml.h"
#include "config_reader.h"

#define TIMEOUT_MAX_MS 600000
#define RETRIES_MAX 5
#define PRIORITY_MAX 9
#define DEFAULT_TIMEOUT_MS 30000

/// Fields of a service before references are resolved.
struct raw_service {
    struct cm_service *service; ///< NULL if its name was not registered
    const struct cm_yaml_node *node;
    const char *kind;
    const struct cm_yaml_node *models;
    const struct cm_yaml_node *adapters;
    const struct cm_yaml_node *depends_on;
    const struct cm_yaml_node *targets;
    struct cm_service values; ///< of scalar fields
};

/// Sets the kind and checks the fields whose use depends on the kind or on
/// `idempotent`.
static void
read_service_kind(struct config_reader *reader, struct raw_service *raw)
{
    struct cm_service *values = &raw->values;
    if (raw->kind == NULL) {
        return;
    }
    if (strcmp(raw->kind, "engines") == 0) {
        values->kind = CM_SERVICE_ENGINES;
    }
    else if (strcmp(raw->kind, "plain") == 0) {
        values->kind = CM_SERVICE_PLAIN;
    }
    else {
        CmYaml_AddFinding(reader->findings, raw->node,
                          "kind is \"%s\"; it must be engines or plain",
                          raw->kind);
    }
    bool engines = values->kind == CM_SERVICE_ENGINES;
    if (engines != (raw->models != NULL)) {
        CmYaml_AddFinding(
            reader->findings, raw->node,
            engines ? "a service of kind engines needs \"models\""
                    : "a service of kind plain can't have \"models\"");
    }
    if (!engines && raw->adapters != NULL) {
        CmYaml_AddFinding(reader->findings, raw->adapters,
                          "a service of kind plain can't have \"adapters\"");
    }
    if (values->hedge_ms > 0 && !values->idempotent) {
        CmYaml_AddFinding(
            reader->findings, raw->node,
            "hedge_ms is allowed only for an idempotent service");
    }
}

#define SERVICE_FIELD(name, type, required, minimum, maximum)                 \
    {                                                                         \
#name, type, required, offsetof(struct raw_service, values.name),     \
            minimum, maximum                                                  \
    }

static void
read_service_values(struct config_reader *reader, struct raw_service *raw)
{
    static const struct cm_yaml_field fields[] = {
        SERVICE_FIELD(name, CM_YAML_STRING, true, 0, 0),
        {"kind", CM_YAML_STRING, true, offsetof(struct raw_service, kind), 0,
         0},
        SERVICE_FIELD(idempotent, CM_YAML_BOOL, true, 0, 0),
        SERVICE_FIELD(stream, CM_YAML_BOOL, false, 0, 0),
        SERVICE_FIELD(timeout_ms, CM_YAML_INTEGER, false, 1, TIMEOUT_MAX_MS),
        SERVICE_FIELD(priority, CM_YAML_INTEGER, false, 0, PRIORITY_MAX),
        SERVICE_FIELD(retries, CM_YAML_INTEGER, false, 0, RETRIES_MAX),
        SERVICE_FIELD(hedge_ms, CM_YAML_INTEGER, false, 0, TIMEOUT_MAX_MS),
        {"models", CM_YAML_LIST, false, offsetof(struct raw_service, models),
         0, 0},
        {"adapters", CM_YAML_LIST, false,
         offsetof(struct raw_service, adapters), 0, 0},
        {"depends_on", CM_YAML_LIST, false,
         offsetof(struct raw_service, depends_on), 0, 0},
        {"targets", CM_YAML_LIST, true, offsetof(struct raw_service, targets),
         0, 0},
    };
    raw->values.timeout_ms = DEFAULT_TIMEOUT_MS;
    raw->values.stream = true;
    raw->values.retries = 1;
    CmYaml_ReadMapping(raw->node, "service", fields, G_N_ELEMENTS(fields), raw,
                       reader->findings);
    read_service_kind(reader, raw);
}

static void
read_service_models(struct config_reader *reader, struct cm_service *service,
                    const struct cm_yaml_node *list)
{
    service->models =
        g_new0(const struct cm_model *, CmYaml_CountChildren(list) + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        if (!CmYaml_RequireText(node, "a model", reader->findings)) {
            continue;
        }
        const struct cm_model *model =
            g_hash_table_lookup(reader->models, node->value);
        if (model == NULL) {
            CmYaml_AddFinding(reader->findings, node, "unknown model \"%s\"",
                              node->value);
            continue;
        }
        service->models[service->n_models++] = model;
    }
}

static void
read_service_adapters(struct config_reader *reader, struct cm_service *service,
                      const struct cm_yaml_node *list)
{
    service->adapters = g_new0(const char *, CmYaml_CountChildren(list) + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        if (!CmYaml_RequireText(node, "an adapter", reader->findings)) {
            continue;
        }
        uint32_t version;
        if (CmConfig_FindAdapter(reader->config, node->value, &version) ==
            NULL) {
            CmYaml_AddFinding(
                reader->findings, node,
                "unknown adapter or version \"%s\"; expected NAME@VERSION",
                node->value);
            continue;
        }
        service->adapters[service->n_adapters++] = node->value;
    }
}

static void
read_target(struct config_reader *reader, struct cm_service *service,
            const struct cm_yaml_node *node)
{
    static const struct cm_yaml_field fields[] = {
        {"name", CM_YAML_STRING, true, offsetof(struct cm_target, name), 0, 0},
        {"zone", CM_YAML_STRING, true, offsetof(struct cm_target, zone), 0, 0},
    };
    struct cm_target *target = &service->targets[service->n_targets];
    CmYaml_ReadMapping(node, "target", fields, G_N_ELEMENTS(fields), target,
                       reader->findings);
    if (target->zone != NULL &&
        g_hash_table_lookup(reader->zones, target->zone) == NULL) {
        CmYaml_AddFinding(reader->findings, node, "unknown zone \"%s\"",
                          target->zone);
    }
    if (CmConfigReader_AddName(reader, reader->config->targets_by_name,
                               "target", target->name, node, target)) {
        service->n_targets++;
    }
}

static void
read_targets(struct config_reader *reader, struct cm_service *service,
             const struct cm_yaml_node *list)
{
    size_t count = CmYaml_CountChildren(list);
    if (count == 0) {
        CmYaml_AddFinding(reader->findings, list,
                          "a service needs at least one target");
    }
    if (count > CM_TARGETS_MAX) {
        CmYaml_AddFinding(reader->findings, list,
                          "more than the limit of %d targets", CM_TARGETS_MAX);
        return;
    }
    service->targets = g_new0(struct cm_target, count + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        read_target(reader, service, node);
    }
}

static void
read_service(struct config_reader *reader, struct raw_service *raw)
{
    struct cm_config *config = reader->config;
    read_service_values(reader, raw);
    struct cm_service *service = &config->services[config->n_services];
    *service = raw->values;
    if (!CmConfigReader_AddName(reader, reader->services, "service",
                                service->name, raw->node, service)) {
        return;
    }
    config->n_services++;
    raw->service = service;
    if (raw->models != NULL) {
        read_service_models(reader, service, raw->models);
    }
    if (raw->adapters != NULL) {
        read_service_adapters(reader, service, raw->adapters);
    }
    if (raw->targets != NULL) {
        read_targets(reader, service, raw->targets);
    }
}

static void
read_dependencies(struct config_reader *reader, const struct raw_service *raw)
{
    struct cm_service *service = raw->service;
    if (service == NULL || raw->depends_on == NULL) {
        return;
    }
    size_t count = CmYaml_CountChildren(raw->depends_on);
    service->depends_on = g_new0(const struct cm_service *, count + 1);
    for (const struct cm_yaml_node *node = raw->depends_on->child;
         node != NULL; node = node->next) {
        if (!CmYaml_RequireText(node, "a service", reader->findings)) {
            continue;
        }
        const struct cm_service *dependency =
            g_hash_table_lookup(reader->services, node->value);
        if (dependency == NULL) {
            CmYaml_AddFinding(reader->findings, node, "unknown service \"%s\"",
                              node->value);
            continue;
        }
        service->depends_on[service->n_depends_on++] = dependency;
    }
}

enum visit { VISIT_NONE, VISIT_ACTIVE, VISIT_DONE };

/// Searches depth-first for a cycle that `service` is part of or depends on.
static bool
find_cycle(const struct cm_config *config, const struct cm_service *service,
           enum visit *visits)
{
    size_t i = (size_t)(service - config->services);
    if (visits[i] != VISIT_NONE) {
        return visits[i] == VISIT_ACTIVE;
    }
    visits[i] = VISIT_ACTIVE;
    bool cycle = false;
    for (size_t j = 0; j < service->n_depends_on && !cycle; j++) {
        cycle = find_cycle(config, service->depends_on[j], visits);
    }
    visits[i] = VISIT_DONE;
    return cycle;
}

static void
check_cycles(struct config_reader *reader,
             const struct raw_service *raw_services)
{
    struct cm_config *config = reader->config;
    enum visit *visits = g_new0(enum visit, config->n_services + 1);
    for (size_t i = 0; raw_services[i].node != NULL; i++) {
        if (raw_services[i].service != NULL &&
            find_cycle(config, raw_services[i].service, visits)) {
            CmYaml_AddFinding(reader->findings, raw_services[i].node,
                              "service \"%s\" has a cyclic dependency",
                              raw_services[i].service->name);
        }
    }
    g_free(visits);
}

void
CmConfigReader_ReadServices(struct config_reader *reader,
                            const struct cm_yaml_node *list)
{
    size_t count = CmYaml_CountChildren(list);
    reader->config->services = g_new0(struct cm_service, count + 1);
    struct raw_service *raw_services = g_new0(struct raw_service, count + 1);
    size_t i = 0;
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        raw_services[i].node = node;
        read_service(reader, &raw_services[i]);
        i++;
    }
    for (i = 0; i < count; i++) {
        read_dependencies(reader, &raw_services[i]);
    }
    check_cycles(reader, raw_services);
    g_free(raw_services);
}
