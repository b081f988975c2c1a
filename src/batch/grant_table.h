/**
 * @file grant_table.h
 * Leases the items of an owned partition to schedulers. Not thread-safe; does no I/O.
 *
 * The table is not persistent: a new owner of the partition starts with an empty table, so that
 * items granted by the previous owner may run twice.
 *
 * A grant is a range of items within one chunk. The tenant with the fewest granted items is served
 * first, then the job with the earliest deadline. Items of an expired grant are granted again,
 * except for items with an intent, which are never granted again.
 */
#ifndef HS_BATCH_GRANT_TABLE_H
#define HS_BATCH_GRANT_TABLE_H

#include "batch/partition_state.h"

typedef struct {
    uint64_t id; /**< Unique within the epoch. */
    char *job_id;
    char *scheduler_id;
    uint64_t scheduler_incarnation;
    uint32_t first_item;
    uint32_t item_count;
    bool run_once;
    uint64_t expires_ms;
} hs_grant;

typedef struct hs_grant_table hs_grant_table;

hs_grant_table *hs_grant_table_new(uint32_t lease_ms);
void hs_grant_table_free(hs_grant_table *table);

/** The requesting scheduler and the models that its engines serve. Strings are borrowed. */
typedef struct {
    const char *scheduler_id;
    uint64_t incarnation;
    const char *const *models;
    size_t model_count;
} hs_grant_request;

/**
 * Grants at most @p want items and appends the new grants to @p grants as hs_grant* owned by the
 * table. Returns the number of items granted.
 */
uint32_t hs_grant_table_grant_items(hs_grant_table *table, const hs_partition *partition,
                                    const hs_grant_request *request, uint32_t want, uint64_t now_ms,
                                    GPtrArray *grants);

/** Extends the lease of a grant; returns false if the scheduler does not hold this grant. */
bool hs_grant_table_renew(hs_grant_table *table, uint64_t grant_id, const char *scheduler_id,
                          uint64_t now_ms);

/**
 * Removes the job's grants and grants none of its items any more: its cancellation is in the stream
 * but may not be in @p partition yet. Calls @p revoke for each removed grant.
 */
void hs_grant_table_cancel_job(hs_grant_table *table, const hs_partition *partition,
                               const char *job_id,
                               void (*revoke)(const hs_grant *grant, void *user_data),
                               void *user_data);

/** Removes expired grants and those whose items all have results or whose job is not running. */
void hs_grant_table_remove_ended(hs_grant_table *table, const hs_partition *partition,
                                 uint64_t now_ms);

/**
 * Removes the scheduler's grants of incarnations other than @p live_incarnation. UINT64_MAX removes
 * all of them.
 */
void hs_grant_table_drop_scheduler(hs_grant_table *table, const char *scheduler_id,
                                   uint64_t live_incarnation);

/** Returns whether an item can be granted. */
bool hs_grant_table_has_ready_items(hs_grant_table *table, const hs_partition *partition);

/** Returns whether a grant in the table covers the item. */
bool hs_grant_table_is_granted(const hs_grant_table *table, const char *job_id, uint32_t item);

/** Returns the number of grants. */
uint32_t hs_grant_table_size(const hs_grant_table *table);

#endif
