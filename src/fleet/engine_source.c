/** @file engine_source.c  Reading the engines' topic; see engine_source.h. */
#include "fleet/engine_source.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/stop_wait.h"
#include "platform/entry_codec.h"
#include "store/store_contact.h"

#include <string.h>

#define READ_MAX_KB 1024
/** Reads within the time that a leaving engine may still get work. */
#define READS_PER_DRAIN 3
#define ANSWER_LIMIT_MS 1200
/**
 * Engines that live write themselves anew so soon after the store's return, in ms, by the
 * platform's word; who is missing then has left. Daemons are to know that three seconds after the
 * return, and notice the return itself up to 700 ms late.
 */
#define RETURN_MS 2000
/** An entry runs out after three beats of silence, and its last beat may be one beat old. */
#define BEATS_TO_LAPSE 2
/**
 * Pause before a read that failed is tried again, doubled up to the interval: one lost read must
 * not take half of the time within which a leaving engine is to be known.
 */
#define RETRY_FIRST_MS 100

/** Keys with a faulty entry that are remembered: beyond, each reading of one is logged. */
#define FAULTY_MOST 1024

struct hs_engine_source {
    hs_store_client *store;
    hs_fleet_engines *engines;
    uint32_t interval_ms;
    uint32_t heartbeat_ms;
    uint64_t trust_from_ms; /**< Before, the store's word that an engine is gone is doubted. */
    uint32_t failures;      /**< Reads that failed since the last good one. */
    hs_store_contact contact;
    hs_stop_wait pause;
    GThread *thread;
    GHashTable
        *faulty; /**< id -> hs_entry_fault of its entry, so that each change is logged once. */
    gint rejected[HS_ENTRY_FAULT_COUNT]; /**< Entries that named no engine, by reason. */
};

hs_engine_source *hs_engine_source_new(hs_store_client *store, hs_fleet_engines *engines,
                                       uint32_t drain_ms, uint32_t heartbeat_ms) {
    hs_engine_source *source = g_new0(hs_engine_source, 1);
    source->store = store;
    source->engines = engines;
    source->heartbeat_ms = heartbeat_ms;
    source->interval_ms = MAX(drain_ms / READS_PER_DRAIN, 1);
    hs_store_contact_init(&source->contact, "engines");
    hs_stop_wait_init(&source->pause);
    source->faulty = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return source;
}

/**
 * After an answer came: entries may have run out while the store was away, that is, while reads
 * failed. A pause between two good reads is no absence, however long it is.
 */
static void note_gap(hs_engine_source *source) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint64_t heard_ms = hs_store_contact_heard_ms(&source->contact);
    uint64_t lapse_ms = (uint64_t)source->heartbeat_ms * BEATS_TO_LAPSE;
    if (heard_ms != 0 && source->failures > 0 && now_ms > heard_ms + lapse_ms)
        source->trust_from_ms = now_ms + RETURN_MS;
}

/**
 * Note what came of an entry: a line where it changed. An engine whose entry was written over by
 * another writer is used again with its own next beat.
 */
static void note_fault(hs_engine_source *source, const char *id, hs_entry_fault fault) {
    gpointer before = g_hash_table_lookup(source->faulty, id);
    if (fault == HS_ENTRY_SOUND) {
        g_hash_table_remove(source->faulty, id);
        return;
    }
    g_atomic_int_inc(&source->rejected[fault]);
    if (before == GINT_TO_POINTER(fault))
        return;
    hs_log_warning("engine_entry_rejected", "engine=%s reason=%s", id, hs_entry_fault_name(fault));
    if (g_hash_table_size(source->faulty) < FAULTY_MOST)
        g_hash_table_insert(source->faulty, g_strdup(id), GINT_TO_POINTER(fault));
}

/** False: the entry names no engine. */
static bool take_entry(hs_engine_source *source, const char *id, const uint8_t *value,
                       size_t length) {
    if (length == 0 && hs_clock_monotonic_ms() < source->trust_from_ms)
        hs_fleet_engines_unlist(source->engines, id, source->trust_from_ms);
    else if (length == 0)
        hs_fleet_engines_expire(source->engines, id);
    if (length == 0)
        return false;
    hs_engine_entry entry = {0};
    hs_entry_fault fault = hs_platform_read_engine(id, value, length, &entry);
    note_fault(source, id, fault);
    if (fault == HS_ENTRY_SOUND)
        hs_fleet_engines_put(source->engines, &entry, hs_clock_monotonic_ms());
    else
        hs_fleet_engines_drop(source->engines, id);
    return fault == HS_ENTRY_SOUND;
}

