/** @file engine_source.c  See engine_source.h. */
#include "fleet/engine_source.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/stop_wait.h"
#include "platform/entry_codec.h"

#include <string.h>

/** Reads within the time after which a draining engine must get no new requests. */
#define READS_PER_DRAIN 3
#define READ_TIMEOUT_MS 1200
/** Pause between two long polls, in which the changes of a burst come together. */
#define BURST_MS 100
/**
 * Time after the end of a store outage within which all running engines register again, by the
 * platform's rules. An engine that is still missing then has left. Daemons are to know that three
 * seconds after the end, which they notice up to 700 ms late.
 */
#define REGISTRATION_MS 2000
/**
 * Heartbeats after which an entry may have expired during an outage: an entry expires after three
 * missing heartbeats, and its last heartbeat may be almost one interval old at the start.
 */
#define HEARTBEATS_TO_EXPIRY 2
/** First delay before a failed read is retried; doubles up to the read interval. One lost read must
 * not take half of the time within which a leaving engine is to be known. */
#define MIN_RETRY_DELAY_MS 100
/** Entries whose fault is remembered; other faulty entries are logged with every read. */
#define MAX_FAULTY_ENTRIES 1024

struct hs_engine_source {
    hs_state_feed *feed;
    hs_fleet_engines *engines;
    uint32_t interval_ms;
    uint32_t heartbeat_ms;
    /** Before this time, engines without an entry stay listed: they may not be registered yet. */
    uint64_t trust_removals_from_ms;
    uint32_t failure_count;  /**< Reads that failed since the last successful one. */
    uint64_t last_answer_ms; /**< Time of the last successful read; 0: none yet. */
    uint64_t as_of_ms;       /**< As of when the last batch was confirmed; 0: unknown. */
    uint64_t next_prune_ms;
    bool has_new_start; /**< Another daemon gave the entry of an engine's next start, in a read that
                             has not reached the end yet. */
    GMutex lock;        /**< Guards the fields below, and the order of changes of the table. */
    GHashTable *values; /**< Engine id -> listed_value*, of the valid entries. */
    bool has_peer_list; /**< Another daemon gave the entries, see peer_state.h. */
    uint64_t peer_as_of_ms; /**< As of when; 0: unknown. */
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
    source->feed = hs_state_feed_new(store, HS_TOPIC_ENGINES, "engines");
    source->engines = engines;
    source->heartbeat_ms = heartbeat_ms;
    source->interval_ms = MAX(drain_ms / READS_PER_DRAIN, 1);
    hs_stop_wait_init(&source->stop_wait);
    g_mutex_init(&source->lock);
    source->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value);
    source->fault_by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return source;
}

/**
 * Called before a batch is applied. If the store gave no answer for so long that entries may have
 * expired in the meantime, removals are not trusted for REGISTRATION_MS. A long interval between
 * two successful reads is no outage. The caller holds the lock.
 */
