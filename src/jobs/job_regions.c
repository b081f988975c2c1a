/** @file job_regions.c  See job_regions.h. */
#include "jobs/job_regions.h"

#include "base/clock.h"
#include "base/log.h"

/** Minimum interval between log lines about items that wait for their regions. */
#define LOG_INTERVAL_MS 5000

const char *hs_job_regions_group(const hs_region_policy *regions, const hs_fleet_route *route) {
    const char *service = g_array_index(route->shares, hs_route_share, 0).service;
    g_autofree char *group = hs_region_policy_group(regions, service);
    return g_intern_string(group);
}

/** Whether no engine in the item's regions is ready. Looked up once for each group of a pass. */
static bool lacks_engine(hs_job_owner *owner, const hs_open_item *entry, GHashTable *ready) {
    gpointer count = NULL;
    if (!g_hash_table_lookup_extended(ready, entry->group, NULL, &count)) {
        hs_service_capacity capacity =
            hs_fleet_engines_capacity_in(owner->settings.engines, entry->service, &entry->regions);
        count = GUINT_TO_POINTER(capacity.ready);
        g_hash_table_insert(ready, (gpointer)entry->group, count);
    }
    return GPOINTER_TO_UINT(count) == 0;
}

static void log_waits(hs_region_waits *waits, uint64_t now_ms) {
    if (waits->no_allowed_region + waits->no_engine_in_region + waits->no_daemon_in_region == 0 ||
        (waits->logged_ms != 0 && now_ms < waits->logged_ms + LOG_INTERVAL_MS))
        return;
    waits->logged_ms = now_ms;
    hs_log_info("items_wait_for_region",
                "no_allowed_region=%u no_engine_in_region=%u no_daemon_in_region=%u",
                waits->no_allowed_region, waits->no_engine_in_region, waits->no_daemon_in_region);
}

void hs_job_regions_observe(hs_job_owner *owner, const GArray *open) {
    hs_region_waits waits = {.no_daemon_in_region = owner->unrunnable_items,
                             .logged_ms = owner->region_waits.logged_ms};
    g_autoptr(GHashTable) ready = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (guint index = 0; index < open->len; index++) {
        const hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        if (entry->group == NULL || entry->item->stage != HS_ITEM_WAITING ||
            !hs_region_policy_is_restricted(&entry->regions))
            continue;
        if (!hs_region_policy_can_be_met(&entry->regions))
            waits.no_allowed_region++;
        else
            waits.no_engine_in_region += lacks_engine(owner, entry, ready);
    }
    log_waits(&waits, hs_clock_monotonic_ms());
    owner->region_waits = waits;
}

hs_body_regions hs_job_regions_of_run(const hs_job_owner *owner, const hs_item_run *run,
                                      const hs_fleet_config *config) {
    if (config == NULL)
        return (hs_body_regions){.is_mixed = true};
    const hs_topology *topology = hs_fleet_engines_topology(owner->settings.engines);
    return (hs_body_regions){.policy = hs_item_run_regions(run, topology, config)};
}

void hs_job_regions_write_metrics(const hs_region_waits *waits, GString *text) {
    g_string_append_printf(text,
                           "heathsail_job_items_waiting{reason=\"no_allowed_region\"} %u\n"
                           "heathsail_job_items_waiting{reason=\"no_engine_in_region\"} %u\n"
                           "heathsail_job_items_waiting{reason=\"no_daemon_in_region\"} %u\n",
                           waits->no_allowed_region, waits->no_engine_in_region,
                           waits->no_daemon_in_region);
}