/** One page of newest entries; @p after: the last key of the page before, replaced. */
static hs_store_outcome read_page(hs_engine_source *source, GByteArray *answer, GHashTable *listed,
                                  char **after, bool *has_more, uint64_t *end) {
    hs_store_call call = hs_platform_newest(HS_TOPIC_ENGINES, *after);
    hs_deadline deadline = hs_clock_monotonic_ms() + ANSWER_LIMIT_MS;
    hs_store_outcome outcome = hs_store_client_send(source->store, &call, deadline, NULL, answer);
    if (outcome != HS_STORE_DONE)
        return outcome;
    note_gap(source);
    GArray *entries = hs_newest_entries_new();
    if (!hs_platform_read_newest(answer, entries, has_more, end))
        outcome = HS_STORE_UNKNOWN;
    for (guint index = 0; index < entries->len; index++) {
        const hs_newest_entry *entry = &g_array_index(entries, hs_newest_entry, index);
        g_free(*after);
        *after = g_strdup(entry->key);
        if (entry->value_length == 0)
            continue;
        if (take_entry(source, entry->key, entry->value, entry->value_length))
            g_hash_table_add(listed, g_strdup(entry->key));
    }
    if (entries->len == 0)
        *has_more = false;
    g_array_free(entries, TRUE);
    return outcome;
}

/** Read all entries. The pages are no snapshot: follow from the first page's end. */
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
    if (outcome == HS_STORE_DONE)
        hs_fleet_engines_keep_only(source->engines, listed, source->trust_from_ms);
    g_hash_table_destroy(listed);
    return outcome;
}

static hs_store_outcome follow(hs_engine_source *source, GByteArray *answer, uint64_t *next) {
    hs_store_call call = hs_platform_read(HS_TOPIC_ENGINES, 0, *next, READ_MAX_KB, 0);
    hs_deadline deadline = hs_clock_monotonic_ms() + ANSWER_LIMIT_MS;
    hs_store_outcome outcome = hs_store_client_send(source->store, &call, deadline, NULL, answer);
    size_t position = 0;
    hs_store_record record;
    if (outcome == HS_STORE_DONE)
        note_gap(source);
    while (outcome == HS_STORE_DONE && hs_platform_next_record(answer, true, &position, &record)) {
        g_autofree char *id = g_strndup(record.key, record.key_length);
        take_entry(source, id, record.value, record.value_length);
        (*next)++;
    }
    return outcome;
}

/** Time until the next read. */
static uint64_t pause_ms(const hs_engine_source *source) {
    if (source->failures == 0)
        return source->interval_ms;
    return MIN((uint64_t)RETRY_FIRST_MS << MIN(source->failures - 1, 8), source->interval_ms);
}

static gpointer run_source(gpointer data) {
    hs_engine_source *source = data;
    GByteArray *answer = g_byte_array_new();
    uint64_t next = 0;
    bool positioned = false;
    do {
        hs_store_contact_ask(&source->contact);
        hs_store_outcome outcome =
            positioned ? follow(source, answer, &next) : read_newest(source, answer, &next);
        hs_store_contact_note(&source->contact, outcome);
        if (outcome == HS_STORE_DONE)
            positioned = true;
        else if (outcome == HS_STORE_GONE)
            positioned = false;
        source->failures = outcome == HS_STORE_DONE ? 0 : source->failures + 1;
        hs_fleet_engines_prune(source->engines);
    } while (hs_stop_wait_pause(&source->pause, pause_ms(source)));
    g_byte_array_free(answer, TRUE);
    return NULL;
}

void hs_engine_source_start(hs_engine_source *source) {
    source->thread = g_thread_new("engine-source", run_source, source);
}

void hs_engine_source_free(hs_engine_source *source) {
    if (source == NULL)
        return;
    hs_stop_wait_ask(&source->pause);
    if (source->thread != NULL)
        g_thread_join(source->thread);
    hs_stop_wait_clear(&source->pause);
    hs_store_contact_clear(&source->contact);
    g_hash_table_destroy(source->faulty);
    g_free(source);
}

uint64_t hs_engine_source_heard_ms(hs_engine_source *source) {
    return hs_store_contact_heard_ms(&source->contact);
}

uint64_t hs_engine_source_as_of_ms(hs_engine_source *source) {
    return hs_store_contact_as_of_ms(&source->contact);
}

bool hs_engine_source_is_cut_off(hs_engine_source *source) {
    return hs_store_contact_is_lost(&source->contact);
}

uint32_t hs_engine_source_rejected(hs_engine_source *source, hs_entry_fault fault) {
    return (uint32_t)g_atomic_int_get(&source->rejected[fault]);
}