static void detect_outage(hs_engine_source *source, const hs_feed_batch *batch) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint64_t expiry_ms = (uint64_t)source->heartbeat_ms * HEARTBEATS_TO_EXPIRY;
    uint64_t last_ms = MAX(source->last_answer_ms, source->peer_as_of_ms);
    bool has_failed = source->failure_count > 0 && last_ms != 0 && now_ms > last_ms + expiry_ms;
    /* Other daemons answer also while the store does not; then the time that they give stands. */
    bool was_unconfirmed = hs_state_feed_is_awaiting(source->feed) && source->as_of_ms != 0 &&
                           batch->as_of_ms > source->as_of_ms + expiry_ms;
    if (has_failed || was_unconfirmed)
        source->trust_removals_from_ms = now_ms + REGISTRATION_MS;
    source->last_answer_ms = now_ms;
    source->as_of_ms = batch->as_of_ms;
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
static bool apply_entry(hs_engine_source *source, const char *id, GBytes *value, uint64_t read_ms) {
    gsize length = 0;
    const uint8_t *bytes = g_bytes_get_data(value, &length);
    if (length == 0 && hs_clock_monotonic_ms() < source->trust_removals_from_ms)
        hs_fleet_engines_unlist(source->engines, id, source->trust_removals_from_ms);
    else if (length == 0)
        hs_fleet_engines_expire(source->engines, id);
    g_hash_table_remove(source->values, id);
    if (length == 0)
        return false;
    hs_engine_entry entry = {0};
    hs_entry_fault fault = hs_platform_read_engine_entry(id, bytes, length, &entry);
    record_fault(source, id, fault);
    if (fault == HS_ENTRY_VALID) {
        listed_value *listed = g_new0(listed_value, 1);
        *listed = (listed_value){.value = g_bytes_ref(value), .read_ms = read_ms};
        g_hash_table_insert(source->values, g_strdup(id), listed);
        source->has_new_start |= hs_fleet_engines_is_another_start(source->engines, &entry);
        hs_fleet_engines_put(source->engines, &entry, read_ms);
    } else {
        hs_fleet_engines_drop(source->engines, id);
    }
    return fault == HS_ENTRY_VALID;
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

/** Keeps the engines that the feed has, once it is complete. The caller holds the lock. */
static void keep_listed(hs_engine_source *source) {
    g_autoptr(GPtrArray) records = hs_state_feed_list(source->feed);
    g_autoptr(GHashTable) listed = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint index = 0; index < records->len; index++) {
        const hs_feed_record *record = records->pdata[index];
        if (!hs_feed_record_is_removal(record))
            g_hash_table_add(listed, record->key);
    }
    keep_only(source, listed);
}

/**
 * Returns whether engines may have been added and removed again since the last batch. A new listing
 * does not tell, nor does another daemon tell the starts of an engine before its last one. But only
 * an engine that lives less than a heartbeat is missed by a batch that follows the last
 * confirmation closely. The caller holds the lock.
 */
static bool has_unseen_engines(const hs_engine_source *source, const hs_feed_batch *batch,
                               uint64_t last_as_of_ms) {
    bool has_gap = last_as_of_ms != 0 && batch->as_of_ms > last_as_of_ms + source->heartbeat_ms;
    return batch->has_unseen || (has_gap && (batch->is_listed || source->has_new_start));
}

static void apply_batch(hs_engine_source *source, const hs_feed_batch *batch) {
    g_mutex_lock(&source->lock);
    uint64_t last_as_of_ms = source->as_of_ms;
    bool had_new_start = source->has_new_start;
    detect_outage(source, batch);
    for (guint index = 0; index < batch->changes->len; index++) {
        const hs_feed_record *record = batch->changes->pdata[index];
        apply_entry(source, record->key, record->value, record->read_ms);
    }
    if (batch->source != HS_FEED_PARENT) /* The log of the store has all starts. */
        source->has_new_start = had_new_start;
    if (batch->is_listed)
        keep_listed(source);
    if (has_unseen_engines(source, batch, last_as_of_ms)) {
        hs_log_info("engines_unseen", "listed=%d unconfirmed_ms=%" G_GUINT64_FORMAT,
                    batch->is_listed, (guint64)(batch->as_of_ms - last_as_of_ms));
        hs_fleet_engines_note_unseen(source->engines);
    }
    source->has_new_start &= batch->has_more;
    hs_fleet_engines_note_list_as_of(source->engines, batch->as_of_ms);
    g_mutex_unlock(&source->lock);
}

/** Returns the delay before the next read. */
static uint64_t delay_ms(hs_engine_source *source, const hs_feed_batch *batch) {
    if (batch->source == HS_FEED_WAIT || batch->has_more || batch->is_cut_off)
        return 0;
    if (hs_state_feed_is_awaiting(source->feed))
        return BURST_MS;
    if (source->failure_count == 0)
        return source->interval_ms;
    return MIN((uint64_t)MIN_RETRY_DELAY_MS << MIN(source->failure_count - 1, 8),
               source->interval_ms);
}

