/** @file online_load.c  See online_load.h. */
#include "scheduling/online_load.h"

typedef struct {
    uint64_t incarnation;
    uint64_t sequence;
    uint32_t in_flight;
    uint64_t received_ms;
} edge_count;

void hs_online_load_init(hs_online_load *load) {
    *load =
        (hs_online_load){.edges = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free)};
}

void hs_online_load_clear(hs_online_load *load) {
    g_hash_table_destroy(load->edges);
}

static void set_total(hs_online_load *load, uint32_t total, uint64_t now_ms) {
    if (total == 0 && load->total > 0)
        load->ended_ms = now_ms;
    load->total = total;
}

bool hs_online_load_apply_notice(hs_online_load *load, const char *edge_id, uint64_t incarnation,
                                 uint64_t sequence, uint32_t in_flight, uint64_t now_ms) {
    edge_count *count = g_hash_table_lookup(load->edges, edge_id);
    if (count == NULL) {
        count = g_new0(edge_count, 1);
        g_hash_table_insert(load->edges, g_strdup(edge_id), count);
    }
    bool late = incarnation < count->incarnation ||
                (incarnation == count->incarnation && sequence <= count->sequence);
    if (late)
        return false;
    uint32_t total = load->total - count->in_flight + in_flight;
    *count = (edge_count){.incarnation = incarnation,
                          .sequence = sequence,
                          .in_flight = in_flight,
                          .received_ms = now_ms};
    set_total(load, total, now_ms);
    return true;
}

void hs_online_load_prune(hs_online_load *load,
                          bool (*is_live)(const char *edge_id, void *user_data), void *user_data,
                          uint64_t now_ms, uint64_t stale_ms) {
    uint32_t total = load->total;
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, load->edges);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        edge_count *count = value;
        bool stale = count->received_ms + stale_ms < now_ms;
        if (!stale && is_live(key, user_data))
            continue;
        total -= count->in_flight;
        count->in_flight = 0;
        if (!is_live(key, user_data))
            g_hash_table_iter_remove(&iterator);
    }
    set_total(load, total, now_ms);
}
