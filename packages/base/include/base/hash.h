/// @file hash.h
/// Hash functions: 64-bit xxHash for hash tables and rendezvous hashing,
/// SHA-256 for names and fingerprints that leave the process.

#ifndef BASE_HASH_H
#define BASE_HASH_H

#include <stddef.h>
#include <stdint.h>
#include <sys/uio.h>

/// Length of a SHA-256 digest in hexadecimal, with the terminating NUL.
#define CM_DIGEST_SIZE 65

/// @return the 64-bit hash of `size` bytes at `data`.
uint64_t
CmHash_Bytes(const void *data, size_t size, uint64_t seed);

/// @return the 64-bit hash of a NUL-terminated string.
uint64_t
CmHash_Text(const char *text, uint64_t seed);

/// Writes the SHA-256 digest of `size` bytes at `data` as hexadecimal.
void
CmHash_Digest(const void *data, size_t size, char digest[CM_DIGEST_SIZE]);

/// Writes the SHA-256 digest of the concatenation of `n` parts as hexadecimal.
void
CmHash_DigestParts(const struct iovec *parts, size_t n,
                   char digest[CM_DIGEST_SIZE]);

#endif
