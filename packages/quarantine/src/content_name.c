/// @file content_name.c
/// Composes and reads names of contents.

#include "quarantine/content_name.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define DIGEST_LENGTH 16
#define HEX_BASE 16
#define PART_PREFIX "part-"

void
CmContentName_Compose(char name[CM_CONTENT_SIZE], const struct iovec *parts,
                      size_t n)
{
    char digest[CM_DIGEST_SIZE];
    size_t size = 0;
    for (size_t i = 0; i < n; i++) {
        size += parts[i].iov_len;
    }
    CmHash_DigestParts(parts, n, digest);
    g_snprintf(name, CM_CONTENT_SIZE, "%.*s.%zx", DIGEST_LENGTH, digest, size);
}

static bool
fits_name(const char *id, size_t length)
{
    if (length >= CM_CONTENT_SIZE - strlen(PART_PREFIX)) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isalnum(id[i])) {
            return false;
        }
    }
    return true;
}

void
CmContentName_ComposePart(char name[CM_CONTENT_SIZE], const char *id,
                          size_t length)
{
    if (fits_name(id, length)) {
        g_snprintf(name, CM_CONTENT_SIZE, PART_PREFIX "%.*s", (int)length, id);
        return;
    }
    char digest[CM_DIGEST_SIZE];
    struct iovec part = {(void *)id, length};
    CmHash_DigestParts(&part, 1, digest);
    g_snprintf(name, CM_CONTENT_SIZE, PART_PREFIX "~%.*s", DIGEST_LENGTH,
               digest);
}

size_t
CmContentName_ContentSize(const char *name)
{
    const char *dot = strchr(name, '.');
    return dot != NULL ? strtoul(dot + 1, NULL, HEX_BASE) : 0;
}
