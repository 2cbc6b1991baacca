/// @file yaml.c
/// Builds a tree of YAML nodes from libyaml's events and reads mappings into
/// structs.

#include "config/yaml.h"

#include <math.h>
#include <stdarg.h>
#include <string.h>
#include <yaml.h>

#define NODES_PER_BLOCK 1024
#define STRING_BLOCK_BYTES 16384
#define FIELDS_MAX 64 ///< of one mapping

static struct cm_yaml_node *
allocate_node(struct cm_yaml *yaml, enum cm_yaml_kind kind, yaml_mark_t mark)
{
    if (yaml->last_block_used == NODES_PER_BLOCK ||
        yaml->node_blocks->len == 0) {
        g_ptr_array_add(yaml->node_blocks,
                        g_new0(struct cm_yaml_node, NODES_PER_BLOCK));
        yaml->last_block_used = 0;
    }
    struct cm_yaml_node *block =
        g_ptr_array_index(yaml->node_blocks, yaml->node_blocks->len - 1);
    struct cm_yaml_node *node = &block[yaml->last_block_used++];
    node->kind = kind;
    node->line = (uint32_t)mark.line + 1;
    node->column = (uint32_t)mark.column + 1;
    return node;
}

/// State of the tree builder.
struct builder {
    struct cm_yaml *yaml;
    struct cm_findings *findings;
    struct cm_yaml_node *open_nodes[CM_YAML_DEPTH_MAX];    ///< by depth
    struct cm_yaml_node *last_children[CM_YAML_DEPTH_MAX]; ///< of open_nodes
    size_t depth; ///< number of open collections
    bool failed;
};

static void
fail_parsing(struct builder *builder, yaml_mark_t mark, const char *problem)
{
    CmFindings_Add(builder->findings, mark.line + 1, mark.column + 1,
                   "invalid YAML: %s", problem);
    builder->failed = true;
}

static void
append(struct builder *builder, struct cm_yaml_node *node)
{
    if (builder->depth == 0) {
        builder->yaml->root = node;
        return;
    }
    size_t top = builder->depth - 1;
    struct cm_yaml_node *parent = builder->open_nodes[top];
    g_assert(parent != NULL);
    if (builder->last_children[top] == NULL) {
        parent->child = node;
    }
    else {
        builder->last_children[top]->next = node;
    }
    builder->last_children[top] = node;
}

static void
open_collection(struct builder *builder, enum cm_yaml_kind kind,
                yaml_mark_t mark)
{
    struct cm_yaml_node *node = allocate_node(builder->yaml, kind, mark);
    append(builder, node);
    if (builder->depth == CM_YAML_DEPTH_MAX) {
        fail_parsing(builder, mark, "nested too deeply");
        return;
    }
    builder->open_nodes[builder->depth] = node;
    builder->last_children[builder->depth] = NULL;
    builder->depth++;
}

static void
add_scalar(struct builder *builder, const yaml_event_t *event)
{
    struct cm_yaml_node *node =
        allocate_node(builder->yaml, CM_YAML_SCALAR, event->start_mark);
    const char *text = (const char *)event->data.scalar.value;
    if (strlen(text) != event->data.scalar.length) {
        fail_parsing(builder, event->start_mark,
                     "string contains a NUL character");
        return;
    }
    node->value = g_string_chunk_insert_const(builder->yaml->strings, text);
    node->plain = event->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
    append(builder, node);
}

static void
handle_event(struct builder *builder, const yaml_event_t *event)
{
    switch (event->type) {
    case YAML_SCALAR_EVENT:
        add_scalar(builder, event);
        break;
    case YAML_SEQUENCE_START_EVENT:
        open_collection(builder, CM_YAML_SEQUENCE, event->start_mark);
        break;
    case YAML_MAPPING_START_EVENT:
        open_collection(builder, CM_YAML_MAPPING, event->start_mark);
        break;
    case YAML_SEQUENCE_END_EVENT:
    case YAML_MAPPING_END_EVENT:
        builder->depth--;
        break;
    case YAML_ALIAS_EVENT:
        fail_parsing(builder, event->start_mark, "aliases are not supported");
        break;
    case YAML_DOCUMENT_START_EVENT:
        if (builder->yaml->root != NULL) {
            fail_parsing(builder, event->start_mark, "more than one document");
        }
        break;
    default:
        break;
    }
}

static void
parse_events(struct builder *builder, yaml_parser_t *parser)
{
    bool done = false;
    while (!done && !builder->failed) {
        yaml_event_t event;
        if (!yaml_parser_parse(parser, &event)) {
            yaml_mark_t mark = parser->problem_mark;
            fail_parsing(builder, mark,
                         parser->problem != NULL ? parser->problem
                                                 : "unknown parser error");
            return;
        }
        handle_event(builder, &event);
        done = event.type == YAML_STREAM_END_EVENT;
        yaml_event_delete(&event);
    }
}

void
CmYaml_Init(struct cm_yaml *yaml, const char *text, size_t size,
            struct cm_findings *findings)
{
    yaml->strings = g_string_chunk_new(STRING_BLOCK_BYTES);
    yaml->node_blocks = g_ptr_array_new_with_free_func(g_free);
    yaml->last_block_used = 0;
    yaml->root = NULL;
    struct builder builder = {.yaml = yaml, .findings = findings};
    yaml_parser_t parser;
    if (!yaml_parser_initialize(&parser)) {
        CmFindings_Add(findings, 0, 0, "out of memory");
        return;
    }
    yaml_parser_set_encoding(&parser, YAML_UTF8_ENCODING);
    yaml_parser_set_input_string(&parser, (const unsigned char *)text, size);
    parse_events(&builder, &parser);
    yaml_parser_delete(&parser);
    if (builder.failed) {
        yaml->root = NULL;
    }
    else if (yaml->root == NULL) {
        CmFindings_Add(findings, 1, 1, "the document is empty");
    }
}

