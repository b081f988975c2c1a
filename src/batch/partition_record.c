/** @file partition_record.c  See partition_record.h. */
#include "batch/partition_record.h"

#include <string.h>

GByteArray *hs_record_pack(const Hs__PartitionRecord *record) {
    GByteArray *bytes = g_byte_array_new();
    g_byte_array_set_size(bytes, (guint)hs__partition_record__get_packed_size(record));
    hs__partition_record__pack(record, bytes->data);
    return bytes;
}

GByteArray *hs_record_pack_claim(uint32_t epoch, const char *daemon_id, uint64_t incarnation) {
    Hs__OwnerClaim claim = HS__OWNER_CLAIM__INIT;
    claim.epoch = epoch;
    claim.daemon_id = (char *)daemon_id;
    claim.incarnation = incarnation;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_OWNER_CLAIM;
    record.owner_claim = &claim;
    return hs_record_pack(&record);
}

GByteArray *hs_record_pack_release(uint32_t epoch, const char *daemon_id) {
    Hs__OwnerRelease release = HS__OWNER_RELEASE__INIT;
    release.epoch = epoch;
    release.daemon_id = (char *)daemon_id;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_OWNER_RELEASE;
    record.owner_release = &release;
    return hs_record_pack(&record);
}

GByteArray *hs_record_pack_cancel(const char *job_id, uint64_t requested_ms) {
    Hs__JobCancelled cancelled = HS__JOB_CANCELLED__INIT;
    cancelled.job_id = (char *)job_id;
    cancelled.requested_ms = requested_ms;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_JOB_CANCELLED;
    record.job_cancelled = &cancelled;
    return hs_record_pack(&record);
}

GByteArray *hs_record_pack_intent(const char *job_id, uint32_t item, const char *attempt_id,
                                  uint32_t epoch, const char *engine_url) {
    Hs__ItemIntent intent = HS__ITEM_INTENT__INIT;
    intent.job_id = (char *)job_id;
    intent.item = item;
    intent.attempt_id = (char *)attempt_id;
    intent.epoch = epoch;
    intent.engine_url = (char *)engine_url;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_ITEM_INTENT;
    record.item_intent = &intent;
    return hs_record_pack(&record);
}

GByteArray *hs_record_pack_online_intent(const char *key_hash, const char *attempt_id,
                                         const char *engine_url, uint64_t created_ms) {
    Hs__OnlineIntent intent = HS__ONLINE_INTENT__INIT;
    intent.key_hash = (char *)key_hash;
    intent.attempt_id = (char *)attempt_id;
    intent.engine_url = (char *)engine_url;
    intent.created_ms = created_ms;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_ONLINE_INTENT;
    record.online_intent = &intent;
    return hs_record_pack(&record);
}

GByteArray *hs_record_pack_online_intent_void(const char *key_hash, const char *attempt_id) {
    Hs__OnlineIntentVoid voided = HS__ONLINE_INTENT_VOID__INIT;
    voided.key_hash = (char *)key_hash;
    voided.attempt_id = (char *)attempt_id;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_ONLINE_INTENT_VOID;
    record.online_intent_void = &voided;
    return hs_record_pack(&record);
}

GByteArray *hs_record_pack_completion(const hs_item_outcome *outcome, uint64_t recorded_ms) {
    Hs__ItemResult result = HS__ITEM_RESULT__INIT;
    result.item = outcome->item;
    result.attempt_id = (char *)outcome->attempt_id;
    result.status_code = outcome->status_code;
    result.body.data = (uint8_t *)outcome->body;
    result.body.len = strlen(outcome->body);
    result.indeterminate = outcome->indeterminate;
    Hs__ItemResult *results[] = {&result};
    Hs__ItemsCompleted completed = HS__ITEMS_COMPLETED__INIT;
    completed.job_id = (char *)outcome->job_id;
    completed.epoch = outcome->epoch;
    completed.n_results = 1;
    completed.results = results;
    completed.recorded_ms = recorded_ms;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_ITEMS_COMPLETED;
    record.items_completed = &completed;
    return hs_record_pack(&record);
}
