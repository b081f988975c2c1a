/**
 * @file job_partition.h
 * This daemon's replica of one partition of batch jobs: the fold, read from the log on demand, and
 * appends to the log. Thread-safe.
 */
#ifndef HS_JOBS_JOB_PARTITION_H
#define HS_JOBS_JOB_PARTITION_H

#include "base/drain.h"
#include "jobs/job_contents.h"
#include "jobs/job_relay.h"
#include "jobs/job_state.h"
#include "store/store_client.h"

typedef struct hs_job_partition hs_job_partition;

/** The store of the jobs and its limits; all pointers are borrowed. */
typedef struct {
    hs_store_client *store;
    uint32_t part_count;
    uint32_t record_bytes;
    uint32_t call_bytes;
    hs_job_relay *relay; /**< NULL: records are never appended through other daemons. */
    uint64_t status_ms;  /**< Time after its submission for which a finished job can be read. */
    hs_drain *drain;     /**< Calls of callers end before its deadline; NULL: never stops. */
} hs_job_store_settings;

hs_job_partition *hs_job_partition_new(const hs_job_store_settings *settings, uint32_t number);
void hs_job_partition_free(hs_job_partition *partition);

/** Returns the number of a job's partition. */
uint32_t hs_job_partition_number_for_job(const char *job_id, uint32_t part_count);

/** Reads the log to its end as of this call. Returns whether that succeeded before @p deadline. */
bool hs_job_partition_catch_up(hs_job_partition *partition, hs_deadline deadline);

/**
 * Returns whether the fold is known to hold all records that the log held at @p since_ms
 * (monotonic). False after the daemon was suspended or lost contact with the store.
 */
bool hs_job_partition_is_current(hs_job_partition *partition, uint64_t since_ms);

/**
 * Maximum age in ms of a fold that answers without a read of the log. Callers expect state reported
 * to them a second ago to be visible at every daemon.
 */
#define HS_JOB_MAX_FOLD_AGE_MS 900

/** Returns the time in ms since the fold was known to be complete; UINT64_MAX: it never was. */
uint64_t hs_job_partition_age_ms(hs_job_partition *partition);

/**
 * Returns whether the fold is older than that because the log cannot be read. False while the store
 * is merely slow.
 */
bool hs_job_partition_has_fallen_behind(hs_job_partition *partition);

/**
 * Returns how long the next long poll may wait so that the fold of a followed partition never gets
 * older than HS_JOB_MAX_FOLD_AGE_MS. A poll that returns records shows only that the fold was
 * complete when the poll began. @p current_ms: when the fold was last known to be complete. @p
 * until_ms: when the caller stops waiting, after @p now_ms.
 */
uint32_t hs_job_poll_wait_ms(uint64_t current_ms, uint64_t now_ms, uint64_t until_ms);

/**
 * Applies the end of a job that is stored but may not have been read yet. @p source: for the log
 * line, a literal.
 */
void hs_job_partition_apply_end(hs_job_partition *partition, const char *job_id,
                                const char *source);

/** Locks and borrows the fold; see hs_job_partition_unlock. */
hs_job_state *hs_job_partition_lock(hs_job_partition *partition);
void hs_job_partition_unlock(hs_job_partition *partition);

/**
 * Waits until the fold is past @p offset, at most until @p until. All waiting threads share one
 * long poll of the store at a time; see hs_job_poll_wait_ms.
 */
void hs_job_partition_wait(hs_job_partition *partition, uint64_t offset, hs_deadline until);

/**
 * As hs_job_partition_wait for the owner, who has no caller that waits: a poll lasts as long as the
 * store's response times require.
 */
void hs_job_partition_follow(hs_job_partition *partition, uint64_t offset, hs_deadline until);

/**
 * Makes one attempt to append a record. HS_STORE_UNKNOWN: the record may appear in the log, now or
 * later. No append is sent once its deadline has passed.
 */
hs_store_outcome hs_job_partition_append(hs_job_partition *partition, const Hs__JobRecord *record,
                                         hs_deadline deadline);

/** Makes one attempt to append the end of a job. HS_STORE_DONE: @p offset is the record's. */
hs_store_outcome hs_job_partition_append_end(hs_job_partition *partition, const char *job_id,
                                             hs_deadline deadline, uint64_t *offset);

/**
 * Makes one attempt to append a result, split into several records if necessary. @p regions: where
 * the records may be sent to be appended by another daemon (NULL: anywhere), as for the other
 * functions with this parameter.
 */
hs_store_outcome hs_job_partition_append_result(hs_job_partition *partition, const char *job_id,
                                                uint32_t item, hs_item_outcome outcome,
                                                const GString *text, const hs_body_regions *regions,
                                                hs_deadline deadline);

/** Output of an item's run since an event; all borrowed. */
typedef struct {
    const char *job_id;
    uint32_t item;
    uint64_t from_event; /**< The text follows this event; 0: it is the whole output. */
    uint64_t last_event;
    uint64_t software; /**< See hs_software_id; of the engines that made the output. */
    const GString *text;
    uint64_t writer;     /**< Identifies the runs of the item by one owner. */
    uint64_t base_event; /**< Event after which the writer's first run resumed; 0: it began with the
                            item. */
} hs_job_progress;

/** Appends a progress record to @p records. Returns false if its text exceeds the record limit. */
bool hs_job_partition_frame_progress(const hs_job_partition *partition,
                                     const hs_job_progress *progress, GByteArray *records);

/** Makes one attempt to append framed records, all or none. */
hs_store_outcome hs_job_partition_append_framed(hs_job_partition *partition, GByteArray *records,
                                                const hs_body_regions *regions,
                                                hs_deadline deadline);

/** Returns an empty list of contents, within the limits of the partition's store. */
hs_job_contents *hs_job_partition_new_contents(const hs_job_partition *partition);

/**
 * Appends contents to the bodies topic, and the offset of each to @p offsets (of uint64_t) if all
 * are stored.
 */
hs_store_outcome hs_job_partition_append_contents(hs_job_partition *partition,
                                                  const hs_job_contents *contents, GArray *offsets,
                                                  const hs_body_regions *regions,
                                                  hs_deadline deadline);

/**
 * Reads an item's content. Returns NULL on failure, with the reason in @p outcome. Freed with
 * hs__job_item_content__free_unpacked.
 */
Hs__JobItemContent *hs_job_partition_read_content(hs_job_partition *partition, uint64_t offset,
                                                  uint32_t bytes, hs_deadline deadline,
                                                  hs_store_outcome *outcome);

/**
 * Trims contents that no open job needs, if the fold is recent (see content_trim.h), and removes
 * jobs past their status time from the fold.
 */
void hs_job_partition_trim(hs_job_partition *partition, hs_deadline deadline);

/**
 * Returns the deadline of an append of @p bytes, at most @p limit; @p attempt: number of earlier
 * attempts. See hs_store_client_write_timeout_ms.
 */
hs_deadline hs_job_partition_append_deadline(const hs_job_partition *partition, uint32_t attempt,
                                             size_t bytes, hs_deadline limit);

uint32_t hs_job_partition_number(const hs_job_partition *partition);

#endif
