/// @file yaml.c
/// Tree of YAML nodes from libyaml's events, and table-driven reading.

#include "config/yaml.h"

#include <math.h>
#include <stdarg.h>
#include <string.h>
#include <yaml.h>

#define BLOCK_NODES 1024
#define TEXT_BLOCK_BYTES 16384

static struct cm_yaml_node *
new_node(struct cm_yaml *yaml, enum cm_yaml_kind kind, yaml_mark_t mark)
{
    if (yaml->block_used == BLOCK_NODES || yaml->blocks->len == 0) {
        g_ptr_array_add(yaml->blocks,
                        g_new0(struct cm_yaml_node, BLOCK_NODES));
        yaml->block_used = 0;
    }
    struct cm_yaml_node *block =
        g_ptr_array_index(yaml->blocks, yaml->blocks->len - 1);
    struct cm_yaml_node *node = &block[yaml->block_used++];
    node->kind = kind;
    node->line = (uint32_t)mark.line + 1;
    node->column = (uint32_t)mark.column + 1;
    return node;
}

/// State of the tree builder: open collections and their last child.
struct builder {
    struct cm_yaml *yaml;
    struct cm_findings *findings;
    struct cm_yaml_node *open[CM_YAML_DEPTH_MAX];
    struct cm_yaml_node *last[CM_YAML_DEPTH_MAX];
    size_t depth;
    bool failed;
};

static void
fail(struct builder *builder, yaml_mark_t mark, const char *problem)
{
    CmFindings_Add(builder->findings, mark.line + 1, mark.column + 1,
                   "bad YAML: %s", problem);
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
    struct cm_yaml_node *parent = builder->open[top];
    g_assert(parent != NULL);
    if (builder->last[top] == NULL) {
        parent->child = node;
    }
    else {
        builder->last[top]->next = node;
    }
    builder->last[top] = node;
}

static void
open_collection(struct builder *builder, enum cm_yaml_kind kind,
                yaml_mark_t mark)
{
    struct cm_yaml_node *node = new_node(builder->yaml, kind, mark);
    append(builder, node);
    if (builder->depth == CM_YAML_DEPTH_MAX) {
        fail(builder, mark, "nested too deeply");
        return;
    }
    builder->open[builder->depth] = node;
    builder->last[builder->depth] = NULL;
    builder->depth++;
}

static void
add_scalar(struct builder *builder, const yaml_event_t *event)
{
    struct cm_yaml_node *node =
        new_node(builder->yaml, CM_YAML_SCALAR, event->start_mark);
    const char *text = (const char *)event->data.scalar.value;
    if (strlen(text) != event->data.scalar.length) {
        fail(builder, event->start_mark, "NUL in a text");
        return;
    }
    node->value = g_string_chunk_insert_const(builder->yaml->texts, text);
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
        fail(builder, event->start_mark, "aliases are not supported");
        break;
    case YAML_DOCUMENT_START_EVENT:
        if (builder->yaml->root != NULL) {
            fail(builder, event->start_mark, "more than one document");
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
            fail(builder, mark,
                 parser->problem != NULL ? parser->problem : "unreadable");
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
    yaml->texts = g_string_chunk_new(TEXT_BLOCK_BYTES);
    yaml->blocks = g_ptr_array_new_with_free_func(g_free);
    yaml->block_used = 0;
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
        CmFindings_Add(findings, 1, 1, "the text is empty");
    }
}

void
CmYaml_Finish(struct cm_yaml *yaml)
{
    g_ptr_array_free(yaml->blocks, TRUE);
    g_string_chunk_free(yaml->texts);
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
CmYaml_RequireText(const struct cm_yaml_node *node, const char *what,
                   struct cm_findings *findings)
{
    if (node->kind == CM_YAML_SCALAR && node->value[0] != '\0') {
        return true;
    }
    CmYaml_AddFinding(findings, node, "%s must be a text that is not empty",
                      what);
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
        bool whole = field->type == CM_YAML_REAL || *number == floor(*number);
        if (*end == '\0' && end != node->value && isfinite(*number) && whole) {
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
read_flag(const struct cm_yaml_node *node, const struct cm_yaml_field *field,
          struct cm_findings *findings, bool *flag)
{
    if (node->kind == CM_YAML_SCALAR && node->plain) {
        if (strcmp(node->value, "true") == 0) {
            *flag = true;
            return;
        }
        if (strcmp(node->value, "false") == 0) {
            *flag = false;
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
    void *place = (char *)base + field->offset;
    double number;
    switch (field->type) {
    case CM_YAML_STRING:
        if (CmYaml_RequireText(node, field->name, findings)) {
            *(const char **)place = node->value;
        }
        break;
    case CM_YAML_INTEGER:
        if (read_number(node, field, findings, &number)) {
            *(int64_t *)place = (int64_t)number;
        }
        break;
    case CM_YAML_REAL:
        if (read_number(node, field, findings, &number)) {
            *(double *)place = number;
        }
        break;
    case CM_YAML_BOOL:
        read_flag(node, field, findings, place);
        break;
    case CM_YAML_LIST:
    case CM_YAML_NESTED_MAPPING:
        read_collection(node, field, findings, place);
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

#define FIELDS_MAX 64

void
CmYaml_ReadMapping(const struct cm_yaml_node *node, const char *what,
                   const struct cm_yaml_field *fields, size_t n_fields,
                   void *base, struct cm_findings *findings)
{
    if (node->kind != CM_YAML_MAPPING) {
        CmYaml_AddFinding(findings, node, "%s must be a mapping", what);
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
            CmYaml_AddFinding(findings, key, "%s has no field \"%s\"", what,
                              key->value);
        }
        else if (seen[i]) {
            CmYaml_AddFinding(findings, key, "\"%s\" stands twice",
                              key->value);
        }
        else {
            seen[i] = true;
            read_field(key->next, &fields[i], base, findings);
        }
    }
    for (size_t i = 0; i < n_fields; i++) {
        if (fields[i].required && !seen[i]) {
            CmYaml_AddFinding(findings, node, "%s lacks \"%s\"", what,
                              fields[i].name);
        }
    }
}
