/// @file config_reader.h
/// What the parts of reading the operators' text share.

#ifndef CONFIG_READER_H
#define CONFIG_READER_H

#include "config/config.h"

/// What is needed while a text is read and not afterwards.
struct config_reader {
    struct cm_config *config;
    struct cm_findings *findings;
    GHashTable *zones;
    GHashTable *models;
    GHashTable *services;
};

/// Enters `name` into `table`; a doubled or malformed name is a finding.
bool
CmConfigReader_AddName(struct config_reader *reader, GHashTable *table,
                       const char *kind, const char *name,
                       const struct cm_yaml_node *node, void *value);

/// Reads the list of services and checks what they depend on.
void
CmConfigReader_ReadServices(struct config_reader *reader,
                            const struct cm_yaml_node *list);

#endif
