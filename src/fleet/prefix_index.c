/** @file prefix_index.c  LRU index of prompt prefixes; see prefix_index.h. */
#include "fleet/prefix_index.h"

#include "base/hash.h"

typedef struct {
    uint64_t used_ms;
    uint32_t tokens;
} prefix_entry;

struct hs_prefix_index {
    GHashTable *entries; /**< Chained hash -> prefix_entry. */
    uint64_t capacity;
    uint64_t tokens;
};

hs_prefix_index *hs_prefix_index_new(uint64_t capacity) {
    hs_prefix_index *index = g_new0(hs_prefix_index, 1);
    index->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    index->capacity = capacity;
    return index;
}

void hs_prefix_index_set_capacity(hs_prefix_index *index, uint64_t capacity) {
    index->capacity = capacity;
}

void hs_prefix_index_free(hs_prefix_index *index) {
    if (index == NULL)
        return;
    g_hash_table_destroy(index->entries);
    g_free(index);
}

static uint64_t chain_hash(uint64_t previous, uint64_t part_id) {
    uint64_t pair[2] = {previous, part_id};
    return hs_hash_bytes(pair, sizeof pair);
}

uint32_t hs_prefix_index_match(const hs_prefix_index *index, const hs_request_size *size) {
    uint64_t hash = 0;
    uint32_t tokens = 0;
    for (uint32_t part = 0; part < size->part_count; part++) {
        hash = chain_hash(hash, size->parts[part].id);
        if (!g_hash_table_contains(index->entries, &hash))
            return tokens;
        tokens += size->parts[part].tokens;
    }
    return tokens;
}

static void evict_oldest(hs_prefix_index *index) {
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    gpointer oldest_key = NULL;
    const prefix_entry *oldest = NULL;
    g_hash_table_iter_init(&iterator, index->entries);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const prefix_entry *entry = value;
        if (oldest == NULL || entry->used_ms < oldest->used_ms) {
            oldest = entry;
            oldest_key = key;
        }
    }
    if (oldest == NULL)
        return;
    index->tokens -= oldest->tokens;
    g_hash_table_remove(index->entries, oldest_key);
}

void hs_prefix_index_note(hs_prefix_index *index, const hs_request_size *size, uint64_t now_ms) {
    uint64_t hash = 0;
    for (uint32_t part = 0; part + 1 < size->part_count; part++) {
        hash = chain_hash(hash, size->parts[part].id);
        prefix_entry *entry = g_hash_table_lookup(index->entries, &hash);
        if (entry == NULL) {
            entry = g_new0(prefix_entry, 1);
            entry->tokens = size->parts[part].tokens;
            index->tokens += entry->tokens;
            g_hash_table_insert(index->entries, g_memdup2(&hash, sizeof hash), entry);
        }
        entry->used_ms = now_ms;
    }
    while (index->tokens > index->capacity && g_hash_table_size(index->entries) > 0)
        evict_oldest(index);
}

uint64_t hs_prompt_shared_hash(const hs_request_size *size) {
    uint64_t hash = 0;
    for (uint32_t part = 0; part + 1 < size->part_count; part++)
        hash = chain_hash(hash, size->parts[part].id);
    return hash;
}

uint32_t hs_prompt_shared_tokens(const hs_request_size *size) {
    uint32_t tokens = 0;
    for (uint32_t part = 0; part + 1 < size->part_count; part++)
        tokens += size->parts[part].tokens;
    return tokens;
}
