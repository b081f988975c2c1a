/**
 * @file job_quota.h
 * Limits the tokens of a route's unfinished items across all daemons: for each tenant, or for all
 * callers together if there are no tenants.
 *
 * Before a job is stored, its daemon appends a reservation to a log shared by all daemons. The
 * order of the log decides: a job fits if its tokens, the unfinished tokens reported by partition
 * owners, and the earlier reservations not covered by these reports are within the limit. Each
 * daemon decides its own jobs; as it counts all earlier reservations, two daemons cannot both use
 * the last capacity. The reservation of a refused job is released. Finished items count until their
 * owner reports them, so a job may be refused for about a second too long but is never accepted
 * beyond the limit. Thread-safe.
 */
#ifndef HS_JOBS_JOB_QUOTA_H
#define HS_JOBS_JOB_QUOTA_H

#include "fleet/config_source.h"
#include "jobs/job_partition.h"
#include "jobs/quota_fold.h"

/** Whether a job may be stored. */
typedef enum {
    HS_QUOTA_FITS,
    HS_QUOTA_FULL,    /**< The job exceeds the limit now. */
    HS_QUOTA_UNKNOWN, /**< The log could not be written or read; the job must be refused. */
} hs_quota_verdict;

/** A job to reserve tokens for; all borrowed. */
typedef struct {
    const char *job_id;
    uint32_t partition;
    uint64_t tokens;
    const hs_fleet_config *config;
    const hs_fleet_route *route;
    const char *tenant; /**< The limit applies to this tenant; "": to all callers together. */
    hs_deadline deadline;
} hs_quota_request;

/** The figures that a verdict is based on. */
typedef struct {
    uint64_t submission;      /**< Id of the reservation; see hs_job_quota_release. */
    uint64_t offset;          /**< Offset of the reservation in the log. */
    uint64_t unfinished;      /**< Unfinished tokens by the latest levels of all partitions. */
    uint64_t reserved;        /**< Tokens of earlier reservations that no level covers. */
    uint64_t available_in_ms; /**< HS_QUOTA_FULL: expected time in ms until the job fits. */
    hs_quota_drain drain;     /**< The drain that this time is estimated from. */
} hs_quota_decision;

/** Counters for metrics. */
typedef struct {
    uint64_t fitted;
    uint64_t refused;
    uint64_t unknown;
    uint64_t released; /**< Releases stored in the log. */
    uint64_t levels;   /**< Levels reported by this daemon. */
} hs_quota_counters;

typedef struct hs_job_quota hs_job_quota;

/** @p store is borrowed. @p partition_count: partitions of jobs. */
hs_job_quota *hs_job_quota_new(hs_store_client *store, uint32_t partition_count);
void hs_job_quota_free(hs_job_quota *quota);

/**
 * Reserves the tokens of a job and decides whether it may be stored. Blocks up to the deadline of
 * @p request. Without a limit of the route every job fits.
 */
hs_quota_verdict hs_job_quota_reserve(hs_job_quota *quota, const hs_quota_request *request,
                                      hs_quota_decision *decision);

/** Releases the reservation of a refused submission, asynchronously. 0: there is none. */
void hs_job_quota_release(hs_job_quota *quota, uint64_t submission);

/** The latest level reported for a partition; zero-initialise. */
typedef struct {
    uint64_t content;     /**< Hash of the level's jobs. */
    uint64_t reported_ms; /**< Monotonic time of the report; 0: none. */
} hs_quota_reported;

/**
 * Reports the open jobs of an owned partition to the log if they have changed or the last report
 * is old. Does nothing if the last report is very recent or no route has a limit.
 */
void hs_job_quota_report(hs_job_quota *quota, hs_job_partition *partition,
                         const hs_fleet_config *config, hs_quota_reported *reported,
                         hs_deadline deadline);

hs_quota_counters hs_job_quota_counters(hs_job_quota *quota);

/** Returns the name used in log lines. */
const char *hs_quota_verdict_name(hs_quota_verdict verdict);

#endif
