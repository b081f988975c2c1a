/**
 * @file job_service.h
 * Serves callers' requests about batch jobs on any daemon: submissions, reads of results and of
 * items, and job ends.
 *
 * The log is the authoritative state. A submission is answered with 202 only once its manifest is
 * in the log. Other requests are answered from a recent fold, either this daemon's or that of the
 * partition's owner, or after a read of the log. A job is reported as unknown only after the log
 * was read to its end. Thread-safe.
 */
#ifndef HS_JOBS_JOB_SERVICE_H
#define HS_JOBS_JOB_SERVICE_H

#include "directory/daemon_directory.h"
#include "http/listener.h"
#include "jobs/job_partition.h"
#include "jobs/job_quota.h"
#include "platform/caller_codec.h"

typedef struct hs_job_service hs_job_service;

/**
 * Copies @p settings. @p daemons: directory of partition owners, borrowed; NULL: requests are not
 * forwarded.
 */
hs_job_service *hs_job_service_new(const hs_job_store_settings *settings,
                                   hs_daemon_directory *daemons);
void hs_job_service_free(hs_job_service *service);

/** Returns a partition by its number; borrowed. */
hs_job_partition *hs_job_service_partition(hs_job_service *service, uint32_t number);

uint32_t hs_job_service_partition_count(const hs_job_service *service);

/** Returns the component that enforces the token limits of routes; borrowed. */
hs_job_quota *hs_job_service_quota(hs_job_service *service);

/** Returns the counters of quota decisions. */
hs_quota_counters hs_job_service_quota_counters(hs_job_service *service);

/** The identified caller of a request; all borrowed. */
typedef struct {
    const hs_caller_terms *terms;
    const char *tenant;            /**< Tenant of the caller; "": none. */
    const hs_fleet_config *config; /**< In force; NULL: the call is from another daemon. */
} hs_job_caller;

/**
 * Whether the submitted job's id is in the log already, after a read of the log if this daemon does
 * not know it. Such a submission must not be refused.
 */
bool hs_job_service_is_stored(hs_job_service *service, const hs_inbound *inbound,
                              const hs_job_caller *caller);

/** Stores the submitted job and replies. @p route belongs to @p config. */
void hs_job_service_submit(hs_job_service *service, hs_inbound *inbound,
                           const hs_job_caller *caller, const hs_fleet_config *config,
                           const hs_fleet_route *route);
/** Handles a submission forwarded by another daemon that cannot reach the store. */
void hs_job_service_submit_from_peer(hs_job_service *service, hs_inbound *inbound,
                                     const hs_job_caller *caller, const hs_fleet_config *config,
                                     const hs_fleet_route *route);

/**
 * Handles a caller's request about a submitted job. @p kind: a job read, an item read or a job end.
 */
void hs_job_service_call(hs_job_service *service, hs_inbound *inbound, const hs_job_caller *caller,
                         hs_call_kind kind, const char *job_id);

/**
 * Handles such a request forwarded by another daemon; replies 503 if this daemon's fold is too old.
 */
void hs_job_service_call_from_peer(hs_job_service *service, hs_inbound *inbound,
                                   const hs_job_caller *caller, hs_call_kind kind,
                                   const char *job_id);

/** Counts of requests about submitted jobs, by the source of the answer. */
typedef struct {
    gint from_own_fold;
    gint by_owner; /**< Answered by the partition's owner. */
    gint from_log; /**< Answered after a read of the partition's log. */
    gint refused;
} hs_job_read_counters;

hs_job_read_counters hs_job_service_read_counters(hs_job_service *service);

#endif
