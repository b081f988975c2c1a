/**
 * @file zone_watch.h
 * Tells the engine table which zones have lost their daemons, as a sign that the zones are
 * separated from this daemon. Thread-safe.
 */
#ifndef HS_DIRECTORY_ZONE_WATCH_H
#define HS_DIRECTORY_ZONE_WATCH_H

#include "fleet/fleet_engines.h"
#include "membership/membership_service.h"

/** Updates all zones in @p engines from the members. To be called several times per second. */
void hs_zone_watch_update(hs_fleet_engines *engines, hs_membership_service *membership);

#endif
