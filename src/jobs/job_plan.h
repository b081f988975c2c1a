/**
 * @file job_plan.h
 * The order in which a daemon's open items start: those that are to end in time first, the one due
 * first first, then those left out, the one that needs least first.
 */
#ifndef HS_JOBS_JOB_PLAN_H
#define HS_JOBS_JOB_PLAN_H

#include "jobs/item_choice.h"
#include "jobs/job_owner_state.h"

/** Ranks of items that are not meant to end in time begin here. */
#define HS_RANK_LEFT_OUT 1000000000

/** An item without a result, and what decides its place. */
typedef struct {
    hs_owned_partition_state *home;
    hs_owned_item *item;
    const char *service; /**< Interned; NULL: no route any more. */
    int64_t left_ms;     /**< Until it is due. */
    uint64_t remaining_ms;
    int32_t rank_ms;  /**< Set by the plan; see hs_engine_query. */
    bool is_pressing; /**< Set by the plan: it may not wait for more room. */
    uint32_t max_attempts;
    bool may_start; /**< It waits, and its pause is over. */
    bool gives_up;  /**< Its time is over: list it as dead. */
} hs_open_item;

/**
 * The lower, the sooner an item starts and the longer it stays. Of items that are due together the
 * one that needs least goes first: work spread over all of them ends none in time. Where claimants
 * share too little room, the one that must start first goes first, so that each has its part.
 */
int32_t hs_job_plan_rank(const hs_choice_item *item);

/** Order @p open (of hs_open_item) and set slack. The caller holds the owner's lock. */
void hs_job_plan_make(hs_job_owner *owner, GArray *open);

#endif
