/**
 * @file job_owner.h
 * Runs the items of the partitions that the store's group deals to this daemon.
 *
 * Ownership only spares work: results count by their order in the log, so a daemon that still
 * thinks it owns a partition changes nothing. Items start where online requests leave room, those
 * of the job that is due first first.
 */
#ifndef HS_JOBS_JOB_OWNER_H
#define HS_JOBS_JOB_OWNER_H

#include "fleet/config_source.h"
#include "fleet/fleet_engines.h"
#include "jobs/job_service.h"

/** All borrowed for the owner's life. */
typedef struct {
    const char *member; /**< This daemon's name in the group. */
    uint32_t part_count;
    uint32_t group_ttl_ms;
    hs_store_client *store;
    hs_job_service *jobs;
    hs_config_source *config;
    hs_fleet_engines *engines;
    hs_daemon_directory *daemons; /**< Is told what this daemon owns; NULL: nobody is. */
    uint32_t (*live_daemons)(void *user_data); /**< How many daemons share the engines. */
    void *user_data;
} hs_job_owner_settings;

typedef struct hs_job_owner hs_job_owner;

hs_job_owner *hs_job_owner_new(const hs_job_owner_settings *settings);
void hs_job_owner_start(hs_job_owner *owner);

/**
 * Start no more items; those that run stop and are handed over to the next owner. Where the store
 * does not take that, it is tried until @p deadline.
 */
void hs_job_owner_drain(hs_job_owner *owner, hs_deadline deadline);

/** Items now running. */
uint32_t hs_job_owner_running(hs_job_owner *owner);

/** Metrics of the forecast and of starts, one a line, are appended to @p text. */
void hs_job_owner_write_metrics(hs_job_owner *owner, GString *text);

/** Leave the group and drop what runs and what was not handed over. */
void hs_job_owner_leave(hs_job_owner *owner);

/** Join the threads (leave came before) and free. NULL is allowed. */
void hs_job_owner_free(hs_job_owner *owner);

#endif
