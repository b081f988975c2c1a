/**
 * @file batch_id.h
 * Ids of input files, jobs and output files. Pure functions.
 *
 * An id is derived from a digest, so that resubmitting the same file or job yields the same id, and
 * contains the partition number: "file_PPPP_HASH", "batch_PPPP_HASH" or "output_PPPP_HASH" with the
 * partition PPPP in hexadecimal.
 */
#ifndef HS_BATCH_BATCH_ID_H
#define HS_BATCH_BATCH_ID_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Returns the id of a file with this tenant, content and chunk size. The id also selects one of
 * @p partition_count partitions. Free with g_free.
 */
char *hs_file_id(const char *tenant, const char *content, size_t length, uint32_t chunk_items,
                 uint32_t partition_count);

/**
 * Returns the id of the job that @p tenant submits with idempotency key @p key. The job is in the
 * partition of @p file_id. Free with g_free.
 */
char *hs_job_id(const char *tenant, const char *key, const char *file_id);

/** Returns the id of the job's output file. Free with g_free. */
char *hs_output_id(const char *job_id);

/** Returns the id of the job with this output file, or NULL for any other id. Free with g_free. */
char *hs_output_job_id(const char *output_id);

bool hs_id_is_output(const char *id);

/** Reads the partition number from an id. Returns false if the id is malformed. */
bool hs_id_partition(const char *id, uint32_t *partition);

#endif
