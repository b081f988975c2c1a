/** @file feed_log.c  See feed_log.h. */
#include "feed/feed_log.h"

#include "base/compare.h"

#include <string.h>

/**
 * Removals that are kept for daemons that follow. A daemon that lacks more of them asks for all
 * records.
 */
#define MAX_REMOVALS 4096
/** Bytes that encoding adds to a record: field tags, lengths, offset and age. */
#define RECORD_OVERHEAD_BYTES 24

/** A record in the log. */
typedef struct {
    hs_feed_record *record;
    uint32_t listing; /**< Number of the last listing that had the key. */
} entry;

struct hs_feed_log {
    GHashTable *by_key; /**< Key, owned by the record, -> entry*. */
    GTree *by_offset;   /**< &record->offset -> entry*, borrowed from by_key. */
    uint32_t removals;  /**< Entries that are removals. */
    uint32_t listing;   /**< Number of the current or last listing. */
    bool is_complete;
    uint64_t next;
    uint64_t floor;
};

hs_feed_record *hs_feed_record_new(const char *key, GBytes *value, uint64_t offset,
                                   uint64_t read_ms) {
    hs_feed_record *record = g_new0(hs_feed_record, 1);
    *record = (hs_feed_record){.references = 1,
                               .key = g_strdup(key),
                               .value = g_bytes_ref(value),
                               .offset = offset,
                               .read_ms = read_ms};
    return record;
}

hs_feed_record *hs_feed_record_ref(hs_feed_record *record) {
    g_atomic_int_inc(&record->references);
    return record;
}

void hs_feed_record_unref(gpointer data) {
    hs_feed_record *record = data;
    if (!g_atomic_int_dec_and_test(&record->references))
        return;
    g_free(record->key);
    g_bytes_unref(record->value);
    g_free(record);
}

bool hs_feed_record_is_removal(const hs_feed_record *record) {
    return g_bytes_get_size(record->value) == 0;
}

static void free_entry(gpointer data) {
    hs_feed_record_unref(((entry *)data)->record);
    g_free(data);
}

hs_feed_log *hs_feed_log_new(void) {
    hs_feed_log *log = g_new0(hs_feed_log, 1);
    log->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    log->by_offset = g_tree_new(hs_compare_uint64);
    return log;
}

void hs_feed_log_free(hs_feed_log *log) {
    g_tree_destroy(log->by_offset);
    g_hash_table_destroy(log->by_key);
    g_free(log);
}

static void remove_entry(hs_feed_log *log, entry *removed) {
    log->removals -= hs_feed_record_is_removal(removed->record);
    g_tree_remove(log->by_offset, &removed->record->offset);
    g_hash_table_remove(log->by_key, removed->record->key);
}

void hs_feed_log_reset(hs_feed_log *log) {
    g_tree_destroy(log->by_offset);
    log->by_offset = g_tree_new(hs_compare_uint64);
    g_hash_table_remove_all(log->by_key);
    log->removals = 0;
    log->next = 0;
    log->floor = 0;
    log->is_complete = false;
}

/** Drops the oldest removal; followers of a lower position have to ask for all records. */
static void drop_oldest_removal(hs_feed_log *log) {
    GTreeNode *node = g_tree_node_first(log->by_offset);
    while (node != NULL) {
        entry *found = g_tree_node_value(node);
        node = g_tree_node_next(node);
        if (!hs_feed_record_is_removal(found->record))
            continue;
        log->floor = MAX(log->floor, found->record->offset + 1);
        remove_entry(log, found);
        return;
    }
}

bool hs_feed_log_put(hs_feed_log *log, hs_feed_record *record) {
    entry *held = g_hash_table_lookup(log->by_key, record->key);
    if (held != NULL && held->record->offset >= record->offset) {
        held->listing = log->listing;
        return false;
    }
    if (held == NULL && log->is_complete && record->offset < log->next)
        return false; /* Its removal was seen and is no longer kept. */
    if (held != NULL)
        remove_entry(log, held);
    entry *added = g_new0(entry, 1);
    added->record = hs_feed_record_ref(record);
    added->listing = log->listing;
    log->removals += hs_feed_record_is_removal(record);
    g_hash_table_insert(log->by_key, record->key, added);
    g_tree_insert(log->by_offset, &record->offset, added);
    if (log->removals > MAX_REMOVALS)
        drop_oldest_removal(log);
    return true;
}

bool hs_feed_log_has(const hs_feed_log *log, const char *key) {
    return g_hash_table_contains(log->by_key, key);
}

void hs_feed_log_begin_listing(hs_feed_log *log) {
    log->listing++;
}

void hs_feed_log_end_listing(hs_feed_log *log, uint64_t next, uint64_t floor) {
    g_autoptr(GPtrArray) dropped = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, log->by_key);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const entry *held = value;
        if (held->listing != log->listing && !hs_feed_record_is_removal(held->record))
            g_ptr_array_add(dropped, value);
    }
    for (guint index = 0; index < dropped->len; index++)
        remove_entry(log, dropped->pdata[index]);
    log->next = MAX(log->next, next);
    /* When dropped keys were removed is not known. */
    log->floor = MAX(log->floor, dropped->len > 0 ? log->next : floor);
    log->is_complete = true;
}

void hs_feed_log_advance(hs_feed_log *log, uint64_t next) {
    log->next = MAX(log->next, next);
}

bool hs_feed_log_is_complete(const hs_feed_log *log) {
    return log->is_complete;
}

uint64_t hs_feed_log_next(const hs_feed_log *log) {
    return log->next;
}

uint64_t hs_feed_log_floor(const hs_feed_log *log) {
    return log->floor;
}

uint32_t hs_feed_log_key_count(const hs_feed_log *log) {
    return g_hash_table_size(log->by_key) - log->removals;
}

GPtrArray *hs_feed_log_changes(const hs_feed_log *log, uint64_t from, uint64_t end,
                               size_t max_bytes, bool *has_more) {
    GPtrArray *records = g_ptr_array_new_with_free_func(hs_feed_record_unref);
    size_t bytes = 0;
    GTreeNode *node = g_tree_lower_bound(log->by_offset, &from);
    *has_more = false;
    while (node != NULL && !*has_more) {
        const entry *held = g_tree_node_value(node);
        if (held->record->offset >= end)
            break;
        bytes += strlen(held->record->key) + g_bytes_get_size(held->record->value) +
                 RECORD_OVERHEAD_BYTES;
        g_ptr_array_add(records, hs_feed_record_ref(held->record));
        node = g_tree_node_next(node);
        *has_more = node != NULL && bytes >= max_bytes;
    }
    return records;
}
