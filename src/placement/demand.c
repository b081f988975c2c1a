/** @file demand.c  See demand.h. */
#include "placement/demand.h"

#include <math.h>
#include <string.h>

#define HALF_LIFE_MS 60000.0

typedef struct {
    char *group;
    char *model;
    double count;
    uint64_t decayed_ms; /**< Time of the last decay; 0: none yet. */
} demand_entry;

struct hs_demand {
    GMutex lock;
    GHashTable *entries; /**< "group\nmodel" -> demand_entry */
};

static void free_entry(gpointer data) {
    demand_entry *entry = data;
    g_free(entry->group);
    g_free(entry->model);
    g_free(entry);
}

hs_demand *hs_demand_new(void) {
    hs_demand *demand = g_new0(hs_demand, 1);
    demand->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
    g_mutex_init(&demand->lock);
    return demand;
}

void hs_demand_free(hs_demand *demand) {
    g_hash_table_destroy(demand->entries);
    g_mutex_clear(&demand->lock);
    g_free(demand);
}

void hs_demand_add(hs_demand *demand, const char *group, const char *model, double count) {
    char *key = g_strdup_printf("%s\n%s", group, model);
    g_mutex_lock(&demand->lock);
    demand_entry *entry = g_hash_table_lookup(demand->entries, key);
    if (entry == NULL) {
        entry = g_new0(demand_entry, 1);
        entry->group = g_strdup(group);
        entry->model = g_strdup(model);
        g_hash_table_insert(demand->entries, g_steal_pointer(&key), entry);
    }
    entry->count += count;
    g_mutex_unlock(&demand->lock);
    g_free(key);
}

double hs_demand_read(hs_demand *demand, const char *group, const char *model, uint64_t now_ms) {
    g_autofree char *key = g_strdup_printf("%s\n%s", group, model);
    double count = 0;
    g_mutex_lock(&demand->lock);
    demand_entry *entry = g_hash_table_lookup(demand->entries, key);
    if (entry != NULL) {
        if (entry->decayed_ms != 0)
            entry->count *= exp2(-(double)(now_ms - entry->decayed_ms) / HALF_LIFE_MS);
        entry->decayed_ms = now_ms;
        count = entry->count;
    }
    g_mutex_unlock(&demand->lock);
    return count;
}

void hs_demand_drain(hs_demand *demand,
                     void (*visit)(const char *group, const char *model, double count,
                                   void *user_data),
                     void *user_data) {
    g_mutex_lock(&demand->lock);
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, demand->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        demand_entry *entry = data;
        if (entry->count > 0)
            visit(entry->group, entry->model, entry->count, user_data);
        entry->count = 0;
    }
    g_mutex_unlock(&demand->lock);
}
