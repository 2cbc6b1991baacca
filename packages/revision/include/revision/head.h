/// @file head.h
/// The head object: number of the accepted revision and the list of chunks
/// that make up its text. A revision is accepted by one conditional update
/// (compare-and-swap on the resourceVersion) of this object.

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
/// Number of latest revisions whose submission tokens the head keeps. A writer
/// that got no response to its update finds its token here if the update was
/// applied.
#define CM_HEAD_TOKENS_MAX 32
/// Number of revisions for which an unused chunk is kept before it is deleted.
#define CM_HEAD_RETENTION_REVISIONS 32

/// Decoded spec of a head object.
struct cm_config_head {
    uint64_t revision;
    char digest[CM_DIGEST_SIZE]; ///< of the whole text
    GPtrArray *chunks;           ///< of char *, digests in order
};

/// Decodes a head's spec. CmConfigHead_Finish() must be called either way.
/// @return false if the spec is malformed or of another format version.
bool
CmConfigHead_Init(struct cm_config_head *head, const json_t *spec);

/// Frees the head.
void
CmConfigHead_Finish(struct cm_config_head *head);

/// Encodes the spec of the revision that follows `previous`.
/// @param previous spec of the current head, or NULL if there is none.
/// @param token    unique to this submission.
/// @return a new reference.
json_t *
CmConfigHead_NextSpec(const json_t *previous, const struct cm_chunks *chunks,
                      const char *text, size_t size, const char *token);

/// @return the revision that was submitted with `token`, or 0.
uint64_t
CmConfigHead_FindToken(const json_t *spec, const char *token);

/// Lists the chunks whose retention ends with `next`; they can be deleted.
/// @return of char *, to be freed with g_ptr_array_free(..., TRUE).
GPtrArray *
CmConfigHead_ListExpiredChunks(const json_t *previous, const json_t *next);

#endif
