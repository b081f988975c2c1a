/**
 * @file engine_words.h
 * Selects the engine load reports that a daemon relays to other daemons, and weights reports by
 * their age. Pure functions.
 *
 * With many daemons and many engines, each daemon receives reports only on the few engines to which
 * it has sent requests. Reports relayed with answers let it choose among all engines.
 */
#ifndef HS_FLEET_ENGINE_WORDS_H
#define HS_FLEET_ENGINE_WORDS_H

#include <stddef.h>
#include <stdint.h>

/** Bound of the reports relayed with one answer; keeps the datagram within an Ethernet frame. */
#define HS_MAX_RELAYED_REPORTS 16

/**
 * Number of other daemons above which reports are relayed. In smaller fleets, the daemons exchange
 * their loads directly, and each daemon knows the load of all engines from these.
 */
#define HS_LARGE_FLEET_PEERS 48

/** Age up to which a report counts in full; about the interval at which daemons report. */
#define HS_ENGINE_REPORT_RECENT_MS 250
/** Age from which a report is ignored, as most runs that it counted have ended. */
#define HS_ENGINE_REPORT_VALID_MS 1000

/** A load report that may be relayed. */
typedef struct {
    uint64_t engine_hash;
    uint64_t age_ms; /**< Time since the arbiter sent the report. */
} hs_relay_candidate;

/**
 * Sorts @p candidates by age, the most recent one first, and returns how many of the first ones are
 * to be relayed. Reports that are no longer valid are not relayed. @p candidates may be NULL if
 * @p count is 0.
 */
size_t hs_engine_reports_pick(hs_relay_candidate *candidates, size_t count);

/**
 * Returns the weight, 0 to 1, of a report of this age in the estimate of an engine's load. The mean
 * of the service's recent reports has the rest of the weight: an old report is better than none,
 * and an engine without a report is not necessarily idle.
 */
double hs_engine_report_weight(uint64_t age_ms);

#endif
