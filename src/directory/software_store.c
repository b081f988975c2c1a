/** @file software_store.c  See software_store.h. */
#include "directory/software_store.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "fleet/software_history.h"
#include "gen/peer.pb-c.h"
#include "store/keyed_topic.h"

#include <string.h>

/** Maximum wait for the store's response, in ms. */
#define STORE_TIMEOUT_MS 1000
/** Daemons that may write a service's record, and the time that each leaves to the one before. */
#define WRITERS 3
#define RANK_DELAY_MS 1500
/** Time after a failed read of the store in which the records are not read anew. */
#define READ_PAUSE_MS 5000
/** Longest key of a record; a service with a longer name has none. */
#define MAX_KEY_BYTES 255

struct hs_software_store {
    hs_fleet_engines *engines;
    hs_membership_service *membership;
    hs_store_client *store;
    bool is_read;
    GHashTable *settled; /**< service -> uint64_t* digest of the set that the store has. */
    GHashTable *differs; /**< service -> difference*, of those whose set is another one. */
};

/** A set that the store's record may lack. */
typedef struct {
    uint64_t digest;
    uint64_t since_ms;
    uint64_t confirm_ms; /**< The record is replaced by what is known as of then, or later. */
    bool is_recorded;    /**< The record has all of the set. */
    bool has_more;       /**< The record has other software too. */
} difference;

hs_software_store *hs_software_store_new(hs_fleet_engines *engines,
                                         hs_membership_service *membership,
                                         hs_store_client *store) {
    hs_software_store *records = g_new0(hs_software_store, 1);
    records->engines = engines;
    records->membership = membership;
    records->store = store;
    records->settled = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    records->differs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return records;
}

void hs_software_store_free(hs_software_store *records) {
    if (records == NULL)
        return;
    g_hash_table_destroy(records->settled);
    g_hash_table_destroy(records->differs);
    g_free(records);
}

/** Returns a digest of the set that does not depend on its order. */
static uint64_t digest_of(const uint64_t *software, size_t count) {
    uint64_t digest = count;
    for (size_t index = 0; index < count; index++)
        digest += hs_hash_bytes(&software[index], sizeof software[index]);
    return digest;
}

static void set_settled(hs_software_store *records, const char *service, uint64_t digest) {
    g_hash_table_insert(records->settled, g_strdup(service), g_memdup2(&digest, sizeof digest));
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
    set_settled(records, entry->key, digest_of(message->software, message->n_software));
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
    hs_log_info("software_records_read", "services=%u", g_hash_table_size(records->settled));
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

/** Whether the record is known to have all of the set that has this digest. */
static bool is_settled(hs_software_store *records, const char *service, uint64_t digest) {
    const uint64_t *settled = g_hash_table_lookup(records->settled, service);
    return settled != NULL && *settled == digest;
}

/** Returns the difference of a set that is not settled; NULL: others see to it, or there is none.
 */
static difference *note_difference(hs_software_store *records, const char *service, uint64_t digest,
                                   uint32_t rank) {
    if (rank >= WRITERS) /* Others change the record from now on. */
        g_hash_table_remove(records->settled, service);
    if (rank >= WRITERS || is_settled(records, service, digest)) {
        g_hash_table_remove(records->differs, service);
        return NULL;
    }
    difference *known = g_hash_table_lookup(records->differs, service);
    if (known == NULL) {
        known = g_new0(difference, 1);
        known->since_ms = hs_clock_monotonic_ms();
        known->confirm_ms = known->since_ms;
        g_hash_table_insert(records->differs, g_strdup(service), known);
    }
    known->is_recorded = known->is_recorded && known->digest == digest;
    known->digest = digest;
    return known;
}

static void free_software(gpointer data) {
    g_array_unref(data);
}

static void note_record(const hs_newest_entry *entry, void *user_data) {
    GHashTable *found = user_data;
    Hs__RecentSoftware *message =
        hs__recent_software__unpack(NULL, entry->value_length, entry->value);
    if (message == NULL)
        return;
    GArray *software = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_vals(software, message->software, (guint)message->n_software);
    g_hash_table_replace(found, g_strdup(entry->key), software);
    hs__recent_software__free_unpacked(message, NULL);
}

/**
 * Reads the records anew: service -> GArray of uint64_t. Returns NULL on failure, or if a read of
 * the store has failed lately: each failure holds up callers' reads of logs.
 */
static GHashTable *read_records(hs_software_store *records) {
    uint64_t failed_ms = hs_store_client_last_failed_read_ms(records->store);
    if (failed_ms != 0 && hs_clock_monotonic_ms() < failed_ms + READ_PAUSE_MS)
        return NULL;
    uint32_t timeout_ms =
        (uint32_t)hs_store_client_read_limit_ms(records->store, STORE_TIMEOUT_MS, 0);
    GHashTable *found = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_software);
    if (hs_keyed_topic_read(records->store, HS_TOPIC_SOFTWARE, timeout_ms, note_record, found))
        return found;
    g_hash_table_destroy(found);
    return NULL;
}

