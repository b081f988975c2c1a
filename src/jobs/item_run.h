/**
 * @file item_run.h
 * Runs a batch item on engines, one attempt on one engine at a time. Output is kept between
 * attempts: each attempt resumes after the last complete event. A run is used by one thread at a
 * time; only its interrupt may be raised from other threads.
 */
#ifndef HS_JOBS_ITEM_RUN_H
#define HS_JOBS_ITEM_RUN_H

#include "fleet/config_source.h"
#include "fleet/engine_attempt.h"
#include "jobs/job_partition.h"
#include "online/event_stream.h"

/** How an attempt ended. */
typedef enum {
    HS_ITEM_ATTEMPT_DONE,        /**< The output is complete. */
    HS_ITEM_ATTEMPT_NO_CAPACITY, /**< No engine has capacity now. */
    HS_ITEM_ATTEMPT_REFUSED,     /**< The engine refused the item without running it. */
    HS_ITEM_ATTEMPT_UNSUITED,    /**< All engines have other weights than the item names. */
    HS_ITEM_ATTEMPT_BROKEN,      /**< The connection or stream broke; another attempt may resume. */
    HS_ITEM_ATTEMPT_FAILED,      /**< The engine answered with an error. */
    HS_ITEM_ATTEMPT_IMPOSSIBLE,  /**< The engine answered that it can never process the item. */
    HS_ITEM_ATTEMPT_STALE_FOLD,  /**< Not sent: the job may have ended; see start_rule.h. */
    HS_ITEM_ATTEMPT_NO_CONTENT,  /**< The content could not be read from the store. */
    HS_ITEM_ATTEMPT_CONTENT_INVALID, /**< The store has no valid content at its offset. */
    HS_ITEM_ATTEMPT_CONTENT_GONE,    /**< The store no longer has the content. */
    HS_ITEM_ATTEMPT_QUARANTINED,     /**< The content is quarantined: it may crash engines. */
    HS_ITEM_ATTEMPT_NO_ROUTE,        /**< The configuration has no route for the item. */
    HS_ITEM_ATTEMPT_PREEMPTED,       /**< The item was preempted. */
    HS_ITEM_ATTEMPT_ABANDONED,       /**< The item was stopped by its owner. */
} hs_item_attempt_end;

/** An unfinished item; its owner keeps it from attempt to attempt. */
typedef struct {
    char *job_id;
    char *host;
    char *job_target; /**< Target of the job's submission. */
    char *tenant;     /**< Tenant of the job; NULL: none. */
    char *item_id;
    uint32_t index;
    uint32_t tokens; /**< Size: tokens of the prompt and the output limit. */
    uint64_t content_offset;
    uint32_t content_bytes;
    Hs__JobItemContent *content; /**< NULL until read. */
    hs_event_stream events;
    GPtrArray *texts;         /**< of GString*: the data of each event. */
    GPtrArray *unsuited;      /**< of char*: ids of engines that have other weights than the item
                                   names. */
    hs_interrupt interrupt;   /**< Raised to end an attempt. */
    uint64_t writer;          /**< Random id of this run; see hs_job_progress. */
    bool is_software_unknown; /**< Of the output: it can't be continued. */
    uint64_t software;        /**< See hs_software_id; of the engines that made the output; 0: none
                                   yet. */
    uint64_t base_event;      /**< Last event produced by a previous owner; 0: none. */
    uint64_t stored_event;    /**< Last event returned for storage; 0: none. */
    guint stored_texts;       /**< Number of texts returned for storage. */
    uint64_t next_checkpoint_ms;
    uint64_t give_up_ms; /**< Monotonic time of the deadline of all attempts. */
    bool is_restricted;  /**< The latest attempt was restricted to regions. */
    bool is_on_trial;   /**< A trial run of the quarantined content was granted and not used yet. */
    char engine_id[64]; /**< Engine of the latest attempt. */
    bool was_sent;      /**< The latest attempt may have reached that engine. */
    uint64_t attempt_events; /**< Events received in the latest attempt. */
    uint64_t attempt_ms;     /**< Time from the first to the last of these events. */
} hs_item_run;

hs_item_run *hs_item_run_new(const hs_job *job, uint32_t index);
void hs_item_run_free(hs_item_run *run);

/** Returns the output so far: the data of all events, joined by line feeds. The caller frees it. */
GString *hs_item_run_text(const hs_item_run *run);

/**
 * Returns the progress to store, given the last event that the store has: the output after
 * @p known_event if it is the event returned last, otherwise all output. The caller frees the
 * text.
 */
hs_job_progress hs_item_run_progress(hs_item_run *run, uint64_t known_event);

/**
 * Returns the regions where the item may run by @p config, from which they are borrowed: those of
 * the item's route (if its content is known), of its job's route and of its tenant.
 */
hs_region_policy hs_item_run_regions(const hs_item_run *run, const hs_topology *topology,
                                     const hs_fleet_config *config);

/** Parameters of an attempt; all borrowed. */
typedef struct {
    hs_job_partition *partition;
    hs_fleet_engines *engines;
    const hs_fleet_config *config;
    const char *own_region; /**< Of this daemon; NULL: unknown. */
    int32_t rank_ms;        /**< See hs_engine_query. */
    uint64_t send_time_ms;  /**< Time after may_start within which the item must be sent. */
    void (*checkpoint)(hs_item_run *run, void *user_data); /**< Called after each read. */
    bool (*may_start)(void *user_data); /**< Asked after the content was read; NULL: it may. */
    void *user_data;
} hs_item_attempt_terms;

/** Makes one attempt; blocks until the engine's answer ends or the run is interrupted. */
hs_item_attempt_end hs_item_run_attempt(hs_item_run *run, const hs_item_attempt_terms *terms);

/** Returns the name used in log lines. */
const char *hs_item_attempt_end_name(hs_item_attempt_end end);

#endif
