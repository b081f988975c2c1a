/** @file hash.c  See hash.h. */
#include "base/hash.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

uint64_t hs_hash_bytes(const void *bytes, size_t length) {
    return XXH3_64bits(bytes, length);
}

uint64_t hs_hash_pair(const char *first, const char *second) {
    uint64_t seed = XXH3_64bits(first, strlen(first));
    return XXH3_64bits_withSeed(second, strlen(second), seed);
}

char *hs_hash_hex128(const void *bytes, size_t length) {
    XXH128_hash_t hash = XXH3_128bits(bytes, length);
    return g_strdup_printf("%016" PRIx64 "%016" PRIx64, (uint64_t)hash.high64,
                           (uint64_t)hash.low64);
}

char *hs_id_random(const char *prefix) {
    g_autofree char *uuid = g_uuid_string_random();
    g_autofree char *digest = hs_hash_hex128(uuid, strlen(uuid));
    return g_strdup_printf("%s-%s", prefix, digest);
}
