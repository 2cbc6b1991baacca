/// @file yaml.h
/// Parses YAML into a tree and reads mappings into structs by tables of
/// fields. Problems become findings with line and column.

#ifndef CONFIG_YAML_H
#define CONFIG_YAML_H

#include "base/finding.h"
#include "config/yaml_defs.h"

/// Limit of nested collections.
#define CM_YAML_DEPTH_MAX 16

/// Parses `size` bytes. If the YAML is invalid, `root` is NULL and a finding
/// is added; CmYaml_Finish() must be called either way.
void
CmYaml_Init(struct cm_yaml *yaml, const char *text, size_t size,
            struct cm_findings *findings);

/// Frees the document with all its nodes and strings.
void
CmYaml_Finish(struct cm_yaml *yaml);

/// Reads the fields of a mapping into the struct at `base`. Unknown, duplicate
/// and missing keys, wrong types and values out of range become findings and
/// leave the struct member unchanged.
/// @param subject name of the mapping in findings.
void
CmYaml_ReadMapping(const struct cm_yaml_node *node, const char *subject,
                   const struct cm_yaml_field *fields, size_t n_fields,
                   void *base, struct cm_findings *findings);

/// Adds a finding unless `node` is a non-empty scalar.
/// @param subject name of the node in the finding.
/// @return whether `node` is a non-empty scalar.
bool
CmYaml_RequireText(const struct cm_yaml_node *node, const char *subject,
                   struct cm_findings *findings);

/// Adds a finding with the line and column of `node`.
void
CmYaml_AddFinding(struct cm_findings *findings,
                  const struct cm_yaml_node *node, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/// @return the number of items of a sequence.
size_t
CmYaml_CountChildren(const struct cm_yaml_node *node);

#endif
