/**
 * @file job_end.h
 * Ends jobs: stores the end, and reports it to the daemons that may run the job's items before the
 * caller gets an acknowledgement. They apply the end at once, whether or not they can read it back
 * from the store. Thread-safe.
 */
#ifndef HS_JOBS_JOB_END_H
#define HS_JOBS_JOB_END_H

#include "directory/daemon_directory.h"
#include "http/listener.h"
#include "jobs/job_partition.h"

/**
 * Appends the end of a known job, retrying until @p deadline, and applies it to this daemon's fold.
 * @p received_ms: when the request arrived, for the log line.
 */
hs_store_outcome hs_job_end_store(hs_job_partition *partition, const char *job_id,
                                  uint64_t received_ms, hs_deadline deadline);

/** The daemons to which a stored end is reported; all borrowed. */
typedef struct {
    hs_daemon_directory *daemons; /**< NULL: there are no others. */
    const hs_fleet_config
        *config;            /**< Names the regions that jobs are restricted to; NULL: none. */
    bool is_owner_informed; /**< The partition's owner stored the end itself. */
} hs_job_end_audience;

/**
 * Reports a stored end to the partition's owner and to the daemons that run its restricted items.
 * Returns once each has confirmed it or the time for that is over; a daemon that has not confirmed
 * finds the end in the log.
 */
void hs_job_end_report(hs_job_partition *partition, const char *job_id,
                       const hs_job_end_audience *audience);

/** Returns whether a request of another daemon reports an end, to be passed to hs_job_end_apply. */
bool hs_job_end_is_report(const char *target);

/** Returns the partition that a report names; false: the target is malformed. */
bool hs_job_end_read_target(const char *target, uint32_t *partition);

/** Applies a reported end to the fold and replies: 200, or 400 if the report is malformed. */
void hs_job_end_apply(hs_job_partition *partition, hs_inbound *inbound);

#endif
