/**
 * @file engine_evacuation.h
 * The evacuated zones of the engine table: updates from the store and from other daemons, log lines
 * and metrics. See evacuation.h for what follows from them. All functions are thread-safe.
 */
#ifndef HS_FLEET_ENGINE_EVACUATION_H
#define HS_FLEET_ENGINE_EVACUATION_H

#include "fleet/evacuation.h"
#include "fleet/fleet_engines.h"

/** Sets the time limit of evacuations; 0: zones are closed at once. */
void hs_fleet_engines_set_evacuate_ms(hs_fleet_engines *engines, uint32_t evacuate_ms);

/**
 * Applies all keys of the operator's topic, as read by a call that was sent at @p sent_ms. To be
 * called before the configuration of the same answer is applied: a daemon knows of the evacuations
 * before it serves.
 */
void hs_fleet_engines_put_evacuations(hs_fleet_engines *engines, const hs_evacuation_set *set,
                                      uint64_t sent_ms);

/**
 * Applies one followed record of the operator's topic. @p zone: NULL for a record of another key.
 */
void hs_fleet_engines_put_evacuation_record(hs_fleet_engines *engines, const char *zone,
                                            bool is_evacuated, uint64_t offset);

/** Applies the set of another daemon, named @p peer, if its position is higher. */
void hs_fleet_engines_put_peer_evacuations(hs_fleet_engines *engines, const char *peer,
                                           const hs_evacuation_set *set);

/**
 * Notes that a read of the operator's topic is about to be sent. Returns whether its answer is
 * needed at once, since the process was suspended.
 */
bool hs_fleet_engines_begin_evacuation_read(hs_fleet_engines *engines);

/** See hs_evacuation_is_beyond. */
bool hs_fleet_engines_is_evacuation_beyond(hs_fleet_engines *engines, uint64_t end,
                                           uint64_t sent_ms);

/** Notes the end of that read, after its answer was applied; see hs_evacuation_note_read. */
void hs_fleet_engines_end_evacuation_read(hs_fleet_engines *engines, uint64_t sent_ms,
                                          bool is_answered);

/**
 * To be called every few tens of ms: detects suspensions, and logs zones that have no request of
 * this daemon left. Returns to how many daemons the evacuations are to be sent now.
 */
uint32_t hs_fleet_engines_tick_evacuations(hs_fleet_engines *engines, uint64_t now_ms);

/**
 * Returns whether an engine may be checked for a crash: not in an evacuated zone, which is about to
 * lose its engines. An hs_crash_probe_filter with the table as its user data.
 */
bool hs_fleet_engines_may_check(uint64_t engine_hash, void *engines);

/** Adds the evacuated zones to @p set, an initialised set, and sets its position. */
void hs_fleet_engines_list_evacuations(hs_fleet_engines *engines, hs_evacuation_set *set);

/**
 * Returns whether the sender of @p set should be sent this daemon's set: it has a lower position
 * and other zones.
 */
bool hs_fleet_engines_has_newer_evacuations(hs_fleet_engines *engines,
                                            const hs_evacuation_set *set);

/** Metrics of zones that are or were evacuated; empty if there are none. Free with g_free. */
char *hs_fleet_engines_describe_evacuations(hs_fleet_engines *engines);

#endif
