/// @file config_reader.h
/// State and functions shared by the source files that parse the
/// configuration file.

#ifndef CONFIG_READER_H
#define CONFIG_READER_H

#include "config/config.h"

/// State of one parse, freed when the parse ends.
struct config_reader {
    struct cm_config *config;
    struct cm_findings *findings;
    GHashTable *zones;    ///< name to struct cm_yaml_node
    GHashTable *models;   ///< name to struct cm_model
    GHashTable *services; ///< name to struct cm_service
};

/// Adds `name` with `value` to `table`; a duplicate or malformed name becomes
/// a finding instead.
/// @param kind what the name belongs to, for findings.
/// @return whether the name was added.
bool
CmConfigReader_AddName(struct config_reader *reader, GHashTable *table,
                       const char *kind, const char *name,
                       const struct cm_yaml_node *node, void *value);

/// Reads the list of services and checks their dependencies for cycles.
void
CmConfigReader_ReadServices(struct config_reader *reader,
                            const struct cm_yaml_node *list);

#endif
