/** @file partition_builder.h  Helpers that apply records in tests of the partition fold. */
#ifndef TESTS_UNIT_PARTITION_BUILDER_H
#define TESTS_UNIT_PARTITION_BUILDER_H

#include "batch/partition_state.h"

#define TEST_FILE "file_0000_a"
#define TEST_JOB "batch_0000_a"
#define TEST_RETENTION_MS 1000000

/** Each applies a record at the partition's next offset. */
hs_fold_outcome apply_claim_record(hs_partition *partition, uint32_t epoch, const char *daemon_id);
hs_fold_outcome apply_release_record(hs_partition *partition, uint32_t epoch,
                                     const char *daemon_id);
hs_fold_outcome apply_chunk_record(hs_partition *partition, uint32_t index, uint32_t first_item,
                                   uint32_t item_count, const uint32_t *run_once,
                                   size_t run_once_count);
hs_fold_outcome apply_seal_record(hs_partition *partition, uint32_t chunk_count,
                                  uint32_t item_count);
hs_fold_outcome apply_job_record(hs_partition *partition, const char *job_id, uint64_t created_ms);
hs_fold_outcome apply_cancel_record(hs_partition *partition, const char *job_id);
hs_fold_outcome apply_intent_record(hs_partition *partition, uint32_t item, const char *attempt_id,
                                    uint32_t epoch);
hs_fold_outcome apply_result_record(hs_partition *partition, uint32_t item, const char *attempt_id,
                                    uint32_t epoch, bool indeterminate);

/** Returns a claimed partition with a job over two chunks of 4 items; item 5 is run-once. */
hs_partition *new_partition_with_job(void);

#endif
