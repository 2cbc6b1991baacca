/// @file settings.h
/// Settings of one process: a small YAML file with its addresses, zone and
/// limits. Problems become findings, as with the configuration file.

#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

#include <glib.h>

#include "base/finding.h"
#include "base/log.h"
#include "config/yaml_defs.h"

/// Default limit of the memory that a process holds for its peers. The
/// smallest machines have 192 MB.
#define CM_PEER_MEMORY_DEFAULT_MIB 128

/// Settings that every process has.
struct cm_settings {
    struct cm_yaml yaml; ///< owns all strings of the settings
    const char *path;    ///< of the settings file
    const char *name;
    const char *zone;
    const char *admin; ///< IP:PORT of the admin listener
    enum cm_log_format log_format;
    GLogLevelFlags log_level;
};

/// Settings of an entry, the HTTP front end that reaches targets through
/// agents over ZeroMQ.
struct cm_entry_settings {
    struct cm_settings common;
    const char *listen;   ///< IP:PORT for callers
    const char *platform; ///< IP:PORT of the object API
    const char **peers;   ///< IP:PORT of other entries' admin listeners
    size_t n_peers;
    const char *policy;      ///< routing policy
    int64_t header_bytes;    ///< largest request header
    int64_t body_bytes;      ///< largest request body
    int64_t waiting;         ///< limit of requests in progress
    int64_t caller_share;    ///< percent of `waiting` that one caller may use
    int64_t links;           ///< limit of open connections to agents
    int64_t stop_ms;         ///< timeout of a graceful shutdown
    int64_t once_window_s;   ///< retention of idempotency records
    int64_t connections;     ///< limit of those without a request in progress
    int64_t peer_memory_mib; ///< limit of the memory held for callers
};

/// Settings of an agent that runs the requests of entries on one target.
struct cm_agent_settings {
    struct cm_settings common;
    const char *listen;   ///< IP:PORT for entries
    const char *target;   ///< name of the target in the configuration
    const char *service;  ///< name of the target's service
    const char *address;  ///< IP:PORT of the target
    bool engine;          ///< whether the target serves models
    int64_t slots;        ///< adapter slots of the engine
    int64_t capacity;     ///< requests that the target runs concurrently
    int64_t queue;        ///< limit of queued requests
    int64_t stop_ms;      ///< timeout of a graceful shutdown
    const char *eviction; ///< eviction policy
};

/// Limit of seed addresses in a gateway's settings.
#define CM_SEEDS_MAX 8

/// Settings of a gateway, the HTTP front end that connects to targets
/// directly.
struct cm_gateway_settings {
    struct cm_settings common;
    const char *listen;  ///< IP:PORT for callers
    const char *ready;   ///< IP:PORT of the load balancer's readiness probe
    const char *control; ///< IP:PORT for other gateways, NULL for none
    /// IP:PORT for datagrams of agents; NULL for any port of `listen`'s host.
    const char *streams;
    /// IP:PORT of other gateways' control addresses, as of the start; the
    /// roster has those of the settings in force.
    const char *seeds[CM_SEEDS_MAX];
    size_t n_seeds;
    const char *store;       ///< IP:PORT of the platform's store
    int64_t agent_port;      ///< port of the agent on each target's instance
    double retry_ratio;      ///< retry budget as a share of requests
    double retry_reserve;    ///< retries beyond it, of all gateways together
    double retry_window_s;   ///< window of the retry budget
    int64_t files;           ///< limit of open file descriptors
    int64_t peer_memory_mib; ///< limit of the memory held for peers
    double drain_ms;         ///< until a draining target gets no new request
    double stop_s;           ///< timeout of a graceful shutdown
    /// Whether withdrawn keys must be refused within `revoke_ms` also by a
    /// gateway that can't reach the store.
    bool strict_revoke;
    double revoke_ms;
    bool load_reports;     ///< agents report their engines' load to `streams`
    double quota_window_s; ///< span over which quotas are judged
    double quota_over;     ///< share by which an account may exceed its quota
    double quota_slack;    ///< tokens or requests beyond that
};

/// Settings of an agent that manages the adapter slots of one engine for
/// gateways.
struct cm_slot_agent_settings {
    struct cm_settings common;
    int64_t files;           ///< limit of open file descriptors
    int64_t peer_memory_mib; ///< limit of the memory held for peers
    const char *listen;      ///< IP:PORT for gateways
    const char *engine;      ///< IP:PORT of the engine
};

/// Reads a gateway's settings from `size` bytes of YAML. The YAML document
/// must be freed with CmYaml_Finish() even if the settings are invalid.
/// @return whether the settings are valid.
bool
CmSettings_ReadGateway(struct cm_gateway_settings *settings, const char *text,
                       size_t size, struct cm_findings *findings);

/// Reads a slot agent's settings, like CmSettings_ReadGateway().
bool
CmSettings_ReadSlotAgent(struct cm_slot_agent_settings *settings,
                         const char *text, size_t size,
                         struct cm_findings *findings);

/// Reads an entry's settings from `size` bytes of YAML.
/// CmSettings_FinishEntry() must be called even if they are invalid.
/// @return whether the settings are valid.
bool
CmSettings_ReadEntry(struct cm_entry_settings *settings, const char *text,
                     size_t size, struct cm_findings *findings);

/// Frees an entry's settings and their YAML document.
void
CmSettings_FinishEntry(struct cm_entry_settings *settings);

/// Reads an agent's settings from `size` bytes of YAML.
/// CmSettings_FinishAgent() must be called even if they are invalid.
/// @return whether the settings are valid.
bool
CmSettings_ReadAgent(struct cm_agent_settings *settings, const char *text,
                     size_t size, struct cm_findings *findings);

/// Frees an agent's settings and their YAML document.
void
CmSettings_FinishAgent(struct cm_agent_settings *settings);

/// Reads a whole file of up to 64 MiB.
/// @param[out] size length of the text in bytes.
/// @return the text, to be freed with g_free(), or NULL with `*error` set.
char *
CmSettings_LoadFile(const char *path, size_t *size, GError **error);

#endif
