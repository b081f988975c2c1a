/**
 * @file partition_state.h
 * Fold of a partition's stream: the partition's owner, files, jobs and results.
 *
 * The state depends only on the records applied: readers of the same prefix have equal states. The
 * fold reads no clock and does no I/O. A job holds one log offset per item instead of the item.
 * Not thread-safe.
 *
 * Rules:
 *  - a claim is valid if its epoch is the current one + 1, so that the first of two rivals wins;
 *  - the first valid result of an item counts, later results are ignored;
 *  - after a cancellation only results of run-once items with an intent are valid;
 *  - the first intent of a run-once item in the current epoch wins, and only results of its attempt
 *    are valid; an indeterminate result is valid only in the current epoch.
 */
#ifndef HS_BATCH_PARTITION_STATE_H
#define HS_BATCH_PARTITION_STATE_H

#include "gen/record.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Position of a chunk of a file. */
typedef struct {
    uint64_t offset; /**< Offset of the chunk's record in the stream. */
    uint32_t first_item;
    uint32_t item_count;
    bool present; /**< The chunk's record was read. */
} hs_chunk_ref;

typedef struct {
    char *id;
    char *tenant;
    char *filename;
    char *model;            /**< The same for every item of the file. */
    char *endpoint;         /**< The same for every item of the file. */
    GArray *chunks;         /**< of hs_chunk_ref, by chunk index */
    GArray *run_once_items; /**< of uint32_t, ascending */
    uint32_t item_count;
    uint64_t byte_count;
    uint64_t created_ms;
    bool sealed; /**< The file is complete; the fields above are set. */
} hs_file;

/** Grants an attempt the exclusive right to run a run-once item. */
typedef struct {
    uint32_t item;
    char *attempt_id;
    char *engine_url;
    uint32_t epoch;
} hs_intent;

/** Transitions: RUNNING -> COMPLETED, or RUNNING -> CANCELLING -> CANCELLED. */
typedef enum {
    HS_JOB_RUNNING,
    HS_JOB_CANCELLING, /**< Cancelled; run-once items with an intent still lack an outcome. */
    HS_JOB_CANCELLED,
    HS_JOB_COMPLETED,
} hs_job_state;

typedef struct {
    char *id;
    char *tenant;
    char *file_id;
    char *endpoint;
    char *metadata_json;
    uint64_t created_ms;
    uint64_t deadline_ms;
    uint64_t cancelled_ms;
    uint64_t finished_ms; /**< Stream time of the end; 0 before. */
    uint32_t item_count;
    uint32_t completed_count; /**< Items with a valid result, including failed items. */
    uint32_t failed_count;
    uint64_t *result_offsets; /**< By item: offset + 1 of the record with the valid result, or 0. */
    GHashTable *intents;      /**< item -> hs_intent, for items without a result */
    bool cancelled;
} hs_job;

/** Grants an attempt the exclusive right to run the online request with an idempotency key. */
typedef struct {
    char *key_hash;
    char *attempt_id;
    char *engine_url;
    uint64_t created_ms;
} hs_online_intent;

/** State of a partition. */
typedef struct {
    uint64_t next_offset;
    uint32_t epoch;
    char *owner_id; /**< NULL before the first claim. */
    uint64_t owner_incarnation;
    bool owner_released;
    uint64_t stream_time_ms;     /**< Latest time in any record; used instead of a clock. */
    uint64_t ended_retention_ms; /**< Retention of ended jobs, unused files and online intents. */
    GHashTable *files;           /**< id -> hs_file */
    GHashTable *jobs;            /**< id -> hs_job */
    GHashTable *online_intents;  /**< key hash -> hs_online_intent */
} hs_partition;

typedef enum {
    HS_FOLD_APPLIED,
    HS_FOLD_REPEATED, /**< Without effect: already applied, or superseded. */
    HS_FOLD_STALE,    /**< Not of the current epoch, or for claims the next one. */
    HS_FOLD_INVALID,  /**< Malformed or inconsistent with the state. */
} hs_fold_outcome;

hs_partition *hs_partition_new(uint64_t ended_retention_ms);
void hs_partition_free(hs_partition *partition);

/**
 * Applies the record at @p offset. Ignores a record whose offset is not the next one. A NULL
 * @p record stands for an unreadable record, which is skipped.
 */
hs_fold_outcome hs_partition_apply(hs_partition *partition, uint64_t offset,
                                   const Hs__PartitionRecord *record);

/** Returns the valid intent for the key, or NULL. Borrowed. */
const hs_online_intent *hs_partition_find_online_intent(const hs_partition *partition,
                                                        const char *key_hash);

/** Each returns a borrowed entry, or NULL. */
hs_job *hs_partition_find_job(const hs_partition *partition, const char *job_id);
hs_file *hs_partition_find_file(const hs_partition *partition, const char *file_id);

hs_job_state hs_job_get_state(const hs_job *job);

bool hs_file_item_is_run_once(const hs_file *file, uint32_t item);

/** Returns the chunk with @p item. The file must be sealed and contain the item. Borrowed. */
const hs_chunk_ref *hs_file_find_chunk(const hs_file *file, uint32_t item);

/** Each adds an entry to the state, and the first two return the new, empty entry. Borrowed. */
hs_job *hs_partition_add_job(hs_partition *partition, const char *job_id, uint32_t item_count);
hs_file *hs_partition_add_file(hs_partition *partition, const char *file_id);
void hs_job_add_intent(hs_job *job, const Hs__ItemIntent *intent);
void hs_partition_add_online_intent(hs_partition *partition, const Hs__OnlineIntent *intent);

#endif
