/** @file job_plan.c  See job_plan.h. */
#include "jobs/job_plan.h"

#include <math.h>

/** Weight of the latest pass in the exponential mean of slots used by online requests. */
#define ONLINE_MEAN_WEIGHT 0.02
/** Usable share of the slots: a slot is idle between the end of a run and the next start. */
#define USABLE_SLOTS_SHARE 0.9

static gint by_deadline(gconstpointer first, gconstpointer second) {
    const hs_open_item *left = first;
    const hs_open_item *right = second;
    if (left->left_ms != right->left_ms)
        return left->left_ms < right->left_ms ? -1 : 1;
    return 0;
}

static gint by_rank(gconstpointer first, gconstpointer second) {
    const hs_open_item *left = first;
    const hs_open_item *right = second;
    if (left->rank_ms != right->rank_ms)
        return left->rank_ms < right->rank_ms ? -1 : 1;
    return 0;
}

int32_t hs_job_plan_rank(const hs_choice_item *item) {
    int64_t rank_ms = item->left_ms + (int64_t)item->remaining_ms;
    if (item->is_excluded)
        rank_ms = HS_EXCLUDED_RANK_BASE + (int64_t)item->remaining_ms;
    else if (item->is_allocated)
        rank_ms = item->left_ms - (int64_t)item->remaining_ms;
    return (int32_t)CLAMP(rank_ms, 0, G_MAXINT32);
}

/**
 * Returns the slots available to this daemon's items: the slots that online requests leave free,
 * shared among daemons in proportion to the work of their items.
 */
static double estimate_own_slots(hs_job_owner *owner, const char *service, uint64_t own_work_ms) {
    hs_service_capacity capacity = hs_fleet_engines_capacity(owner->settings.engines, service);
    owner->mean_online_slots += (capacity.online - owner->mean_online_slots) * ONLINE_MEAN_WEIGHT;
    double slots = fmax(capacity.slots - owner->mean_online_slots, 1.0) * USABLE_SLOTS_SHARE;
    double peers_ms = hs_fleet_engines_peers_batch_work(owner->settings.engines);
    double all_ms = (double)own_work_ms + peers_ms;
    return all_ms > 0 ? slots * (double)own_work_ms / all_ms : slots;
}

static uint64_t sum_work(const hs_choice_item *items, size_t count) {
    uint64_t work_ms = 0;
    for (size_t index = 0; index < count; index++)
        work_ms += items[index].remaining_ms;
    return work_ms;
}

/** All jobs without a tenant form one group: this maximises the items that end in time. */
#define NO_TENANT ""

/** Assigns each item the index of its tenant's group. */
static void assign_tenant_groups(const GArray *open, hs_choice_item *items) {
    g_autoptr(GHashTable) group_indexes = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint index = 0; index < open->len; index++) {
        const hs_item_run *run = g_array_index(open, hs_open_item, index).item->run;
        const char *tenant = run->tenant != NULL ? run->tenant : NO_TENANT;
        gpointer group_index = GUINT_TO_POINTER(g_hash_table_size(group_indexes));
        if (!g_hash_table_lookup_extended(group_indexes, tenant, NULL, &group_index))
            g_hash_table_insert(group_indexes, (gpointer)tenant, group_index);
        items[index].tenant_group = GPOINTER_TO_UINT(group_index);
    }
}

/**
 * Marks all items as urgent if any of them cannot wait for more capacity: slots left free now are
 * missing for the items that follow. @p open is sorted by rank.
 */
static void mark_urgent(GArray *open, double slots) {
    g_autofree hs_choice_item *items = g_new0(hs_choice_item, open->len + 1);
    for (guint index = 0; index < open->len; index++) {
        const hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        /* For a running item, 0 means that it is about to end, not that its time is unknown. */
        bool is_running = entry->item->stage == HS_ITEM_RUNNING;
        uint64_t min_ms = is_running ? 1 : 0;
        items[index] = (hs_choice_item){.left_ms = entry->left_ms,
                                        .remaining_ms = MAX(entry->remaining_ms, min_ms),
                                        .is_excluded = entry->rank_ms >= HS_EXCLUDED_RANK_BASE};
    }
    bool is_urgent = hs_item_choice_is_capacity_scarce(items, open->len, slots);
    for (guint index = 0; index < open->len; index++)
        g_array_index(open, hs_open_item, index).is_urgent = is_urgent;
}

void hs_job_plan_make(hs_job_owner *owner, GArray *open) {
    g_array_sort(open, by_deadline);
    g_autofree hs_choice_item *items = g_new0(hs_choice_item, open->len + 1);
    for (guint index = 0; index < open->len; index++) {
        const hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        items[index].left_ms = entry->left_ms;
        items[index].remaining_ms = entry->remaining_ms;
    }
    assign_tenant_groups(open, items);
    uint64_t work_ms = 0;
    double slots = 0;
    if (open->len > 0) {
        const char *service = g_array_index(open, hs_open_item, 0).service;
        slots = estimate_own_slots(owner, service, sum_work(items, open->len));
        work_ms = hs_item_choice_select(items, open->len, slots);
    }
    hs_fleet_engines_set_batch_work(owner->settings.engines, work_ms);
    for (guint index = 0; index < open->len; index++) {
        hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        entry->rank_ms = hs_job_plan_rank(&items[index]);
    }
    g_array_sort(open, by_rank);
    mark_urgent(open, slots);
}
