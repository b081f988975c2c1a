/** @file fleet_zones.c  Outages of zones, as observed on their engines; see fleet_engines.h. */
#include "fleet/fleet_engine.h"

#include "base/clock.h"
#include "base/log.h"

void hs_fleet_engines_observe_zones(hs_fleet_engines *engines) {
    g_mutex_lock(&engines->lock);
    if (engines->zone_outages == NULL)
        engines->zone_outages = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_mutex_unlock(&engines->lock);
}

/** Returns the state of a zone; NULL: zones are not observed. The caller holds the lock. */
static hs_zone_outage *find_or_add_zone(hs_fleet_engines *engines, const char *zone) {
    if (engines->zone_outages == NULL)
        return NULL;
    hs_zone_outage *outage = g_hash_table_lookup(engines->zone_outages, zone);
    if (outage == NULL) {
        outage = g_new0(hs_zone_outage, 1);
        g_hash_table_insert(engines->zone_outages, g_strdup(zone), outage);
    }
    return outage;
}

void hs_fleet_engine_set_zone_outage(hs_fleet_engines *engines, hs_fleet_engine *engine) {
    engine->zone_outage = find_or_add_zone(engines, engine->entry.zone);
}

void hs_fleet_engine_note_zone_failure(hs_fleet_engine *engine, uint64_t now_ms) {
    hs_zone_outage *outage = engine->zone_outage;
    if (outage != NULL && hs_zone_outage_note_failure(outage, engine->hash, now_ms))
        hs_log_warning("zone_unavailable", "zone=%s engine=%s members_lost=%d outages=%u for_ms=%u",
                       engine->entry.zone, engine->entry.id, outage->has_unavailable_members,
                       outage->outage_count, (unsigned)(outage->out_until_ms - now_ms));
}

void hs_fleet_engine_note_zone_answer(hs_fleet_engine *engine, uint64_t now_ms) {
    hs_zone_outage *outage = engine->zone_outage;
    if (outage != NULL && hs_zone_outage_note_answer(outage, now_ms))
        hs_log_info("zone_available", "zone=%s engine=%s", engine->entry.zone, engine->entry.id);
}

void hs_fleet_engines_set_zone_member_loss(hs_fleet_engines *engines, const char *zone,
                                           bool has_unavailable_members) {
    g_mutex_lock(&engines->lock);
    hs_zone_outage *outage = find_or_add_zone(engines, zone);
    if (outage != NULL)
        hs_zone_outage_set_member_loss(outage, has_unavailable_members, hs_clock_monotonic_ms());
    g_mutex_unlock(&engines->lock);
}

void hs_fleet_engines_describe_zones(hs_fleet_engines *engines, GString *text) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    GHashTableIter iterator;
    gpointer zone = NULL;
    gpointer outage = NULL;
    g_mutex_lock(&engines->lock);
    if (engines->zone_outages != NULL) {
        g_hash_table_iter_init(&iterator, engines->zone_outages);
        while (g_hash_table_iter_next(&iterator, &zone, &outage))
            g_string_append_printf(text, "heathsail_zone_unavailable{zone=\"%s\"} %d\n",
                                   (const char *)zone, hs_zone_outage_is_out(outage, now_ms));
    }
    g_mutex_unlock(&engines->lock);
}
