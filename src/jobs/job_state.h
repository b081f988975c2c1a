/**
 * @file job_state.h
 * The fold of one partition of batch jobs: manifests, results and ends in the log's order. Pure.
 *
 * Two readers of one prefix hold one state. Every record is idempotent by its own identity: the
 * first manifest of a job, the first whole result of an item, any end. So a record may be
 * appended again whenever its answer was lost, and two daemons that both think they own a
 * partition waste work but change nothing. The place of a result is its order among the first
 * results.
 */
#ifndef HS_JOBS_JOB_STATE_H
#define HS_JOBS_JOB_STATE_H

#include "gen/job.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum { HS_ITEM_COMPLETED, HS_ITEM_DEAD } hs_item_outcome;

/** One listed result. */
typedef struct {
    uint32_t item;
    hs_item_outcome outcome;
    char *text; /**< Not NUL-free by promise; @c length counts. */
    size_t length;
} hs_job_result;

/** One item of a job. */
typedef struct {
    char *id;
    uint32_t tokens;
    uint64_t content_offset;
    uint32_t content_bytes;
    bool listed;
    char *progress; /**< What an owner before made of it; NULL: no text. */
    size_t progress_length;
    uint64_t progress_event;  /**< Last event in it; 0: it was not begun. */
    uint64_t progress_writer; /**< Whose runs made its end. */
} hs_job_item;

/** One job. */
typedef struct {
    char *id;
    char *host;
    char *target; /**< Path and query it was submitted under. */
    char *tenant; /**< Whose it is; "": nobody's. */
    uint64_t submitted_ms;
    uint64_t due_ms;        /**< After the submission. */
    uint64_t retention_ms;  /**< After the submission. */
    GArray *items;          /**< of hs_job_item */
    GHashTable *item_by_id; /**< id -> index + 1 */
    GPtrArray *results;     /**< of hs_job_result*, by position. */
    bool ended;
    uint64_t manifest_offset;
} hs_job;

typedef struct hs_job_state hs_job_state;

hs_job_state *hs_job_state_new(void);
void hs_job_state_free(hs_job_state *state);

/** Apply the record at @p offset. False: the record is malformed and changes nothing. */
bool hs_job_state_apply(hs_job_state *state, uint64_t offset, const uint8_t *bytes, size_t length);

/** Offset of the next record to apply. */
uint64_t hs_job_state_next(const hs_job_state *state);

/** Records before @p offset are gone: go on there. */
void hs_job_state_skip_to(hs_job_state *state, uint64_t offset);

/** Borrowed; NULL when unknown. */
hs_job *hs_job_state_find(const hs_job_state *state, const char *job_id);

/** Whether a caller of @p tenant ("": nobody's) may know of the job; one of nobody's is anyone's.
 */
bool hs_job_is_visible(const hs_job *job, const char *tenant);

/** All jobs: of hs_job*, borrowed, in no order. Free the array. */
GPtrArray *hs_job_state_list(const hs_job_state *state);

/** Item index by id, or -1. */
int hs_job_find_item(const hs_job *job, const char *item_id);

/** Whether some item still waits for a result and may be run. */
bool hs_job_is_open(const hs_job *job);

/** Forget jobs that are over and were submitted before @p before_ms (wall clock). */
void hs_job_state_forget(hs_job_state *state, uint64_t before_ms);

/** First content offset that an open job still needs; UINT64_MAX: none. */
uint64_t hs_job_state_first_needed_content(const hs_job_state *state);

#endif