/**
 * Adds the software that the record lacks, if any. What it has beyond @p software stays: this
 * daemon may not know it.
 */
static void complete_record(hs_software_store *records, const char *service, const GArray *software,
                            GHashTable **found, difference *known) {
    g_autoptr(GArray) all = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    if (*found == NULL)
        *found = read_records(records);
    if (*found == NULL)
        return;
    const GArray *recorded = g_hash_table_lookup(*found, service);
    if (recorded != NULL)
        g_array_append_vals(all, recorded->data, recorded->len);
    guint before = all->len;
    for (guint index = 0; index < software->len; index++)
        hs_software_list_add(all, g_array_index(software, uint64_t, index));
    known->has_more = all->len > software->len;
    known->is_recorded = all->len == before || write_record(records, service, all);
}

/**
 * Replaces the record if all recent software is known as of @p known's confirm_ms. A daemon that
 * has lost the store or the others may rank first and know less than the record.
 */
static bool replace_record(hs_software_store *records, const char *service, const GArray *software,
                           difference *known) {
    uint64_t as_of_ms = hs_fleet_engines_software_as_of_ms(records->engines);
    bool is_confirmed = as_of_ms >= known->confirm_ms;
    if (is_confirmed && write_record(records, service, software))
        return true;
    if (is_confirmed || as_of_ms == 0)
        known->confirm_ms = hs_clock_monotonic_ms();
    return false;
}

/**
 * Writes the record of one service if it is due. A daemon that does not rank first leaves time to
 * those before it, and only adds to the record. @p found: NULL until the records were read.
 */
static void update_service(hs_software_store *records, const char *service, const GArray *software,
                           GHashTable **found) {
    uint64_t digest = digest_of((const uint64_t *)(void *)software->data, software->len);
    uint32_t rank = strlen(service) <= MAX_KEY_BYTES
                        ? hs_membership_service_rank(records->membership, service, WRITERS)
                        : WRITERS;
    difference *known = note_difference(records, service, digest, rank);
    if (known == NULL || hs_clock_monotonic_ms() < known->since_ms + (uint64_t)rank * RANK_DELAY_MS)
        return;
    bool is_done = rank == 0 && replace_record(records, service, software, known);
    if (!is_done && !known->is_recorded)
        complete_record(records, service, software, found, known);
    if (is_done || (known->is_recorded && (rank > 0 || !known->has_more)))
        set_settled(records, service, digest);
}

void hs_software_store_update(hs_software_store *records) {
    g_autoptr(GHashTable) services = hs_fleet_engines_list_software(records->engines);
    if (services == NULL || !records->is_read)
        return;
    GHashTableIter iterator;
    gpointer service = NULL;
    gpointer software = NULL;
    GHashTable *found = NULL;
    g_hash_table_iter_init(&iterator, services);
    while (g_hash_table_iter_next(&iterator, &service, &software))
        update_service(records, service, software, &found);
    if (found != NULL)
        g_hash_table_destroy(found);
}
