/// @file chunks.c
/// Content-defined chunking at line boundaries.

#include "revision/chunks.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

static void
add_chunk(GArray *items, const char *text, size_t offset, size_t size)
{
    struct cm_chunk chunk = {.offset = offset, .size = size};
    CmHash_Digest(text + offset, size, chunk.digest);
    g_array_append_val(items, chunk);
}

/// @return the offset after the line that starts at `offset`, at most
///         CM_CONFIG_CHUNK_MAX_BYTES later.
static size_t
line_end(const char *text, size_t size, size_t offset)
{
    size_t remaining = size - offset;
    size_t scan_size = remaining < CM_CONFIG_CHUNK_MAX_BYTES
                           ? remaining
                           : CM_CONFIG_CHUNK_MAX_BYTES;
    const char *newline = memchr(text + offset, '\n', scan_size);
    return newline != NULL ? (size_t)(newline - text) + 1 : offset + scan_size;
}

static bool
is_boundary_line(const char *line, size_t size)
{
    return CmHash_Bytes(line, size, 0) % CM_CONFIG_CHUNK_MEAN_LINES == 0;
}

void
CmChunks_Init(struct cm_chunks *chunks, const char *text, size_t size)
{
    GArray *items = g_array_new(FALSE, TRUE, sizeof(struct cm_chunk));
    size_t start = 0;
    size_t offset = 0;
    while (offset < size) {
        size_t end = line_end(text, size, offset);
        if (end - start > CM_CONFIG_CHUNK_MAX_BYTES && offset > start) {
            add_chunk(items, text, start, offset - start);
            start = offset;
        }
        bool boundary = is_boundary_line(text + offset, end - offset);
        if (boundary && end - start >= CM_CONFIG_CHUNK_MIN_BYTES) {
            add_chunk(items, text, start, end - start);
            start = end;
        }
        offset = end;
    }
    if (start < size) {
        add_chunk(items, text, start, size - start);
    }
    chunks->n = items->len;
    chunks->items = (struct cm_chunk *)g_array_free(items, FALSE);
}

void
CmChunks_Finish(struct cm_chunks *chunks)
{
    g_free(chunks->items);
}
