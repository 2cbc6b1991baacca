/// @file yaml.h
/// Parses YAML into a tree and reads mappings by tables of fields. Problems
/// become findings with line and column.

#ifndef CONFIG_YAML_H
#define CONFIG_YAML_H

#include "base/finding.h"
#include "config/yaml_defs.h"

/// Deepest nesting that is accepted.
#define CM_YAML_DEPTH_MAX 16

/// Parses `size` bytes. On broken YAML `root` is NULL and a finding is added.
void
CmYaml_Init(struct cm_yaml *yaml, const char *text, size_t size,
            struct cm_findings *findings);

/// Frees the document and all texts taken from it.
void
CmYaml_Finish(struct cm_yaml *yaml);

/// Reads the fields of a mapping into the struct at `base`. Unknown, doubled
/// and missing keys, wrong types and values out of range become findings;
/// their fields keep what they had.
/// @param what name of the mapping, for the findings.
void
CmYaml_ReadMapping(const struct cm_yaml_node *node, const char *what,
                   const struct cm_yaml_field *fields, size_t n_fields,
                   void *base, struct cm_findings *findings);

/// @return whether `node` is a scalar; otherwise adds a finding.
bool
CmYaml_RequireText(const struct cm_yaml_node *node, const char *what,
                   struct cm_findings *findings);

/// Adds a finding at the place of `node`.
void
CmYaml_AddFinding(struct cm_findings *findings,
                  const struct cm_yaml_node *node, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/// @return number of children of a sequence.
size_t
CmYaml_CountChildren(const struct cm_yaml_node *node);

#endif
