/// @file settings.c
/// Settings of one process.

#include "config/settings.h"

#include <string.h>

#include "base/error.h"
#include "config/yaml.h"

#define TEXT(type, field, required)                                           \
    {                                                                         \
#field, CM_YAML_STRING, required, offsetof(type, field), 0, 0         \
    }
#define NUMBER(type, field, minimum, maximum)                                 \
    {                                                                         \
#field, CM_YAML_INTEGER, false, offsetof(type, field), minimum,       \
            maximum                                                           \
    }

#define FILE_MAX_BYTES (64 * 1024 * 1024)
#define DAY_S 86400

/// Fields every settings file has, before they are looked into.
struct common_text {
    const char *name;
    const char *zone;
    const char *admin;
    const struct cm_yaml_node *log;
};

struct entry_text {
    struct common_text common;
    const struct cm_yaml_node *peers;
    const struct cm_yaml_node *limits;
    struct cm_entry_settings values;
};

struct agent_text {
    struct common_text common;
    const char *kind;
    struct cm_agent_settings values;
};

struct log_text {
    const char *format;
    const char *level;
};

static void
read_log(struct cm_settings *settings, const struct cm_yaml_node *node,
         struct cm_findings *findings)
{
    static const struct cm_yaml_field fields[] = {
        TEXT(struct log_text, format, false),
        TEXT(struct log_text, level, false),
    };
    struct log_text log = {0};
    CmYaml_ReadMapping(node, "log", fields, G_N_ELEMENTS(fields), &log,
                       findings);
    if (log.format != NULL && strcmp(log.format, "text") == 0) {
        settings->log_format = CM_LOG_TEXT;
    }
    else if (log.format != NULL && strcmp(log.format, "json") != 0) {
        CmYaml_AddFinding(findings, node, "log format must be json or text");
    }
    if (log.level != NULL &&
        !CmLog_ParseLevel(log.level, &settings->log_level)) {
        CmYaml_AddFinding(findings, node,
                          "log level must be error, warning, info or debug");
    }
}

static void
finish_common(struct cm_settings *settings, const struct common_text *text,
              struct cm_findings *findings)
{
    settings->name = text->name;
    settings->zone = text->zone;
    settings->admin = text->admin;
    settings->log_format = CM_LOG_JSON;
    settings->log_level = G_LOG_LEVEL_INFO;
    if (text->log != NULL) {
        read_log(settings, text->log, findings);
    }
}

#define COMMON_FIELDS(type)                                                   \
    {"name", CM_YAML_STRING, true, offsetof(type, common.name), 0, 0},        \
        {"zone", CM_YAML_STRING, true, offsetof(type, common.zone), 0, 0},    \
        {"admin", CM_YAML_STRING, true, offsetof(type, common.admin), 0, 0},  \
    {                                                                         \
        "log", CM_YAML_NESTED_MAPPING, false, offsetof(type, common.log), 0,  \
            0                                                                 \
    }

/// Parses a settings file and reads its fields into the struct at `read`.
static void
read_document(struct cm_yaml *yaml, const char *text, size_t size,
              const struct cm_yaml_field *fields, size_t n_fields, void *read,
              struct cm_findings *findings)
{
    CmYaml_Init(yaml, text, size, findings);
    if (yaml->root != NULL) {
        CmYaml_ReadMapping(yaml->root, "the settings", fields, n_fields, read,
                           findings);
    }
}

static void
read_limits(struct cm_entry_settings *settings,
            const struct cm_yaml_node *node, struct cm_findings *findings)
{
    static const struct cm_yaml_field fields[] = {
        NUMBER(struct cm_entry_settings, header_bytes, 1024, 1048576),
        NUMBER(struct cm_entry_settings, body_bytes, 1024, 8388608),
        NUMBER(struct cm_entry_settings, waiting, 1, 100000),
        NUMBER(struct cm_entry_settings, caller_share, 1, 100),
        NUMBER(struct cm_entry_settings, links, 1, 10000),
        NUMBER(struct cm_entry_settings, stop_ms, 0, 3600000),
        NUMBER(struct cm_entry_settings, once_window_s, 60, DAY_S),
    };
    CmYaml_ReadMapping(node, "limits", fields, G_N_ELEMENTS(fields), settings,
                       findings);
}

