/** @file test_partition.c  Rules of the partition fold, and snapshots. */
#include "batch/snapshot.h"
#include "tests/unit/partition_builder.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

static void first_claim_of_an_epoch_wins(void) {
    hs_partition *partition = hs_partition_new(TEST_RETENTION_MS);
    CU_ASSERT_EQUAL(apply_claim_record(partition, 1, "a"), HS_FOLD_APPLIED);
    CU_ASSERT_EQUAL(apply_claim_record(partition, 1, "b"), HS_FOLD_STALE);
    CU_ASSERT_EQUAL(apply_claim_record(partition, 1, "a"), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(apply_claim_record(partition, 3, "b"), HS_FOLD_STALE);
    CU_ASSERT_EQUAL(apply_claim_record(partition, 2, "b"), HS_FOLD_APPLIED);
    CU_ASSERT_STRING_EQUAL(partition->owner_id, "b");
    hs_partition_free(partition);
}

static void stale_release_is_ignored(void) {
    hs_partition *partition = hs_partition_new(TEST_RETENTION_MS);
    apply_claim_record(partition, 1, "a");
    apply_claim_record(partition, 2, "b");
    CU_ASSERT_EQUAL(apply_release_record(partition, 1, "a"), HS_FOLD_STALE);
    CU_ASSERT_FALSE(partition->owner_released);
    CU_ASSERT_EQUAL(apply_release_record(partition, 2, "b"), HS_FOLD_APPLIED);
    CU_ASSERT_TRUE(partition->owner_released);
    hs_partition_free(partition);
}

static void file_with_a_missing_chunk_is_not_sealed(void) {
    hs_partition *partition = hs_partition_new(TEST_RETENTION_MS);
    apply_chunk_record(partition, 0, 0, 4, NULL, 0);
    CU_ASSERT_EQUAL(apply_seal_record(partition, 2, 8), HS_FOLD_INVALID);
    CU_ASSERT_EQUAL(apply_job_record(partition, TEST_JOB, 2), HS_FOLD_INVALID);
    apply_chunk_record(partition, 1, 4, 4, NULL, 0);
    CU_ASSERT_EQUAL(apply_seal_record(partition, 2, 8), HS_FOLD_APPLIED);
    CU_ASSERT_EQUAL(apply_job_record(partition, TEST_JOB, 2), HS_FOLD_APPLIED);
    hs_partition_free(partition);
}

static void resubmitted_job_is_ignored(void) {
    hs_partition *partition = new_partition_with_job();
    CU_ASSERT_EQUAL(apply_job_record(partition, TEST_JOB, 9), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(g_hash_table_size(partition->jobs), 1);
    CU_ASSERT_EQUAL(hs_partition_find_job(partition, TEST_JOB)->created_ms, 2);
    hs_partition_free(partition);
}

static void first_result_of_an_item_counts(void) {
    hs_partition *partition = new_partition_with_job();
    const hs_job *job = hs_partition_find_job(partition, TEST_JOB);
    uint64_t offset = partition->next_offset;
    CU_ASSERT_EQUAL(apply_result_record(partition, 0, "a", 1, false), HS_FOLD_APPLIED);
    CU_ASSERT_EQUAL(apply_result_record(partition, 0, "b", 1, false), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(job->completed_count, 1);
    CU_ASSERT_EQUAL(job->result_offsets[0], offset + 1);
    CU_ASSERT_EQUAL(apply_result_record(partition, 8, "a", 1, false), HS_FOLD_REPEATED);
    hs_partition_free(partition);
}

static void results_after_a_cancel_are_ignored(void) {
    hs_partition *partition = new_partition_with_job();
    const hs_job *job = hs_partition_find_job(partition, TEST_JOB);
    apply_result_record(partition, 0, "a", 1, false);
    CU_ASSERT_EQUAL(apply_cancel_record(partition, TEST_JOB), HS_FOLD_APPLIED);
    CU_ASSERT_EQUAL(apply_result_record(partition, 1, "a", 1, false), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(job->completed_count, 1);
    CU_ASSERT_EQUAL(hs_job_get_state(job), HS_JOB_CANCELLED);
    CU_ASSERT_EQUAL(apply_cancel_record(partition, TEST_JOB), HS_FOLD_REPEATED);
    hs_partition_free(partition);
}

static void run_once_result_needs_the_winning_intent(void) {
    hs_partition *partition = new_partition_with_job();
    CU_ASSERT_EQUAL(apply_result_record(partition, 5, "a", 1, false), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(apply_intent_record(partition, 5, "a", 1), HS_FOLD_APPLIED);
    CU_ASSERT_EQUAL(apply_intent_record(partition, 5, "b", 1), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(apply_result_record(partition, 5, "b", 1, false), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(apply_result_record(partition, 5, "a", 1, false), HS_FOLD_APPLIED);
    hs_partition_free(partition);
}

static void intent_of_an_ended_epoch_is_ignored(void) {
    hs_partition *partition = new_partition_with_job();
    apply_claim_record(partition, 2, "other");
    CU_ASSERT_EQUAL(apply_intent_record(partition, 5, "a", 1), HS_FOLD_STALE);
    CU_ASSERT_EQUAL(apply_intent_record(partition, 5, "b", 2), HS_FOLD_APPLIED);
    hs_partition_free(partition);
}

static void intent_of_an_ordinary_item_is_invalid(void) {
    hs_partition *partition = new_partition_with_job();
    CU_ASSERT_EQUAL(apply_intent_record(partition, 4, "a", 1), HS_FOLD_INVALID);
    hs_partition_free(partition);
}

static void indeterminate_result_needs_the_current_epoch(void) {
    hs_partition *partition = new_partition_with_job();
    apply_intent_record(partition, 5, "a", 1);
    apply_claim_record(partition, 2, "other");
    CU_ASSERT_EQUAL(apply_result_record(partition, 5, "a", 1, true), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(apply_result_record(partition, 5, "a", 1, false), HS_FOLD_APPLIED);
    hs_partition_free(partition);
}

static void cancelled_job_waits_for_run_once_outcomes(void) {
    hs_partition *partition = new_partition_with_job();
    const hs_job *job = hs_partition_find_job(partition, TEST_JOB);
    apply_intent_record(partition, 5, "a", 1);
    apply_cancel_record(partition, TEST_JOB);
    CU_ASSERT_EQUAL(hs_job_get_state(job), HS_JOB_CANCELLING);
    CU_ASSERT_EQUAL(apply_result_record(partition, 5, "a", 1, true), HS_FOLD_APPLIED);
    CU_ASSERT_EQUAL(hs_job_get_state(job), HS_JOB_CANCELLED);
    CU_ASSERT_EQUAL(job->failed_count, 1);
    hs_partition_free(partition);
}

static void intents_after_a_cancel_are_ignored(void) {
    hs_partition *partition = new_partition_with_job();
    apply_cancel_record(partition, TEST_JOB);
    CU_ASSERT_EQUAL(apply_intent_record(partition, 5, "a", 1), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(hs_job_get_state(hs_partition_find_job(partition, TEST_JOB)), HS_JOB_CANCELLED);
    hs_partition_free(partition);
}

static void out_of_order_records_are_ignored(void) {
    hs_partition *partition = new_partition_with_job();
    uint64_t next = partition->next_offset;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    CU_ASSERT_EQUAL(hs_partition_apply(partition, next + 1, &record), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(partition->next_offset, next);
    CU_ASSERT_EQUAL(hs_partition_apply(partition, next, NULL), HS_FOLD_INVALID);
    CU_ASSERT_EQUAL(partition->next_offset, next + 1);
    hs_partition_free(partition);
}

static void ended_job_expires_after_the_retention_time(void) {
    hs_partition *partition = new_partition_with_job();
    apply_cancel_record(partition, TEST_JOB);
    apply_job_record(partition, "batch_0000_b", TEST_RETENTION_MS / 2);
    CU_ASSERT_PTR_NOT_NULL(hs_partition_find_job(partition, TEST_JOB));
    apply_job_record(partition, "batch_0000_c", TEST_RETENTION_MS + 100);
    CU_ASSERT_PTR_NULL(hs_partition_find_job(partition, TEST_JOB));
    CU_ASSERT_PTR_NOT_NULL(hs_partition_find_job(partition, "batch_0000_b"));
    hs_partition_free(partition);
}

static hs_fold_outcome apply_key(hs_partition *partition, const char *attempt_id, const char *url) {
    Hs__OnlineIntent intent = HS__ONLINE_INTENT__INIT;
    intent.key_hash = (char *)"key";
    intent.attempt_id = (char *)attempt_id;
    intent.engine_url = (char *)url;
    intent.created_ms = 3;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_ONLINE_INTENT;
    record.online_intent = &intent;
    return hs_partition_apply(partition, partition->next_offset, &record);
}

static hs_fold_outcome apply_void(hs_partition *partition, const char *attempt_id) {
    Hs__OnlineIntentVoid voided = HS__ONLINE_INTENT_VOID__INIT;
    voided.key_hash = (char *)"key";
    voided.attempt_id = (char *)attempt_id;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_ONLINE_INTENT_VOID;
    record.online_intent_void = &voided;
    return hs_partition_apply(partition, partition->next_offset, &record);
}

static void first_attempt_owns_an_online_key(void) {
    hs_partition *partition = hs_partition_new(TEST_RETENTION_MS);
    CU_ASSERT_EQUAL(apply_key(partition, "a", "u"), HS_FOLD_APPLIED);
    CU_ASSERT_EQUAL(apply_key(partition, "b", "u"), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(apply_key(partition, "a", "v"), HS_FOLD_APPLIED);
    CU_ASSERT_STRING_EQUAL(hs_partition_find_online_intent(partition, "key")->engine_url, "v");
    CU_ASSERT_EQUAL(apply_void(partition, "b"), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(apply_void(partition, "a"), HS_FOLD_APPLIED);
    CU_ASSERT_EQUAL(apply_key(partition, "b", "u"), HS_FOLD_APPLIED);
    hs_partition_free(partition);
}

/** Encodes a snapshot of the state and decodes a copy from the snapshot. */
static hs_partition *copy_through_snapshot(const hs_partition *partition) {
    hs_partition *copy = hs_partition_new(partition->ended_retention_ms);
    g_autoptr(GPtrArray) parts = hs_snapshot_encode_parts(partition, "s");
    for (guint index = 0; index < parts->len; index++) {
        const GByteArray *bytes = parts->pdata[index];
        Hs__SnapshotRecord *record = hs__snapshot_record__unpack(NULL, bytes->len, bytes->data);
        CU_ASSERT_TRUE(hs_snapshot_apply_part(copy, record->part));
        hs__snapshot_record__free_unpacked(record, NULL);
    }
    g_autoptr(GByteArray) seal = hs_snapshot_encode_seal(partition, "s", parts->len);
    g_autoptr(GByteArray) complete_seal = hs_snapshot_set_first_part(seal, 7);
    Hs__SnapshotRecord *record =
        hs__snapshot_record__unpack(NULL, complete_seal->len, complete_seal->data);
    CU_ASSERT_EQUAL(record->seal->first_part_offset, 7);
    hs_snapshot_apply_seal(copy, record->seal);
    hs__snapshot_record__free_unpacked(record, NULL);
    return copy;
}

static void snapshot_restores_the_complete_state(void) {
    hs_partition *partition = new_partition_with_job();
    apply_result_record(partition, 0, "a", 1, false);
    apply_result_record(partition, 3, "a", 1, false);
    apply_intent_record(partition, 5, "x", 1);
    apply_key(partition, "holder", "u");
    hs_partition *copy = copy_through_snapshot(partition);
    const hs_job *job = hs_partition_find_job(copy, TEST_JOB);
    CU_ASSERT_EQUAL(copy->next_offset, partition->next_offset);
    CU_ASSERT_EQUAL(copy->epoch, 1);
    CU_ASSERT_STRING_EQUAL(copy->owner_id, "owner");
    CU_ASSERT_EQUAL(apply_key(copy, "other", "u"), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(job->completed_count, 2);
    CU_ASSERT_EQUAL(memcmp(job->result_offsets,
                           hs_partition_find_job(partition, TEST_JOB)->result_offsets,
                           8 * sizeof(uint64_t)),
                    0);
    CU_ASSERT_EQUAL(apply_result_record(copy, 0, "late", 1, false), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(apply_intent_record(copy, 5, "y", 1), HS_FOLD_REPEATED);
    CU_ASSERT_EQUAL(apply_result_record(copy, 5, "x", 1, false), HS_FOLD_APPLIED);
    CU_ASSERT_EQUAL(apply_job_record(copy, TEST_JOB, 3), HS_FOLD_REPEATED);
    hs_partition_free(copy);
    hs_partition_free(partition);
}

static void large_job_snapshot_has_several_parts(void) {
    const uint32_t items = 130000;
    hs_partition *partition = hs_partition_new(TEST_RETENTION_MS);
    apply_chunk_record(partition, 0, 0, items, NULL, 0);
    apply_seal_record(partition, 1, items);
    apply_job_record(partition, TEST_JOB, 2);
    apply_result_record(partition, items - 1, "a", 0, false);
    hs_partition *copy = copy_through_snapshot(partition);
    CU_ASSERT_EQUAL(hs_partition_find_job(copy, TEST_JOB)->item_count, items);
    CU_ASSERT_EQUAL(hs_partition_find_job(copy, TEST_JOB)->completed_count, 1);
    CU_ASSERT_EQUAL(apply_result_record(copy, items - 1, "b", 0, false), HS_FOLD_REPEATED);
    hs_partition_free(copy);
    hs_partition_free(partition);
}

const test_case partition_tests[] = {
    {"first_claim_of_an_epoch_wins", first_claim_of_an_epoch_wins},
    {"stale_release_is_ignored", stale_release_is_ignored},
    {"file_with_a_missing_chunk_is_not_sealed", file_with_a_missing_chunk_is_not_sealed},
    {"resubmitted_job_is_ignored", resubmitted_job_is_ignored},
    {"first_result_of_an_item_counts", first_result_of_an_item_counts},
    {"results_after_a_cancel_are_ignored", results_after_a_cancel_are_ignored},
    {"run_once_result_needs_the_winning_intent", run_once_result_needs_the_winning_intent},
    {"intent_of_an_ended_epoch_is_ignored", intent_of_an_ended_epoch_is_ignored},
    {"intent_of_an_ordinary_item_is_invalid", intent_of_an_ordinary_item_is_invalid},
    {"indeterminate_result_needs_the_current_epoch", indeterminate_result_needs_the_current_epoch},
    {"cancelled_job_waits_for_run_once_outcomes", cancelled_job_waits_for_run_once_outcomes},
    {"intents_after_a_cancel_are_ignored", intents_after_a_cancel_are_ignored},
    {"out_of_order_records_are_ignored", out_of_order_records_are_ignored},
    {"ended_job_expires_after_the_retention_time", ended_job_expires_after_the_retention_time},
    {"first_attempt_owns_an_online_key", first_attempt_owns_an_online_key},
    {"snapshot_restores_the_complete_state", snapshot_restores_the_complete_state},
    {"large_job_snapshot_has_several_parts", large_job_snapshot_has_several_parts},
    {NULL, NULL}};
