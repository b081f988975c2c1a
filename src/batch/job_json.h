/** @file job_json.h  JSON representation of a job in the batches API. Pure function. */
#ifndef HS_BATCH_JOB_JSON_H
#define HS_BATCH_JOB_JSON_H

#include "batch/partition_state.h"

#include <jansson.h>

/** Returns the batch object of the job. The caller owns the reference. */
json_t *hs_job_to_json(const hs_job *job);

#endif
