/**
 * @file job_owner_state.h
 * State shared by the parts of the job owner, mostly under its lock; for src/jobs/job_*.c only.
 */
#ifndef HS_JOBS_JOB_OWNER_STATE_H
#define HS_JOBS_JOB_OWNER_STATE_H

#include "jobs/demand_forecast.h"
#include "jobs/item_estimate.h"
#include "jobs/item_run.h"
#include "jobs/job_owner.h"
#include "jobs/start_pace.h"

/** Maximum interval between two passes of the scheduler. */
#define HS_JOB_PASS_INTERVAL_MS 100
/**
 * Maximum interval between two passes of a daemon that owns no partition.
 */
#define HS_JOB_IDLE_PASS_INTERVAL_MS 1000
/** Pause before the next attempt of an item; doubles with each failure up to the maximum. */
#define HS_JOB_MIN_RETRY_PAUSE_MS 50
#define HS_JOB_MAX_RETRY_PAUSE_MS 1000
/** Time for which a former owner of a partition tries to store the progress of its items. */
#define HS_JOB_HANDOVER_LIMIT_MS 1500
/** Maximum number of items that one daemon runs concurrently. */
#define HS_JOB_MAX_WORKERS 256

/** Whether an item waits for a start, is handled by a worker, or has its result in the log. */
/** How far the owner has stopped, in order; each phase includes those before it. */
typedef enum {
    HS_OWNER_RUNNING,
    HS_OWNER_STARTS_NOTHING, /**< No further items start; the running ones continue. */
    HS_OWNER_DRAINING,       /**< The running items end, and their progress is stored. */
    HS_OWNER_STOPPED,        /**< The threads end. */
} hs_owner_phase;

typedef enum { HS_ITEM_WAITING, HS_ITEM_RUNNING, HS_ITEM_STORED } hs_item_stage;

/** The owner's in-memory state of an item. */
typedef struct {
    hs_item_run *run;
    hs_item_stage stage;
    uint32_t failures;
    uint32_t attempts;
    uint32_t invalid_reads; /**< Reads of the content that found none. */
    uint64_t next_attempt_ms;
    uint64_t discovered_ms;
    uint64_t started_ms;   /**< Start of the latest attempt. */
    uint64_t remaining_ms; /**< Expected remaining run time at that start. */
    bool is_send_recorded; /**< Set once per start; see job_starts.c. */
    bool is_useful_run_recorded;
} hs_owned_item;

/** A partition and this daemon's ownership of it. */
typedef struct {
    hs_job_owner *owner;
    hs_job_partition *partition;
    GHashTable *items;      /**< "job/index" -> hs_owned_item* */
    bool is_owned;          /**< The partition is assigned to this daemon. */
    uint64_t held_since_ms; /**< Since when no item may start by start_rule.h; 0: items may. */
    bool is_runner; /**< Not owned, but this daemon runs its restricted items; see job_runners.h. */
    const char *owner_region;      /**< As of the last update of runners; NULL: unknown. */
    uint64_t acquired_ms;          /**< Monotonic time of the latest assignment. */
    uint64_t earliest_start_ms;    /**< Leaves the previous owner time to store progress. */
    hs_deadline handover_deadline; /**< A former owner stores nothing later. */
    GMutex pending_lock;
    bool is_pending_restricted; /**< Pending records have output of items restricted to regions. */
    GByteArray *pending;        /**< Framed progress records to be stored; see job_checkpoint.c. */
    uint64_t flushed_ms;
    bool is_flushing;
    bool is_tail_stopped;
    uint32_t acquisition_count; /**< Number of assignments of the partition to this daemon. */
    GThread *tail;
} hs_owned_job_partition;

/** State that determines how many items of one service may start. */
typedef struct {
    hs_demand_forecast demand;
    hs_demand_outlook outlook;        /**< Forecast of the latest pass. */
    double expected_online;           /**< Slots that online requests are expected to use soon. */
    hs_start_throttle start_throttle; /**< Limits all starts. */
    hs_start_throttle useful_run_throttle; /**< Limits starts of items that are not urgent. */
    uint64_t forecast_failure_logged_ms;
    bool is_restricted;       /**< Of items restricted to regions. */
    double mean_online_slots; /**< If is_restricted: as that of the owner. */
} hs_service_starts;

