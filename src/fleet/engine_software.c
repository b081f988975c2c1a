/** @file engine_software.c  Software of a service's engines; see fleet_engines.h. */
#include "fleet/fleet_engine.h"

#include "base/clock.h"

#include <string.h>

/** Returns whether the engine is listed for the service and not draining. */
static bool is_serving(const hs_fleet_engine *engine, const char *service, uint64_t now_ms) {
    return strcmp(engine->entry.service, service) == 0 && !engine->entry.draining &&
           !hs_fleet_engine_is_removal_due(engine, now_ms);
}

bool hs_fleet_engines_has_software(hs_fleet_engines *engines, const char *service,
                                   uint64_t software) {
    GHashTableIter iterator;
    gpointer value = NULL;
    bool is_found = false;
    g_mutex_lock(&engines->lock);
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (!is_found && g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        is_found = engine->software == software && is_serving(engine, service, now_ms);
    }
    g_mutex_unlock(&engines->lock);
    return is_found;
}

bool hs_fleet_engines_has_other(hs_fleet_engines *engines, const char *service,
                                const GPtrArray *ids) {
    GHashTableIter iterator;
    gpointer value = NULL;
    bool is_found = false;
    g_mutex_lock(&engines->lock);
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (!is_found && g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        is_found = is_serving(engine, service, now_ms) &&
                   !g_ptr_array_find_with_equal_func((GPtrArray *)ids, engine->entry.id,
                                                     g_str_equal, NULL);
    }
    g_mutex_unlock(&engines->lock);
    return is_found;
}

uint64_t hs_fleet_engines_software_absent_ms(hs_fleet_engines *engines, const char *service,
                                             uint64_t software) {
    g_mutex_lock(&engines->lock);
    uint64_t absent_ms = hs_software_history_absent_ms(engines->software, service, software,
                                                       hs_clock_monotonic_ms());
    g_mutex_unlock(&engines->lock);
    return absent_ms;
}

void hs_fleet_engines_note_list_as_of(hs_fleet_engines *engines, uint64_t as_of_ms) {
    g_mutex_lock(&engines->lock);
    if (engines->is_list_known && as_of_ms != 0)
        hs_software_history_note_complete(engines->software, as_of_ms);
    engines->list_as_of_ms = MAX(engines->list_as_of_ms, as_of_ms);
    g_mutex_unlock(&engines->lock);
}

void hs_fleet_engines_note_unseen(hs_fleet_engines *engines) {
    g_mutex_lock(&engines->lock);
    hs_software_history_note_gap(engines->software, hs_clock_monotonic_ms());
    g_mutex_unlock(&engines->lock);
}

/** Lists the recent software of one service: of uint64_t. The caller holds the lock. */
static GArray *list_recent(hs_fleet_engines *engines, const char *service, uint64_t now_ms) {
    GArray *list = hs_software_history_list_removed(engines->software, service, now_ms);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        if (strcmp(engine->entry.service, service) == 0)
            hs_software_list_add(list, engine->software);
    }
    return list;
}

uint64_t hs_fleet_engines_sole_software(hs_fleet_engines *engines, const char *service,
                                        uint64_t as_of_ms) {
    uint64_t sole = 0;
    g_mutex_lock(&engines->lock);
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (engines->list_as_of_ms >= as_of_ms &&
        hs_software_history_is_complete(engines->software, now_ms)) {
        g_autoptr(GArray) list = list_recent(engines, service, now_ms);
        sole = list->len == 1 ? g_array_index(list, uint64_t, 0) : 0;
    }
    g_mutex_unlock(&engines->lock);
    return sole;
}

uint64_t hs_fleet_engines_software_as_of_ms(hs_fleet_engines *engines) {
    g_mutex_lock(&engines->lock);
    bool is_complete = hs_software_history_is_complete(engines->software, hs_clock_monotonic_ms());
    uint64_t as_of_ms = is_complete ? engines->list_as_of_ms : 0;
    g_mutex_unlock(&engines->lock);
    return as_of_ms;
}

static void free_list(gpointer data) {
    g_array_unref(data);
}

GHashTable *hs_fleet_engines_list_software(hs_fleet_engines *engines) {
    GHashTable *services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_list);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    uint64_t now_ms = hs_clock_monotonic_ms();
    bool is_known = engines->is_list_known;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (is_known && g_hash_table_iter_next(&iterator, NULL, &value)) {
        const char *service = ((const hs_fleet_engine *)value)->entry.service;
        if (!g_hash_table_contains(services, service))
            g_hash_table_insert(services, g_strdup(service), list_recent(engines, service, now_ms));
    }
    g_mutex_unlock(&engines->lock);
    if (is_known)
        return services;
    g_hash_table_destroy(services);
    return NULL;
}

void hs_fleet_engines_add_past_software(hs_fleet_engines *engines, const char *service,
                                        uint64_t software) {
    g_mutex_lock(&engines->lock);
    hs_software_history_note_removed(engines->software, service, software, hs_clock_monotonic_ms());
    g_mutex_unlock(&engines->lock);
}

void hs_fleet_engines_inherit_software(hs_fleet_engines *engines, const char *service,
                                       const char *before) {
    g_mutex_lock(&engines->lock);
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_autoptr(GArray) list = list_recent(engines, before, now_ms);
    for (guint index = 0; index < list->len; index++)
        hs_software_history_note_removed(engines->software, service,
                                         g_array_index(list, uint64_t, index), now_ms);
    g_mutex_unlock(&engines->lock);
}

void hs_fleet_engines_note_past_software_added(hs_fleet_engines *engines) {
    g_mutex_lock(&engines->lock);
    hs_software_history_note_complete(engines->software, 0);
    g_mutex_unlock(&engines->lock);
}

GArray *hs_fleet_engines_list_addresses(hs_fleet_engines *engines, const char *service) {
    GArray *addresses = g_array_new(FALSE, FALSE, sizeof(hs_engine_address));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        hs_engine_address address = {.address = engine->entry.address,
                                     .port = engine->entry.port,
                                     .software = engine->software,
                                     .started_at_ms = engine->entry.started_at_ms};
        if (strcmp(engine->entry.service, service) == 0)
            g_array_append_val(addresses, address);
    }
    g_mutex_unlock(&engines->lock);
    return addresses;
}
