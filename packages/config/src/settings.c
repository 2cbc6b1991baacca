/// @file settings.c
/// Parsers of the settings files of entries, gateways and agents.

#include "config/settings.h"

#include <string.h>

#include "base/error.h"
#include "config/yaml.h"

#define STRING_FIELD(type, field, required)                                   \
    {                                                                         \
#field, CM_YAML_STRING, required, offsetof(type, field), 0, 0         \
    }
#define INTEGER_FIELD(type, field, minimum, maximum)                          \
    {                                                                         \
#field, CM_YAML_INTEGER, false, offsetof(type, field), minimum,       \
            maximum                                                           \
    }

#define FILE_MAX_BYTES (64 * 1024 * 1024)
#define HOUR_S 3600
#define DAY_S 86400
#define HOUR_MS 3600000
/// Defaults of a gateway's settings that may be left out.
#define REVOKE_DEFAULT_MS 5000
#define QUOTA_WINDOW_DEFAULT_S 8
/// Connections of an entry that have no request in progress; `waiting` limits
/// the others.
#define ENTRY_CONNECTIONS_DEFAULT 1200
/// Open files of an agent: the usual limit of a machine beside an engine is
/// 4,096, of which the agent needs few itself.
#define AGENT_FILES_DEFAULT 2000

/// Common fields before they are validated. The raw_* structs below start with
/// them and keep nested nodes beside the scalar values of one program.
struct raw_common {
    const char *name;
    const char *zone;
    const char *admin;
    const struct cm_yaml_node *log;
};

struct raw_entry {
    struct raw_common common;
    const struct cm_yaml_node *peers;
    const struct cm_yaml_node *limits;
    struct cm_entry_settings values;
};

struct raw_agent {
    struct raw_common common;
    const char *kind;
    struct cm_agent_settings values;
};

struct raw_log {
    const char *format;
    const char *level;
};

