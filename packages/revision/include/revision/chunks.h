/// @file chunks.h
/// Splits a configuration text into immutable chunks named by their SHA-256.
/// Chunk boundaries depend on the content, so that a one-line change replaces
/// only the chunk around it.

#ifndef REVISION_CHUNKS_H
#define REVISION_CHUNKS_H

#include <stddef.h>

#include "base/hash.h"

#define CM_CONFIG_CHUNK_MIN_BYTES 2048
#define CM_CONFIG_CHUNK_MAX_BYTES (64 * 1024)
/// Mean number of lines between candidate boundaries, which are chosen by a
/// hash of the line. A candidate that would end a chunk below
/// CM_CONFIG_CHUNK_MIN_BYTES is skipped.
#define CM_CONFIG_CHUNK_MEAN_LINES 64

/// A range of the text.
struct cm_chunk {
    size_t offset;
    size_t size;
    char digest[CM_DIGEST_SIZE]; ///< names the chunk in the object API
};

struct cm_chunks {
    struct cm_chunk *items;
    size_t n;
};

/// Splits a text into chunks of whole lines. A line longer than
/// CM_CONFIG_CHUNK_MAX_BYTES is cut.
void
CmChunks_Init(struct cm_chunks *chunks, const char *text, size_t size);

/// Frees the list of chunks; the text is not owned.
void
CmChunks_Finish(struct cm_chunks *chunks);

#endif
