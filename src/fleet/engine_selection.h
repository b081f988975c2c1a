/**
 * @file engine_selection.h
 * Which engines of a service one request may go to, before the choice between them. The caller
 * holds the table's lock.
 */
#ifndef HS_FLEET_ENGINE_SELECTION_H
#define HS_FLEET_ENGINE_SELECTION_H

#include "fleet/fleet_engine.h"

/** Engines of the query's service that may be sent to: of hs_fleet_engine*; free it. */
GPtrArray *hs_engine_selection_collect(hs_fleet_engines *engines, const hs_engine_query *query);

/**
 * Drop suspected engines, but for those whose turn to be tried has come. A request that found the
 * sound ones crowded can wait for one, and loses more by what each dead engine costs it.
 */
void hs_engine_selection_drop_suspected(const hs_fleet_engines *engines, GPtrArray *found,
                                        const hs_engine_query *query, uint64_t now_ms);

/**
 * The shared beginning of a prompt has a home, the same at all daemons without a message: the
 * engine that ranks first by rendezvous. It is taken to have the beginning cached.
 */
void hs_engine_selection_credit_shared_prefix(const GPtrArray *found, const hs_engine_query *query,
                                     hs_engine_candidate *candidates);

/** Drop engines at which the request would wait longer than it may, with their @p candidates. */
void hs_engine_selection_keep_within_wait_limit(GPtrArray *found, const hs_engine_query *query,
                                    hs_engine_candidate *candidates, const hs_engine_speed *speed);

#endif
