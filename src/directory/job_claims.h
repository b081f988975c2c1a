/**
 * @file job_claims.h
 * Which members claim a partition of jobs, and whether ends of jobs are reported to this daemon. An
 * end is reported to all members that claim its partition; see jobs/start_rule.h. Pure.
 */
#ifndef HS_DIRECTORY_JOB_CLAIMS_H
#define HS_DIRECTORY_JOB_CLAIMS_H

#include "membership/membership.h"

/**
 * Whether another member claims the partition and may run its items. It may have lost the partition
 * without knowing, or be leaving.
 */
bool hs_job_claims_is_claimant(const hs_member *member, uint32_t partition);

/**
 * Whether the other members know this one and report ends to it: some are running, no fewer than
 * are not, and all that may acknowledge an end report ends. False once this daemon leaves.
 * @p members: of hs_member*.
 */
bool hs_job_claims_are_ends_reported(const GPtrArray *members);

#endif
