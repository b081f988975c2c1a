/** @file zone_outage.c  See zone_outage.h. */
#include "fleet/zone_outage.h"

/** Failures of different engines within this time count together. */
#define FAILURE_WINDOW_MS 1500
/** Duration of the first outage; doubles up to MAX_OUTAGE_MS with each further one. */
#define MIN_OUTAGE_MS 500
#define MAX_OUTAGE_MS 4000
/** Daemons of a zone below which their loss says nothing about the zone. */
#define MIN_MEMBERS 2

bool hs_zone_outage_is_member_loss(const hs_zone_members *zone, const hs_zone_members *best) {
    return zone->members >= MIN_MEMBERS && 2 * zone->unavailable > zone->members &&
           4 * best->unavailable < best->members;
}

bool hs_zone_outage_is_out(const hs_zone_outage *zone, uint64_t now_ms) {
    return now_ms < zone->out_until_ms;
}

static void extend(hs_zone_outage *zone, uint64_t now_ms) {
    uint32_t doublings = zone->outage_count > 4 ? 4 : zone->outage_count;
    uint64_t duration_ms = (uint64_t)MIN_OUTAGE_MS << doublings;
    zone->out_until_ms = now_ms + (duration_ms < MAX_OUTAGE_MS ? duration_ms : MAX_OUTAGE_MS);
}

void hs_zone_outage_set_member_loss(hs_zone_outage *zone, bool has_unavailable_members,
                                    uint64_t now_ms) {
    bool has_returned = zone->has_unavailable_members && !has_unavailable_members;
    zone->has_unavailable_members = has_unavailable_members;
    if (!hs_zone_outage_is_out(zone, now_ms))
        return;
    if (has_unavailable_members && zone->out_until_ms < now_ms + MIN_OUTAGE_MS)
        zone->out_until_ms = now_ms + MIN_OUTAGE_MS;
    else if (has_returned)
        zone->out_until_ms = now_ms;
}

/** Removes failures that are older than the window, and one of the same engine. */
static void drop_old_failures(hs_zone_outage *zone, uint64_t engine_hash, uint64_t now_ms) {
    uint32_t kept = 0;
    for (uint32_t index = 0; index < zone->failed_count; index++) {
        if (zone->failed_engines[index] == engine_hash ||
            now_ms > zone->failed_at_ms[index] + FAILURE_WINDOW_MS)
            continue;
        zone->failed_engines[kept] = zone->failed_engines[index];
        zone->failed_at_ms[kept++] = zone->failed_at_ms[index];
    }
    zone->failed_count = kept;
}

bool hs_zone_outage_note_failure(hs_zone_outage *zone, uint64_t engine_hash, uint64_t now_ms) {
    if (hs_zone_outage_is_out(zone, now_ms))
        return false;
    drop_old_failures(zone, engine_hash, now_ms);
    zone->failed_engines[zone->failed_count] = engine_hash;
    zone->failed_at_ms[zone->failed_count++] = now_ms;
    bool has_evidence = zone->has_unavailable_members || zone->outage_count > 0;
    if (zone->failed_count < (has_evidence ? 1 : HS_ZONE_OUTAGE_ENGINES))
        return false;
    extend(zone, now_ms);
    zone->outage_count++;
    zone->failed_count = 0;
    return true;
}

bool hs_zone_outage_note_answer(hs_zone_outage *zone, uint64_t now_ms) {
    bool was_out = hs_zone_outage_is_out(zone, now_ms);
    zone->failed_count = 0;
    zone->outage_count = 0;
    zone->out_until_ms = 0;
    return was_out;
}
