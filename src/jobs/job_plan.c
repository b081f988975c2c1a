/** @file job_plan.c  See job_plan.h. */
#include "jobs/job_plan.h"

#include "jobs/item_choice.h"

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

/** Those that are to end in time before the others; of these the shortest first. */
static gint by_plan(gconstpointer first, gconstpointer second) {
    const hs_open_item *one = first;
    const hs_open_item *other = second;
    bool one_late = one->slack_ms == HS_SLACK_LATE;
    bool other_late = other->slack_ms == HS_SLACK_LATE;
    if (one_late != other_late)
        return one_late ? 1 : -1;
    if (!one_late)
        return by_due_time(first, second);
    if (one->remaining_ms != other->remaining_ms)
        return one->remaining_ms < other->remaining_ms ? -1 : 1;
    return 0;
}

/**
 * Slots for this daemon's items: what online requests leave, by its part of all daemons' work that
 * is to end in time.
 */
static double own_slots(hs_job_owner *owner, const char *service, uint64_t own_work_ms) {
    hs_service_room room = hs_fleet_engines_room(owner->settings.engines, service);
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

void hs_job_plan_make(hs_job_owner *owner, GArray *open) {
    g_array_sort(open, by_due_time);
    g_autofree hs_choice_item *items = g_new0(hs_choice_item, open->len + 1);
    for (guint index = 0; index < open->len; index++) {
        const hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        items[index].left_ms = entry->left_ms;
        items[index].remaining_ms = entry->remaining_ms;
    }
    uint64_t work_ms = 0;
    if (open->len > 0) {
        const char *service = g_array_index(open, hs_open_item, 0).service;
        double slots = own_slots(owner, service, sum_work(items, open->len));
        work_ms = hs_item_choice_make(items, open->len, slots);
    }
    hs_fleet_engines_set_batch_work(owner->settings.engines, work_ms);
    for (guint index = 0; index < open->len; index++) {
        hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        entry->slack_ms = items[index].is_left_out
                              ? HS_SLACK_LATE
                              : hs_item_slack_ms(entry->left_ms, entry->remaining_ms);
    }
    g_array_sort(open, by_plan);
}
