/// @file head.h
/// The head object: which revision is accepted and of which chunks its text
/// consists. One conditional update of it is the moment of acceptance.

#ifndef REVISION_HEAD_H
#define REVISION_HEAD_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "revision/chunks.h"

#define CM_HEAD_KIND "configheads"
#define CM_HEAD_NAME "current"
#define CM_CHUNK_KIND "configchunks"
/// Accepted revisions whose tokens the head remembers, so that a writer
/// whose answer was lost finds its own.
#define CM_HEAD_TOKENS_MAX 32
/// Revisions after which a chunk that is no longer used may be deleted.
#define CM_HEAD_RETENTION_REVISIONS 32

/// A head as read.
struct cm_config_head {
    uint64_t revision;
    char digest[CM_DIGEST_SIZE]; ///< of the whole text
    GPtrArray *chunks;           ///< of char *, digests in order
};

/// Reads a head's spec.
/// @return false where it is of another format or damaged.
bool
CmConfigHead_Init(struct cm_config_head *head, const json_t *spec);

/// Frees the head.
void
CmConfigHead_Finish(struct cm_config_head *head);

/// Makes the spec of the next revision.
/// @param previous spec of the present head, or NULL.
/// @param token    identifies this write.
json_t *
CmConfigHead_NextSpec(const json_t *previous, const struct cm_chunks *chunks,
                      const char *text, size_t size, const char *token);

/// @return the revision that was accepted with `token`, or 0.
uint64_t
CmConfigHead_FindToken(const json_t *spec, const char *token);

/// Lists chunks that no kept revision uses, to be deleted.
/// @return of char *, to be freed by g_ptr_array_free(..., TRUE).
GPtrArray *
CmConfigHead_ListExpiredChunks(const json_t *previous, const json_t *next);

#endif
