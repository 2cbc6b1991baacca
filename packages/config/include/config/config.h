/// @file config.h
/// Reads and checks the operators' text as a whole.

#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include "base/finding.h"
#include "config/config_defs.h"

/// Reads `size` bytes of text. The configuration is sound only where no
/// finding was added; CmConfig_Finish() is due either way.
/// @return whether it is sound.
bool
CmConfig_Init(struct cm_config *config, const char *text, size_t size,
              struct cm_findings *findings);

/// Frees the configuration.
void
CmConfig_Finish(struct cm_config *config);

/// @return the service called `name`, or NULL.
const struct cm_service *
CmConfig_FindService(const struct cm_config *config, const char *name);

/// @return the target called `name` of `service`, or NULL.
const struct cm_target *
CmConfig_FindTarget(const struct cm_service *service, const char *name);

/// Finds the adapter and version of "name@version".
/// @param[out] version the version.
/// @return the adapter, or NULL where adapter or version is not known.
const struct cm_adapter *
CmConfig_FindAdapter(const struct cm_config *config, const char *reference,
                     uint32_t *version);

/// @return the engines service that serves `model`, or NULL.
const struct cm_service *
CmConfig_FindServiceByModel(const struct cm_config *config,
                            const struct cm_model *model);

#endif
