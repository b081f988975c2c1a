/**
 * @file job_regions.h
 * Allowed regions of a daemon's open items: groups of items that may use the same engines, and the
 * items that wait since no engine is ready in their regions.
 */
#ifndef HS_JOBS_JOB_REGIONS_H
#define HS_JOBS_JOB_REGIONS_H

#include "jobs/job_plan.h"

/** Returns the interned group of items on @p route; see hs_region_policy_group. */
const char *hs_job_regions_group(const hs_region_policy *regions, const hs_fleet_route *route);

/**
 * Counts the items among @p open (of hs_open_item) that wait for their regions, and logs the counts
 * at intervals while there are any. Called once in each scheduler pass. The caller holds the
 * owner's lock.
 */
void hs_job_regions_observe(hs_job_owner *owner, const GArray *open);

/**
 * Returns where the output of an item may be sent, by @p config, from which it is borrowed; NULL:
 * to no other daemon. The caller's region is not known to an owner.
 */
hs_body_regions hs_job_regions_of_run(const hs_job_owner *owner, const hs_item_run *run,
                                      const hs_fleet_config *config);

/** Appends the counts as metrics, one per line. */
void hs_job_regions_write_metrics(const hs_region_waits *waits, GString *text);

#endif
