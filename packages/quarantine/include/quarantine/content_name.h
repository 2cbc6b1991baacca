/// @file content_name.h
/// Names of request contents: digest and size. The size lets a process skip
/// the digest of a request that no suspect is as long as. Parts of prompts
/// have names that no content has.

#ifndef QUARANTINE_CONTENT_NAME_H
#define QUARANTINE_CONTENT_NAME_H

#include <stddef.h>
#include <sys/uio.h>

/// Size of a name with the terminating NUL: 64 bits of the digest, a dot and
/// the content's size, all hexadecimal. Longer names are truncated.
#define CM_CONTENT_SIZE 26

/// Names the concatenation of `n` parts.
void
CmContentName_Compose(char name[CM_CONTENT_SIZE], const struct iovec *parts,
                      size_t n);

/// Names a part of prompts after its id. An id that is long, or that isn't all
/// letters and digits, is replaced by its digest.
void
CmContentName_ComposePart(char name[CM_CONTENT_SIZE], const char *id,
                          size_t length);

/// @return the size of the content, 0 if the name doesn't tell it.
size_t
CmContentName_ContentSize(const char *name);

#endif
