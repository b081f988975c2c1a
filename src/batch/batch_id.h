/**
 * @file batch_id.h
 * Identities of files and jobs. Pure.
 *
 * They are digests of what they name, so that a resent file or job is the same one, and they carry
 * their partition, so that any daemon finds it: "file_PPPP_HASH", "batch_PPPP_HASH" and
 * "output_PPPP_HASH", with PPPP the partition in hexadecimal.
 */
#ifndef HS_BATCH_BATCH_ID_H
#define HS_BATCH_BATCH_ID_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Identity of a file by tenant, content and chunking. Free with g_free. */
char *hs_file_id(const char *tenant, const char *content, size_t length, uint32_t chunk_items,
                 uint32_t partition_count);

/** Identity of a job over @p file_id by tenant and @p key. Free with g_free. */
char *hs_job_id(const char *tenant, const char *key, const char *file_id);

/** Identity of a job's output file, and back. Free with g_free; NULL when it is none. */
char *hs_output_id(const char *job_id);
char *hs_output_job_id(const char *output_id);

bool hs_id_is_output(const char *id);

/** The partition an identity names; false when malformed. */
bool hs_id_partition(const char *id, uint32_t *partition);

#endif
