/// @file services.c
/// The services of the operators' text: their fields, targets and
/// dependencies.

#include <string.h>

#include "config/yaml.h"
#include "config_reader.h"

#define TIMEOUT_MAX_MS 600000
#define RETRIES_MAX 5
#define PRIORITY_MAX 9
#define DEFAULT_TIMEOUT_MS 30000

/// A service as it stands in the text.
struct service_text {
    struct cm_service *service;
    const struct cm_yaml_node *node;
    const char *kind;
    const struct cm_yaml_node *models;
    const struct cm_yaml_node *adapters;
    const struct cm_yaml_node *depends_on;
    const struct cm_yaml_node *targets;
    struct cm_service values;
};

static void
read_service_kind(struct reading *reading, struct service_text *text)
{
    struct cm_service *values = &text->values;
    if (text->kind == NULL) {
        return;
    }
    if (strcmp(text->kind, "engines") == 0) {
        values->kind = CM_SERVICE_ENGINES;
    }
    else if (strcmp(text->kind, "plain") == 0) {
        values->kind = CM_SERVICE_PLAIN;
    }
    else {
        CmYaml_AddFinding(reading->findings, text->node,
                          "kind is \"%s\"; it must be engines or plain",
                          text->kind);
    }
    bool engines = values->kind == CM_SERVICE_ENGINES;
    if (engines != (text->models != NULL)) {
        CmYaml_AddFinding(reading->findings, text->node,
                          engines ? "a service of engines needs \"models\""
                                  : "a plain service has no \"models\"");
    }
    if (!engines && text->adapters != NULL) {
        CmYaml_AddFinding(reading->findings, text->adapters,
                          "a plain service has no \"adapters\"");
    }
    if (values->hedge_ms > 0 && !values->idempotent) {
        CmYaml_AddFinding(reading->findings, text->node,
                          "hedge_ms needs an idempotent service");
    }
}

#define SERVICE_FIELD(name, type, required, minimum, maximum)                 \
    {                                                                         \
#name, type, required, offsetof(struct service_text, values.name),    \
            minimum, maximum                                                  \
    }

static void
read_service_values(struct reading *reading, struct service_text *text)
{
    static const struct cm_yaml_field fields[] = {
        SERVICE_FIELD(name, CM_YAML_STRING, true, 0, 0),
        {"kind", CM_YAML_STRING, true, offsetof(struct service_text, kind), 0,
         0},
        SERVICE_FIELD(idempotent, CM_YAML_BOOL, true, 0, 0),
        SERVICE_FIELD(stream, CM_YAML_BOOL, false, 0, 0),
        SERVICE_FIELD(timeout_ms, CM_YAML_INTEGER, false, 1, TIMEOUT_MAX_MS),
        SERVICE_FIELD(priority, CM_YAML_INTEGER, false, 0, PRIORITY_MAX),
        SERVICE_FIELD(retries, CM_YAML_INTEGER, false, 0, RETRIES_MAX),
        SERVICE_FIELD(hedge_ms, CM_YAML_INTEGER, false, 0, TIMEOUT_MAX_MS),
        {"models", CM_YAML_LIST, false, offsetof(struct service_text, models),
         0, 0},
        {"adapters", CM_YAML_LIST, false,
         offsetof(struct service_text, adapters), 0, 0},
        {"depends_on", CM_YAML_LIST, false,
         offsetof(struct service_text, depends_on), 0, 0},
        {"targets", CM_YAML_LIST, true, offsetof(struct service_text, targets),
         0, 0},
    };
    text->values.timeout_ms = DEFAULT_TIMEOUT_MS;
    text->values.stream = true;
    text->values.retries = 1;
    CmYaml_ReadMapping(text->node, "service", fields, G_N_ELEMENTS(fields),
                       text, reading->findings);
    read_service_kind(reading, text);
}

static void
read_service_models(struct reading *reading, struct cm_service *service,
                    const struct cm_yaml_node *list)
{
    service->models =
        g_new0(const struct cm_model *, CmYaml_CountChildren(list) + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        if (!CmYaml_RequireText(node, "a model", reading->findings)) {
            continue;
        }
        const struct cm_model *model =
            g_hash_table_lookup(reading->models, node->value);
        if (model == NULL) {
            CmYaml_AddFinding(reading->findings, node, "unknown model \"%s\"",
                              node->value);
            continue;
        }
        service->models[service->n_models++] = model;
    }
}

static void
read_service_adapters(struct reading *reading, struct cm_service *service,
                      const struct cm_yaml_node *list)
{
    service->adapters = g_new0(const char *, CmYaml_CountChildren(list) + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        if (!CmYaml_RequireText(node, "an adapter", reading->findings)) {
            continue;
        }
        uint32_t version;
        if (CmConfig_FindAdapter(reading->config, node->value, &version) ==
            NULL) {
            CmYaml_AddFinding(reading->findings, node,
                              "no adapter has the name and version \"%s\"",
                              node->value);
            continue;
        }
        service->adapters[service->n_adapters++] = node->value;
    }
}

