/** @file software_store.c  See software_store.h. */
#include "directory/software_store.h"

#include "base/hash.h"
#include "base/log.h"
#include "gen/peer.pb-c.h"
#include "store/keyed_topic.h"

#include <string.h>

/** Maximum wait for the store's response, in ms. */
#define STORE_TIMEOUT_MS 1000
/** Longest key of a record; a service with a longer name has none. */
#define MAX_KEY_BYTES 255

struct hs_software_store {
    hs_fleet_engines *engines;
    hs_membership_service *membership;
    hs_store_client *store;
    bool is_read;
    GHashTable *written; /**< service -> uint64_t* digest of the set that the store has. */
};

hs_software_store *hs_software_store_new(hs_fleet_engines *engines,
                                         hs_membership_service *membership,
                                         hs_store_client *store) {
    hs_software_store *records = g_new0(hs_software_store, 1);
    records->engines = engines;
    records->membership = membership;
    records->store = store;
    records->written = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return records;
}

void hs_software_store_free(hs_software_store *records) {
    if (records == NULL)
        return;
    g_hash_table_destroy(records->written);
    g_free(records);
}

/** Returns a digest of the set that does not depend on its order. */
static uint64_t digest_of(const uint64_t *software, size_t count) {
    uint64_t digest = count;
    for (size_t index = 0; index < count; index++)
        digest += hs_hash_bytes(&software[index], sizeof software[index]);
    return digest;
}

static void set_written(hs_software_store *records, const char *service, uint64_t digest) {
    g_hash_table_insert(records->written, g_strdup(service), g_memdup2(&digest, sizeof digest));
}

static void load_record(const hs_newest_entry *entry, void *user_data) {
    hs_software_store *records = user_data;
    Hs__RecentSoftware *message =
        hs__recent_software__unpack(NULL, entry->value_length, entry->value);
    if (message == NULL) {
        hs_log_warning("software_record_unreadable", "service=%s bytes=%zu", entry->key,
                       entry->value_length);
        return;
    }
    for (size_t index = 0; index < message->n_software; index++)
        hs_fleet_engines_add_past_software(records->engines, entry->key, message->software[index]);
    set_written(records, entry->key, digest_of(message->software, message->n_software));
    hs__recent_software__free_unpacked(message, NULL);
}

void hs_software_store_read(hs_software_store *records) {
    if (records->is_read)
        return;
    records->is_read = hs_keyed_topic_read(records->store, HS_TOPIC_SOFTWARE, STORE_TIMEOUT_MS,
                                           load_record, records);
    if (!records->is_read)
        return;
    hs_fleet_engines_note_past_software_added(records->engines);
    hs_log_info("software_records_read", "services=%u", g_hash_table_size(records->written));
}

/** Returns whether this daemon writes the service's record. */
static bool is_writer(hs_software_store *records, const char *service) {
    return strlen(service) <= MAX_KEY_BYTES &&
           hs_membership_service_is_first(records->membership, service);
}

static bool write_record(hs_software_store *records, const char *service, const GArray *software) {
    Hs__RecentSoftware message = HS__RECENT_SOFTWARE__INIT;
    message.n_software = software->len;
    message.software = (uint64_t *)(void *)software->data;
    g_autofree uint8_t *value = g_malloc(hs__recent_software__get_packed_size(&message) + 1);
    size_t length = hs__recent_software__pack(&message, value);
    hs_store_outcome outcome = hs_keyed_topic_write(records->store, HS_TOPIC_SOFTWARE, service,
                                                    value, length, STORE_TIMEOUT_MS);
    hs_log_info("software_record_written", "service=%s versions=%u outcome=%s", service,
                software->len, hs_store_outcome_name(outcome));
    return outcome == HS_STORE_DONE;
}

void hs_software_store_update(hs_software_store *records) {
    g_autoptr(GHashTable) services = hs_fleet_engines_list_software(records->engines);
    if (services == NULL || !records->is_read)
        return;
    GHashTableIter iterator;
    gpointer service = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, services);
    while (g_hash_table_iter_next(&iterator, &service, &value)) {
        const GArray *software = value;
        uint64_t digest = digest_of((const uint64_t *)(void *)software->data, software->len);
        const uint64_t *written = g_hash_table_lookup(records->written, service);
        if (written != NULL && *written == digest)
            continue;
        if (is_writer(records, service) && write_record(records, service, software))
            set_written(records, service, digest);
    }
}
