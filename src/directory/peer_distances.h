/**
 * @file peer_distances.h
 * Network distances to the other daemons, by their addresses. Thread-safe.
 */
#ifndef HS_DIRECTORY_PEER_DISTANCES_H
#define HS_DIRECTORY_PEER_DISTANCES_H

#include "base/topology.h"
#include "membership/membership.h"

typedef struct hs_peer_distances hs_peer_distances;

/** Creates an empty table. @p topology is borrowed. Free with hs_peer_distances_free. */
hs_peer_distances *hs_peer_distances_new(const hs_topology *topology);

/** Frees the table. NULL is allowed. */
void hs_peer_distances_free(hs_peer_distances *distances);

/** Replaces the distances by those of the current members. The caller holds their lock. */
void hs_peer_distances_update(hs_peer_distances *distances, const hs_membership *membership);

/** Returns the distance to a daemon; HS_DISTANCE_OTHER_ZONE if it is not known. */
hs_distance hs_peer_distances_find(hs_peer_distances *distances, uint32_t address, uint16_t port);

#endif
