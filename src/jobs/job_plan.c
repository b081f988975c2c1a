/** @file job_plan.c  See job_plan.h. */
#include "jobs/job_plan.h"

#include "jobs/job_starts.h"

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

/** Returns the mean of the slots that online requests use of those available to the items. */
static double *mean_online_slots_of(hs_job_owner *owner, const hs_open_item *entry) {
    return hs_region_policy_is_restricted(&entry->regions)
               ? &hs_job_starts_for_group(owner, entry->group)->mean_online_slots
               : &owner->mean_online_slots;
}

/**
 * Returns the slots available to this daemon's items that may use the engines of @p entry: the
 * slots that online requests leave free, shared among daemons in proportion to the work of their
 * items.
 */
static double estimate_own_slots(hs_job_owner *owner, const hs_open_item *entry,
                                 uint64_t own_work_ms) {
    hs_service_capacity capacity =
        hs_fleet_engines_capacity_in(owner->settings.engines, entry->service, &entry->regions);
    double *mean_online_slots = mean_online_slots_of(owner, entry);
    *mean_online_slots += (capacity.online - *mean_online_slots) * ONLINE_MEAN_WEIGHT;
    double slots = fmax(capacity.slots - *mean_online_slots, 1.0) * USABLE_SLOTS_SHARE;
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

/** Returns the first item that has a service, or NULL. */
static const hs_open_item *find_item_with_service(const GArray *open) {
    for (guint index = 0; index < open->len; index++)
        if (g_array_index(open, hs_open_item, index).service != NULL)
            return &g_array_index(open, hs_open_item, index);
    return NULL;
}

/** Plans items that may use the same engines. Returns the work of those selected. */
static uint64_t plan_group(hs_job_owner *owner, GArray *open) {
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
    const hs_open_item *first = find_item_with_service(open);
    if (first != NULL)
        slots = estimate_own_slots(owner, first, sum_work(items, open->len));
    if (open->len > 0)
        work_ms = hs_item_choice_select(items, open->len, slots);
    for (guint index = 0; index < open->len; index++) {
        hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        entry->rank_ms = hs_job_plan_rank(&items[index]);
    }
    g_array_sort(open, by_rank);
    mark_urgent(open, slots);
    return work_ms;
}

static void free_array(gpointer data) {
    g_array_free(data, TRUE);
}

/** Moves the restricted items out of @p open: group (interned) -> GArray* of hs_open_item. */
static GHashTable *take_restricted(GArray *open) {
    GHashTable *groups = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_array);
    guint kept = 0;
    for (guint index = 0; index < open->len; index++) {
        hs_open_item entry = g_array_index(open, hs_open_item, index);
        if (entry.group == NULL || !hs_region_policy_is_restricted(&entry.regions)) {
            g_array_index(open, hs_open_item, kept++) = entry;
            continue;
        }
        GArray *group = g_hash_table_lookup(groups, entry.group);
        if (group == NULL) {
            group = g_array_new(FALSE, FALSE, sizeof(hs_open_item));
            g_hash_table_insert(groups, (gpointer)entry.group, group);
        }
        g_array_append_val(group, entry);
    }
    g_array_set_size(open, kept);
    return groups;
}

/**
 * Returns the work to announce for a planned group: none if no engine is ready, so that items that
 * wait for their regions take no share of the slots from others.
 */
static uint64_t announced_work(hs_job_owner *owner, const GArray *group, uint64_t work_ms) {
    const hs_open_item *first = &g_array_index(group, hs_open_item, 0);
    hs_service_capacity capacity =
        hs_fleet_engines_capacity_in(owner->settings.engines, first->service, &first->regions);
    return capacity.ready > 0 ? work_ms : 0;
}

void hs_job_plan_make(hs_job_owner *owner, GArray *open) {
    g_autoptr(GHashTable) groups = take_restricted(open);
    uint64_t work_ms = plan_group(owner, open);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, groups);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        GArray *group = value;
        work_ms += announced_work(owner, group, plan_group(owner, group));
        g_array_append_vals(open, group->data, group->len);
    }
    hs_fleet_engines_set_batch_work(owner->settings.engines, work_ms);
    if (g_hash_table_size(groups) > 0)
        g_array_sort(open, by_rank);
}
