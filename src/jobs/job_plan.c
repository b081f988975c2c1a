/** @file job_plan.c  See job_plan.h. */
#include "jobs/job_plan.h"

#include <math.h>

/** Weight of the latest pass in the mean of online requests: a mean over some five seconds. */
#define ONLINE_WEIGHT 0.02
/** Share of the slots that do work: some stand empty between a run's end and the next start. */
#define SLOTS_USED 0.9

static gint by_due_time(gconstpointer first, gconstpointer second) {
    const hs_open_item *one = first;
    const hs_open_item *other = second;
    if (one->left_ms != other->left_ms)
        return one->left_ms < other->left_ms ? -1 : 1;
    return 0;
}

static gint by_rank(gconstpointer first, gconstpointer second) {
    const hs_open_item *one = first;
    const hs_open_item *other = second;
    if (one->rank_ms != other->rank_ms)
        return one->rank_ms < other->rank_ms ? -1 : 1;
    return 0;
}

int32_t hs_job_plan_rank(const hs_choice_item *item) {
    int64_t rank_ms = item->left_ms + (int64_t)item->remaining_ms;
    if (item->is_left_out)
        rank_ms = HS_RANK_LEFT_OUT + (int64_t)item->remaining_ms;
    else if (item->is_dealt)
        rank_ms = item->left_ms - (int64_t)item->remaining_ms;
    return (int32_t)CLAMP(rank_ms, 0, G_MAXINT32);
}

/**
 * Slots for this daemon's items: what online requests leave, by its part of all daemons' work that
 * is to end in time.
 */
static double own_slots(hs_job_owner *owner, const char *service, uint64_t own_work_ms) {
    hs_service_capacity room = hs_fleet_engines_capacity(owner->settings.engines, service);
    owner->online_mean += (room.online - owner->online_mean) * ONLINE_WEIGHT;
    double slots = fmax(room.slots - owner->online_mean, 1.0) * SLOTS_USED;
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

/** The one claimant that all jobs without a tenant make: this ends most items in time. */
#define NOBODY ""

/** Numbers for whose items these are: their tenants. */
static void number_claimants(const GArray *open, hs_choice_item *items) {
    g_autoptr(GHashTable) numbers = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint index = 0; index < open->len; index++) {
        const hs_item_run *run = g_array_index(open, hs_open_item, index).item->run;
        const char *claimant = run->tenant != NULL ? run->tenant : NOBODY;
        gpointer number = GUINT_TO_POINTER(g_hash_table_size(numbers));
        if (!g_hash_table_lookup_extended(numbers, claimant, NULL, &number))
            g_hash_table_insert(numbers, (gpointer)claimant, number);
        items[index].claimant = GPOINTER_TO_UINT(number);
    }
}

/**
 * Where one item cannot wait none does: what the others leave for later is taken from those that
 * come next. @p open is in order of rank.
 */
static void mark_pressing(GArray *open, double slots) {
    g_autofree hs_choice_item *items = g_new0(hs_choice_item, open->len + 1);
    for (guint index = 0; index < open->len; index++) {
        const hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        bool is_running = entry->item->stage == HS_ITEM_RUNNING; /* 0: it is about to end. */
        uint64_t least_ms = is_running ? 1 : 0;
        items[index] = (hs_choice_item){.left_ms = entry->left_ms,
                                        .remaining_ms = MAX(entry->remaining_ms, least_ms),
                                        .is_left_out = entry->rank_ms >= HS_RANK_LEFT_OUT};
    }
    bool is_pressing = hs_item_choice_is_scarce(items, open->len, slots);
    for (guint index = 0; index < open->len; index++)
        g_array_index(open, hs_open_item, index).is_pressing = is_pressing;
}

void hs_job_plan_make(hs_job_owner *owner, GArray *open) {
    g_array_sort(open, by_due_time);
    g_autofree hs_choice_item *items = g_new0(hs_choice_item, open->len + 1);
    for (guint index = 0; index < open->len; index++) {
        const hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        items[index].left_ms = entry->left_ms;
        items[index].remaining_ms = entry->remaining_ms;
    }
    number_claimants(open, items);
    uint64_t work_ms = 0;
    double slots = 0;
    if (open->len > 0) {
        const char *service = g_array_index(open, hs_open_item, 0).service;
        slots = own_slots(owner, service, sum_work(items, open->len));
        work_ms = hs_item_choice_make(items, open->len, slots);
    }
    hs_fleet_engines_set_batch_work(owner->settings.engines, work_ms);
    for (guint index = 0; index < open->len; index++) {
        hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        entry->rank_ms = hs_job_plan_rank(&items[index]);
    }
    g_array_sort(open, by_rank);
    mark_pressing(open, slots);
}
