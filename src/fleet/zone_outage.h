/**
 * @file zone_outage.h
 * Decides whether the engines of a zone are unavailable as a whole. Pure functions.
 *
 * If a zone fails, each of its engines would have to fail for each daemon before the daemon avoids
 * it, and each failure costs a request most of its latency objective. A few engines that fail
 * without an answer from any other engine of the zone are therefore taken as a failure of the zone.
 * If most daemons of the zone are unavailable too, one failed engine is enough. The decision
 * expires after a time that doubles with each further outage; then requests try the zone again, and
 * one failure is enough for the next outage. An answer from any engine of the zone ends the outage.
 */
#ifndef HS_FLEET_ZONE_OUTAGE_H
#define HS_FLEET_ZONE_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/** Engines that have to fail if nothing else is known about the zone. */
#define HS_ZONE_OUTAGE_ENGINES 3

/** State of one zone as observed by this daemon. Zero-initialise. */
typedef struct {
    uint64_t failed_engines[HS_ZONE_OUTAGE_ENGINES]; /**< Hashes; the first failed_count are set. */
    uint64_t failed_at_ms[HS_ZONE_OUTAGE_ENGINES];
    uint32_t failed_count;
    bool has_unavailable_members;
    uint64_t out_until_ms; /**< End of the current or last outage; 0: none yet. */
    uint32_t outage_count; /**< Outages since the last answer. */
} hs_zone_outage;

/** Daemons of one zone. */
typedef struct {
    uint32_t members;     /**< Known daemons without those that left. */
    uint32_t unavailable; /**< Those that are suspected or dead. */
} hs_zone_members;

/**
 * Reports whether the members of @p zone show that the zone is separated from this daemon: most of
 * them are unavailable, while hardly any member of the best zone (@p best) is. After a loss of
 * daemons in all zones the engines may still be available.
 */
bool hs_zone_outage_is_member_loss(const hs_zone_members *zone, const hs_zone_members *best);

/** Records the result of hs_zone_outage_is_member_loss. */
void hs_zone_outage_set_member_loss(hs_zone_outage *zone, bool has_unavailable_members,
                                    uint64_t now_ms);

/**
 * Records that an engine of the zone could not be reached or sent nothing for too long. Returns
 * true if an outage begins.
 */
bool hs_zone_outage_note_failure(hs_zone_outage *zone, uint64_t engine_hash, uint64_t now_ms);

/** Records an answer of an engine of the zone. Returns true if an outage ends by it. */
bool hs_zone_outage_note_answer(hs_zone_outage *zone, uint64_t now_ms);

/** Reports whether the zone's engines are to be avoided. */
bool hs_zone_outage_is_out(const hs_zone_outage *zone, uint64_t now_ms);

#endif
