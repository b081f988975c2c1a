/** @file crash_store.c  See crash_store.h. */
#include "directory/crash_store.h"

#include "base/clock.h"
#include "base/log.h"
#include "directory/crash_codec.h"
#include "store/keyed_topic.h"

/** Maximum wait for the store's response, in ms. */
#define STORE_TIMEOUT_MS 1000
/** Bytes of a key: 16 hexadecimal digits and NUL. */
#define KEY_BYTES 17

struct hs_crash_store {
    hs_crash_watch *watch;
    hs_membership_service *membership;
    hs_store_client *store;
    bool is_read;
    GHashTable
        *tracked; /**< uint64_t* content -> guint: engines in its record, 0 if it has none. */
};

hs_crash_store *hs_crash_store_new(hs_crash_watch *watch, hs_membership_service *membership,
                                   hs_store_client *store) {
    hs_crash_store *records = g_new0(hs_crash_store, 1);
    records->watch = watch;
    records->membership = membership;
    records->store = store;
    records->tracked = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    return records;
}

void hs_crash_store_free(hs_crash_store *records) {
    if (records == NULL)
        return;
    g_hash_table_destroy(records->tracked);
    g_free(records);
}

static void track(hs_crash_store *records, uint64_t content, uint32_t written_engines) {
    uint64_t *key = g_new(uint64_t, 1);
    *key = content;
    g_hash_table_insert(records->tracked, key, GUINT_TO_POINTER(written_engines));
}

static void load_record(const hs_newest_entry *entry, void *user_data) {
    hs_crash_store *records = user_data;
    if (entry->value_length == 0)
        return;
    Hs__CrashEvidence *message =
        hs__crash_evidence__unpack(NULL, entry->value_length, entry->value);
    if (message == NULL) {
        hs_log_warning("crash_record_unreadable", "key=%s bytes=%zu", entry->key,
                       entry->value_length);
        return;
    }
    hs_crash_evidence evidence = hs_crash_codec_read(message, hs_clock_monotonic_ms());
    hs__crash_evidence__free_unpacked(message, NULL);
    track(records, evidence.content, evidence.engine_count);
    hs_crash_watch_merge_evidence(records->watch, &evidence,
                                  &(hs_crash_evidence_source){.daemon = "store"});
}

void hs_crash_store_read(hs_crash_store *records) {
    if (records->is_read)
        return;
    records->is_read = hs_keyed_topic_read(records->store, HS_TOPIC_CRASHES, STORE_TIMEOUT_MS,
                                           load_record, records);
    if (records->is_read)
        hs_log_info("crash_records_read", "contents=%u", g_hash_table_size(records->tracked));
}

/** Writes a content's record, or deletes it if @p evidence is NULL. Returns false on failure. */
static bool write_record(hs_crash_store *records, const char *key,
                         const hs_crash_evidence *evidence) {
    g_autofree uint8_t *value = NULL;
    size_t length = 0;
    if (evidence != NULL) {
        hs_crash_message out;
        hs_crash_codec_write(evidence, hs_clock_monotonic_ms(), &out);
        value = g_malloc(hs__crash_evidence__get_packed_size(&out.message));
        length = hs__crash_evidence__pack(&out.message, value);
    }
    hs_store_outcome outcome = hs_keyed_topic_write(records->store, HS_TOPIC_CRASHES, key, value,
                                                    length, STORE_TIMEOUT_MS);
    hs_log_info("crash_record_written", "content=%s dropped=%d outcome=%s", key, evidence == NULL,
                hs_store_outcome_name(outcome));
    return outcome == HS_STORE_DONE;
}

static const hs_crash_evidence *find_quarantined(const GArray *quarantined, uint64_t content) {
    for (guint index = 0; index < quarantined->len; index++)
        if (g_array_index(quarantined, hs_crash_evidence, index).content == content)
            return &g_array_index(quarantined, hs_crash_evidence, index);
    return NULL;
}

/**
 * Updates one record; the next round retries after a failure. Returns true if the content need not
 * be tracked any longer. A record is written again when more engines are lost, since these limit
 * further trial runs, also after a restart of all daemons.
 */
static bool update_record(hs_crash_store *records, uint64_t content, const GArray *quarantined,
                          uint32_t *written_engines) {
    char key[KEY_BYTES];
    g_snprintf(key, sizeof key, "%016" G_GINT64_MODIFIER "x", (guint64)content);
    const hs_crash_evidence *evidence = find_quarantined(quarantined, content);
    bool is_quarantined = evidence != NULL;
    uint32_t engines = is_quarantined ? evidence->engine_count : 0;
    if (is_quarantined && *written_engines >= engines)
        return false;
    if (!hs_membership_service_is_first(records->membership, key))
        return !is_quarantined;
    if (!write_record(records, key, evidence))
        return false;
    *written_engines = engines;
    return !is_quarantined;
}

void hs_crash_store_update(hs_crash_store *records) {
    g_autoptr(GArray) quarantined = hs_crash_watch_list_quarantined(records->watch);
    for (guint index = 0; index < quarantined->len; index++) {
        uint64_t content = g_array_index(quarantined, hs_crash_evidence, index).content;
        if (!g_hash_table_contains(records->tracked, &content))
            track(records, content, 0);
    }
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, records->tracked);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        uint32_t written_engines = GPOINTER_TO_UINT(value);
        bool is_done =
            update_record(records, *(const uint64_t *)key, quarantined, &written_engines);
        if (is_done)
            g_hash_table_iter_remove(&iterator);
        else
            g_hash_table_iter_replace(&iterator, GUINT_TO_POINTER(written_engines));
    }
}