static void
read_log(struct cm_settings *settings, const struct cm_yaml_node *node,
         struct cm_findings *findings)
{
    static const struct cm_yaml_field fields[] = {
        STRING_FIELD(struct raw_log, format, false),
        STRING_FIELD(struct raw_log, level, false),
    };
    struct raw_log log = {0};
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
set_common(struct cm_settings *settings, const struct raw_common *raw,
           struct cm_findings *findings)
{
    settings->name = raw->name;
    settings->zone = raw->zone;
    settings->admin = raw->admin;
    settings->log_format = CM_LOG_JSON;
    settings->log_level = G_LOG_LEVEL_INFO;
    if (raw->log != NULL) {
        read_log(settings, raw->log, findings);
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

/// Parses a settings file and reads its fields into the struct at `parsed`,
/// whose strings are owned by `yaml`.
static void
read_document(struct cm_yaml *yaml, const char *text, size_t size,
              const struct cm_yaml_field *fields, size_t n_fields,
              void *parsed, struct cm_findings *findings)
{
    CmYaml_Init(yaml, text, size, findings);
    if (yaml->root != NULL) {
        CmYaml_ReadMapping(yaml->root, "the settings file", fields, n_fields,
                           parsed, findings);
    }
}

static void
read_limits(struct cm_entry_settings *settings,
            const struct cm_yaml_node *node, struct cm_findings *findings)
{
    static const struct cm_yaml_field fields[] = {
        INTEGER_FIELD(struct cm_entry_settings, header_bytes, 1024, 1048576),
        INTEGER_FIELD(struct cm_entry_settings, body_bytes, 1024, 8388608),
        INTEGER_FIELD(struct cm_entry_settings, waiting, 1, 100000),
        INTEGER_FIELD(struct cm_entry_settings, caller_share, 1, 100),
        INTEGER_FIELD(struct cm_entry_settings, links, 1, 10000),
        INTEGER_FIELD(struct cm_entry_settings, stop_ms, 0, HOUR_MS),
        INTEGER_FIELD(struct cm_entry_settings, once_window_s, 60, DAY_S),
        INTEGER_FIELD(struct cm_entry_settings, connections, 1, 1000000),
        INTEGER_FIELD(struct cm_entry_settings, peer_memory_mib, 16, 1048576),
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
        COMMON_FIELDS(struct raw_entry),
        {"listen", CM_YAML_STRING, true,
         offsetof(struct raw_entry, values.listen), 0, 0},
        {"platform", CM_YAML_STRING, true,
         offsetof(struct raw_entry, values.platform), 0, 0},
        {"policy", CM_YAML_STRING, false,
         offsetof(struct raw_entry, values.policy), 0, 0},
        {"peers", CM_YAML_LIST, false, offsetof(struct raw_entry, peers), 0,
         0},
        {"limits", CM_YAML_NESTED_MAPPING, false,
         offsetof(struct raw_entry, limits), 0, 0},
    };
    struct raw_entry parsed = {0};
    parsed.values = (struct cm_entry_settings){
        .policy = "expected-wait",
        .header_bytes = 32768,
        .body_bytes = 4194304,
        .waiting = 4096,
        .caller_share = 50,
        .links = 512,
        .stop_ms = 30000,
        .once_window_s = 3600,
        .connections = ENTRY_CONNECTIONS_DEFAULT,
        .peer_memory_mib = CM_PEER_MEMORY_DEFAULT_MIB};
    struct cm_yaml yaml;
    read_document(&yaml, text, size, fields, G_N_ELEMENTS(fields), &parsed,
                  findings);
    *settings = parsed.values;
    settings->common.yaml = yaml;
    set_common(&settings->common, &parsed.common, findings);
    if (parsed.peers != NULL) {
        read_peers(settings, parsed.peers, findings);
    }
    if (parsed.limits != NULL) {
        read_limits(settings, parsed.limits, findings);
    }
    return findings->count == 0;
}

void
CmSettings_FinishEntry(struct cm_entry_settings *settings)
{
    g_free(settings->peers);
    CmYaml_Finish(&settings->common.yaml);
}

#define AGENT_INTEGER(field, minimum, maximum)                                \
    {                                                                         \
#field, CM_YAML_INTEGER, false,                                       \
            offsetof(struct raw_agent, values.field), minimum, maximum        \
    }
#define AGENT_STRING(field, required)                                         \
    {                                                                         \
#field, CM_YAML_STRING, required,                                     \
            offsetof(struct raw_agent, values.field), 0, 0                    \
    }

bool
CmSettings_ReadAgent(struct cm_agent_settings *settings, const char *text,
                     size_t size, struct cm_findings *findings)
{
    static const struct cm_yaml_field fields[] = {
        COMMON_FIELDS(struct raw_agent),
        AGENT_STRING(listen, true),
        AGENT_STRING(target, true),
        AGENT_STRING(service, true),
        AGENT_STRING(address, true),
        AGENT_STRING(eviction, false),
        {"kind", CM_YAML_STRING, true, offsetof(struct raw_agent, kind), 0, 0},
        AGENT_INTEGER(slots, 1, 256),
        AGENT_INTEGER(capacity, 1, 4096),
        AGENT_INTEGER(queue, 1, 100000),
        AGENT_INTEGER(stop_ms, 0, HOUR_MS),
    };
    struct raw_agent parsed = {0};
    parsed.values = (struct cm_agent_settings){.slots = 8,
                                               .capacity = 32,
                                               .queue = 1024,
                                               .stop_ms = 60000,
                                               .eviction = "value"};
    struct cm_yaml yaml;
    CmYaml_Init(&yaml, text, size, findings);
    if (yaml.root != NULL) {
        CmYaml_ReadMapping(yaml.root, "the settings file", fields,
                           G_N_ELEMENTS(fields), &parsed, findings);
        if (parsed.kind != NULL && strcmp(parsed.kind, "engine") != 0 &&
            strcmp(parsed.kind, "plain") != 0) {
            CmYaml_AddFinding(findings, yaml.root,
                              "kind must be engine or plain");
        }
    }
    *settings = parsed.values;
    settings->engine =
        parsed.kind != NULL && strcmp(parsed.kind, "engine") == 0;
    settings->common.yaml = yaml;
    set_common(&settings->common, &parsed.common, findings);
    return findings->count == 0;
}

void
CmSettings_FinishAgent(struct cm_agent_settings *settings)
{
    CmYaml_Finish(&settings->common.yaml);
}

struct raw_gateway {
    struct raw_common common;
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
            CmYaml_AddFinding(findings, node,
                              "more than the limit of %d seeds", CM_SEEDS_MAX);
            return;
        }
        if (CmYaml_RequireText(node, "a seed", findings)) {
            settings->seeds[settings->n_seeds++] = node->value;
        }
    }
}

#define GATEWAY_STRING(field)                                                 \
    {                                                                         \
#field, CM_YAML_STRING, true,                                         \
            offsetof(struct raw_gateway, values.field), 0, 0                  \
    }
#define GATEWAY_INTEGER(field, minimum, maximum)                              \
    {                                                                         \
#field, CM_YAML_INTEGER, true,                                        \
            offsetof(struct raw_gateway, values.field), minimum, maximum      \
    }
#define GATEWAY_OPTION(field, type, minimum, maximum)                         \
    {                                                                         \
#field, type, false, offsetof(struct raw_gateway, values.field),      \
            minimum, maximum                                                  \
    }
#define GATEWAY_REAL(field, minimum, maximum)                                 \
    {                                                                         \
#field, CM_YAML_REAL, true,                                           \
            offsetof(struct raw_gateway, values.field), minimum, maximum      \
    }

bool
CmSettings_ReadGateway(struct cm_gateway_settings *settings, const char *text,
                       size_t size, struct cm_findings *findings)
{
    static const struct cm_yaml_field fields[] = {
        COMMON_FIELDS(struct raw_gateway),
        GATEWAY_STRING(listen),
        GATEWAY_STRING(ready),
        {"control", CM_YAML_STRING, false,
         offsetof(struct raw_gateway, values.control), 0, 0},
        {"streams", CM_YAML_STRING, false,
         offsetof(struct raw_gateway, values.streams), 0, 0},
        {"seeds", CM_YAML_LIST, false, offsetof(struct raw_gateway, seeds), 0,
         0},
        GATEWAY_STRING(store),
        GATEWAY_INTEGER(agent_port, 1, 65535),
        GATEWAY_REAL(retry_ratio, 0, 1),
        GATEWAY_REAL(retry_reserve, 0, 1000000),
        GATEWAY_REAL(retry_window_s, 0.1, HOUR_S),
        GATEWAY_INTEGER(files, 64, 10000000),
        GATEWAY_REAL(drain_ms, 100, 60000),
        GATEWAY_REAL(stop_s, 0.1, HOUR_S),
        GATEWAY_OPTION(peer_memory_mib, CM_YAML_INTEGER, 16, 1048576),
        GATEWAY_OPTION(load_reports, CM_YAML_BOOL, 0, 0),
        GATEWAY_OPTION(strict_revoke, CM_YAML_BOOL, 0, 0),
        GATEWAY_OPTION(revoke_ms, CM_YAML_REAL, 100, HOUR_MS),
        GATEWAY_OPTION(quota_window_s, CM_YAML_REAL, 0.1, HOUR_S),
        GATEWAY_OPTION(quota_over, CM_YAML_REAL, 0, 10),
        GATEWAY_OPTION(quota_slack, CM_YAML_REAL, 0, 1e12),
    };
    struct raw_gateway parsed = {0};
    parsed.values.peer_memory_mib = CM_PEER_MEMORY_DEFAULT_MIB;
    parsed.values.revoke_ms = REVOKE_DEFAULT_MS;
    parsed.values.quota_window_s = QUOTA_WINDOW_DEFAULT_S;
    struct cm_yaml yaml;
    read_document(&yaml, text, size, fields, G_N_ELEMENTS(fields), &parsed,
                  findings);
    *settings = parsed.values;
    settings->common.yaml = yaml;
    set_common(&settings->common, &parsed.common, findings);
    if (parsed.seeds != NULL) {
        read_seeds(settings, parsed.seeds, findings);
    }
    return findings->count == 0;
}

struct raw_slot_agent {
    struct raw_common common;
    struct cm_slot_agent_settings values;
};

bool
CmSettings_ReadSlotAgent(struct cm_slot_agent_settings *settings,
                         const char *text, size_t size,
                         struct cm_findings *findings)
{
    static const struct cm_yaml_field fields[] = {
        COMMON_FIELDS(struct raw_slot_agent),
        {"listen", CM_YAML_STRING, true,
         offsetof(struct raw_slot_agent, values.listen), 0, 0},
        {"engine", CM_YAML_STRING, true,
         offsetof(struct raw_slot_agent, values.engine), 0, 0},
        {"files", CM_YAML_INTEGER, false,
         offsetof(struct raw_slot_agent, values.files), 64, 10000000},
        {"peer_memory_mib", CM_YAML_INTEGER, false,
         offsetof(struct raw_slot_agent, values.peer_memory_mib), 16, 1048576},
    };
    struct raw_slot_agent parsed = {0};
    parsed.values.files = AGENT_FILES_DEFAULT;
    parsed.values.peer_memory_mib = CM_PEER_MEMORY_DEFAULT_MIB;
    struct cm_yaml yaml;
    read_document(&yaml, text, size, fields, G_N_ELEMENTS(fields), &parsed,
                  findings);
    *settings = parsed.values;
    settings->common.yaml = yaml;
    set_common(&settings->common, &parsed.common, findings);
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
