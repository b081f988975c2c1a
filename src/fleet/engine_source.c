/** @file engine_source.c  See engine_source.h. */
#include "fleet/engine_source.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/stop_wait.h"
#include "platform/entry_codec.h"
#include "store/store_contact.h"

#include <string.h>

#define MAX_READ_KB 1024
/** Reads within the time after which a draining engine must get no new requests. */
#define READS_PER_DRAIN 3
#define READ_TIMEOUT_MS 1200
/**
 * Time after the end of a store outage within which all running engines register again. An engine
 * that is still missing then has left.
 */
#define REGISTRATION_MS 2000
/**
 * Heartbeats after which an entry may have expired during an outage: an entry expires after three
 * missing heartbeats, and its last heartbeat may be almost one interval old at the start.
 */
#define HEARTBEATS_TO_EXPIRY 2
/** First delay before a failed read is retried; doubles up to the read interval. */
#define MIN_RETRY_DELAY_MS 100
/** Entries whose fault is remembered; other faulty entries are logged with every read. */
#define MAX_FAULTY_ENTRIES 1024

struct hs_engine_source {
    hs_store_client *store;
    hs_fleet_engines *engines;
    uint32_t interval_ms;
    uint32_t heartbeat_ms;
    /** Before this time, engines without an entry stay listed: they may not be registered yet. */
    uint64_t trust_removals_from_ms;
    uint32_t failure_count; /**< Reads that failed since the last successful one. */
    GMutex lock;            /**< Guards the fields below, and the order of changes of the table. */
    GHashTable *values;     /**< Engine id -> listed_value*, of the valid entries. */
    bool has_store_list;    /**< The store has answered: nothing from other daemons is applied. */
    bool has_peer_list;     /**< Another daemon gave the entries. */
    uint64_t peer_as_of_ms; /**< As of when; 0: unknown. */
    hs_store_contact contact;
    hs_stop_wait stop_wait;
    GThread *thread;
    GHashTable *fault_by_id; /**< Engine id -> hs_entry_fault, to log each change once. */
    gint rejected_counts[HS_ENTRY_FAULT_COUNT]; /**< By hs_entry_fault. */
};

/** Value of an engine's entry, to be given to other daemons. */
typedef struct {
    GBytes *value;
    uint64_t read_ms; /**< Monotonic time at which the entry was read from the store. */
} listed_value;

static void free_value(gpointer data) {
    listed_value *listed = data;
    g_bytes_unref(listed->value);
    g_free(listed);
}

hs_engine_source *hs_engine_source_new(hs_store_client *store, hs_fleet_engines *engines,
                                       uint32_t drain_ms, uint32_t heartbeat_ms) {
    hs_engine_source *source = g_new0(hs_engine_source, 1);
    source->store = store;
    source->engines = engines;
    source->heartbeat_ms = heartbeat_ms;
    source->interval_ms = MAX(drain_ms / READS_PER_DRAIN, 1);
    hs_store_contact_init(&source->contact, "engines");
    hs_stop_wait_init(&source->stop_wait);
    g_mutex_init(&source->lock);
    source->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value);
    source->fault_by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return source;
}

/**
 * Called after a successful read. If reads failed for so long that entries may have expired in the
 * meantime, removals are not trusted for REGISTRATION_MS. A long interval between two successful
 * reads is no outage.
 */
static void detect_outage(hs_engine_source *source) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint64_t last_response_ms = hs_store_contact_last_received_ms(&source->contact);
    if (last_response_ms == 0)
        last_response_ms = source->peer_as_of_ms;
    uint64_t expiry_ms = (uint64_t)source->heartbeat_ms * HEARTBEATS_TO_EXPIRY;
    if (last_response_ms != 0 && source->failure_count > 0 && now_ms > last_response_ms + expiry_ms)
        source->trust_removals_from_ms = now_ms + REGISTRATION_MS;
}

/** Counts a faulty entry, and logs the entry if its fault changed. */
static void record_fault(hs_engine_source *source, const char *id, hs_entry_fault fault) {
    gpointer previous_fault = g_hash_table_lookup(source->fault_by_id, id);
    if (fault == HS_ENTRY_VALID) {
        g_hash_table_remove(source->fault_by_id, id);
        return;
    }
    g_atomic_int_inc(&source->rejected_counts[fault]);
    if (previous_fault == GINT_TO_POINTER(fault))
        return;
    hs_log_warning("engine_entry_rejected", "engine=%s reason=%s", id, hs_entry_fault_name(fault));
    if (g_hash_table_size(source->fault_by_id) < MAX_FAULTY_ENTRIES)
        g_hash_table_insert(source->fault_by_id, g_strdup(id), GINT_TO_POINTER(fault));
}

/**
 * Applies an entry that was read at @p read_ms to the table; an empty value removes the engine.
 * Returns whether the entry is valid. The caller holds the lock.
 */
