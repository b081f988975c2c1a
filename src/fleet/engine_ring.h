/**
 * @file engine_ring.h
 * The engines of each service and zone in the order of their hashes, closed to a ring. A part of a
 * ring is found in a time that grows with the logarithm of its engines, and an engine that comes or
 * goes changes only the parts around it. Knows no engine's state. Not thread-safe.
 */
#ifndef HS_FLEET_ENGINE_RING_H
#define HS_FLEET_ENGINE_RING_H

#include <glib.h>
#include <stdint.h>

typedef struct hs_engine_rings hs_engine_rings;

hs_engine_rings *hs_engine_rings_new(void);
/** Frees the rings, not the engines. NULL is allowed. */
void hs_engine_rings_free(hs_engine_rings *rings);

/** Adds an engine; an engine of the same service, zone and hash is replaced. */
void hs_engine_rings_add(hs_engine_rings *rings, const char *service, const char *zone,
                         uint64_t hash, gpointer engine);

/** Removes an engine, if it is there. */
void hs_engine_rings_remove(hs_engine_rings *rings, const char *service, const char *zone,
                            uint64_t hash);

/** Returns the number of the service's engines in all zones. */
uint32_t hs_engine_rings_count(const hs_engine_rings *rings, const char *service);

/** Which part of a service's rings to take. */
typedef struct {
    uint64_t position;   /**< Hash at which the part of each ring begins. */
    const char *zone;    /**< The zone from which most engines are taken. */
    uint32_t zone_count; /**< Engines from that zone, or from each zone if it has none. */
    uint32_t far_count;  /**< Engines from each other zone. */
} hs_engine_ring_part;

/**
 * Appends the engines of a part to @p found (a set of engines, so that parts may overlap). Fewer
 * are appended if a ring has fewer.
 */
void hs_engine_rings_take(const hs_engine_rings *rings, const char *service,
                          const hs_engine_ring_part *part, GHashTable *found);

/**
 * Returns the first engine of the service at or after @p position in the zone's ring, or NULL if
 * the ring is empty.
 */
gpointer hs_engine_rings_first(const hs_engine_rings *rings, const char *service, const char *zone,
                               uint64_t position);

#endif
