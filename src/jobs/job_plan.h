/**
 * @file job_plan.h
 * Orders the open items of a daemon for starting: first the items selected to meet their deadlines
 * (see item_choice.h), earliest deadline first, then the excluded items, shortest first.
 */
#ifndef HS_JOBS_JOB_PLAN_H
#define HS_JOBS_JOB_PLAN_H

#include "jobs/item_choice.h"
#include "jobs/job_owner_state.h"

/** Excluded items have ranks from this value on. */
#define HS_EXCLUDED_RANK_BASE 1000000000

/** An item without a result, as of one scheduler pass. */
typedef struct {
    hs_owned_job_partition *partition;
    hs_owned_item *item;
    const char *service;      /**< Interned; NULL: the configuration has no route for the item. */
    const char *group;        /**< Interned; see hs_region_policy_group; NULL as for service. */
    hs_region_policy regions; /**< Borrowed from the configuration of the pass. */
    int64_t left_ms;          /**< Time until the deadline; negative if it has passed. */
    uint64_t remaining_ms;    /**< Expected remaining run time; 0: unknown. */
    int32_t rank_ms;          /**< Set by the plan; see hs_engine_query. */
    bool is_urgent;           /**< Set by the plan: the item must not wait for more capacity. */
    uint32_t max_attempts;
    bool may_start;  /**< The item is waiting, and its retry delay is over. */
    bool is_expired; /**< The retention time is over; the item is to be listed as dead. */
} hs_open_item;

/**
 * Returns the rank of an item: items of lower rank start first and are preempted last. Of items
 * with equal deadlines the shortest ranks first, so that slots are not spread over items that all
 * end late. If tenants compete for scarce slots, ranks follow the latest start time instead, so
 * that every tenant obtains its allocation.
 */
int32_t hs_job_plan_rank(const hs_choice_item *item);

/**
 * Sorts @p open (of hs_open_item) by rank, and sets rank_ms and is_urgent of each item. Items that
 * are restricted to the same regions are planned by themselves, for the slots of these regions. The
 * caller holds the owner's lock.
 */
void hs_job_plan_make(hs_job_owner *owner, GArray *open);

#endif