static bool apply_entry(hs_engine_source *source, const char *id, const uint8_t *value,
                        size_t length, uint64_t read_ms) {
    if (length == 0 && hs_clock_monotonic_ms() < source->trust_removals_from_ms)
        hs_fleet_engines_unlist(source->engines, id, source->trust_removals_from_ms);
    else if (length == 0)
        hs_fleet_engines_expire(source->engines, id);
    g_hash_table_remove(source->values, id);
    if (length == 0)
        return false;
    hs_engine_entry entry = {0};
    hs_entry_fault fault = hs_platform_read_engine_entry(id, value, length, &entry);
    record_fault(source, id, fault);
    if (fault == HS_ENTRY_VALID) {
        listed_value *listed = g_new0(listed_value, 1);
        *listed = (listed_value){.value = g_bytes_new(value, length), .read_ms = read_ms};
        g_hash_table_insert(source->values, g_strdup(id), listed);
        hs_fleet_engines_put(source->engines, &entry, read_ms);
    } else {
        hs_fleet_engines_drop(source->engines, id);
    }
    return fault == HS_ENTRY_VALID;
}

/**
 * Reads one page of newest entries. @p after is the last key of the previous page, and is replaced.
 * The ids of valid entries are added to @p listed; @p end is set to the end of the topic's log.
 */
static hs_store_outcome read_page(hs_engine_source *source, GByteArray *answer, GHashTable *listed,
                                  char **after, bool *has_more, uint64_t *end) {
    hs_store_call call = hs_platform_build_newest_call(HS_TOPIC_ENGINES, *after);
    hs_deadline deadline = hs_clock_monotonic_ms() + READ_TIMEOUT_MS;
    hs_store_outcome outcome = hs_store_client_send(source->store, &call, deadline, NULL, answer);
    if (outcome != HS_STORE_DONE)
        return outcome;
    g_mutex_lock(&source->lock);
    source->has_store_list = true;
    detect_outage(source);
    GArray *entries = hs_newest_entries_new();
    if (!hs_platform_read_newest(answer, entries, has_more, end))
        outcome = HS_STORE_UNKNOWN;
    for (guint index = 0; index < entries->len; index++) {
        const hs_newest_entry *entry = &g_array_index(entries, hs_newest_entry, index);
        g_free(*after);
        *after = g_strdup(entry->key);
        if (entry->value_length == 0)
            continue;
        if (apply_entry(source, entry->key, entry->value, entry->value_length,
                        hs_clock_monotonic_ms()))
            g_hash_table_add(listed, g_strdup(entry->key));
    }
    g_mutex_unlock(&source->lock);
    if (entries->len == 0)
        *has_more = false;
    g_array_free(entries, TRUE);
    return outcome;
}

static gboolean is_not_listed(gpointer id, gpointer value, gpointer listed) {
    (void)value;
    return !g_hash_table_contains(listed, id);
}

/** Removes all engines but the listed ones. The caller holds the lock. */
static void keep_only(hs_engine_source *source, GHashTable *listed) {
    g_hash_table_foreach_remove(source->values, is_not_listed, listed);
    hs_fleet_engines_keep_only(source->engines, listed, source->trust_removals_from_ms);
}

/**
 * Reads all entries. Entries may change between two pages, so @p next is set to the end of the log
 * that came with the first page.
 */
static hs_store_outcome read_newest(hs_engine_source *source, GByteArray *answer, uint64_t *next) {
    GHashTable *listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_autofree char *after = NULL;
    bool has_more = true;
    bool is_first = true;
    hs_store_outcome outcome = HS_STORE_DONE;
    while (has_more && outcome == HS_STORE_DONE) {
        uint64_t end = 0;
        outcome = read_page(source, answer, listed, &after, &has_more, &end);
        if (is_first)
            *next = end;
        is_first = false;
    }
    g_mutex_lock(&source->lock);
    if (outcome == HS_STORE_DONE)
        keep_only(source, listed);
    g_mutex_unlock(&source->lock);
    g_hash_table_destroy(listed);
    return outcome;
}

/** Reads the records from the offset @p next on, and advances @p next. */
static hs_store_outcome follow(hs_engine_source *source, GByteArray *answer, uint64_t *next) {
    hs_store_call call = hs_platform_build_read_call(HS_TOPIC_ENGINES, 0, *next, MAX_READ_KB, 0);
    hs_deadline deadline = hs_clock_monotonic_ms() + READ_TIMEOUT_MS;
    hs_store_outcome outcome = hs_store_client_send(source->store, &call, deadline, NULL, answer);
    size_t position = 0;
    hs_store_record record;
    g_mutex_lock(&source->lock);
    if (outcome == HS_STORE_DONE)
        detect_outage(source);
    while (outcome == HS_STORE_DONE &&
           hs_platform_read_next_record(answer, true, &position, &record)) {
        g_autofree char *id = g_strndup(record.key, record.key_length);
        apply_entry(source, id, record.value, record.value_length, hs_clock_monotonic_ms());
        (*next)++;
    }
    g_mutex_unlock(&source->lock);
    return outcome;
}

