/// @file config_reader.h
/// What the parts of reading the operators' text share.

#ifndef READING_H
#define READING_H

#include "config/config.h"

/// What is needed while a text is read and not afterwards.
struct reading {
    struct cm_config *config;
    struct cm_findings *findings;
    GHashTable *zones;
    GHashTable *models;
    GHashTable *services;
};

/// Enters `name` into `table`; a doubled or malformed name is a finding.
bool
CmReading_Register(struct reading *reading, GHashTable *table,
                   const char *what, const char *name,
                   const struct cm_yaml_node *node, void *value);

/// Reads the list of services and checks what they depend on.
void
CmReading_Services(struct reading *reading, const struct cm_yaml_node *list);

#endif
