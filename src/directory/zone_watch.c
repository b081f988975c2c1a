/** @file zone_watch.c  See zone_watch.h. */
#include "directory/zone_watch.h"

#include "fleet/zone_outage.h"

/** Counts the members of each zone: zone -> hs_zone_members*. Free with g_hash_table_destroy. */
static GHashTable *count_members(hs_membership_service *service) {
    GHashTable *zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership *membership = hs_membership_service_lock(service);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        if (member->state == HS_MEMBER_PROPOSED || member->state == HS_MEMBER_LEAVING)
            continue;
        hs_zone_members *zone = g_hash_table_lookup(zones, member->zone);
        if (zone == NULL) {
            zone = g_new0(hs_zone_members, 1);
            g_hash_table_insert(zones, g_strdup(member->zone), zone);
        }
        zone->members++;
        zone->unavailable += !hs_member_is_alive(member);
    }
    hs_membership_service_unlock(service);
    return zones;
}

/** Returns the zone with the smallest share of unavailable members. */
static hs_zone_members find_best(GHashTable *zones) {
    hs_zone_members best = {0};
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, zones);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_zone_members *zone = value;
        if (best.members == 0 ||
            zone->unavailable * best.members < best.unavailable * zone->members)
            best = *zone;
    }
    return best;
}

void hs_zone_watch_update(hs_fleet_engines *engines, hs_membership_service *membership) {
    GHashTable *zones = count_members(membership);
    hs_zone_members best = find_best(zones);
    GHashTableIter iterator;
    gpointer zone = NULL;
    gpointer members = NULL;
    g_hash_table_iter_init(&iterator, zones);
    while (g_hash_table_iter_next(&iterator, &zone, &members))
        hs_fleet_engines_set_zone_member_loss(engines, zone,
                                              hs_zone_outage_is_member_loss(members, &best));
    g_hash_table_destroy(zones);
}
