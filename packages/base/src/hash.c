/// @file hash.c
/// Hash functions by xxHash and GLib's checksums.

#include "base/hash.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

uint64_t
CmHash_Bytes(const void *data, size_t size, uint64_t seed)
{
    return XXH3_64bits_withSeed(data, size, seed);
}

uint64_t
CmHash_Text(const char *text, uint64_t seed)
{
    return CmHash_Bytes(text, strlen(text), seed);
}

void
CmHash_Digest(const void *data, size_t size, char digest[CM_DIGEST_SIZE])
{
    char *text = g_compute_checksum_for_data(G_CHECKSUM_SHA256, data, size);
    g_strlcpy(digest, text, CM_DIGEST_SIZE);
    g_free(text);
}
