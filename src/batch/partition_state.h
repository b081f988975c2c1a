/**
 * @file partition_state.h
 * Pure fold of a partition's stream: who owns it, which files, jobs and results it holds.
 *
 * Two readers of the same prefix hold the same state; nothing here reads a clock or does I/O.
 * A job is held as one offset an item, never as its items: 130,000 items take about 1 MB.
 *
 * Rules that decide:
 *  - a claim counts when its epoch is the folded one + 1, so that the first of two rivals wins;
 *  - the first valid result of an item counts, later ones change nothing;
 *  - after a cancellation no result counts, but for run-once items that may already have run;
 *  - the first intent of a run-once item under the current epoch wins, and only its attempt's
 *    result counts; that an outcome stays indeterminate is for the current epoch to say.
 */
#ifndef HS_BATCH_PARTITION_STATE_H
#define HS_BATCH_PARTITION_STATE_H

#include "gen/record.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint64_t offset; /**< Of the chunk's record. */
    uint32_t first_item;
    uint32_t item_count;
    bool present;
} hs_chunk_ref;

typedef struct {
    char *id;
    char *tenant;
    char *filename;
    char *model;            /**< Every item of a file asks for the same model. */
    char *endpoint;         /**< And for the same path. */
    GArray *chunks;         /**< of hs_chunk_ref, by chunk index */
    GArray *run_once_items; /**< of uint32_t, ascending */
    uint32_t item_count;
    uint64_t byte_count;
    uint64_t created_ms;
    bool sealed;
} hs_file;

/** The right of one attempt to run a run-once item. */
typedef struct {
    uint32_t item;
    char *attempt_id;
    char *engine_url;
    uint32_t epoch;
} hs_intent;

/** RUNNING -> COMPLETED, or RUNNING -> CANCELLING -> CANCELLED; moved by the fold alone. */
typedef enum {
    HS_JOB_RUNNING,
    HS_JOB_CANCELLING, /**< Cancelled, but run-once items with an intent have no outcome yet. */
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
    uint64_t finished_ms; /**< Stream time when it ended; 0 before. */
    uint32_t item_count;
    uint32_t completed_count; /**< Items with a counted result, failed ones included. */
    uint32_t failed_count;
    uint64_t *result_offsets; /**< Offset + 1 of the record with the item's counted result, or 0. */
    GHashTable *intents;      /**< item -> hs_intent, those without a result yet */
    bool cancelled;
} hs_job;

/** The right of one attempt to run an online run-once request under its key. */
typedef struct {
    char *key_hash;
    char *attempt_id;
    char *engine_url;
    uint64_t created_ms;
} hs_online_intent;

typedef struct {
    uint64_t next_offset;
    uint32_t epoch;
    char *owner_id; /**< NULL: nobody claimed it yet. */
    uint64_t owner_incarnation;
    bool owner_released;
    uint64_t stream_time_ms;    /**< Newest time any record carried; stands in for a clock. */
    uint64_t window_ms;         /**< Ended jobs and online intents older than this are forgotten. */
    GHashTable *files;          /**< id -> hs_file */
    GHashTable *jobs;           /**< id -> hs_job */
    GHashTable *online_intents; /**< key hash -> hs_online_intent */
} hs_partition;

typedef enum {
    HS_FOLD_APPLIED,
    HS_FOLD_REPEATED, /**< Already in force: nothing changed. */
    HS_FOLD_STALE,    /**< Of an epoch that has ended. */
    HS_FOLD_INVALID,  /**< Breaks a rule or is malformed. */
} hs_fold_outcome;

hs_partition *hs_partition_new(uint64_t window_ms);
void hs_partition_free(hs_partition *partition);

/** Apply the record at @p offset; one that is not the next is ignored. @p record may be NULL. */
hs_fold_outcome hs_partition_apply(hs_partition *partition, uint64_t offset,
                                   const Hs__PartitionRecord *record);

/** The intent that holds @p key_hash, or NULL. Borrowed. */
const hs_online_intent *hs_partition_online_intent(const hs_partition *partition,
                                                   const char *key_hash);

/** Borrowed, or NULL. */
hs_job *hs_partition_job(const hs_partition *partition, const char *job_id);
hs_file *hs_partition_file(const hs_partition *partition, const char *file_id);

hs_job_state hs_job_state_of(const hs_job *job);

bool hs_file_item_is_run_once(const hs_file *file, uint32_t item);

/** The chunk that holds @p item. The file must be sealed and hold it. */
const hs_chunk_ref *hs_file_chunk_of(const hs_file *file, uint32_t item);

/** Used by snapshots: an empty job or file put into the partition. Borrowed. */
hs_job *hs_partition_add_job(hs_partition *partition, const char *job_id, uint32_t item_count);
hs_file *hs_partition_add_file(hs_partition *partition, const char *file_id);
void hs_job_add_intent(hs_job *job, const Hs__ItemIntent *intent);
void hs_partition_add_online_intent(hs_partition *partition, const Hs__OnlineIntent *intent);

#endif
