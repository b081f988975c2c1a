/**
 * @file job_quota.h
 * Keeps the tokens of a route's unfinished items within the operator's limit, over all daemons: of
 * each tenant, or of all callers where there are no tenants.
 *
 * Before a job is stored, its daemon appends a reservation to one log that all daemons share. The
 * order of that log decides: a job fits when what owners of partitions told to be unfinished, what
 * was reserved before it and is not told yet, and its own tokens are within the limit. Each daemon
 * decides its own jobs alone; since each counts all that stand before, no two can both take the
 * last room. A refused job releases its reservation. Finished items count until their owner tells,
 * so that a job may be refused for about a second too long, and never accepted too soon.
 */
#ifndef HS_JOBS_JOB_QUOTA_H
#define HS_JOBS_JOB_QUOTA_H

#include "fleet/config_source.h"
#include "jobs/job_partition.h"
#include "jobs/quota_fold.h"

/** Whether a job may be stored. */
typedef enum {
    HS_QUOTA_FITS,
    HS_QUOTA_FULL,    /**< It does not fit now. */
    HS_QUOTA_UNKNOWN, /**< The store did not tell; nothing may be promised but a refusal. */
} hs_quota_verdict;

/** A job that asks for room. All borrowed. */
typedef struct {
    const char *job_id;
    uint32_t partition;
    uint64_t tokens;
    const hs_fleet_config *config;
    const hs_fleet_route *route;
    const char *tenant; /**< The limit is each tenant's; "": of all callers together. */
    hs_deadline deadline;
} hs_quota_claim;

/** What decided, for logs. */
typedef struct {
    uint64_t submission;  /**< Names the reservation; see hs_job_quota_release. */
    uint64_t offset;      /**< Its place in the log. */
    uint64_t unfinished;  /**< Tokens that owners told last. */
    uint64_t reserved;    /**< Tokens reserved before by jobs that no owner told yet. */
    uint64_t room_ms;     /**< HS_QUOTA_FULL: expected time in ms until there is room. */
    hs_quota_drain drain; /**< By which. */
} hs_quota_account;

/** Counters for metrics. */
typedef struct {
    uint64_t fitted;
    uint64_t refused;
    uint64_t unknown;
    uint64_t released; /**< Releases that the log has. */
    uint64_t levels;   /**< Told by this daemon. */
} hs_quota_counters;

typedef struct hs_job_quota hs_job_quota;

/** @p store is borrowed. */
hs_job_quota *hs_job_quota_new(hs_store_client *store);
void hs_job_quota_free(hs_job_quota *quota);

/** Reserve room for a job and decide. A route without a limit has room for all. */
hs_quota_verdict hs_job_quota_claim(hs_job_quota *quota, const hs_quota_claim *claim,
                                    hs_quota_account *account);

/** The submission was refused: its room is free again. Returns at once; 0 is no submission. */
void hs_job_quota_release(hs_job_quota *quota, uint64_t submission);

/** What an owner told of a partition last; zero-initialise. */
typedef struct {
    uint64_t content; /**< A hash of it. */
    uint64_t told_ms; /**< 0: nothing was told. */
} hs_quota_told;

/**
 * Tell the open jobs of an owned partition, when they changed or were told long ago; at most once
 * in a while. Nothing is told where no route has a limit.
 */
void hs_job_quota_tell(hs_job_quota *quota, hs_job_partition *partition,
                       const hs_fleet_config *config, hs_quota_told *told, hs_deadline deadline);

hs_quota_counters hs_job_quota_counters(hs_job_quota *quota);

const char *hs_quota_verdict_name(hs_quota_verdict verdict);

#endif
