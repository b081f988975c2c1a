/** @file online_key.c  See online_key.h. */
#include "commands/online_key.h"

#include "base/clock.h"
#include "base/fault_point.h"
#include "base/hash.h"
#include "base/log.h"
#include "batch/partition_record.h"

#include <string.h>

#define APPEND_PATIENCE_MS 2000
#define VOID_PATIENCE_MS 60000

char *hs_online_key_hash(const char *tenant, const char *key) {
    g_autofree char *named = g_strdup_printf("%s\n%s", tenant, key);
    return hs_hash_hex128(named, strlen(named));
}

static hs_replica *replica_of(hs_node *node, const char *key_hash) {
    uint64_t hash = hs_hash_bytes(key_hash, strlen(key_hash));
    return hs_replica_set_get(node->replicas,
                              (uint32_t)(hash % hs_replica_set_count(node->replicas)));
}

/** Read the log to its end; false when it cannot be read. @p holder: empty when the key is free. */
static bool read_holder(hs_replica *replica, const char *key_hash, hs_key_holder *holder) {
    hs_error error = {0};
    *holder = (hs_key_holder){{0}, {0}};
    if (hs_replica_refresh(replica, &error) != 0)
        return false;
    const hs_online_intent *intent =
        hs_partition_find_online_intent(hs_replica_lock(replica), key_hash);
    if (intent != NULL) {
        g_strlcpy(holder->attempt_id, intent->attempt_id, sizeof holder->attempt_id);
        g_strlcpy(holder->engine_url, intent->engine_url, sizeof holder->engine_url);
    }
    hs_replica_unlock(replica);
    return true;
}

hs_key_result hs_online_key_take(hs_node *node, const char *key_hash, const char *attempt_id,
                                 const char *engine_url, hs_key_holder *holder) {
    hs_replica *replica = replica_of(node, key_hash);
    if (!read_holder(replica, key_hash, holder))
        return HS_KEY_UNKNOWN;
    if (holder->attempt_id[0] != '\0' && strcmp(holder->attempt_id, attempt_id) != 0)
        return HS_KEY_TAKEN;
    g_autoptr(GByteArray) record =
        hs_record_pack_online_intent(key_hash, attempt_id, engine_url, hs_clock_wall_ms());
    uint64_t offset = 0;
    hs_error error = {0};
    HS_FAULT_POINT("online_intent_before");
    hs_appender_append(node->appender, hs_replica_stream(replica), record->data, record->len,
                       APPEND_PATIENCE_MS, &offset, &error);
    HS_FAULT_POINT("online_intent_after");
    /* Whatever the append's answer was, only the log tells who holds the key. */
    if (!read_holder(replica, key_hash, holder) || holder->attempt_id[0] == '\0')
        return HS_KEY_UNKNOWN;
    if (strcmp(holder->attempt_id, attempt_id) != 0)
        return HS_KEY_TAKEN;
    return strcmp(holder->engine_url, engine_url) == 0 ? HS_KEY_OURS : HS_KEY_UNKNOWN;
}

void hs_online_key_void(hs_node *node, const char *key_hash, const char *attempt_id) {
    hs_replica *replica = replica_of(node, key_hash);
    g_autoptr(GByteArray) record = hs_record_pack_online_intent_void(key_hash, attempt_id);
    uint64_t offset = 0;
    hs_error error = {0};
    if (hs_appender_append(node->appender, hs_replica_stream(replica), record->data, record->len,
                           VOID_PATIENCE_MS, &offset, &error) != 0)
        hs_log_warning("key_not_freed", "key=%s attempt=%s cause=\"%s\"", key_hash, attempt_id,
                       error.message);
}
