/**
 * @file grant_table.h
 * Which items of an owned partition are handed out to which scheduler. Pure; lives as long as one
 * ownership: it is soft state that a new owner starts anew, at the cost of running items twice.
 *
 * Items go to the tenant with the fewest items out, then to the earliest deadline. A grant is a
 * run of items within one chunk. A silent scheduler's grants expire and go out again; an item
 * with an intent never does.
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

/** Who asks for items, and which models its engines serve. */
typedef struct {
    const char *scheduler_id;
    uint64_t incarnation;
    const char *const *models;
    size_t model_count;
} hs_grant_request;

/**
 * Hand out at most @p want items. @p grants: borrowed hs_grant*, appended.
 * @return items handed out.
 */
uint32_t hs_grant_table_take(hs_grant_table *table, const hs_partition *partition,
                             const hs_grant_request *request, uint32_t want, uint64_t now_ms,
                             GPtrArray *grants);

/** Keep a grant alive; false when it no longer stands. */
bool hs_grant_table_renew(hs_grant_table *table, uint64_t grant_id, const char *scheduler_id,
                          uint64_t now_ms);

/** Drop grants whose items all have results or whose job has ended; free those that expired. */
void hs_grant_table_settle(hs_grant_table *table, const hs_partition *partition, uint64_t now_ms);

/** Take back every grant of a scheduler that died or came back under another incarnation. */
void hs_grant_table_drop_scheduler(hs_grant_table *table, const char *scheduler_id,
                                   uint64_t live_incarnation);

/** True when some item may be handed out. */
bool hs_grant_table_has_ready(hs_grant_table *table, const hs_partition *partition);

/** True when an unexpired grant covers the item. */
bool hs_grant_table_covers(const hs_grant_table *table, const char *job_id, uint32_t item);

/** Grants out now. */
uint32_t hs_grant_table_size(const hs_grant_table *table);

#endif
