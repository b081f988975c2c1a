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
#include "jobs/job_service.h"

/**
 * Appends the end of a known job, retrying until @p deadline, and applies it to this daemon's fold.
 * @p received_ms: when the request arrived, for the log line. HS_STORE_UNKNOWN: one of the appends
 * may have stored the end.
 */
hs_store_outcome hs_job_end_store(hs_job_partition *partition, const char *job_id,
                                  uint64_t received_ms, hs_deadline deadline);

/**
 * Reports a stored end to all daemons that claim the partition, until each has confirmed it or is
 * dead, at most until @p deadline, and once to those that run its restricted items. Returns whether
 * the end may be acknowledged: no daemon that relies on reports lacks it (see start_rule.h). Waits
 * while this daemon may not know all claims. @p daemons: NULL if there are no others. @p config:
 * names the regions that jobs are restricted to; NULL: none.
 */
bool hs_job_end_report(hs_job_partition *partition, const char *job_id,
                       hs_daemon_directory *daemons, const hs_fleet_config *config,
                       hs_deadline deadline);

/** Returns whether a request of another daemon reports an end, to be passed to hs_job_end_apply. */
bool hs_job_end_is_report(const char *target);

/** Applies a reported end to its partition and replies: 200, or 400 if the report is malformed. */
void hs_job_end_apply(hs_job_service *service, hs_inbound *inbound);

#endif
