/** @file partition_builder.c  See partition_builder.h. */
#include "tests/unit/partition_builder.h"

#define ENDPOINT "/v1/completions"

static hs_fold_outcome apply(hs_partition *partition, Hs__PartitionRecord *record) {
    return hs_partition_apply(partition, partition->next_offset, record);
}

hs_fold_outcome apply_claim_record(hs_partition *partition, uint32_t epoch, const char *daemon_id) {
    Hs__OwnerClaim claim = HS__OWNER_CLAIM__INIT;
    claim.epoch = epoch;
    claim.daemon_id = (char *)daemon_id;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_OWNER_CLAIM;
    record.owner_claim = &claim;
    return apply(partition, &record);
}

hs_fold_outcome apply_release_record(hs_partition *partition, uint32_t epoch,
                                     const char *daemon_id) {
    Hs__OwnerRelease release = HS__OWNER_RELEASE__INIT;
    release.epoch = epoch;
    release.daemon_id = (char *)daemon_id;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_OWNER_RELEASE;
    record.owner_release = &release;
    return apply(partition, &record);
}

hs_fold_outcome apply_chunk_record(hs_partition *partition, uint32_t index, uint32_t first_item,
                                   uint32_t item_count, const uint32_t *run_once,
                                   size_t run_once_count) {
    Hs__FileChunk chunk = HS__FILE_CHUNK__INIT;
    chunk.file_id = (char *)TEST_FILE;
    chunk.chunk_index = index;
    chunk.first_item = first_item;
    chunk.item_count = item_count;
    chunk.n_run_once_items = run_once_count;
    chunk.run_once_items = (uint32_t *)run_once;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_FILE_CHUNK;
    record.file_chunk = &chunk;
    return apply(partition, &record);
}

hs_fold_outcome apply_seal_record(hs_partition *partition, uint32_t chunk_count,
                                  uint32_t item_count) {
    Hs__FileSealed seal = HS__FILE_SEALED__INIT;
    seal.file_id = (char *)TEST_FILE;
    seal.tenant = (char *)"tenant";
    seal.model = (char *)"model";
    seal.endpoint = (char *)ENDPOINT;
    seal.chunk_count = chunk_count;
    seal.item_count = item_count;
    seal.created_ms = 1;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_FILE_SEALED;
    record.file_sealed = &seal;
    return apply(partition, &record);
}

hs_fold_outcome apply_job_record(hs_partition *partition, const char *job_id, uint64_t created_ms) {
    Hs__JobSubmitted job = HS__JOB_SUBMITTED__INIT;
    job.job_id = (char *)job_id;
    job.tenant = (char *)"tenant";
    job.file_id = (char *)TEST_FILE;
    job.endpoint = (char *)ENDPOINT;
    job.metadata_json = (char *)"{}";
    job.created_ms = created_ms;
    job.deadline_ms = created_ms + 1000;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_JOB_SUBMITTED;
    record.job_submitted = &job;
    return apply(partition, &record);
}

hs_fold_outcome apply_cancel_record(hs_partition *partition, const char *job_id) {
    Hs__JobCancelled cancelled = HS__JOB_CANCELLED__INIT;
    cancelled.job_id = (char *)job_id;
    cancelled.requested_ms = 5;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_JOB_CANCELLED;
    record.job_cancelled = &cancelled;
    return apply(partition, &record);
}

hs_fold_outcome apply_intent_record(hs_partition *partition, uint32_t item, const char *attempt_id,
                                    uint32_t epoch) {
    Hs__ItemIntent intent = HS__ITEM_INTENT__INIT;
    intent.job_id = (char *)TEST_JOB;
    intent.item = item;
    intent.attempt_id = (char *)attempt_id;
    intent.epoch = epoch;
    intent.engine_url = (char *)"http://127.0.0.1:1";
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_ITEM_INTENT;
    record.item_intent = &intent;
    return apply(partition, &record);
}

hs_fold_outcome apply_result_record(hs_partition *partition, uint32_t item, const char *attempt_id,
                                    uint32_t epoch, bool indeterminate) {
    Hs__ItemResult result = HS__ITEM_RESULT__INIT;
    result.item = item;
    result.attempt_id = (char *)attempt_id;
    result.status_code = indeterminate ? 502 : 200;
    result.indeterminate = indeterminate;
    Hs__ItemResult *results[] = {&result};
    Hs__ItemsCompleted completed = HS__ITEMS_COMPLETED__INIT;
    completed.job_id = (char *)TEST_JOB;
    completed.epoch = epoch;
    completed.n_results = 1;
    completed.results = results;
    completed.recorded_ms = 10;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_ITEMS_COMPLETED;
    record.items_completed = &completed;
    return apply(partition, &record);
}

hs_partition *new_partition_with_job(void) {
    static const uint32_t run_once[] = {5};
    hs_partition *partition = hs_partition_new(TEST_RETENTION_MS);
    apply_claim_record(partition, 1, "owner");
    apply_chunk_record(partition, 0, 0, 4, NULL, 0);
    apply_chunk_record(partition, 1, 4, 4, run_once, 1);
    apply_seal_record(partition, 2, 8);
    apply_job_record(partition, TEST_JOB, 2);
    return partition;
}
