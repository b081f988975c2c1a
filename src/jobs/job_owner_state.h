/** @file job_owner_state.h  State that the owner's duties share; for src/jobs/job_*.c only. */
#ifndef HS_JOBS_JOB_OWNER_STATE_H
#define HS_JOBS_JOB_OWNER_STATE_H

#include "jobs/demand_forecast.h"
#include "jobs/item_estimate.h"
#include "jobs/item_run.h"
#include "jobs/job_owner.h"
#include "jobs/start_pace.h"

/** The scheduler looks for items to start at least so often, in ms. */
#define HS_JOB_PASS_MS 100
/** The same for a daemon that owns no partition; it is woken when it is dealt one. */
#define HS_JOB_IDLE_PASS_MS 1000
/** Pause before an item is tried again: doubles with its failures up to the most. */
#define HS_JOB_RETRY_LEAST_MS 50
#define HS_JOB_RETRY_MOST_MS 1000
/** How long an owner that lost a partition tries to store what it made there. */
#define HS_JOB_HANDOVER_MS 1500
/** Most items that one daemon runs. */
#define HS_JOB_WORKERS_MAX 256

/** Where an item stands with its owner. */
typedef enum { HS_ITEM_WAITING, HS_ITEM_RUNNING, HS_ITEM_STORED } hs_item_stage;

/** An item's volatile part. */
typedef struct {
    hs_item_run *run;
    hs_item_stage stage;
    uint32_t failures;
    uint32_t tries;
    uint64_t next_try_ms;
    uint64_t seen_ms;
    uint64_t started_ms;   /**< Of the latest try, */
    uint64_t remaining_ms; /**< which was expected to need so long. */
    bool is_sent_noted;    /**< What became of it was noted; see job_starts.c. */
    bool is_piece_noted;
} hs_owned_item;

/** One owned partition. */
typedef struct {
    hs_job_owner *owner;
    hs_job_partition *partition;
    GHashTable *items; /**< "job/index" -> hs_owned_item* */
    bool owned;        /**< Dealt to this daemon now. */
    uint64_t taken_ms; /**< When it was dealt to this daemon. */
    uint64_t start_ms; /**< No item starts before: the owner before may still hand over. */
    hs_deadline handover_deadline; /**< Until when a former owner still stores what it has. */
    GMutex pending_lock;
    GByteArray *pending; /**< Framed progress that waits to be stored; see job_checkpoint.c. */
    uint64_t flushed_ms;
    bool flushing;
    bool tail_stopped;
    uint32_t taken_count; /**< How often the partition was dealt to this daemon. */
    GThread *tail;
} hs_owned_partition_state;

/** What decides how many items of one service start. */
typedef struct {
    hs_demand_forecast demand;
    hs_demand_outlook outlook; /**< As of the latest pass. */
    double expected_online;    /**< Slots that online requests are expected to hold soon. */
    hs_start_throttle sends;   /**< Of all starts: do they reach an engine. */
    hs_start_throttle pieces;  /**< Of those that are not pressing: do they run for long. */
    uint64_t failed_logged_ms; /**< When it was last said that the forecast failed. */
} hs_service_starts;

struct hs_job_owner {
    hs_job_owner_settings settings;
    GMutex lock;
    GCond changed;
    GPtrArray *partitions; /**< of hs_owned_partition_state*, one for each partition there is. */
    uint64_t generation;
    bool stopping;
    bool draining;
    hs_deadline handover_deadline; /**< The same for all partitions, while draining. */
    uint32_t running;
    hs_item_pace pace;
    double online_mean;   /**< Online requests beside the items, of late; see job_plan.c. */
    GHashTable *services; /**< Service (interned) -> hs_service_starts*; see job_starts.h. */
    uint64_t sent_back;   /**< Starts that no engine's arbiter had room for. */
    uint64_t cut_soon;    /**< Runs that were cut for others before they were worth it. */
    uint64_t cut_later;   /**< Runs that were cut for others after that. */
    uint32_t tails;
    GThreadPool *workers;
    GThread *group;
    GThread *scheduler;
};

/** What a worker gets: all it needs besides the owner's lock. */
typedef struct {
    hs_owned_partition_state *home;
    hs_owned_item *item;
    uint32_t max_attempts;
    int32_t rank_ms;     /**< See hs_engine_query. */
    const char *service; /**< Interned; NULL: no route any more. */
    bool is_expired;     /**< Its time is over: list it as dead. */
    bool hands_over;     /**< Only store what there is of it, for the next owner. */
} hs_item_order;

/**
 * Whether items of a partition may start. Not before the fold holds the log as it was when the
 * partition was dealt: until then items that are listed, and jobs that are over, look open.
 */
bool hs_job_owner_may_run(const hs_owned_partition_state *home, uint64_t now_ms);

/**
 * Give up partitions that another daemon says it was dealt later. The store's own word on it does
 * not reach a daemon that it turns away, and both would run the same items in whole. The caller
 * holds the lock.
 */
void hs_job_owner_give_up_superseded(hs_job_owner *owner);

/** Run one order; a thread pool's function. @p data: hs_item_order, owned. @p user_data: owner. */
void hs_job_worker_run(gpointer data, gpointer user_data);

/** Store what a run has made, now and then. @p data: hs_item_order, borrowed. */
void hs_job_checkpoint_take(hs_item_run *run, void *data);

/** The scheduler's duty, until the owner stops. @p data: owner. */
gpointer hs_job_scheduler_run(gpointer data);

#endif
