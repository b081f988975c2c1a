/**
 * @file engine_selection.h
 * Selects the candidates for a request among a service's engines, before one of them is chosen.
 * The caller holds the table's lock.
 */
#ifndef HS_FLEET_ENGINE_SELECTION_H
#define HS_FLEET_ENGINE_SELECTION_H

#include "fleet/fleet_engine.h"

/**
 * Returns the eligible engines of the query's service: of hs_fleet_engine*, borrowed. Free with
 * g_ptr_array_free.
 */
GPtrArray *hs_engine_selection_collect(hs_fleet_engines *engines, const hs_engine_query *query);

/**
 * Returns a sample of the eligible engines of the query's service, or NULL if the service is small
 * enough to consider all: this daemon's home engines, which keep its connections and prompts, the
 * engine that is preferred for the prompt's shared prefix, and some random ones, most of them in
 * this daemon's zone. Of hs_fleet_engine*, borrowed. Free with g_ptr_array_free.
 */
GPtrArray *hs_engine_selection_sample(hs_fleet_engines *engines, const hs_engine_query *query);

/**
 * Whether the service has an engine for online requests in the allowed regions, with @p software
 * (0: any), that is not suspected, even if it is full. The caller holds the lock.
 */
bool hs_engine_selection_has_healthy(const hs_fleet_engines *engines, const char *service,
                                     const hs_region_policy *regions, uint64_t software,
                                     uint64_t now_ms);

/**
 * Removes suspected engines from @p found, except those due for a probe, if the request can wait
 * and the service has a healthy engine. Waiting for a healthy engine costs less time than attempts
 * on dead ones.
 */
void hs_engine_selection_drop_suspected(const hs_fleet_engines *engines, GPtrArray *found,
                                        const hs_engine_query *query, uint64_t now_ms);

/** Removes engines whose start is unknown from @p found if there are others; see start_check.h. */
void hs_engine_selection_drop_unknown_starts(GPtrArray *found);

/**
 * Assumes that the shared prefix of the request's prompt is cached by the engine that ranks first
 * for it by rendezvous hashing, so that all daemons of a region prefer the same engine of their
 * region without coordination. Without engines in the region, all engines are ranked. In a large
 * service all daemons of a zone prefer the same engine of their zone.
 */
void hs_engine_selection_credit_shared_prefix(hs_fleet_engines *engines, const GPtrArray *found,
                                              const hs_engine_query *query,
                                              hs_engine_candidate *candidates);

/**
 * Removes the engines of evacuated zones, and their @p candidates, if another engine has a slot
 * that is free or used by a batch item.
 */
void hs_engine_selection_drop_evacuated(const hs_fleet_engines *engines, GPtrArray *found,
                                        hs_engine_candidate *candidates, uint64_t now_ms);

/** Whether an online request finds a slot: the engine isn't suspected, and has a slot that is free
 * or used by a batch item. */
bool hs_engine_candidate_has_free_slot(const hs_engine_candidate *candidate);

/**
 * Removes engines, and their @p candidates, on which the wait would exceed the query's limit. The
 * network delay to another region is part of the wait.
 */
void hs_engine_selection_keep_within_wait_limit(GPtrArray *found, const hs_engine_query *query,
                                                hs_engine_candidate *candidates,
                                                const hs_engine_speed *speed);

#endif
