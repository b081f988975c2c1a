/**
 * @file job_partition_state.h
 * State of a partition's replica; for src/jobs/job_partition*.c only.
 */
#ifndef HS_JOBS_JOB_PARTITION_STATE_H
#define HS_JOBS_JOB_PARTITION_STATE_H

#include "jobs/content_trim.h"
#include "jobs/job_partition.h"

struct hs_job_partition {
    hs_job_store_settings settings;
    uint32_t number;
    GMutex lock;
    GCond advanced;        /**< The fold advanced, or a read ended. */
    uint32_t open_reads;   /**< Threads that read from the log, not counting a long poll. */
    uint64_t last_read_ms; /**< When the latest of these reads started. */
    bool is_following;     /**< A thread long-polls the store. */
    uint64_t reads_started;
    uint64_t last_complete_read; /**< Number of the latest read that reached the end of the log. */
    uint32_t failed_reads;       /**< Short reads that failed since the last successful one. */
    uint32_t failed_polls;       /**< The same of long polls. */
    bool is_log_lost;    /**< The latest read failed, and not merely at its caller's deadline. */
    uint64_t current_ms; /**< The fold held all records of the log at this time; 0: never. */
    hs_content_trim trim;
    uint64_t content_end;      /**< End of the log of contents when it was read last. */
    uint64_t next_end_read_ms; /**< It is not read before. */
    hs_job_state *state;
};

#endif
