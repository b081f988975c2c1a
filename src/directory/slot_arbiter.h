/**
 * @file slot_arbiter.h
 * Engines' slots shared between daemons: tells an engine's arbiter what this daemon has there, and
 * is itself the arbiter of some engines.
 *
 * The arbiter of an engine is the live daemon that ranks first for it by rendezvous; no election
 * and nothing kept. Where two daemons disagree for a moment, or the arbiter is silent, nobody is
 * asked to step aside by it; what daemons tell each other at intervals (fleet/engine_peers.c) then
 * still does, later.
 */
#ifndef HS_DIRECTORY_SLOT_ARBITER_H
#define HS_DIRECTORY_SLOT_ARBITER_H

#include "fleet/fleet_engines.h"
#include "membership/membership_service.h"

typedef struct hs_slot_arbiter hs_slot_arbiter;

/** All are borrowed. */
hs_slot_arbiter *hs_slot_arbiter_new(hs_fleet_engines *engines, hs_membership_service *membership);
void hs_slot_arbiter_free(hs_slot_arbiter *arbiter);

/** True when the message was about slots, and was handled. */
bool hs_slot_arbiter_handle(hs_slot_arbiter *arbiter, const Hs__PeerMessage *message,
                            const struct sockaddr_in *from);

/** Repeat what this daemon has on all engines, one message an arbiter. */
void hs_slot_arbiter_refresh(hs_slot_arbiter *arbiter);

#endif
