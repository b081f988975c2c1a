/**
 * @file topology.h
 * Zones and regions of a deployment, and the distance between two zones. Pure; an hs_topology is
 * immutable, so threads share it without locking.
 */
#ifndef HS_BASE_TOPOLOGY_H
#define HS_BASE_TOPOLOGY_H

#include <stdbool.h>
#include <stdint.h>

/** Network distance between two zones. */
typedef enum {
    HS_DISTANCE_SAME_ZONE,
    HS_DISTANCE_OTHER_ZONE,   /**< In the same region, or at least one region is unknown. */
    HS_DISTANCE_OTHER_REGION, /**< Both regions are known and differ. */
} hs_distance;

#define HS_DISTANCE_COUNT 3

typedef struct hs_topology hs_topology;

/**
 * Creates a topology; free with hs_topology_free. @p zone_regions: "zone:region,..."; NULL or
 * empty: no regions are known. Entries without a zone or a region, and zones listed with several
 * regions, are rejected: the regions of these zones are unknown.
 */
hs_topology *hs_topology_new(const char *zone_regions);

/** Frees the topology. NULL is allowed. */
void hs_topology_free(hs_topology *topology);

/**
 * Returns the region of a zone, borrowed from @p topology, or NULL if it is unknown. Both arguments
 * may be NULL.
 */
const char *hs_topology_region(const hs_topology *topology, const char *zone);

/** Returns the distance between two zones. An unknown zone (NULL) is another zone. */
hs_distance hs_topology_distance(const hs_topology *topology, const char *zone, const char *other);

/** Reports whether the zones lie in at least two regions. @p topology may be NULL. */
bool hs_topology_has_regions(const hs_topology *topology);

/** Reports whether a zone of the topology lies in @p region. @p topology may be NULL. */
bool hs_topology_has_zone_in(const hs_topology *topology, const char *region);

/** Number of rejected entries and zones. */
uint32_t hs_topology_rejected_count(const hs_topology *topology);

/** Returns the name of a distance, for logs and metrics. */
const char *hs_distance_name(hs_distance distance);

#endif
