/**
 * @file region_reports.h
 * Load reports sent between regions. With several regions, daemons get load reports from arbiters
 * of their own region; one daemon of each region sends the region's most recent reports to one
 * daemon of each other region, which sends them to the others there. Only in fleets that relay
 * reports (fleet/engine_words.h). Thread-safe.
 */
#ifndef HS_DIRECTORY_REGION_REPORTS_H
#define HS_DIRECTORY_REGION_REPORTS_H

#include "fleet/fleet_engines.h"
#include "membership/membership_service.h"

/** Sends the reports of this daemon's region if it is the one to do so. To be called at intervals.
 */
void hs_region_reports_send(hs_fleet_engines *engines, hs_membership_service *membership);

/**
 * Sends reports from another region on to the daemons of this region. Ignores other messages. The
 * reports themselves are stored by hs_slot_arbiter_handle.
 */
void hs_region_reports_relay(hs_membership_service *membership, const Hs__PeerMessage *message);

#endif