static void
read_target(struct reading *reading, struct cm_service *service,
            const struct cm_yaml_node *node)
{
    static const struct cm_yaml_field fields[] = {
        {"name", CM_YAML_STRING, true, offsetof(struct cm_target, name), 0, 0},
        {"zone", CM_YAML_STRING, true, offsetof(struct cm_target, zone), 0, 0},
    };
    struct cm_target *target = &service->targets[service->n_targets];
    CmYaml_ReadMapping(node, "target", fields, G_N_ELEMENTS(fields), target,
                       reading->findings);
    if (target->zone != NULL &&
        g_hash_table_lookup(reading->zones, target->zone) == NULL) {
        CmYaml_AddFinding(reading->findings, node, "unknown zone \"%s\"",
                          target->zone);
    }
    if (CmReading_Register(reading, reading->config->targets_by_name, "target",
                           target->name, node, target)) {
        service->n_targets++;
    }
}

static void
read_targets(struct reading *reading, struct cm_service *service,
             const struct cm_yaml_node *list)
{
    size_t count = CmYaml_CountChildren(list);
    if (count == 0) {
        CmYaml_AddFinding(reading->findings, list, "a service needs a target");
    }
    if (count > CM_TARGETS_MAX) {
        CmYaml_AddFinding(reading->findings, list, "more than %d targets",
                          CM_TARGETS_MAX);
        return;
    }
    service->targets = g_new0(struct cm_target, count + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        read_target(reading, service, node);
    }
}

static void
read_service(struct reading *reading, struct service_text *text)
{
    struct cm_config *config = reading->config;
    read_service_values(reading, text);
    struct cm_service *service = &config->services[config->n_services];
    *service = text->values;
    if (!CmReading_Register(reading, reading->services, "service",
                            service->name, text->node, service)) {
        return;
    }
    config->n_services++;
    text->service = service;
    if (text->models != NULL) {
        read_service_models(reading, service, text->models);
    }
    if (text->adapters != NULL) {
        read_service_adapters(reading, service, text->adapters);
    }
    if (text->targets != NULL) {
        read_targets(reading, service, text->targets);
    }
}

static void
read_dependencies(struct reading *reading, const struct service_text *text)
{
    struct cm_service *service = text->service;
    if (service == NULL || text->depends_on == NULL) {
        return;
    }
    size_t count = CmYaml_CountChildren(text->depends_on);
    service->depends_on = g_new0(const struct cm_service *, count + 1);
    for (const struct cm_yaml_node *node = text->depends_on->child;
         node != NULL; node = node->next) {
        if (!CmYaml_RequireText(node, "a service", reading->findings)) {
            continue;
        }
        const struct cm_service *other =
            g_hash_table_lookup(reading->services, node->value);
        if (other == NULL) {
            CmYaml_AddFinding(reading->findings, node,
                              "unknown service \"%s\"", node->value);
            continue;
        }
        service->depends_on[service->n_depends_on++] = other;
    }
}

enum visit { VISIT_NONE, VISIT_OPEN, VISIT_DONE };

/// Depth-first search for a cycle through `service`.
static bool
find_cycle(const struct cm_config *config, const struct cm_service *service,
           enum visit *visits)
{
    size_t i = (size_t)(service - config->services);
    if (visits[i] != VISIT_NONE) {
        return visits[i] == VISIT_OPEN;
    }
    visits[i] = VISIT_OPEN;
    bool cycle = false;
    for (size_t j = 0; j < service->n_depends_on && !cycle; j++) {
        cycle = find_cycle(config, service->depends_on[j], visits);
    }
    visits[i] = VISIT_DONE;
    return cycle;
}

static void
check_cycles(struct reading *reading, const struct service_text *texts)
{
    struct cm_config *config = reading->config;
    enum visit *visits = g_new0(enum visit, config->n_services + 1);
    for (size_t i = 0; texts[i].node != NULL; i++) {
        if (texts[i].service != NULL &&
            find_cycle(config, texts[i].service, visits)) {
            CmYaml_AddFinding(reading->findings, texts[i].node,
                              "service \"%s\" depends on itself",
                              texts[i].service->name);
        }
    }
    g_free(visits);
}

void
CmReading_Services(struct reading *reading, const struct cm_yaml_node *list)
{
    size_t count = CmYaml_CountChildren(list);
    reading->config->services = g_new0(struct cm_service, count + 1);
    struct service_text *texts = g_new0(struct service_text, count + 1);
    size_t i = 0;
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        texts[i].node = node;
        read_service(reading, &texts[i]);
        i++;
    }
    for (i = 0; i < count; i++) {
        read_dependencies(reading, &texts[i]);
    }
    check_cycles(reading, texts);
    g_free(texts);
}
