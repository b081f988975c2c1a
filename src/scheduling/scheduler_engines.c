/** @file scheduler_engines.c  Which engines this daemon schedules, and what they serve. */
#include "config/config_object.h"
#include "scheduling/scheduler_state.h"

#include <string.h>

#define ASSIGN_INTERVAL_MS 250
#define LOAD_STALE_MS 10000

static void add_models(GPtrArray *models, const hs_engine_group *group) {
    for (guint index = 0; index < group->models->len; index++)
        g_ptr_array_add(models, g_strdup(group->models->pdata[index]));
}

/** Models of the batch groups whose selector the engine's labels match. */
static void refresh_models(hs_engine_slot *slot, const hs_config_view *view, const json_t *labels) {
    g_ptr_array_set_size(slot->models, 0);
    for (guint index = 0; index < view->groups->len; index++) {
        const hs_engine_group *group = view->groups->pdata[index];
        if (group->batch && hs_selector_matches(group->selector, labels))
            add_models(slot->models, group);
    }
}

static bool is_scheduled_here(hs_scheduler *scheduler, const hs_engine_info *info) {
    hs_membership *membership = hs_membership_service_lock(scheduler->context.membership);
    const hs_member *first = hs_membership_rank_first(membership, info->id, info->zone);
    bool here = first == hs_membership_self(membership);
    hs_membership_service_unlock(scheduler->context.membership);
    return here;
}

static hs_engine_slot *slot_of(hs_scheduler *scheduler, const char *engine_id, const char *url) {
    hs_engine_slot *slot = g_hash_table_lookup(scheduler->slots, engine_id);
    if (slot != NULL)
        return slot;
    slot = hs_engine_slot_new(engine_id, url);
    g_hash_table_insert(scheduler->slots, slot->id, slot);
    return slot;
}

static bool edge_is_live(const char *edge_id, void *user_data) {
    const hs_member *member = hs_membership_find(user_data, edge_id);
    return member != NULL && member->state != HS_MEMBER_DEAD;
}

static void prune_loads(hs_scheduler *scheduler, uint64_t now_ms) {
    hs_membership *membership = hs_membership_service_lock(scheduler->context.membership);
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->slots);
    while (g_hash_table_iter_next(&iterator, NULL, &data))
        hs_online_load_prune(&((hs_engine_slot *)data)->load, edge_is_live, membership, now_ms,
                             LOAD_STALE_MS);
    hs_membership_service_unlock(scheduler->context.membership);
}

/** What the assignment was worked out from. */
static assignment_basis read_basis(hs_scheduler *scheduler) {
    hs_membership *membership = hs_membership_service_lock(scheduler->context.membership);
    assignment_basis basis = {.live_version = hs_membership_live_version(membership)};
    hs_membership_service_unlock(scheduler->context.membership);
    basis.engines_version = hs_engine_table_version(scheduler->context.engines);
    basis.config_offset = hs_config_store_offset(scheduler->context.config);
    return basis;
}

/** Which engines are ours and what they serve: engines times members, so only after a change. */
static void reassign_engines(hs_scheduler *scheduler, uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->slots);
    while (g_hash_table_iter_next(&iterator, NULL, &data))
        ((hs_engine_slot *)data)->assigned = false;
    hs_config_view *view = hs_config_store_view(scheduler->context.config);
    GArray *infos = hs_engine_table_infos(scheduler->context.engines, now_ms);
    for (guint index = 0; index < infos->len; index++) {
        const hs_engine_info *info = &g_array_index(infos, hs_engine_info, index);
        if (!is_scheduled_here(scheduler, info))
            continue;
        hs_engine_slot *slot = slot_of(scheduler, info->id, info->url);
        g_strlcpy(slot->url, info->url, sizeof slot->url);
        slot->assigned = true;
        refresh_models(slot, view, info->labels);
    }
    hs_engine_infos_free(infos);
    hs_config_view_release(view);
}

/** Let other threads know which engines are ours. */
static void publish_scheduled(hs_scheduler *scheduler) {
    g_mutex_lock(&scheduler->counter_lock);
    g_array_set_size(scheduler->scheduled, 0);
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->slots);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_engine_slot *slot = data;
        hs_scheduled_engine engine = {{0}, {0}};
        g_strlcpy(engine.id, slot->id, sizeof engine.id);
        g_strlcpy(engine.url, slot->url, sizeof engine.url);
        if (slot->assigned)
            g_array_append_val(scheduler->scheduled, engine);
    }
    g_mutex_unlock(&scheduler->counter_lock);
}

/** Note which of our engines are to be avoided. @return engines that are ours. */
static uint32_t refresh_slots(hs_scheduler *scheduler, uint64_t now_ms) {
    uint32_t assigned = 0;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->slots);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        hs_engine_slot *slot = data;
        slot->leaving = hs_engine_table_is_avoided(scheduler->context.engines, slot->id, now_ms);
        assigned += slot->assigned;
    }
    return assigned;
}

void hs_scheduler_assign_engines(hs_scheduler *scheduler, uint64_t now_ms) {
    if (now_ms < scheduler->next_assign_ms)
        return;
    scheduler->next_assign_ms = now_ms + ASSIGN_INTERVAL_MS;
    assignment_basis basis = read_basis(scheduler);
    if (memcmp(&basis, &scheduler->basis, sizeof basis) != 0) {
        scheduler->basis = basis;
        reassign_engines(scheduler, now_ms);
        publish_scheduled(scheduler);
    }
    uint32_t assigned = refresh_slots(scheduler, now_ms);
    prune_loads(scheduler, now_ms);
    g_mutex_lock(&scheduler->counter_lock);
    scheduler->counters.engines = assigned;
    scheduler->counters.running = scheduler->items->len - scheduler->queued->len;
    scheduler->counters.queued = scheduler->queued->len;
    g_mutex_unlock(&scheduler->counter_lock);
}
