/**
 * @file slot_arbiter.h
 * Sharing of engines' slots among daemons: reports this daemon's use of engines to their arbiters,
 * and acts as the arbiter of some engines. Thread-safe.
 *
 * The arbiter of an engine is the live daemon that ranks first for the engine by rendezvous
 * hashing, without election or stored state. With several regions it is a daemon of the engine's
 * region (hs_membership_rank_in_region). While daemons disagree on the arbiter, or the arbiter
 * does not respond, the arbiter preempts no items; the loads that daemons exchange at intervals
 * (fleet/engine_peers.c) still lead to preemption, with more delay.
 */
#ifndef HS_DIRECTORY_SLOT_ARBITER_H
#define HS_DIRECTORY_SLOT_ARBITER_H

#include "fleet/fleet_engines.h"
#include "membership/membership_service.h"

typedef struct hs_slot_arbiter hs_slot_arbiter;

/** Creates an arbiter and observes the uses of @p engines. Both arguments are borrowed. */
hs_slot_arbiter *hs_slot_arbiter_new(hs_fleet_engines *engines, hs_membership_service *membership);

/** Frees the arbiter. NULL is allowed. */
void hs_slot_arbiter_free(hs_slot_arbiter *arbiter);

/** Key by which the members rank for an engine. Free with g_free. */
char *hs_slot_arbiter_key(uint64_t engine_hash);

/** Handles a message on engines' slots. Returns false for any other message. */
bool hs_slot_arbiter_handle(hs_slot_arbiter *arbiter, const Hs__PeerMessage *message,
                            const struct sockaddr_in *from);

/** Encodes a load report for a message. */
void hs_slot_arbiter_encode_report(const hs_engine_load_report *load, Hs__EngineTotal *encoded);

/**
 * Reports this daemon's use of all engines, with one message per arbiter, and expires old reports.
 * The directory's ticker calls it at intervals.
 */
void hs_slot_arbiter_refresh(hs_slot_arbiter *arbiter);

#endif
