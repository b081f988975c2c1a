/** @file software_history.c  See software_history.h. */
#include "fleet/software_history.h"

#include "base/hash.h"

/** Software of an engine that was removed. */
typedef struct {
    uint64_t software;
    uint64_t removed_ms;
} removed_software;

struct hs_software_history {
    GHashTable *services; /**< service -> GArray of removed_software */
    bool has_start;
    uint64_t complete_since_ms;
    uint64_t gap_ms; /**< When removals were missed last; 0: never. */
};

uint64_t hs_software_id(const char *service, const char *version) {
    return version != NULL ? hs_hash_pair(service, version) : 0;
}

static void free_removed(gpointer data) {
    g_array_unref(data);
}

hs_software_history *hs_software_history_new(void) {
    hs_software_history *history = g_new0(hs_software_history, 1);
    history->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_removed);
    return history;
}

void hs_software_history_free(hs_software_history *history) {
    g_hash_table_destroy(history->services);
    g_free(history);
}

static GArray *get_removed(hs_software_history *history, const char *service) {
    GArray *removed = g_hash_table_lookup(history->services, service);
    if (removed != NULL)
        return removed;
    removed = g_array_new(FALSE, FALSE, sizeof(removed_software));
    g_hash_table_insert(history->services, g_strdup(service), removed);
    return removed;
}

static void drop_old(GArray *removed, uint64_t now_ms) {
    for (guint index = removed->len; index > 0; index--)
        if (g_array_index(removed, removed_software, index - 1).removed_ms + HS_MAX_STREAM_AGE_MS <
            now_ms)
            g_array_remove_index_fast(removed, index - 1);
}

void hs_software_history_note_removed(hs_software_history *history, const char *service,
                                      uint64_t software, uint64_t now_ms) {
    GArray *removed = get_removed(history, service);
    drop_old(removed, now_ms);
    for (guint index = 0; index < removed->len; index++) {
        removed_software *known = &g_array_index(removed, removed_software, index);
        if (known->software == software) {
            known->removed_ms = now_ms;
            return;
        }
    }
    removed_software added = {.software = software, .removed_ms = now_ms};
    g_array_append_val(removed, added);
}

void hs_software_history_note_complete(hs_software_history *history, uint64_t since_ms) {
    if (!history->has_start || since_ms < history->complete_since_ms)
        history->complete_since_ms = since_ms;
    history->has_start = true;
}

void hs_software_history_note_gap(hs_software_history *history, uint64_t now_ms) {
    history->gap_ms = now_ms;
}

bool hs_software_history_is_complete(const hs_software_history *history, uint64_t now_ms) {
    return history->has_start && history->complete_since_ms + HS_MAX_STREAM_AGE_MS <= now_ms &&
           (history->gap_ms == 0 || history->gap_ms + HS_MAX_STREAM_AGE_MS <= now_ms);
}

void hs_software_list_add(GArray *list, uint64_t software) {
    for (guint index = 0; index < list->len; index++)
        if (g_array_index(list, uint64_t, index) == software)
            return;
    g_array_append_val(list, software);
}

GArray *hs_software_history_list_removed(hs_software_history *history, const char *service,
                                         uint64_t now_ms) {
    GArray *list = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *removed = g_hash_table_lookup(history->services, service);
    if (removed == NULL)
        return list;
    drop_old(removed, now_ms);
    for (guint index = 0; index < removed->len; index++)
        hs_software_list_add(list, g_array_index(removed, removed_software, index).software);
    return list;
}

uint64_t hs_software_history_absent_ms(const hs_software_history *history, const char *service,
                                       uint64_t software, uint64_t now_ms) {
    const GArray *removed = g_hash_table_lookup(history->services, service);
    for (guint index = 0; removed != NULL && index < removed->len; index++) {
        const removed_software *known = &g_array_index(removed, removed_software, index);
        if (known->software == software)
            return now_ms - MIN(now_ms, known->removed_ms);
    }
    return 0;
}