static void
read_peers(struct cm_entry_settings *settings, const struct cm_yaml_node *list,
           struct cm_findings *findings)
{
    settings->peers = g_new0(const char *, CmYaml_CountChildren(list) + 1);
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        if (CmYaml_RequireText(node, "a peer", findings)) {
            settings->peers[settings->n_peers++] = node->value;
        }
    }
}

bool
CmSettings_ReadEntry(struct cm_entry_settings *settings, const char *text,
                     size_t size, struct cm_findings *findings)
{
    static const struct cm_yaml_field fields[] = {
        COMMON_FIELDS(struct entry_text),
        {"listen", CM_YAML_STRING, true,
         offsetof(struct entry_text, values.listen), 0, 0},
        {"platform", CM_YAML_STRING, true,
         offsetof(struct entry_text, values.platform), 0, 0},
        {"policy", CM_YAML_STRING, false,
         offsetof(struct entry_text, values.policy), 0, 0},
        {"peers", CM_YAML_LIST, false, offsetof(struct entry_text, peers), 0,
         0},
        {"limits", CM_YAML_NESTED_MAPPING, false,
         offsetof(struct entry_text, limits), 0, 0},
    };
    struct entry_text read = {0};
    read.values = (struct cm_entry_settings){.policy = "expected-wait",
                                             .header_bytes = 32768,
                                             .body_bytes = 4194304,
                                             .waiting = 4096,
                                             .caller_share = 50,
                                             .links = 512,
                                             .stop_ms = 30000,
                                             .once_window_s = 3600};
    struct cm_yaml yaml;
    read_document(&yaml, text, size, fields, G_N_ELEMENTS(fields), &read,
                  findings);
    *settings = read.values;
    settings->common.yaml = yaml;
    finish_common(&settings->common, &read.common, findings);
    if (read.peers != NULL) {
        read_peers(settings, read.peers, findings);
    }
    if (read.limits != NULL) {
        read_limits(settings, read.limits, findings);
    }
    return findings->count == 0;
}

void
CmSettings_FinishEntry(struct cm_entry_settings *settings)
{
    g_free(settings->peers);
    CmYaml_Finish(&settings->common.yaml);
}

#define AGENT_NUMBER(field, minimum, maximum)                                 \
    {                                                                         \
#field, CM_YAML_INTEGER, false,                                       \
            offsetof(struct agent_text, values.field), minimum, maximum       \
    }
#define AGENT_TEXT(field, required)                                           \
    {                                                                         \
#field, CM_YAML_STRING, required,                                     \
            offsetof(struct agent_text, values.field), 0, 0                   \
    }

bool
CmSettings_ReadAgent(struct cm_agent_settings *settings, const char *text,
                     size_t size, struct cm_findings *findings)
{
    static const struct cm_yaml_field fields[] = {
        COMMON_FIELDS(struct agent_text),
        AGENT_TEXT(listen, true),
        AGENT_TEXT(target, true),
        AGENT_TEXT(service, true),
        AGENT_TEXT(address, true),
        AGENT_TEXT(eviction, false),
        {"kind", CM_YAML_STRING, true, offsetof(struct agent_text, kind), 0,
         0},
        AGENT_NUMBER(slots, 1, 256),
        AGENT_NUMBER(capacity, 1, 4096),
        AGENT_NUMBER(queue, 1, 100000),
        AGENT_NUMBER(stop_ms, 0, 3600000),
    };
    struct agent_text read = {0};
    read.values = (struct cm_agent_settings){.slots = 8,
                                             .capacity = 32,
                                             .queue = 1024,
                                             .stop_ms = 60000,
                                             .eviction = "value"};
    struct cm_yaml yaml;
    CmYaml_Init(&yaml, text, size, findings);
    if (yaml.root != NULL) {
        CmYaml_ReadMapping(yaml.root, "the settings", fields,
                           G_N_ELEMENTS(fields), &read, findings);
        if (read.kind != NULL && strcmp(read.kind, "engine") != 0 &&
            strcmp(read.kind, "plain") != 0) {
            CmYaml_AddFinding(findings, yaml.root,
                              "kind must be engine or plain");
        }
    }
    *settings = read.values;
    settings->engine = read.kind != NULL && strcmp(read.kind, "engine") == 0;
    settings->common.yaml = yaml;
    finish_common(&settings->common, &read.common, findings);
    return findings->count == 0;
}