/** Open items that wait since no engine or daemon in their allowed regions is ready. */
typedef struct {
    uint32_t no_allowed_region;
    uint32_t no_engine_in_region;
    uint32_t no_daemon_in_region;
    uint64_t logged_ms;
} hs_region_waits;

struct hs_job_owner {
    hs_job_owner_settings settings;
    GMutex lock;
    GCond changed;
    GPtrArray *partitions; /**< of hs_owned_job_partition*: all partitions, by number. */
    uint64_t generation;
    bool is_group_member;  /**< Used by the group's thread only. */
    bool has_group_ended;  /**< The group's thread makes no more calls. */
    hs_interrupt joins;    /**< Ends a join in progress. */
    uint32_t failed_joins; /**< Since the last successful one; used by the group's thread only. */
    hs_owner_phase phase;
    hs_deadline handover_deadline; /**< Of all partitions, from HS_OWNER_DRAINING on. */
    uint32_t running;
    hs_item_pace pace;
    double mean_online_slots;     /**< Moving average; see job_plan.c. */
    GHashTable *services;         /**< Group (interned) -> hs_service_starts*; see job_starts.h. */
    GArray *runners;              /**< Of hs_daemon_region; NULL: no items are restricted. */
    uint64_t next_runners_ms;     /**< Of the next update of runners. */
    uint64_t reported_since_ms;   /**< See hs_ends_knowledge; of all partitions. */
    uint64_t last_pass_ms;        /**< Start of the scheduler's latest pass. */
    uint32_t held_partitions;     /**< Of this pass: their folds are too old to start items. */
    uint32_t unrunnable_items;    /**< Of this pass: no live daemon may run them. */
    hs_region_waits region_waits; /**< Of the latest pass. */
    uint64_t rejected_starts;     /**< Starts that were rejected because no engine had capacity. */
    uint64_t early_preemptions; /**< Runs that were preempted before the minimum useful run time. */
    uint64_t late_preemptions;  /**< Runs that were preempted later. */
    uint32_t tail_count;
    GThreadPool *workers;
    GThread *group;
    GThread *scheduler;
};

/** A task for a worker thread. */
typedef struct {
    hs_owned_job_partition *partition;
    hs_owned_item *item;
    uint32_t max_attempts;
    int32_t rank_ms;   /**< See hs_engine_query. */
    const char *group; /**< See hs_open_item. */
    bool is_expired;   /**< The item's time is over and its result is "dead". */
    bool is_handover;  /**< Only the item's progress is stored, for the next owner. */
} hs_item_task;

/**
 * Returns whether items of a partition may start. The fold must include all records that were in
 * the log when the partition was assigned; otherwise finished items and jobs would still look open.
 * The caller holds the lock.
 */
bool hs_job_owner_may_run(const hs_owned_job_partition *owned, uint64_t now_ms);

/** Whether items of an active partition may start by start_rule.h. Under the owner's lock. */
bool hs_job_owner_may_start(const hs_owned_job_partition *owned);

/** Whether this daemon owns the partition or runs its restricted items. Under the owner's lock. */
bool hs_job_owner_is_active(const hs_owned_job_partition *owned);

/**
 * Starts or ends to run the restricted items of a partition that this daemon does not own. Runs are
 * ended as if the partition were released. The caller holds the lock.
 */
void hs_job_owner_set_runner(hs_owned_job_partition *owned, bool is_runner);

/**
 * Releases partitions for which another daemon announces a later assignment. A daemon that the
 * store rejects does not learn of that assignment from the store and would duplicate the new
 * owner's work. The caller holds the lock.
 */
void hs_job_owner_release_superseded(hs_job_owner *owner);

/**
 * Executes a task; function of the thread pool. @p data: hs_item_task, freed. @p user_data:
 * the owner.
 */
void hs_job_worker_run(gpointer data, gpointer user_data);

/**
 * Adds the run's progress to the partition's pending records if a checkpoint is due, and stores
 * these records if a flush is due. @p data: hs_item_task, borrowed.
 */
void hs_job_checkpoint_take(hs_item_run *run, void *data);

/** Thread function of the scheduler; returns once the owner stops. @p data: the owner. */
gpointer hs_job_scheduler_run(gpointer data);

#endif
