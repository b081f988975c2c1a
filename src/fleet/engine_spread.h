/**
 * @file engine_spread.h
 * Chooses an engine when many daemons choose by the same, ageing load reports. Pure functions.
 *
 * A load report shows the same best engine to all daemons that have it. If all of them sent their
 * requests there until the next report, the best engine would become the worst. The choice
 * therefore projects each report to the present: with the report's age, the engine's load
 * approaches the mean and becomes less certain, which adds cost if the engine may be full. The
 * requests that all daemons are expected to send within the age of the reports are then assigned
 * one by one to the engine with the lowest cost, given those assigned before. The engine is drawn
 * at random, weighted by the requests assigned to it: the older the reports and the higher the
 * rate, the more engines share the requests.
 *
 * With engines in several regions, each region's requests are assigned on their own: the load of a
 * region's engines approaches the mean of the region, and requests are assigned to other regions
 * only as far as they leave theirs (see engine_choice.h). Otherwise each daemon would expect the
 * requests of the whole fleet at its region's engines.
 */
#ifndef HS_FLEET_ENGINE_SPREAD_H
#define HS_FLEET_ENGINE_SPREAD_H

#include "fleet/engine_choice.h"

/** Decides between equally good candidates. */
typedef struct {
    double draw;  /**< Random number from 0 to below 1. */
    size_t first; /**< See hs_engine_choice_pick, which chooses if all loads are exact. */
} hs_engine_tie_break;

/** Returns the index of the engine drawn, or HS_ENGINE_NONE if @p count is 0. */
int hs_engine_spread_pick(const hs_engine_candidate *candidates, size_t count,
                          const hs_engine_tie_break *tie_break, const hs_engine_speed *speed);

#endif