/** Returns the delay before the next read. */
static uint64_t delay_ms(const hs_engine_source *source) {
    if (source->failure_count == 0)
        return source->interval_ms;
    return MIN((uint64_t)MIN_RETRY_DELAY_MS << MIN(source->failure_count - 1, 8),
               source->interval_ms);
}

static gpointer run_source(gpointer data) {
    hs_engine_source *source = data;
    GByteArray *answer = g_byte_array_new();
    uint64_t next = 0;
    bool is_positioned = false;
    do {
        hs_store_contact_note_call(&source->contact);
        hs_store_outcome outcome =
            is_positioned ? follow(source, answer, &next) : read_newest(source, answer, &next);
        hs_store_contact_note_outcome(&source->contact, outcome);
        if (outcome == HS_STORE_DONE)
            is_positioned = true;
        else if (outcome == HS_STORE_GONE)
            is_positioned = false;
        source->failure_count = outcome == HS_STORE_DONE ? 0 : source->failure_count + 1;
        hs_fleet_engines_prune(source->engines);
    } while (hs_stop_wait_pause(&source->stop_wait, delay_ms(source)));
    g_byte_array_free(answer, TRUE);
    return NULL;
}

void hs_engine_source_start(hs_engine_source *source) {
    source->thread = g_thread_new("engine-source", run_source, source);
}

void hs_engine_source_free(hs_engine_source *source) {
    if (source == NULL)
        return;
    hs_stop_wait_request_stop(&source->stop_wait);
    if (source->thread != NULL)
        g_thread_join(source->thread);
    hs_stop_wait_clear(&source->stop_wait);
    hs_store_contact_clear(&source->contact);
    g_hash_table_destroy(source->fault_by_id);
    g_hash_table_destroy(source->values);
    g_mutex_clear(&source->lock);
    g_free(source);
}

uint64_t hs_engine_source_last_received_ms(hs_engine_source *source) {
    return hs_store_contact_last_received_ms(&source->contact);
}

uint64_t hs_engine_source_as_of_ms(hs_engine_source *source) {
    g_mutex_lock(&source->lock);
    uint64_t peer_as_of_ms = source->peer_as_of_ms;
    g_mutex_unlock(&source->lock);
    return MAX(hs_store_contact_as_of_ms(&source->contact), peer_as_of_ms);
}

bool hs_engine_source_has_list(hs_engine_source *source) {
    g_mutex_lock(&source->lock);
    bool has_peer_list = source->has_peer_list;
    g_mutex_unlock(&source->lock);
    return has_peer_list || hs_engine_source_last_received_ms(source) != 0;
}

GPtrArray *hs_engine_source_list_entries(hs_engine_source *source, uint64_t now_ms) {
    GPtrArray *entries = hs_peer_entries_new();
    GHashTableIter iterator;
    gpointer id = NULL;
    gpointer value = NULL;
    g_mutex_lock(&source->lock);
    g_hash_table_iter_init(&iterator, source->values);
    while (g_hash_table_iter_next(&iterator, &id, &value)) {
        const listed_value *listed = value;
        hs_peer_entries_add(entries, id, listed->value, now_ms - MIN(now_ms, listed->read_ms));
    }
    g_mutex_unlock(&source->lock);
    return entries;
}

bool hs_engine_source_apply_from_peer(hs_engine_source *source, const GPtrArray *entries,
                                      uint64_t asked_ms, uint64_t age_ms) {
    g_autoptr(GHashTable) listed = g_hash_table_new(g_str_hash, g_str_equal);
    g_mutex_lock(&source->lock);
    bool is_applied = !source->has_store_list && !source->has_peer_list;
    for (guint index = 0; is_applied && index < entries->len; index++) {
        const hs_peer_entry *entry = entries->pdata[index];
        gsize length = 0;
        const uint8_t *value = g_bytes_get_data(entry->value, &length);
        if (apply_entry(source, entry->id, value, length, asked_ms - MIN(asked_ms, entry->age_ms)))
            g_hash_table_add(listed, entry->id);
    }
    if (is_applied) {
        keep_only(source, listed);
        source->has_peer_list = true;
        source->peer_as_of_ms = asked_ms - MIN(asked_ms, age_ms);
    }
    g_mutex_unlock(&source->lock);
    return is_applied;
}

bool hs_engine_source_is_disconnected(hs_engine_source *source) {
    return hs_store_contact_is_disconnected(&source->contact);
}

uint32_t hs_engine_source_rejected_count(hs_engine_source *source, hs_entry_fault fault) {
    return (uint32_t)g_atomic_int_get(&source->rejected_counts[fault]);
}
