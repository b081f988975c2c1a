/** @file job_service_state.h  What commands and queries of batch jobs share; for src/jobs/ only. */
#ifndef HS_JOBS_JOB_SERVICE_STATE_H
#define HS_JOBS_JOB_SERVICE_STATE_H

#include "jobs/job_service.h"

/** Pause in ms before a call to the store is tried again: ten times what an answer takes. */
#define HS_JOB_RETRY_PAUSE_MS 40

struct hs_job_service {
    hs_job_store_settings settings;
    GPtrArray *partitions; /**< of hs_job_partition* */
    hs_job_quota *quota;
    hs_daemon_directory *daemons; /**< Tells who owns a partition; NULL: nobody is asked. */
    hs_job_read_counters reads;   /**< Atomic. */
};

/** The partition of a job; borrowed. */
hs_job_partition *hs_job_service_partition_of(hs_job_service *service, const char *job_id);

/**
 * Answer, with Retry-After where the status promises that nothing ran: what this call could not
 * reach is expected to be away for as long again as it was tried, and another daemon may reach it.
 */
void hs_job_reply(hs_inbound *inbound, uint32_t status, const char *type, const void *body,
                  size_t length);
void hs_job_reply_text(hs_inbound *inbound, uint32_t status, const char *text);

/** Refuse with 429 or 503, to come back @p retry_after_ms later at the earliest. */
void hs_job_refuse(hs_inbound *inbound, uint32_t status, const char *text, uint64_t retry_after_ms);

/** When a call must be answered. */
hs_deadline hs_job_call_deadline(const hs_inbound *inbound, const hs_caller_terms *terms);

/** Limit of one try of something that may be tried again elsewhere. */
hs_deadline hs_job_one_try(hs_deadline deadline);

/** What the fold, as it is, shows of a job to a tenant's caller. */
typedef enum {
    HS_JOB_NOT_SEEN,
    HS_JOB_SEEN,
    HS_JOB_OF_ANOTHER, /**< Another tenant has a job of this id: as if it were not there. */
} hs_job_sight;

hs_job_sight hs_job_see(hs_job_partition *partition, const char *job_id, const char *tenant);

/** Append the end of a known job until @p deadline, and answer. */
void hs_job_service_append_end(hs_job_partition *partition, hs_inbound *inbound, const char *job_id,
                               hs_deadline deadline);

#endif
