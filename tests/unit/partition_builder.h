/** @file partition_builder.h  Short forms of the records that partition tests apply. */
#ifndef TESTS_UNIT_PARTITION_BUILDER_H
#define TESTS_UNIT_PARTITION_BUILDER_H

#include "batch/partition_state.h"

#define TEST_FILE "file_0000_a"
#define TEST_JOB "batch_0000_a"
#define TEST_WINDOW_MS 1000000

/** Each applies one record at the partition's next offset. */
hs_fold_outcome apply_claim_of(hs_partition *partition, uint32_t epoch, const char *daemon_id);
hs_fold_outcome apply_release_of(hs_partition *partition, uint32_t epoch, const char *daemon_id);
hs_fold_outcome apply_chunk_of(hs_partition *partition, uint32_t index, uint32_t first_item,
                               uint32_t item_count, const uint32_t *run_once,
                               size_t run_once_count);
hs_fold_outcome apply_seal_of(hs_partition *partition, uint32_t chunk_count, uint32_t item_count);
hs_fold_outcome apply_job_of(hs_partition *partition, const char *job_id, uint64_t created_ms);
hs_fold_outcome apply_cancel_of(hs_partition *partition, const char *job_id);
hs_fold_outcome apply_intent_of(hs_partition *partition, uint32_t item, const char *attempt_id,
                                uint32_t epoch);
hs_fold_outcome apply_result_of(hs_partition *partition, uint32_t item, const char *attempt_id,
                                uint32_t epoch, bool indeterminate);

/** A claimed partition with a sealed file of two chunks of 4 items (item 5 run-once) and a job. */
hs_partition *partition_with_job(void);

#endif
