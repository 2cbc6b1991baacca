/// @file chunks.h
/// The operators' text as immutable chunks named by their SHA-256. Boundaries
/// depend on the content, so that a one-line change touches one small chunk.

#ifndef REVISION_CHUNKS_H
#define REVISION_CHUNKS_H

#include <stddef.h>

#include "base/hash.h"

#define CM_CHUNK_MIN_BYTES 2048
#define CM_CHUNK_MAX_BYTES (64 * 1024)
/// A line ends a chunk with a chance of one in this many.
#define CM_CHUNK_MEAN_LINES 64

/// One chunk: a part of the text and its name.
struct cm_chunk {
    size_t offset;
    size_t size;
    char digest[CM_DIGEST_SIZE];
};

struct cm_chunks {
    struct cm_chunk *items;
    size_t n;
};

/// Splits a text.
void
CmChunks_Init(struct cm_chunks *chunks, const char *text, size_t size);

/// Frees the list.
void
CmChunks_Finish(struct cm_chunks *chunks);

#endif
