/**
 * @file job_owner.h
 * Runs the batch items of the partitions that the store's group assigns to this daemon.
 *
 * Ownership only avoids duplicate work. The order of the log decides which results count, so a
 * daemon that runs items of a partition it no longer owns changes no result. Items start on slots
 * that online requests leave free, those that are due first before others. One thread creates,
 * starts, leaves and frees an owner; the other functions are thread-safe.
 */
#ifndef HS_JOBS_JOB_OWNER_H
#define HS_JOBS_JOB_OWNER_H

#include "fleet/config_source.h"
#include "fleet/fleet_engines.h"
#include "jobs/job_service.h"

/** Settings; all pointers are borrowed for the lifetime of the owner. */
typedef struct {
    const char *member; /**< This daemon's member name in the group. */
    uint32_t part_count;
    uint32_t group_ttl_ms;
    uint32_t cancel_ms; /**< Items of a job may start for this long after its acknowledged end. */
    hs_store_client *store;
    hs_job_service *jobs;
    hs_config_source *config;
    hs_fleet_engines *engines;
    hs_daemon_directory *daemons;                   /**< NULL: ownership is not announced. */
    uint32_t (*live_daemon_count)(void *user_data); /**< Counts live daemons. */
    /** Gives the rank for hs_job_group_should_join; false: not known yet. NULL: always joins. */
    bool (*get_rank)(uint32_t *rank, void *user_data);
    void *user_data;
} hs_job_owner_settings;

typedef struct hs_job_owner hs_job_owner;

hs_job_owner *hs_job_owner_new(const hs_job_owner_settings *settings);
void hs_job_owner_start(hs_job_owner *owner);

/** Starts no further items; the running ones continue. */
void hs_job_owner_stop_starts(hs_job_owner *owner);

/**
 * Starts no further items, stops the running ones and stores their progress for the next owner,
 * retrying until @p deadline. Returns without waiting for the items.
 */
void hs_job_owner_drain(hs_job_owner *owner, hs_deadline deadline);

/** Returns the number of running items. */
uint32_t hs_job_owner_running_count(hs_job_owner *owner);

/** Appends the metrics of the demand forecast and of item starts to @p text, one per line. */
void hs_job_owner_write_metrics(hs_job_owner *owner, GString *text);

/**
 * Leaves the group and drops running items and progress that has not been stored. Calls to the
 * store end by @p deadline.
 */
void hs_job_owner_leave(hs_job_owner *owner, hs_deadline deadline);

/**
 * Joins the threads and frees the owner; hs_job_owner_leave must have returned. NULL is allowed.
 */
void hs_job_owner_free(hs_job_owner *owner);

#endif
