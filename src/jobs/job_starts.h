/**
 * @file job_starts.h
 * Collects the observations of an owner that decide its next starts, by service, or by group of
 * items restricted to regions (hs_region_policy_group): demand of online requests, and results of
 * started items. The caller holds the owner's lock.
 */
#ifndef HS_JOBS_JOB_STARTS_H
#define HS_JOBS_JOB_STARTS_H

#include "jobs/job_plan.h"

/**
 * Returns the observations of @p group (interned), creating them at the first call. The owner
 * keeps them until it is freed.
 */
hs_service_starts *hs_job_starts_for_group(hs_job_owner *owner, const char *group);

/**
 * Records the current demand, and the starts that succeeded among @p open (of hs_open_item).
 * Called once in each scheduler pass.
 */
void hs_job_starts_observe(hs_job_owner *owner, const GArray *open);

/** Records what the end of an attempt shows about its start. */
void hs_job_starts_note_end(hs_job_owner *owner, const hs_item_task *task, hs_item_attempt_end end);

#endif
