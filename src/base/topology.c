/** @file topology.c  See topology.h. */
#include "base/topology.h"

#include <glib.h>
#include <string.h>

struct hs_topology {
    GHashTable *region_by_zone; /**< zone -> region; an empty region: the zone is rejected. */
    uint32_t rejected_count;
    bool has_regions;
};

static void add_zone(hs_topology *topology, const char *zone, const char *region) {
    const char *known = g_hash_table_lookup(topology->region_by_zone, zone);
    if (known == NULL) {
        g_hash_table_insert(topology->region_by_zone, g_strdup(zone), g_strdup(region));
    } else if (strcmp(known, region) != 0) {
        topology->rejected_count += *known != '\0';
        g_hash_table_insert(topology->region_by_zone, g_strdup(zone), g_strdup(""));
    }
}

/** Returns whether the zones that are not rejected lie in at least two regions. */
static bool has_two_regions(GHashTable *region_by_zone) {
    GHashTableIter iterator;
    gpointer value = NULL;
    const char *first = NULL;
    bool has_second = false;
    g_hash_table_iter_init(&iterator, region_by_zone);
    while (!has_second && g_hash_table_iter_next(&iterator, NULL, &value)) {
        const char *region = value;
        if (*region == '\0')
            continue;
        if (first == NULL)
            first = region;
        has_second = strcmp(first, region) != 0;
    }
    return has_second;
}

hs_topology *hs_topology_new(const char *zone_regions) {
    hs_topology *topology = g_new0(hs_topology, 1);
    topology->region_by_zone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_auto(GStrv) entries = g_strsplit(zone_regions != NULL ? zone_regions : "", ",", -1);
    for (int index = 0; entries[index] != NULL; index++) {
        char *zone = g_strstrip(entries[index]);
        char *separator = strchr(zone, ':');
        if (*zone == '\0')
            continue;
        if (separator == NULL || separator == zone || separator[1] == '\0') {
            topology->rejected_count++;
            continue;
        }
        *separator = '\0';
        add_zone(topology, zone, separator + 1);
    }
    topology->has_regions = has_two_regions(topology->region_by_zone);
    return topology;
}

void hs_topology_free(hs_topology *topology) {
    if (topology == NULL)
        return;
    g_hash_table_destroy(topology->region_by_zone);
    g_free(topology);
}

const char *hs_topology_region(const hs_topology *topology, const char *zone) {
    if (topology == NULL || zone == NULL)
        return NULL;
    const char *region = g_hash_table_lookup(topology->region_by_zone, zone);
    return region != NULL && *region != '\0' ? region : NULL;
}

hs_distance hs_topology_distance(const hs_topology *topology, const char *zone, const char *other) {
    if (zone != NULL && other != NULL && strcmp(zone, other) == 0)
        return HS_DISTANCE_SAME_ZONE;
    const char *region = hs_topology_region(topology, zone);
    const char *other_region = hs_topology_region(topology, other);
    bool is_other_region =
        region != NULL && other_region != NULL && strcmp(region, other_region) != 0;
    return is_other_region ? HS_DISTANCE_OTHER_REGION : HS_DISTANCE_OTHER_ZONE;
}

bool hs_topology_has_zone_in(const hs_topology *topology, const char *region) {
    if (topology == NULL || *region == '\0')
        return false;
    GHashTableIter iterator;
    gpointer value = NULL;
    bool is_found = false;
    g_hash_table_iter_init(&iterator, topology->region_by_zone);
    while (!is_found && g_hash_table_iter_next(&iterator, NULL, &value))
        is_found = strcmp(value, region) == 0;
    return is_found;
}

bool hs_topology_has_regions(const hs_topology *topology) {
    return topology != NULL && topology->has_regions;
}

uint32_t hs_topology_rejected_count(const hs_topology *topology) {
    return topology->rejected_count;
}

const char *hs_distance_name(hs_distance distance) {
    static const char *const names[HS_DISTANCE_COUNT] = {
        [HS_DISTANCE_SAME_ZONE] = "same_zone",
        [HS_DISTANCE_OTHER_ZONE] = "other_zone",
        [HS_DISTANCE_OTHER_REGION] = "other_region",
    };
    return names[distance];
}
