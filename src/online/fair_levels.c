/** @file fair_levels.c  See fair_levels.h. */
#include "online/fair_levels.h"

#include <glib.h>

/** Up to so many times the level a tenant's returning callers are not refused. */
#define RETURNS_PASS_TIMES 2

struct hs_fair_levels {
    GMutex lock;
    GHashTable *by_service; /**< name -> hs_fair_level* */
};

hs_fair_levels *hs_fair_levels_new(void) {
    hs_fair_levels *levels = g_new0(hs_fair_levels, 1);
    g_mutex_init(&levels->lock);
    levels->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return levels;
}

void hs_fair_levels_free(hs_fair_levels *levels) {
    if (levels == NULL)
        return;
    g_hash_table_destroy(levels->by_service);
    g_mutex_clear(&levels->lock);
    g_free(levels);
}

/** The caller holds the lock. */
static hs_fair_level *level_of(hs_fair_levels *levels, const char *service) {
    hs_fair_level *level = g_hash_table_lookup(levels->by_service, service);
    if (level != NULL)
        return level;
    level = g_new0(hs_fair_level, 1);
    g_hash_table_insert(levels->by_service, g_strdup(service), level);
    return level;
}

hs_fair_verdict hs_fair_levels_judge(hs_fair_levels *levels, const hs_fair_request *request,
                                     const hs_service_pressure *pressure, uint32_t slots,
                                     uint64_t now_ms) {
    g_mutex_lock(&levels->lock);
    hs_fair_level *level = level_of(levels, request->service);
    hs_fair_level_adapt(level, pressure, slots, now_ms);
    hs_fair_verdict verdict = {
        .is_over = hs_fair_level_is_over(level, request->used_slots, request->draw, pressure),
        .level_slots = level->slots,
        .return_ms = hs_fair_level_return_ms(level, request->used_slots)};
    g_mutex_unlock(&levels->lock);
    bool is_far_over = request->used_slots > RETURNS_PASS_TIMES * verdict.level_slots;
    if (request->returns && !is_far_over)
        verdict.is_over = false;
    return verdict;
}

char *hs_fair_levels_describe(hs_fair_levels *levels) {
    GString *text = g_string_new(NULL);
    GHashTableIter iterator;
    gpointer service = NULL;
    gpointer level = NULL;
    g_mutex_lock(&levels->lock);
    g_hash_table_iter_init(&iterator, levels->by_service);
    while (g_hash_table_iter_next(&iterator, &service, &level))
        g_string_append_printf(text, "heathsail_fair_level_slots{service=\"%s\"} %.2f\n",
                               (const char *)service, ((const hs_fair_level *)level)->slots);
    g_mutex_unlock(&levels->lock);
    return g_string_free(text, FALSE);
}
