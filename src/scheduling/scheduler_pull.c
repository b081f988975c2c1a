/** @file scheduler_pull.c  Requests items from partition owners and renews grants. */
#include "base/clock.h"
#include "scheduling/scheduler_state.h"

#define PULL_INTERVAL_MS 20
#define MAX_PULL_ITEMS 64

/**
 * Counts the free slots of all engines. Appends the models of engines with free slots to @p models;
 * the strings are borrowed.
 */
static uint32_t count_free_slots(hs_scheduler *scheduler, uint64_t now_ms, GPtrArray *models) {
    uint32_t free_slots = 0;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_batch_engine *engine = data;
        uint32_t engine_free_slots =
            hs_batch_engine_free_slot_count(engine, &scheduler->pacing, now_ms);
        free_slots += engine_free_slots;
        for (guint index = 0; engine_free_slots > 0 && index < engine->models->len; index++)
            if (!g_ptr_array_find_with_equal_func(models, engine->models->pdata[index], g_str_equal,
                                                  NULL))
                g_ptr_array_add(models, engine->models->pdata[index]);
    }
    return free_slots;
}

/** Returns the partitions whose owners report ready items. Free with g_array_unref. */
static GArray *ready_partitions(hs_scheduler *scheduler) {
    GArray *partitions = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership *membership = hs_membership_service_lock(scheduler->context.membership);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        if (!hs_member_is_live(member))
            continue;
        for (guint position = 0; position < member->owned->len; position++) {
            const hs_owned_partition *owned =
                &g_array_index(member->owned, hs_owned_partition, position);
            if (owned->has_ready_items)
                g_array_append_val(partitions, owned->partition);
        }
    }
    hs_membership_service_unlock(scheduler->context.membership);
    return partitions;
}

/** Counts the queued items that their grants allow to start. */
static uint32_t count_startable_items(const hs_scheduler *scheduler, uint64_t now_ms) {
    uint32_t count = 0;
    for (guint index = 0; index < scheduler->queued->len; index++) {
        const hs_batch_item *item = scheduler->queued->pdata[index];
        count += hs_held_grant_may_start(item->grant, now_ms);
    }
    return count;
}

void hs_scheduler_pull_items(hs_scheduler *scheduler, uint64_t now_ms) {
    if (now_ms < scheduler->next_pull_ms || g_atomic_int_get(&scheduler->draining) != 0)
        return;
    scheduler->next_pull_ms = now_ms + PULL_INTERVAL_MS;
    g_autoptr(GPtrArray) models = g_ptr_array_new();
    uint32_t free_slots = count_free_slots(scheduler, now_ms, models);
    uint32_t startable_items = count_startable_items(scheduler, now_ms);
    if (free_slots <= startable_items)
        return;
    g_autoptr(GArray) partitions = ready_partitions(scheduler);
    if (partitions->len == 0)
        return;
    uint32_t partition =
        g_array_index(partitions, uint32_t, scheduler->pull_sequence % partitions->len);
    Hs__PullRequest request = HS__PULL_REQUEST__INIT;
    request.partition = partition;
    request.want = MIN(free_slots - startable_items, MAX_PULL_ITEMS);
    request.sequence = ++scheduler->pull_sequence;
    request.sent_ms = hs_clock_monotonic_ms();
    request.n_models = models->len;
    request.models = (char **)models->pdata;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_PULL_REQUEST;
    message.pull_request = &request;
    hs_membership_service_send_to_owner(scheduler->context.membership, partition, &message);
    COUNT(scheduler, pulls, 1);
}

static void renew_grant(hs_scheduler *scheduler, const hs_held_grant *grant) {
    Hs__GrantRef ref = HS__GRANT_REF__INIT;
    ref.partition = grant->partition;
    ref.epoch = grant->epoch;
    ref.grant_id = grant->grant_id;
    Hs__GrantRef *refs[] = {&ref};
    Hs__GrantRenew renew = HS__GRANT_RENEW__INIT;
    renew.n_grants = 1;
    renew.grants = refs;
    renew.sent_ms = hs_clock_monotonic_ms();
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_GRANT_RENEW;
    message.grant_renew = &renew;
    hs_membership_service_send_to_owner(scheduler->context.membership, grant->partition, &message);
}

void hs_scheduler_renew_grants(hs_scheduler *scheduler, uint64_t now_ms) {
    if (now_ms < scheduler->next_renew_ms)
        return;
    scheduler->next_renew_ms = now_ms + (uint64_t)scheduler->context.settings->grant_lease_ms / 3;
    g_autoptr(GHashTable) renewed = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (guint index = 0; index < scheduler->items->len; index++) {
        const hs_batch_item *item = scheduler->items->pdata[index];
        if (g_hash_table_add(renewed, item->grant))
            renew_grant(scheduler, item->grant);
    }
}
