/** @file scheduler_engines.c  Assignment of engines to this daemon's scheduler. */
#include "config/config_object.h"
#include "scheduling/scheduler_state.h"

#include <string.h>

#define ASSIGN_INTERVAL_MS 250
#define LOAD_EXPIRY_MS 10000

static void add_models(GPtrArray *models, const hs_engine_group *group) {
    for (guint index = 0; index < group->models->len; index++)
        g_ptr_array_add(models, g_strdup(group->models->pdata[index]));
}

/** Sets the models of the batch groups whose selector matches the engine's labels. */
static void refresh_models(hs_batch_engine *engine, const hs_config_view *view,
                           const json_t *labels) {
    g_ptr_array_set_size(engine->models, 0);
    for (guint index = 0; index < view->groups->len; index++) {
        const hs_engine_group *group = view->groups->pdata[index];
        if (group->batch && hs_selector_matches(group->selector, labels))
            add_models(engine->models, group);
    }
}

static bool is_scheduled_here(hs_scheduler *scheduler, const hs_engine_info *info) {
    hs_membership *membership = hs_membership_service_lock(scheduler->context.membership);
    const hs_member *first = hs_membership_rank_first(membership, info->id, info->zone);
    bool here = first == hs_membership_self(membership);
    hs_membership_service_unlock(scheduler->context.membership);
    return here;
}

static hs_batch_engine *find_or_add_engine(hs_scheduler *scheduler, const char *engine_id,
                                           const char *url) {
    hs_batch_engine *engine = g_hash_table_lookup(scheduler->engines, engine_id);
    if (engine != NULL)
        return engine;
    engine = hs_batch_engine_new(engine_id, url);
    g_hash_table_insert(scheduler->engines, engine->id, engine);
    return engine;
}

static bool is_edge_live(const char *edge_id, void *user_data) {
    const hs_member *member = hs_membership_find(user_data, edge_id);
    return member != NULL && member->state != HS_MEMBER_DEAD;
}

static void prune_loads(hs_scheduler *scheduler, uint64_t now_ms) {
    hs_membership *membership = hs_membership_service_lock(scheduler->context.membership);
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &data))
        hs_online_load_prune(&((hs_batch_engine *)data)->load, is_edge_live, membership, now_ms,
                             LOAD_EXPIRY_MS);
    hs_membership_service_unlock(scheduler->context.membership);
}

static assignment_versions read_versions(hs_scheduler *scheduler) {
    hs_membership *membership = hs_membership_service_lock(scheduler->context.membership);
    assignment_versions versions = {.live_version = hs_membership_live_version(membership)};
    hs_membership_service_unlock(scheduler->context.membership);
    versions.engines_version = hs_engine_table_version(scheduler->context.engines);
    versions.config_offset = hs_config_store_offset(scheduler->context.config);
    return versions;
}

/** Assigns engines and their models. Costs engines times members; called after changes only. */
static void reassign_engines(hs_scheduler *scheduler, uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &data))
        ((hs_batch_engine *)data)->assigned = false;
    hs_config_view *view = hs_config_store_acquire_view(scheduler->context.config);
    GArray *infos = hs_engine_table_infos(scheduler->context.engines, now_ms);
    for (guint index = 0; index < infos->len; index++) {
        const hs_engine_info *info = &g_array_index(infos, hs_engine_info, index);
        if (!is_scheduled_here(scheduler, info))
            continue;
        hs_batch_engine *engine = find_or_add_engine(scheduler, info->id, info->url);
        g_strlcpy(engine->url, info->url, sizeof engine->url);
        engine->assigned = true;
        refresh_models(engine, view, info->labels);
    }
    hs_engine_infos_free(infos);
    hs_config_view_release(view);
}

/** Copies the assigned engines for other threads. */
static void publish_scheduled(hs_scheduler *scheduler) {
    g_mutex_lock(&scheduler->counter_lock);
    g_array_set_size(scheduler->scheduled, 0);
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_batch_engine *engine = data;
        hs_scheduled_engine published = {{0}, {0}};
        g_strlcpy(published.id, engine->id, sizeof published.id);
        g_strlcpy(published.url, engine->url, sizeof published.url);
        if (engine->assigned)
            g_array_append_val(scheduler->scheduled, published);
    }
    g_mutex_unlock(&scheduler->counter_lock);
}

/** Updates which engines to avoid. Returns the number of assigned engines. */
static uint32_t refresh_engines(hs_scheduler *scheduler, uint64_t now_ms) {
    uint32_t assigned = 0;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        hs_batch_engine *engine = data;
        engine->leaving =
            hs_engine_table_is_avoided(scheduler->context.engines, engine->id, now_ms);
        assigned += engine->assigned;
    }
    return assigned;
}

void hs_scheduler_assign_engines(hs_scheduler *scheduler, uint64_t now_ms) {
    if (now_ms < scheduler->next_assign_ms)
        return;
    scheduler->next_assign_ms = now_ms + ASSIGN_INTERVAL_MS;
    assignment_versions versions = read_versions(scheduler);
    if (memcmp(&versions, &scheduler->assigned_versions, sizeof versions) != 0) {
        scheduler->assigned_versions = versions;
        reassign_engines(scheduler, now_ms);
        publish_scheduled(scheduler);
    }
    uint32_t assigned = refresh_engines(scheduler, now_ms);
    prune_loads(scheduler, now_ms);
    g_mutex_lock(&scheduler->counter_lock);
    scheduler->counters.engines = assigned;
    scheduler->counters.running = scheduler->items->len - scheduler->queued->len;
    scheduler->counters.queued = scheduler->queued->len;
    g_mutex_unlock(&scheduler->counter_lock);
}
