/** @file hash.h  Hashing (xxHash) and identifiers derived from it. */
#ifndef HS_BASE_HASH_H
#define HS_BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

/** 64-bit hash of a buffer. */
uint64_t hs_hash_bytes(const void *bytes, size_t length);

/** Hash of two strings, not equal to that of their plain concatenation. */
uint64_t hs_hash_pair(const char *first, const char *second);

/** 32 hexadecimal digits of the 128-bit hash of a buffer. The caller frees with g_free. */
char *hs_hash_hex128(const void *bytes, size_t length);

/** Random identifier "PREFIX-32hex". The caller frees with g_free. */
char *hs_id_random(const char *prefix);

#endif
