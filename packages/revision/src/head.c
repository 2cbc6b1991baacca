/// @file head.c
/// The head object of the configuration.

#include "revision/head.h"

#include <string.h>

#define FORMAT 1

static uint64_t
number_of(const json_t *json, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(json, name));
}

bool
CmConfigHead_Init(struct cm_config_head *head, const json_t *spec)
{
    memset(head, 0, sizeof(*head));
    head->chunks = g_ptr_array_new_with_free_func(g_free);
    const json_t *chunks = json_object_get(spec, "chunks");
    const char *digest = json_string_value(json_object_get(spec, "digest"));
    if (number_of(spec, "format") != FORMAT || !json_is_array(chunks) ||
        digest == NULL) {
        return false;
    }
    head->revision = number_of(spec, "revision");
    g_strlcpy(head->digest, digest, sizeof(head->digest));
    for (size_t i = 0; i < json_array_size(chunks); i++) {
        const char *name = json_string_value(json_array_get(chunks, i));
        if (name == NULL || strlen(name) != CM_DIGEST_SIZE - 1) {
            return false;
        }
        g_ptr_array_add(head->chunks, g_strdup(name));
    }
    return head->revision > 0;
}

void
CmConfigHead_Finish(struct cm_config_head *head)
{
    g_ptr_array_free(head->chunks, TRUE);
}

static bool
contains(const json_t *chunks, const char *digest)
{
    for (size_t i = 0; i < json_array_size(chunks); i++) {
        const char *name = json_string_value(json_array_get(chunks, i));
        if (name != NULL && strcmp(name, digest) == 0) {
            return true;
        }
    }
    return false;
}

/// Chunks out of use, with the revision since which they are.
static json_t *
next_retired(const json_t *previous, const json_t *chunks, uint64_t revision)
{
    json_t *retired = json_array();
    const json_t *old = json_object_get(previous, "retired");
    for (size_t i = 0; i < json_array_size(old); i++) {
        json_t *item = json_array_get(old, i);
        const char *digest = json_string_value(json_object_get(item, "chunk"));
        uint64_t since = number_of(item, "since");
        if (digest != NULL && !contains(chunks, digest) &&
            since + CM_HEAD_RETENTION_REVISIONS > revision) {
            json_array_append(retired, item);
        }
    }
    const json_t *used = json_object_get(previous, "chunks");
    for (size_t i = 0; i < json_array_size(used); i++) {
        const char *digest = json_string_value(json_array_get(used, i));
        if (digest != NULL && !contains(chunks, digest)) {
            json_array_append_new(retired,
                                  json_pack("{s:s,s:I}", "chunk", digest,
                                            "since", (json_int_t)revision));
        }
    }
    return retired;
}

static json_t *
next_recent(const json_t *previous, uint64_t revision, const char *token)
{
    json_t *recent = json_array();
    json_array_append_new(recent,
                          json_pack("{s:I,s:s}", "revision",
                                    (json_int_t)revision, "token", token));
    const json_t *old = json_object_get(previous, "recent");
    for (size_t i = 0; i < json_array_size(old) && i + 1 < CM_HEAD_TOKENS_MAX;
         i++) {
        json_array_append(recent, json_array_get(old, i));
    }
    return recent;
}

json_t *
CmConfigHead_NextSpec(const json_t *previous, const struct cm_chunks *chunks,
                      const char *text, size_t size, const char *token)
{
    uint64_t revision = number_of(previous, "revision") + 1;
    char digest[CM_DIGEST_SIZE];
    CmHash_Digest(text, size, digest);
    json_t *names = json_array();
    for (size_t i = 0; i < chunks->n; i++) {
        json_array_append_new(names, json_string(chunks->items[i].digest));
    }
    json_t *retired = next_retired(previous, names, revision);
    json_t *recent = next_recent(previous, revision, token);
    return json_pack("{s:i,s:I,s:s,s:I,s:o,s:o,s:o}", "format", FORMAT,
                     "revision", (json_int_t)revision, "digest", digest,
                     "size", (json_int_t)size, "chunks", names, "retired",
                     retired, "recent", recent);
}

uint64_t
CmConfigHead_FindToken(const json_t *spec, const char *token)
{
    const json_t *recent = json_object_get(spec, "recent");
    for (size_t i = 0; i < json_array_size(recent); i++) {
        const json_t *item = json_array_get(recent, i);
        const char *text = json_string_value(json_object_get(item, "token"));
        if (text != NULL && strcmp(text, token) == 0) {
            return number_of(item, "revision");
        }
    }
    return 0;
}

static bool
is_retired(const json_t *spec, const char *digest)
{
    const json_t *retired = json_object_get(spec, "retired");
    for (size_t i = 0; i < json_array_size(retired); i++) {
        const char *name = json_string_value(
            json_object_get(json_array_get(retired, i), "chunk"));
        if (name != NULL && strcmp(name, digest) == 0) {
            return true;
        }
    }
    return false;
}

GPtrArray *
CmConfigHead_ListExpiredChunks(const json_t *previous, const json_t *next)
{
    GPtrArray *garbage = g_ptr_array_new_with_free_func(g_free);
    const json_t *retired = json_object_get(previous, "retired");
    const json_t *chunks = json_object_get(next, "chunks");
    for (size_t i = 0; i < json_array_size(retired); i++) {
        const char *digest = json_string_value(
            json_object_get(json_array_get(retired, i), "chunk"));
        if (digest != NULL && !contains(chunks, digest) &&
            !is_retired(next, digest)) {
            g_ptr_array_add(garbage, g_strdup(digest));
        }
    }
    return garbage;
}