void
CmSettings_FinishAgent(struct cm_agent_settings *settings)
{
    CmYaml_Finish(&settings->common.yaml);
}

struct gateway_text {
    struct common_text common;
    const struct cm_yaml_node *seeds;
    struct cm_gateway_settings values;
};

static void
read_seeds(struct cm_gateway_settings *settings,
           const struct cm_yaml_node *list, struct cm_findings *findings)
{
    for (const struct cm_yaml_node *node = list->child; node != NULL;
         node = node->next) {
        if (settings->n_seeds == CM_SEEDS_MAX) {
            CmYaml_AddFinding(findings, node, "more than %d seeds",
                              CM_SEEDS_MAX);
            return;
        }
        if (CmYaml_RequireText(node, "a seed", findings)) {
            settings->seeds[settings->n_seeds++] = node->value;
        }
    }
}

#define GATEWAY_TEXT(field)                                                   \
    {                                                                         \
#field, CM_YAML_STRING, true,                                         \
            offsetof(struct gateway_text, values.field), 0, 0                 \
    }
#define GATEWAY_NUMBER(field, minimum, maximum)                               \
    {                                                                         \
#field, CM_YAML_INTEGER, true,                                        \
            offsetof(struct gateway_text, values.field), minimum, maximum     \
    }

bool
CmSettings_ReadGateway(struct cm_gateway_settings *settings, const char *text,
                       size_t size, struct cm_findings *findings)
{
    static const struct cm_yaml_field fields[] = {
        COMMON_FIELDS(struct gateway_text),
        GATEWAY_TEXT(listen),
        GATEWAY_TEXT(ready),
        {"control", CM_YAML_STRING, false,
         offsetof(struct gateway_text, values.control), 0, 0},
        {"seeds", CM_YAML_LIST, false, offsetof(struct gateway_text, seeds), 0,
         0},
        GATEWAY_TEXT(store),
        GATEWAY_NUMBER(agent_port, 1, 65535),
        {"retry_ratio", CM_YAML_REAL, true,
         offsetof(struct gateway_text, values.retry_ratio), 0, 1},
        GATEWAY_NUMBER(retry_reserve, 0, 1000000),
        GATEWAY_NUMBER(retry_window_s, 1, 3600),
        GATEWAY_NUMBER(files, 64, 10000000),
        GATEWAY_NUMBER(drain_ms, 100, 60000),
        GATEWAY_NUMBER(stop_s, 1, 3600),
    };
    struct gateway_text read = {0};
    struct cm_yaml yaml;
    read_document(&yaml, text, size, fields, G_N_ELEMENTS(fields), &read,
                  findings);
    *settings = read.values;
    settings->common.yaml = yaml;
    finish_common(&settings->common, &read.common, findings);
    if (read.seeds != NULL) {
        read_seeds(settings, read.seeds, findings);
    }
    return findings->count == 0;
}

struct slots_text {
    struct common_text common;
    struct cm_slot_agent_settings values;
};

bool
CmSettings_ReadSlotAgent(struct cm_slot_agent_settings *settings,
                         const char *text, size_t size,
                         struct cm_findings *findings)
{
    static const struct cm_yaml_field fields[] = {
        COMMON_FIELDS(struct slots_text),
        {"listen", CM_YAML_STRING, true,
         offsetof(struct slots_text, values.listen), 0, 0},
        {"engine", CM_YAML_STRING, true,
         offsetof(struct slots_text, values.engine), 0, 0},
    };
    struct slots_text read = {0};
    struct cm_yaml yaml;
    read_document(&yaml, text, size, fields, G_N_ELEMENTS(fields), &read,
                  findings);
    *settings = read.values;
    settings->common.yaml = yaml;
    finish_common(&settings->common, &read.common, findings);
    return findings->count == 0;
}

char *
CmSettings_LoadFile(const char *path, size_t *size, GError **error)
{
    char *text;
    gsize length;
    if (!g_file_get_contents(path, &text, &length, error)) {
        return NULL;
    }
    if (length > FILE_MAX_BYTES) {
        g_set_error(error, CM_ERROR, CM_ERROR_LIMIT,
                    "%s is longer than %d bytes", path, FILE_MAX_BYTES);
        g_free(text);
        return NULL;
    }
    *size = length;
    return text;
}
