/// @file settings.h
/// Settings of one process: a small YAML file with its addresses, its zone
/// and its limits, checked like the operators' text.

#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

#include <glib.h>

#include "base/finding.h"
#include "base/log.h"
#include "config/yaml_defs.h"

/// Settings that both programs share.
struct cm_settings {
    struct cm_yaml yaml; ///< owns all texts
    const char *path;    ///< of the file
    const char *name;
    const char *zone;
    const char *admin; ///< IP:PORT for operators
    enum cm_log_format log_format;
    GLogLevelFlags log_level;
};

/// Settings of an entry.
struct cm_entry_settings {
    struct cm_settings common;
    const char *listen;   ///< IP:PORT for callers
    const char *platform; ///< IP:PORT of the object API
    const char **peers;   ///< IP:PORT of other entries' admin listeners
    size_t n_peers;
    const char *policy; ///< routing policy
    int64_t header_bytes;
    int64_t body_bytes;
    int64_t waiting;      ///< requests in progress at once
    int64_t caller_share; ///< of those, most of one caller, percent
    int64_t links;        ///< connections to agents kept open
    int64_t stop_ms;      ///< longest time a planned stop takes
    int64_t once_window_s;
};

/// Settings of an agent.
struct cm_agent_settings {
    struct cm_settings common;
    const char *listen;  ///< IP:PORT for entries
    const char *target;  ///< name of its target in the operators' text
    const char *service; ///< name of its service
    const char *address; ///< IP:PORT of the target
    bool engine;         ///< whether the target serves models
    int64_t slots;
    int64_t capacity; ///< requests the target runs at once
    int64_t queue;    ///< requests that may wait
    int64_t stop_ms;
    const char *eviction; ///< eviction policy
};

/// Other gateways that a gateway may be told of.
#define CM_SEEDS_MAX 8

/// Settings of a gateway: an entry before targets that it reaches directly.
struct cm_gateway_settings {
    struct cm_settings common;
    const char *listen;  ///< IP:PORT for callers
    const char *ready;   ///< IP:PORT for the balancer's question
    const char *control; ///< IP:PORT for other gateways, NULL for none
    const char *seeds[CM_SEEDS_MAX]; ///< IP:PORT of other gateways' control
    size_t n_seeds;
    const char *store;      ///< IP:PORT of the platform's store
    int64_t agent_port;     ///< of the agents, on their targets' machines
    double retry_ratio;     ///< repeats allowed for each request
    int64_t retry_reserve;  ///< repeats allowed besides, of all gateways
    int64_t retry_window_s; ///< window of both
    int64_t files;          ///< that the process may have open
    int64_t drain_ms; ///< a leaving target gets nothing new after this time
    int64_t stop_s;   ///< longest time a planned stop takes
};

/// Settings of an agent that keeps the adapter slots of one engine.
struct cm_slot_agent_settings {
    struct cm_settings common;
    const char *listen; ///< IP:PORT for gateways
    const char *engine; ///< IP:PORT of the engine
};

/// Reads a gateway's settings from `size` bytes of YAML.
bool
CmSettings_ReadGateway(struct cm_gateway_settings *settings, const char *text,
                       size_t size, struct cm_findings *findings);

/// Reads the settings of an agent that keeps slots.
bool
CmSettings_ReadSlotAgent(struct cm_slot_agent_settings *settings,
                         const char *text, size_t size,
                         struct cm_findings *findings);

/// Reads an entry's settings from `size` bytes of YAML.
/// @return whether they are sound; CmSettings_Finish() is due either way.
bool
CmSettings_ReadEntry(struct cm_entry_settings *settings, const char *text,
                     size_t size, struct cm_findings *findings);

/// Frees an entry's settings.
void
CmSettings_FinishEntry(struct cm_entry_settings *settings);

/// Reads an agent's settings.
bool
CmSettings_ReadAgent(struct cm_agent_settings *settings, const char *text,
                     size_t size, struct cm_findings *findings);

/// Frees an agent's settings.
void
CmSettings_FinishAgent(struct cm_agent_settings *settings);

/// Reads a whole file.
/// @return its text, to be freed, or NULL with `*error` set.
char *
CmSettings_LoadFile(const char *path, size_t *size, GError **error);

#endif
