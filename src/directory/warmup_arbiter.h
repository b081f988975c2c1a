/**
 * @file warmup_arbiter.h
 * Grants permits for requests to the cold engines that this daemon arbitrates. The budgets are in
 * fleet/warmup_budget.h; this service keeps one per engine, and derives this daemon's share of the
 * engines' limits from the members. Thread-safe.
 *
 * A daemon that has not arbitrated an engine for HS_WARMUP_SETTLE_MS grants nothing: it may have
 * started, been suspended or been taken for dead, or the engine's previous arbiter was lost lately.
 */
#ifndef HS_DIRECTORY_WARMUP_ARBITER_H
#define HS_DIRECTORY_WARMUP_ARBITER_H

#include "fleet/fleet_engines.h"
#include "membership/membership_service.h"

typedef struct hs_warmup_arbiter hs_warmup_arbiter;

/** Finds out whether this daemon is an engine's arbiter. Called without locks. */
typedef bool (*hs_is_own_engine)(uint64_t engine_hash, void *user_data);

/** All arguments are borrowed. */
hs_warmup_arbiter *hs_warmup_arbiter_new(hs_fleet_engines *engines,
                                         hs_membership_service *membership, hs_is_own_engine is_own,
                                         void *user_data);

/** NULL is allowed. */
void hs_warmup_arbiter_free(hs_warmup_arbiter *arbiter);

/**
 * Adds the decision on a reported use to @p load, the answer to it. Without a request for a permit
 * the answer denies one, with no retry time, if the engine is cold: the sender may not know it.
 */
void hs_warmup_arbiter_decide(hs_warmup_arbiter *arbiter, const hs_engine_use *use,
                              hs_engine_load_report *load);

/** This daemon's share of the limits of the engines that it arbitrates, 0 to 1. */
double hs_warmup_arbiter_share(hs_warmup_arbiter *arbiter);

/** Updates the members and this daemon's share. To be called several times per second. */
void hs_warmup_arbiter_tick(hs_warmup_arbiter *arbiter);

#endif