/** Removes engines whose time after a removal has passed, once in an interval. */
static void prune(hs_engine_source *source) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (now_ms < source->next_prune_ms)
        return;
    source->next_prune_ms = now_ms + source->interval_ms;
    hs_fleet_engines_prune(source->engines);
}

static gpointer run_source(gpointer data) {
    hs_engine_source *source = data;
    uint64_t pause_ms = 0;
    do {
        hs_feed_limits limits = {.store_wait_ms =
                                     hs_state_feed_is_awaiting(source->feed) ? HS_FEED_AWAIT_MS : 0,
                                 .store_timeout_ms = READ_TIMEOUT_MS};
        hs_feed_batch batch;
        hs_state_feed_read(source->feed, &limits, &batch);
        if (batch.outcome == HS_STORE_DONE)
            apply_batch(source, &batch);
        if (batch.source != HS_FEED_WAIT)
            source->failure_count = batch.outcome == HS_STORE_DONE ? 0 : source->failure_count + 1;
        prune(source);
        pause_ms = delay_ms(source, &batch);
        hs_feed_batch_clear(&batch);
    } while (hs_stop_wait_pause(&source->stop_wait, pause_ms));
    return NULL;
}

hs_state_feed *hs_engine_source_feed(hs_engine_source *source) {
    return source->feed;
}

void hs_engine_source_start(hs_engine_source *source) {
    source->thread = g_thread_new("engine-source", run_source, source);
}

void hs_engine_source_stop(hs_engine_source *source) {
    hs_state_feed_stop(source->feed);
    hs_stop_wait_request_stop(&source->stop_wait);
    if (source->thread != NULL)
        g_thread_join(source->thread);
    source->thread = NULL;
}

void hs_engine_source_free(hs_engine_source *source) {
    if (source == NULL)
        return;
    hs_engine_source_stop(source);
    hs_stop_wait_clear(&source->stop_wait);
    hs_state_feed_free(source->feed);
    g_hash_table_destroy(source->fault_by_id);
    g_hash_table_destroy(source->values);
    g_mutex_clear(&source->lock);
    g_free(source);
}

uint64_t hs_engine_source_as_of_ms(hs_engine_source *source) {
    g_mutex_lock(&source->lock);
    uint64_t peer_as_of_ms = source->peer_as_of_ms;
    g_mutex_unlock(&source->lock);
    return MAX(hs_state_feed_as_of_ms(source->feed), peer_as_of_ms);
}

bool hs_engine_source_has_list(hs_engine_source *source) {
    g_mutex_lock(&source->lock);
    bool has_peer_list = source->has_peer_list;
    g_mutex_unlock(&source->lock);
    return has_peer_list || hs_state_feed_is_complete(source->feed);
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
    bool is_applied = !source->has_peer_list && !hs_state_feed_is_complete(source->feed) &&
                      g_hash_table_size(source->values) == 0;
    for (guint index = 0; is_applied && index < entries->len; index++) {
        const hs_peer_entry *entry = entries->pdata[index];
        if (apply_entry(source, entry->id, entry->value, asked_ms - MIN(asked_ms, entry->age_ms)))
            g_hash_table_add(listed, entry->id);
    }
    if (is_applied) {
        keep_only(source, listed);
        source->has_peer_list = true;
        source->peer_as_of_ms = asked_ms - MIN(asked_ms, age_ms);
        hs_fleet_engines_note_list_as_of(source->engines, source->peer_as_of_ms);
    }
    g_mutex_unlock(&source->lock);
    return is_applied;
}

bool hs_engine_source_is_disconnected(hs_engine_source *source) {
    return hs_state_feed_is_disconnected(source->feed);
}

uint32_t hs_engine_source_rejected_count(hs_engine_source *source, hs_entry_fault fault) {
    return (uint32_t)g_atomic_int_get(&source->rejected_counts[fault]);
}