void
CmYaml_Finish(struct cm_yaml *yaml)
{
    g_ptr_array_free(yaml->node_blocks, TRUE);
    g_string_chunk_free(yaml->strings);
}

void
CmYaml_AddFinding(struct cm_findings *findings,
                  const struct cm_yaml_node *node, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *message = g_strdup_vprintf(format, args);
    va_end(args);
    CmFindings_Add(findings, node->line, node->column, "%s", message);
    g_free(message);
}

bool
CmYaml_RequireText(const struct cm_yaml_node *node, const char *subject,
                   struct cm_findings *findings)
{
    if (node->kind == CM_YAML_SCALAR && node->value[0] != '\0') {
        return true;
    }
    CmYaml_AddFinding(findings, node, "%s must be a non-empty string",
                      subject);
    return false;
}

size_t
CmYaml_CountChildren(const struct cm_yaml_node *node)
{
    size_t count = 0;
    for (const struct cm_yaml_node *child = node->child; child != NULL;
         child = child->next) {
        count++;
    }
    return count;
}

static bool
read_number(const struct cm_yaml_node *node, const struct cm_yaml_field *field,
            struct cm_findings *findings, double *number)
{
    if (node->kind == CM_YAML_SCALAR && node->plain) {
        char *end;
        *number = g_ascii_strtod(node->value, &end);
        bool type_matches =
            field->type == CM_YAML_REAL || *number == floor(*number);
        if (*end == '\0' && end != node->value && isfinite(*number) &&
            type_matches) {
            if (*number >= field->minimum && *number <= field->maximum) {
                return true;
            }
            CmYaml_AddFinding(
                findings, node, "%s is %s; it must be from %.15g to %.15g",
                field->name, node->value, field->minimum, field->maximum);
            return false;
        }
    }
    CmYaml_AddFinding(findings, node, "%s must be a %s", field->name,
                      field->type == CM_YAML_REAL ? "number" : "whole number");
    return false;
}

static void
read_bool(const struct cm_yaml_node *node, const struct cm_yaml_field *field,
          struct cm_findings *findings, bool *value)
{
    if (node->kind == CM_YAML_SCALAR && node->plain) {
        if (strcmp(node->value, "true") == 0) {
            *value = true;
            return;
        }
        if (strcmp(node->value, "false") == 0) {
            *value = false;
            return;
        }
    }
    CmYaml_AddFinding(findings, node, "%s must be true or false", field->name);
}

static void
read_collection(const struct cm_yaml_node *node,
                const struct cm_yaml_field *field,
                struct cm_findings *findings, const struct cm_yaml_node **out)
{
    bool list = field->type == CM_YAML_LIST;
    if (node->kind == (list ? CM_YAML_SEQUENCE : CM_YAML_MAPPING)) {
        *out = node;
        return;
    }
    CmYaml_AddFinding(findings, node, "%s must be a %s", field->name,
                      list ? "list" : "mapping");
}

static void
read_field(const struct cm_yaml_node *node, const struct cm_yaml_field *field,
           void *base, struct cm_findings *findings)
{
    void *destination = (char *)base + field->offset;
    double number;
    switch (field->type) {
    case CM_YAML_STRING:
        if (CmYaml_RequireText(node, field->name, findings)) {
            *(const char **)destination = node->value;
        }
        break;
    case CM_YAML_INTEGER:
        if (read_number(node, field, findings, &number)) {
            *(int64_t *)destination = (int64_t)number;
        }
        break;
    case CM_YAML_REAL:
        if (read_number(node, field, findings, &number)) {
            *(double *)destination = number;
        }
        break;
    case CM_YAML_BOOL:
        read_bool(node, field, findings, destination);
        break;
    case CM_YAML_LIST:
    case CM_YAML_NESTED_MAPPING:
        read_collection(node, field, findings, destination);
        break;
    }
}

static size_t
find_field(const char *name, const struct cm_yaml_field *fields,
           size_t n_fields)
{
    for (size_t i = 0; i < n_fields; i++) {
        if (strcmp(fields[i].name, name) == 0) {
            return i;
        }
    }
    return n_fields;
}

void
CmYaml_ReadMapping(const struct cm_yaml_node *node, const char *subject,
                   const struct cm_yaml_field *fields, size_t n_fields,
                   void *base, struct cm_findings *findings)
{
    if (node->kind != CM_YAML_MAPPING) {
        CmYaml_AddFinding(findings, node, "%s must be a mapping", subject);
        return;
    }
    bool seen[FIELDS_MAX] = {false};
    for (const struct cm_yaml_node *key = node->child; key != NULL;
         key = key->next->next) {
        if (!CmYaml_RequireText(key, "a key", findings)) {
            continue;
        }
        size_t i = find_field(key->value, fields, n_fields);
        if (i == n_fields) {
            CmYaml_AddFinding(findings, key, "%s has an unknown field \"%s\"",
                              subject, key->value);
        }
        else if (seen[i]) {
            CmYaml_AddFinding(findings, key, "duplicate field \"%s\"",
                              key->value);
        }
        else {
            seen[i] = true;
            read_field(key->next, &fields[i], base, findings);
        }
    }
    for (size_t i = 0; i < n_fields; i++) {
        if (fields[i].required && !seen[i]) {
            CmYaml_AddFinding(findings, node, "%s is missing the field \"%s\"",
                              subject, fields[i].name);
        }
    }
}
