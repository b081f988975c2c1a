/** @file partition_record.h  Serialisation of partition records. Pure functions. */
#ifndef HS_BATCH_PARTITION_RECORD_H
#define HS_BATCH_PARTITION_RECORD_H

#include "gen/record.pb-c.h"

#include <glib.h>
#include <stdbool.h>

/** Each function returns a serialised record. Free with g_byte_array_unref. */
GByteArray *hs_record_pack(const Hs__PartitionRecord *record);
GByteArray *hs_record_pack_claim(uint32_t epoch, const char *daemon_id, uint64_t incarnation);
GByteArray *hs_record_pack_release(uint32_t epoch, const char *daemon_id);
GByteArray *hs_record_pack_cancel(const char *job_id, uint64_t requested_ms);
GByteArray *hs_record_pack_intent(const char *job_id, uint32_t item, const char *attempt_id,
                                  uint32_t epoch, const char *engine_url);

GByteArray *hs_record_pack_online_intent(const char *key_hash, const char *attempt_id,
                                         const char *engine_url, uint64_t created_ms);
GByteArray *hs_record_pack_online_intent_void(const char *key_hash, const char *attempt_id);

/** Outcome of an item. Strings are borrowed. */
typedef struct {
    const char *job_id;
    uint32_t epoch;
    uint32_t item;
    const char *attempt_id;
    uint32_t status_code;
    const char *body; /**< Line of the output file. */
    bool indeterminate;
} hs_item_outcome;

GByteArray *hs_record_pack_completion(const hs_item_outcome *outcome, uint64_t recorded_ms);

#endif
