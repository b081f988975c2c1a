/**
 * @file job_runners.h
 * This daemon's part in running items that are restricted to regions; see region_runner.h. The
 * caller holds the owner's lock.
 */
#ifndef HS_JOBS_JOB_RUNNERS_H
#define HS_JOBS_JOB_RUNNERS_H

#include "jobs/job_owner_state.h"

/**
 * Takes or gives up partitions of which this daemon runs restricted items for the owner, by
 * @p config and the daemons that are live now. Does nothing if it was called a moment ago.
 */
void hs_job_runners_update(hs_job_owner *owner, const hs_fleet_config *config);

/** Whether this daemon runs the partition's items that have this policy. */
bool hs_job_runners_is_here(const hs_owned_job_partition *owned, const hs_region_policy *policy);

/** Whether no live daemon may run items of this policy. */
bool hs_job_runners_is_nowhere(const hs_job_owner *owner, const hs_region_policy *policy);

#endif
