/** @file batch_id.c  See batch_id.h. */
#include "batch/batch_id.h"

#include "base/hash.h"

#include <glib.h>
#include <string.h>

#define OUTPUT_PREFIX "output_"
#define JOB_PREFIX "batch_"
#define PARTITION_DIGITS 4

static char *format_id(const char *prefix, uint32_t partition, const char *digest) {
    return g_strdup_printf("%s%0*x_%s", prefix, PARTITION_DIGITS, partition, digest);
}

char *hs_file_id(const char *tenant, const char *content, size_t length, uint32_t chunk_items,
                 uint32_t partition_count) {
    g_autofree char *content_digest = hs_hash_hex128(content, length);
    g_autofree char *hash_input =
        g_strdup_printf("%s\n%u\n%s", tenant, chunk_items, content_digest);
    g_autofree char *digest = hs_hash_hex128(hash_input, strlen(hash_input));
    uint32_t partition = (uint32_t)(hs_hash_bytes(digest, strlen(digest)) % partition_count);
    return format_id("file_", partition, digest);
}

char *hs_job_id(const char *tenant, const char *key, const char *file_id) {
    uint32_t partition = 0;
    hs_id_partition(file_id, &partition);
    g_autofree char *hash_input = g_strdup_printf("%s\n%s", tenant, key);
    g_autofree char *digest = hs_hash_hex128(hash_input, strlen(hash_input));
    return format_id(JOB_PREFIX, partition, digest);
}

char *hs_output_id(const char *job_id) {
    return g_strconcat(OUTPUT_PREFIX, job_id + strlen(JOB_PREFIX), NULL);
}

bool hs_id_is_output(const char *id) {
    return g_str_has_prefix(id, OUTPUT_PREFIX);
}

char *hs_output_job_id(const char *output_id) {
    return hs_id_is_output(output_id)
               ? g_strconcat(JOB_PREFIX, output_id + strlen(OUTPUT_PREFIX), NULL)
               : NULL;
}

bool hs_id_partition(const char *id, uint32_t *partition) {
    const char *separator = strchr(id, '_');
    if (separator == NULL)
        return false;
    char *end = NULL;
    guint64 number = g_ascii_strtoull(separator + 1, &end, 16);
    if (end != separator + 1 + PARTITION_DIGITS || *end != '_')
        return false;
    *partition = (uint32_t)number;
    return true;
}
