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
    struct iovec part = {.iov_base = (void *)data, .iov_len = size};
    CmHash_DigestParts(&part, 1, digest);
}

void
CmHash_DigestParts(const struct iovec *parts, size_t n,
                   char digest[CM_DIGEST_SIZE])
{
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    for (size_t i = 0; i < n; i++) {
        g_checksum_update(checksum, parts[i].iov_base,
                          (gssize)parts[i].iov_len);
    }
    g_strlcpy(digest, g_checksum_get_string(checksum), CM_DIGEST_SIZE);
    g_checksum_free(checksum);
}
