/** @file job_json.h  A job in the form of the batches API. Pure. */
#ifndef HS_BATCH_JOB_JSON_H
#define HS_BATCH_JOB_JSON_H

#include "batch/partition_state.h"

#include <jansson.h>

/** The caller owns it. */
json_t *hs_job_json(const hs_job *job);

#endif
