/** @file online_key.c  See online_key.h. */
#include "commands/online_key.h"

#include "base/clock.h"
#include "base/fault_point.h"
#include "base/hash.h"
#include "base/log.h"
#include "batch/partition_record.h"

#include <string.h>

#define APPEND_TIMEOUT_MS 2000
#define RELEASE_TIMEOUT_MS 60000

char *hs_online_key_hash(const char *tenant, const char *key) {
    g_autofree char *tenant_and_key = g_strdup_printf("%s\n%s", tenant, key);
    return hs_hash_hex128(tenant_and_key, strlen(tenant_and_key));
}

static hs_replica *find_key_replica(hs_node *node, const char *key_hash) {
    uint64_t hash = hs_hash_bytes(key_hash, strlen(key_hash));
    return hs_replica_set_get(node->replicas,
                              (uint32_t)(hash % hs_replica_set_count(node->replicas)));
}

/** Reads the log to its end; false on failure. @p holder is empty if no attempt holds the key. */
static bool read_holder(hs_replica *replica, const char *key_hash, hs_online_key_holder *holder) {
    hs_error error = {0};
    *holder = (hs_online_key_holder){{0}, {0}};
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

hs_online_key_result hs_online_key_acquire(hs_node *node, const char *key_hash,
                                           const char *attempt_id, const char *engine_url,
                                           hs_online_key_holder *holder) {
    hs_replica *replica = find_key_replica(node, key_hash);
    if (!read_holder(replica, key_hash, holder))
        return HS_ONLINE_KEY_UNKNOWN;
    if (holder->attempt_id[0] != '\0' && strcmp(holder->attempt_id, attempt_id) != 0)
        return HS_ONLINE_KEY_HELD;
    g_autoptr(GByteArray) record =
        hs_record_pack_online_intent(key_hash, attempt_id, engine_url, hs_clock_wall_ms());
    uint64_t offset = 0;
    hs_error error = {0};
    HS_FAULT_POINT("online_intent_before");
    hs_appender_append(node->appender, hs_replica_stream(replica), record->data, record->len,
                       APPEND_TIMEOUT_MS, &offset, &error);
    HS_FAULT_POINT("online_intent_after");
    /* Whatever the append returned, only the log shows which attempt holds the key. */
    if (!read_holder(replica, key_hash, holder) || holder->attempt_id[0] == '\0')
        return HS_ONLINE_KEY_UNKNOWN;
    if (strcmp(holder->attempt_id, attempt_id) != 0)
        return HS_ONLINE_KEY_HELD;
    return strcmp(holder->engine_url, engine_url) == 0 ? HS_ONLINE_KEY_ACQUIRED
                                                       : HS_ONLINE_KEY_UNKNOWN;
}

void hs_online_key_release(hs_node *node, const char *key_hash, const char *attempt_id) {
    hs_replica *replica = find_key_replica(node, key_hash);
    g_autoptr(GByteArray) record = hs_record_pack_online_intent_void(key_hash, attempt_id);
    uint64_t offset = 0;
    hs_error error = {0};
    if (hs_appender_append(node->appender, hs_replica_stream(replica), record->data, record->len,
                           RELEASE_TIMEOUT_MS, &offset, &error) != 0)
        hs_log_warning("idempotency_key_release_failed", "key=%s attempt=%s cause=\"%s\"", key_hash,
                       attempt_id, error.message);
}
