/** @file job_partition_state.h  A partition's replica; for src/jobs/job_partition*.c only. */
#ifndef HS_JOBS_JOB_PARTITION_STATE_H
#define HS_JOBS_JOB_PARTITION_STATE_H

#include "jobs/job_partition.h"

struct hs_job_partition {
    hs_job_store_settings settings;
    uint32_t part;
    GMutex lock;
    GCond moved;    /**< The fold moved on, or a read ended. */
    bool reading;   /**< A thread is reading from the log. */
    bool following; /**< A thread has a read held at the store. */
    uint64_t reads_begun;
    uint64_t last_good;  /**< Number of the latest read that reached the end. */
    uint64_t current_ms; /**< The fold held all that the log held at this moment; 0: never. */
    uint64_t trimmed_to;
    uint64_t trim_candidate; /**< First content needed when it was noted. */
    uint64_t trim_noted_ms;  /**< 0: none noted. */
    hs_job_state *state;
};

#endif
