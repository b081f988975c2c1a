/**
 * @file job_service.h
 * Callers' calls about batch jobs, at any daemon: submit, read results, read an item, end.
 *
 * Durable truth is the log. A submission is answered 202 only when its manifest is in it; a read
 * first catches up with the log's end; "not known" is said only after that worked.
 */
#ifndef HS_JOBS_JOB_SERVICE_H
#define HS_JOBS_JOB_SERVICE_H

#include "http/listener.h"
#include "jobs/job_partition.h"
#include "jobs/job_quota.h"
#include "platform/caller_codec.h"

typedef struct hs_job_service hs_job_service;

/** Settings are copied. */
hs_job_service *hs_job_service_new(const hs_job_store_settings *settings);
void hs_job_service_free(hs_job_service *service);

/** Partition by number; borrowed. */
hs_job_partition *hs_job_service_partition(hs_job_service *service, uint32_t part);

/** What keeps routes within their limits; borrowed. */
hs_job_quota *hs_job_service_quota(hs_job_service *service);

/** How routes were kept within their limits so far. */
hs_quota_counters hs_job_service_quota_counters(hs_job_service *service);

/** @p route is one of @p config. */
void hs_job_service_submit(hs_job_service *service, hs_inbound *inbound,
                           const hs_caller_terms *terms, const hs_fleet_config *config,
                           const hs_fleet_route *route);
void hs_job_service_read(hs_job_service *service, hs_inbound *inbound, const hs_caller_terms *terms,
                         const char *job_id);
void hs_job_service_read_item(hs_job_service *service, hs_inbound *inbound,
                              const hs_caller_terms *terms, const char *job_id);
void hs_job_service_end(hs_job_service *service, hs_inbound *inbound, const hs_caller_terms *terms,
                        const char *job_id);

#endif
