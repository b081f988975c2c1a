/**
 * @file job_partition.h
 * One partition of batch jobs as this daemon sees it: the fold, caught up from the log when asked,
 * and appends to it. Shared by callers' threads and the owner's duty.
 */
#ifndef HS_JOBS_JOB_PARTITION_H
#define HS_JOBS_JOB_PARTITION_H

#include "jobs/job_relay.h"
#include "jobs/job_state.h"
#include "store/store_client.h"

typedef struct hs_job_partition hs_job_partition;

/** What the log store allows; all borrowed. */
typedef struct {
    hs_store_client *store;
    uint32_t part_count;
    uint32_t record_bytes;
    uint32_t call_bytes;
    hs_job_relay *relay; /**< Who appends while the store turns this daemon away; NULL: nobody. */
    uint64_t status_ms;  /**< Time after the submission for which ended jobs can be read. */
} hs_job_store_settings;

hs_job_partition *hs_job_partition_new(const hs_job_store_settings *settings, uint32_t part);
void hs_job_partition_free(hs_job_partition *partition);

/** Number of the partition of a job. */
uint32_t hs_job_partition_of(const char *job_id, uint32_t part_count);

/**
 * Bring the fold up to the log's end as of this call. True when that worked before @p deadline.
 */
bool hs_job_partition_catch_up(hs_job_partition *partition, hs_deadline deadline);

/**
 * Whether the fold is known to hold all that the log held at @p since_ms (monotonic). A daemon that
 * was frozen or is cut off from the store finds its fold out of date by this.
 */
bool hs_job_partition_is_current(hs_job_partition *partition, uint64_t since_ms);

/** Lock and borrow the fold; unlock when done. */
hs_job_state *hs_job_partition_lock(hs_job_partition *partition);
void hs_job_partition_unlock(hs_job_partition *partition);

/**
 * Wait until the fold moves beyond @p offset, at most until @p until. All who wait share one read
 * that the store holds.
 */
void hs_job_partition_hold(hs_job_partition *partition, uint64_t offset, hs_deadline until);

/** One try to append a record; HS_STORE_UNKNOWN: it may be there, now or later. */
hs_store_outcome hs_job_partition_append(hs_job_partition *partition, const Hs__JobRecord *record,
                                         hs_deadline deadline);

/** One try to append a result, spread over records where it is long. */
hs_store_outcome hs_job_partition_append_result(hs_job_partition *partition, const char *job_id,
                                                uint32_t item, hs_item_outcome outcome,
                                                const GString *text, hs_deadline deadline);

/** What a run has made of an item since an event. All borrowed. */
typedef struct {
    const char *job_id;
    uint32_t item;
    uint64_t from_event; /**< The text follows this event; 0: it is all there is. */
    uint64_t last_event;
    const GString *text;
    uint64_t writer;     /**< Tells this owner's runs of the item from another owner's. */
    uint64_t base_event; /**< The first of them was asked to go on after this event; 0: it began. */
} hs_job_progress;

/** Add a progress record to @p records; false when its text is too long to be kept. */
bool hs_job_partition_frame_progress(const hs_job_partition *partition, const hs_job_progress *made,
                                     GByteArray *records);

/** One try to append framed records, all or none. */
hs_store_outcome hs_job_partition_append_framed(hs_job_partition *partition,
                                                const GByteArray *records, hs_deadline deadline);

/** Append contents (already packed, of GByteArray*) to the bodies; offsets go to @p offsets. */
hs_store_outcome hs_job_partition_append_contents(hs_job_partition *partition,
                                                  const GPtrArray *contents, GArray *offsets,
                                                  hs_deadline deadline);

/** Read an item's content; NULL with the outcome. Free with hs__job_item_content__free_unpacked. */
Hs__JobItemContent *hs_job_partition_read_content(hs_job_partition *partition, uint64_t offset,
                                                  uint32_t bytes, hs_deadline deadline,
                                                  hs_store_outcome *outcome);

/** Drop contents that no open job needs any more, and forget jobs whose status time is over. */
void hs_job_partition_trim(hs_job_partition *partition, hs_deadline deadline);

/**
 * Deadline for the @p attempt-th try of an append of @p bytes, at most @p limit; see
 * hs_store_client_patience_ms.
 */
hs_deadline hs_job_partition_patience(const hs_job_partition *partition, uint32_t attempt,
                                      size_t bytes, hs_deadline limit);

uint32_t hs_job_partition_number(const hs_job_partition *partition);

#endif
