/// @file yaml_defs.h
/// A YAML document as a compact tree that knows the place of each node.

#ifndef CONFIG_YAML_DEFS_H
#define CONFIG_YAML_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum cm_yaml_kind { CM_YAML_SCALAR, CM_YAML_SEQUENCE, CM_YAML_MAPPING };

/// One node. The children of a mapping are key, value, key, value...
struct cm_yaml_node {
    struct cm_yaml_node *next;  ///< next sibling
    struct cm_yaml_node *child; ///< first child
    const char *value;          ///< scalars: text in the document's arena
    uint32_t line;
    uint32_t column;
    enum cm_yaml_kind kind;
    bool plain; ///< scalars: written without quotes
};

/// A parsed document; owns all its nodes and texts.
struct cm_yaml {
    GStringChunk *texts;
    GPtrArray *blocks; ///< of node blocks
    size_t block_used;
    struct cm_yaml_node *root; ///< NULL for an empty or broken input
};

/// What a field of a mapping holds.
enum cm_yaml_field_type {
    CM_YAML_STRING,         ///< const char *
    CM_YAML_INTEGER,        ///< int64_t within [minimum, maximum]
    CM_YAML_REAL,           ///< double within [minimum, maximum]
    CM_YAML_BOOL,           ///< bool, "true" or "false"
    CM_YAML_LIST,           ///< const struct cm_yaml_node *, a sequence
    CM_YAML_NESTED_MAPPING, ///< const struct cm_yaml_node *, a mapping
};

/// One field of a mapping and where its value goes.
struct cm_yaml_field {
    const char *name;
    enum cm_yaml_field_type type;
    bool required;
    size_t offset;
    double minimum;
    double maximum;
};

#endif
