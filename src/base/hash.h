/** @file hash.h  Hashing with xxHash and random identifiers. Thread-safe. Not for cryptography. */
#ifndef HS_BASE_HASH_H
#define HS_BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

/** Returns the 64-bit hash of a buffer. */
uint64_t hs_hash_bytes(const void *bytes, size_t length);

/** Returns a hash of two strings that differs from the hash of their concatenation. */
uint64_t hs_hash_pair(const char *first, const char *second);

/** Returns the 128-bit hash of a buffer as 32 hexadecimal digits. Free with g_free. */
char *hs_hash_hex128(const void *bytes, size_t length);

/** Returns a random identifier: @p prefix, "-" and 32 hexadecimal digits. Free with g_free. */
char *hs_id_random(const char *prefix);

#endif
