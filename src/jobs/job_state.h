/**
 * @file job_state.h
 * The fold of one partition of batch jobs: manifests, results, progress and ends in log order. Pure
 * and not thread-safe.
 *
 * Readers of the same prefix of the log have the same state. Records are idempotent: the first
 * manifest of a job counts, the first complete result of an item, and any end. A record may
 * therefore be appended again if its answer was lost, and two daemons that run the same partition
 * duplicate work without changing results. Results are listed in the order in which they first
 * complete.
 */
#ifndef HS_JOBS_JOB_STATE_H
#define HS_JOBS_JOB_STATE_H

#include "gen/job.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum { HS_ITEM_COMPLETED, HS_ITEM_DEAD } hs_item_outcome;

/** The result of an item. */
typedef struct {
    uint32_t item;
    hs_item_outcome outcome;
    char *text; /**< Output of @c length bytes; not NUL-terminated and may contain NUL bytes. */
    size_t length;
} hs_job_result;

typedef struct {
    char *id;
    uint32_t tokens;
    uint64_t content_offset;
    uint32_t content_bytes;
    bool listed;
    char *progress; /**< Stored output of an unfinished item; NULL: none. */
    size_t progress_length;
    uint64_t progress_event;    /**< Last event in @c progress; 0: none. */
    uint64_t progress_writer;   /**< Writer of the end of @c progress. */
    uint64_t progress_software; /**< See hs_software_id; of the engines that made @c progress; 0:
                                     unknown. */
} hs_job_item;

typedef struct {
    char *id;
    char *host;
    char *target; /**< Path and query of the submission. */
    char *tenant; /**< Tenant of the job; "": none. */
    uint64_t submitted_ms;
    uint64_t due_ms;        /**< Relative to the submission. */
    uint64_t retention_ms;  /**< Relative to the submission. */
    GArray *items;          /**< of hs_job_item */
    GHashTable *item_by_id; /**< id -> index + 1 */
    GPtrArray *results;     /**< of hs_job_result*, by position. */
    bool ended;
    uint64_t manifest_offset;
} hs_job;

typedef struct hs_job_state hs_job_state;

hs_job_state *hs_job_state_new(void);
void hs_job_state_free(hs_job_state *state);

/** Applies the record at @p offset. Returns false if it is malformed and was skipped. */
bool hs_job_state_apply(hs_job_state *state, uint64_t offset, const uint8_t *bytes, size_t length);

/**
 * Returns the id of the job that the record applied last has ended, borrowed until the next
 * change; NULL: the record ended none, or one that had ended before.
 */
const char *hs_job_state_last_ended(const hs_job_state *state);

/**
 * Ends a job whose end is stored but not applied yet. An end may be applied ahead of other records:
 * it changes neither results nor their order. The end of an unknown job is kept for its manifest
 * until hs_job_state_expire. @p now_ms: wall clock. Returns whether this was new.
 */
bool hs_job_state_end_early(hs_job_state *state, const char *job_id, uint64_t now_ms);

/** Returns the offset of the next record to apply. */
uint64_t hs_job_state_next_offset(const hs_job_state *state);

/** Continues at @p offset; earlier records were trimmed. */
void hs_job_state_skip_to(hs_job_state *state, uint64_t offset);

/** Returns a job, borrowed, or NULL if the id is unknown. */
hs_job *hs_job_state_find(const hs_job_state *state, const char *job_id);

/**
 * Returns whether a caller of @p tenant ("": none) may see the job. Jobs without a tenant are
 * visible to all callers.
 */
bool hs_job_is_visible(const hs_job *job, const char *tenant);

/** Returns all jobs (of hs_job*, borrowed) in no particular order. The caller frees the array. */
GPtrArray *hs_job_state_list(const hs_job_state *state);

/** Returns the index of an item by its id, or -1. */
int hs_job_find_item(const hs_job *job, const char *item_id);

/** Returns whether the job has not ended and an item has no result. */
bool hs_job_is_open(const hs_job *job);

/**
 * Removes jobs that are not open and were submitted before @p before_ms (wall clock), and ends of
 * unknown jobs that were applied before.
 */
void hs_job_state_expire(hs_job_state *state, uint64_t before_ms);

/** Returns the first content offset that an open job needs; UINT64_MAX: none. */
uint64_t hs_job_state_first_needed_content(const hs_job_state *state);

#endif
