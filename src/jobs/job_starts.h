/**
 * @file job_starts.h
 * What an owner observes for its next starts, by service: what online requests hold, and what
 * became of the items that it started. The caller holds the owner's lock, but for metrics.
 */
#ifndef HS_JOBS_JOB_STARTS_H
#define HS_JOBS_JOB_STARTS_H

#include "jobs/job_plan.h"

/** What is known of @p service (interned); made at its first item, kept with the owner. */
hs_service_starts *hs_job_starts_of(hs_job_owner *owner, const char *service);

/** Look at the demand of now, and at those of @p open (of hs_open_item) that run; once a pass. */
void hs_job_starts_observe(hs_job_owner *owner, const GArray *open);

/** A try ended by @p end: note what it says of starts. */
void hs_job_starts_note_end(hs_job_owner *owner, const hs_item_order *order, hs_item_try end);

#endif
