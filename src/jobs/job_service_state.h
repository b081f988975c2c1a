/**
 * @file job_service_state.h
 * State and helpers shared by the handlers of job requests; for src/jobs/ only.
 */
#ifndef HS_JOBS_JOB_SERVICE_STATE_H
#define HS_JOBS_JOB_SERVICE_STATE_H

#include "jobs/job_service.h"
#include "jobs/log_read_limit.h"

/** Pause between attempts of a call to the store: ten times an answer's time. */
#define HS_JOB_RETRY_PAUSE_MS 40

struct hs_job_service {
    hs_job_store_settings settings;
    GPtrArray *partitions; /**< of hs_job_partition* */
    hs_job_quota *quota;
    hs_daemon_directory *daemons; /**< NULL: requests are not forwarded. */
    hs_job_read_counters reads;   /**< Accessed atomically. */
    hs_log_read_limit log_reads;  /**< Of callers' requests about submitted jobs. */
    GMutex decoding;              /**< Held while a submission is decoded. */
};

/** Returns the partition of a job; borrowed. */
hs_job_partition *hs_job_service_partition_for_job(hs_job_service *service, const char *job_id);

/**
 * Replies to a request. Adds Retry-After to 429 and 503, which promise that nothing was stored. The
 * expected duration of an outage is the time spent on this request, up to a small bound because
 * another daemon may reach the store.
 */
void hs_job_reply(hs_inbound *inbound, uint32_t status, const char *type, const void *body,
                  size_t length);
void hs_job_reply_text(hs_inbound *inbound, uint32_t status, const char *text);

/** As hs_job_reply, to a daemon that forwarded the request; see HS_PEER_FOLD_AGE_FIELD. */
void hs_job_reply_to_peer(hs_inbound *inbound, uint32_t status, const char *type, const void *body,
                          size_t length, int64_t fold_age_ms);

/** Retry-After of a request that does not fit into memory; much of it is free again by then. */
#define HS_JOB_MEMORY_RETRY_AFTER_MS 1000

/** Refuses a request with 429 or 503 and a Retry-After of at least @p retry_after_ms. */
void hs_job_refuse(hs_inbound *inbound, uint32_t status, const char *text, uint64_t retry_after_ms);

/** Returns the time by which a request must be answered, also if this process stops. */
hs_deadline hs_job_call_deadline(const hs_job_service *service, const hs_inbound *inbound,
                                 const hs_caller_terms *terms);

/**
 * Returns the deadline of one attempt of an operation that the caller may retry at another daemon.
 */
hs_deadline hs_job_attempt_deadline(hs_deadline deadline);

/** Whether the fold shows a job to a tenant. */
typedef enum {
    HS_JOB_UNKNOWN,
    HS_JOB_VISIBLE,
    HS_JOB_OF_OTHER_TENANT, /**< The id belongs to a job of another tenant. */
} hs_job_visibility;

hs_job_visibility hs_job_check_visibility(hs_job_partition *partition, const char *job_id,
                                          const char *tenant);

#endif
