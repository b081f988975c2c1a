/**
 * @file registry_plan.h
 * When a daemon reads the list of daemons in the store. Pure functions.
 *
 * The list serves a start without living seeds, and daemons that have lost sight of each other. In
 * a large fleet the reads of all daemons together are as many as in a small one: any of them heals
 * what it finds.
 */
#ifndef HS_DIRECTORY_REGISTRY_PLAN_H
#define HS_DIRECTORY_REGISTRY_PLAN_H

#include <stdbool.h>
#include <stdint.h>

/** Interval at which each daemon of a small fleet reads the list, and each draws in a large one. */
#define HS_REGISTRY_INTERVAL_MS 4000
/** Daemons up to which each reads at each interval. */
#define HS_REGISTRY_READERS 48

/**
 * Returns whether to read the list in this interval. @p running: known daemons, this one included.
 * @p draw: random, 0 to below 1.
 */
bool hs_registry_is_read_due(uint32_t running, double draw);

/**
 * Returns whether the members known from other daemons are as complete as the list. @p running: as
 * above. @p joined_ms: time for which this daemon has been asking for missing members.
 */
bool hs_registry_is_known_from_members(uint32_t running, uint64_t joined_ms);

#endif
