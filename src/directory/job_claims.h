/**
 * @file job_claims.h
 * Which members claim a partition of jobs, and whether reports of jobs' ends reach this daemon. An
 * end is reported to all running members that claim its partition; see jobs/start_rule.h. Pure.
 */
#ifndef HS_DIRECTORY_JOB_CLAIMS_H
#define HS_DIRECTORY_JOB_CLAIMS_H

#include "membership/membership.h"

/** Whether another running member claims the partition; it may have lost it without knowing. */
bool hs_job_claims_is_claimant(const hs_member *member, uint32_t partition);

/**
 * Whether the members report ends to this daemon: at least half of the others known are running, so
 * that they don't take it for dead, and all running ones report ends. @p members: of hs_member*.
 */
bool hs_job_claims_are_ends_reported(const GPtrArray *members);

#endif
