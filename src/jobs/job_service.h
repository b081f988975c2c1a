/**
 * @file job_service.h
 * Callers' calls about batch jobs, at any daemon: submit, read results, read an item, end.
 *
 * Durable truth is the log. A submission is answered 202 only when its manifest is in it. Other
 * calls are answered by whoever has a recent fold, this daemon or the partition's owner, or after
 * a read of the log; "not known" is said only after the log was read to its end.
 */
#ifndef HS_JOBS_JOB_SERVICE_H
#define HS_JOBS_JOB_SERVICE_H

#include "directory/daemon_directory.h"
#include "http/listener.h"
#include "jobs/job_partition.h"
#include "jobs/job_quota.h"
#include "platform/caller_codec.h"

typedef struct hs_job_service hs_job_service;

/** Settings are copied. @p daemons: who owns which partition; borrowed; NULL: nobody is asked. */
hs_job_service *hs_job_service_new(const hs_job_store_settings *settings,
                                   hs_daemon_directory *daemons);
void hs_job_service_free(hs_job_service *service);

/** Partition by number; borrowed. */
hs_job_partition *hs_job_service_partition(hs_job_service *service, uint32_t part);

/** How many partitions there are. */
uint32_t hs_job_service_part_count(const hs_job_service *service);

/** What keeps routes within their limits; borrowed. */
hs_job_quota *hs_job_service_quota(hs_job_service *service);

/** How routes were kept within their limits so far. */
hs_quota_counters hs_job_service_quota_counters(hs_job_service *service);

/** Who calls. All borrowed. */
typedef struct {
    const hs_caller_terms *terms;
    const char *tenant; /**< Whose call it is; "": nobody's. A job is its tenant's alone. */
} hs_job_caller;

/** @p route is one of @p config. */
void hs_job_service_submit(hs_job_service *service, hs_inbound *inbound,
                           const hs_job_caller *caller, const hs_fleet_config *config,
                           const hs_fleet_route *route);
/** A submission that another daemon, which cannot reach the store, passes on. */
void hs_job_service_submit_of_peer(hs_job_service *service, hs_inbound *inbound,
                                   const hs_job_caller *caller, const hs_fleet_config *config,
                                   const hs_fleet_route *route);

/** A caller's call about a submitted job, at any daemon. @p kind: a read, an item or an end. */
void hs_job_service_call(hs_job_service *service, hs_inbound *inbound, const hs_job_caller *caller,
                         hs_call_kind kind, const char *job_id);

/** The same call passed on by another daemon; 503 where this daemon's fold is not recent. */
void hs_job_service_call_of_peer(hs_job_service *service, hs_inbound *inbound,
                                 const hs_job_caller *caller, hs_call_kind kind,
                                 const char *job_id);

/** How calls about submitted jobs were answered so far. */
typedef struct {
    gint from_own_fold;
    gint by_owner; /**< Passed on to the partition's owner. */
    gint from_log; /**< After a look at the partition's log. */
    gint refused;
} hs_job_read_counters;

hs_job_read_counters hs_job_service_read_counters(hs_job_service *service);

#endif
