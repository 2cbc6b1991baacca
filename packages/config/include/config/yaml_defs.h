/// @file yaml_defs.h
/// A YAML document as a tree whose nodes keep their line and column.

#ifndef CONFIG_YAML_DEFS_H
#define CONFIG_YAML_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum cm_yaml_kind { CM_YAML_SCALAR, CM_YAML_SEQUENCE, CM_YAML_MAPPING };

/// One node. The children of a mapping are its keys and values in turn.
struct cm_yaml_node {
    struct cm_yaml_node *next;  ///< next sibling
    struct cm_yaml_node *child; ///< first child
    const char *value;          ///< scalars: string owned by the document
    uint32_t line;
    uint32_t column;
    enum cm_yaml_kind kind;
    bool plain; ///< scalars: written without quotes or block style
};

/// A parsed document; owns all its nodes and strings.
struct cm_yaml {
    GStringChunk *strings;
    GPtrArray *node_blocks;    ///< of arrays of nodes
    size_t last_block_used;    ///< nodes in use of the last array
    struct cm_yaml_node *root; ///< NULL if the input is empty or invalid
};

/// Type of a field, with the type of the struct member that it is read into.
enum cm_yaml_field_type {
    CM_YAML_STRING,         ///< const char *
    CM_YAML_INTEGER,        ///< int64_t within [minimum, maximum]
    CM_YAML_REAL,           ///< double within [minimum, maximum]
    CM_YAML_BOOL,           ///< bool, "true" or "false"
    CM_YAML_LIST,           ///< const struct cm_yaml_node *, a sequence
    CM_YAML_NESTED_MAPPING, ///< const struct cm_yaml_node *, a mapping
};

/// One field of a mapping and the struct member that it is read into.
struct cm_yaml_field {
    const char *name;
    enum cm_yaml_field_type type;
    bool required;
    size_t offset; ///< of the member in the struct
    double minimum;
    double maximum;
};

#endif
