/** @file job_starts.c  See job_starts.h. */
#include "jobs/job_starts.h"

#include "base/clock.h"
#include "base/log.h"
#include "jobs/job_regions.h"
#include "jobs/job_room.h"

/** Minimum interval between log lines about a failed forecast of one service. */
#define FORECAST_LOG_INTERVAL_MS 1000

hs_service_starts *hs_job_starts_for_group(hs_job_owner *owner, const char *group) {
    hs_service_starts *starts = g_hash_table_lookup(owner->services, group);
    if (starts == NULL) {
        starts = g_new0(hs_service_starts, 1);
        g_hash_table_insert(owner->services, (gpointer)group, starts);
    }
    return starts;
}

/** Records once for each start whether the item reached an engine. */
static void record_send(hs_service_starts *starts, hs_owned_item *item, bool has_succeeded) {
    if (item->is_send_recorded)
        return;
    item->is_send_recorded = true;
    hs_start_throttle_record(&starts->start_throttle, has_succeeded);
}

/** Records once for each start that the item ran for at least HS_MIN_USEFUL_RUN_MS. */
static void record_useful_run(hs_service_starts *starts, hs_owned_item *item) {
    if (!item->is_useful_run_recorded)
        hs_start_throttle_record(&starts->useful_run_throttle, true);
    item->is_useful_run_recorded = true;
}

void hs_job_starts_note_end(hs_job_owner *owner, const hs_item_task *task,
                            hs_item_attempt_end end) {
    hs_owned_item *item = task->item;
    uint64_t ran_ms = hs_clock_monotonic_ms() - item->started_ms;
    bool is_preempted = end == HS_ITEM_ATTEMPT_PREEMPTED && item->run->was_sent;
    bool is_rejected =
        end == HS_ITEM_ATTEMPT_NO_CAPACITY || (end == HS_ITEM_ATTEMPT_PREEMPTED && !is_preempted);
    owner->rejected_starts += is_rejected;
    owner->early_preemptions += is_preempted && ran_ms < HS_MIN_USEFUL_RUN_MS;
    owner->late_preemptions += is_preempted && ran_ms >= HS_MIN_USEFUL_RUN_MS;
    if (task->group == NULL)
        return;
    hs_service_starts *starts = hs_job_starts_for_group(owner, task->group);
    if (is_rejected)
        record_send(starts, item, false);
    if (is_preempted) /* Counts even after a long run: the engines are filling up. */
        hs_start_throttle_record(&starts->useful_run_throttle, false);
}

/** Records the starts of running items as successful once they have run for long enough. */
static void record_running(hs_job_owner *owner, const GArray *open) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    for (guint index = 0; index < open->len; index++) {
        const hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        if (entry->item->stage != HS_ITEM_RUNNING || entry->group == NULL)
            continue;
        hs_service_starts *starts = hs_job_starts_for_group(owner, entry->group);
        uint64_t ran_ms = now_ms - entry->item->started_ms;
        if (ran_ms >= HS_JOB_PASS_INTERVAL_MS)
            record_send(starts, entry->item, true);
        if (ran_ms >= HS_MIN_USEFUL_RUN_MS)
            record_useful_run(starts, entry->item);
    }
}

void hs_job_owner_write_metrics(hs_job_owner *owner, GString *text) {
    GHashTableIter iterator;
    gpointer service = NULL;
    gpointer value = NULL;
    g_mutex_lock(&owner->lock);
    g_string_append_printf(text,
                           "heathsail_job_item_cuts{cause=\"soon\"} %" G_GUINT64_FORMAT "\n"
                           "heathsail_job_item_cuts{cause=\"later\"} %" G_GUINT64_FORMAT "\n"
                           "heathsail_job_item_cuts{cause=\"not_sent\"} %" G_GUINT64_FORMAT "\n"
                           "heathsail_job_partitions_held %u\n",
                           (guint64)owner->early_preemptions, (guint64)owner->late_preemptions,
                           (guint64)owner->rejected_starts, owner->held_partitions);
    hs_job_regions_write_metrics(&owner->region_waits, text);
    g_hash_table_iter_init(&iterator, owner->services);
    while (g_hash_table_iter_next(&iterator, &service, &value)) {
        const hs_service_starts *starts = value;
        g_string_append_printf(text,
                               "heathsail_demand_forecast_slots{service=\"%s\"} %.1f\n"
                               "heathsail_demand_came_slots{service=\"%s\"} %.1f\n"
                               "heathsail_job_starts_tried_share{service=\"%s\"} %.2f\n",
                               (const char *)service, starts->expected_online,
                               (const char *)service, starts->outlook.current,
                               (const char *)service,
                               1 - starts->useful_run_throttle.withheld_share);
    }
    g_mutex_unlock(&owner->lock);
}

static void log_failed_forecast(hs_service_starts *starts, const char *service, uint64_t now_ms) {
    if (!starts->outlook.has_failed ||
        now_ms < starts->forecast_failure_logged_ms + FORECAST_LOG_INTERVAL_MS)
        return;
    starts->forecast_failure_logged_ms = now_ms;
    hs_log_info("demand_forecast_failed",
                "service=%s online=%.1f expected=%.1f away_ms=%" G_GUINT64_FORMAT
                " longest_ms=%" G_GUINT64_FORMAT " outcome=current_demand_assumed",
                service, starts->outlook.current, starts->outlook.high_level,
                (guint64)starts->outlook.below_high_ms, (guint64)starts->outlook.longest_gap_ms);
}

static void record_online(hs_service_starts *starts, const char *group, double online,
                          uint64_t now_ms) {
    hs_demand_forecast_note(&starts->demand, online, now_ms);
    starts->outlook = hs_demand_forecast_read(&starts->demand);
    starts->expected_online = hs_demand_outlook_expect(&starts->outlook, HS_MIN_USEFUL_RUN_MS);
    log_failed_forecast(starts, group, now_ms);
}

/**
 * Records the current online demand in the allowed regions of each group of restricted items. A
 * group without open items is left out, since its regions may have changed.
 */
static void record_restricted_demand(hs_job_owner *owner, const GArray *open) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_autoptr(GHashTable) seen = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (guint index = 0; index < open->len; index++) {
        const hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        if (entry->group == NULL || !hs_region_policy_is_restricted(&entry->regions) ||
            !g_hash_table_add(seen, (gpointer)entry->group))
            continue;
        hs_service_starts *starts = hs_job_starts_for_group(owner, entry->group);
        starts->is_restricted = true;
        hs_service_capacity capacity =
            hs_fleet_engines_capacity_in(owner->settings.engines, entry->service, &entry->regions);
        record_online(starts, entry->group, capacity.online, now_ms);
    }
}

/** Records the current online demand of each service that has had items at this owner. */
static void record_demand(hs_job_owner *owner) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    GHashTableIter iterator;
    gpointer service = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, owner->services);
    while (g_hash_table_iter_next(&iterator, &service, &value)) {
        hs_service_starts *starts = value;
        if (starts->is_restricted)
            continue;
        hs_service_capacity capacity = hs_fleet_engines_capacity(owner->settings.engines, service);
        record_online(starts, service, capacity.online, now_ms);
    }
}

void hs_job_starts_observe(hs_job_owner *owner, const GArray *open) {
    record_restricted_demand(owner, open);
    record_demand(owner);
    record_running(owner, open);
}
