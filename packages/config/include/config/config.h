/// @file config.h
/// Parses and validates the operators' configuration file: models, adapters,
/// services and their targets.

#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include "base/finding.h"
#include "config/config_defs.h"

/// Parses and validates `size` bytes of YAML. Every problem becomes a finding.
/// CmConfig_Finish() must be called even if the configuration is invalid.
/// @return whether the configuration is valid, that is, has no finding.
bool
CmConfig_Init(struct cm_config *config, const char *text, size_t size,
              struct cm_findings *findings);

/// Frees the configuration and all texts it points to.
void
CmConfig_Finish(struct cm_config *config);

/// @return the service called `name`, or NULL.
const struct cm_service *
CmConfig_FindService(const struct cm_config *config, const char *name);

/// @return the target called `name` of `service`, or NULL.
const struct cm_target *
CmConfig_FindTarget(const struct cm_service *service, const char *name);

/// Looks up an adapter reference of the form "name@version".
/// @param[out] version set if the reference is well-formed.
/// @return the adapter, or NULL if it doesn't exist or lacks that version.
const struct cm_adapter *
CmConfig_FindAdapter(const struct cm_config *config, const char *reference,
                     uint32_t *version);

/// @return the first service whose engines serve `model`, or NULL.
const struct cm_service *
CmConfig_FindServiceByModel(const struct cm_config *config,
                            const struct cm_model *model);

#endif
