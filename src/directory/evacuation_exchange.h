/**
 * @file evacuation_exchange.h
 * Exchanges the evacuated zones with other daemons, for those that the store rejects.
 *
 * A changed set is sent in the next round of the directory's ticker to daemons chosen at random,
 * which relay it. While any zone is evacuated, the set is also sent to a few at intervals, which
 * recovers what was lost on the way. A daemon that receives an older set with other zones sends its
 * own back. The functions are thread-safe, but for hs_evacuation_exchange_tick.
 */
#ifndef HS_DIRECTORY_EVACUATION_EXCHANGE_H
#define HS_DIRECTORY_EVACUATION_EXCHANGE_H

#include "fleet/fleet_engines.h"
#include "membership/membership_service.h"

typedef struct hs_evacuation_exchange hs_evacuation_exchange;

/** Creates an exchange. The arguments are borrowed. */
hs_evacuation_exchange *hs_evacuation_exchange_new(hs_fleet_engines *engines,
                                                   hs_membership_service *membership);

/** Frees the exchange. NULL is allowed. */
void hs_evacuation_exchange_free(hs_evacuation_exchange *exchange);

/** Handles a set of evacuated zones. Returns false for any other message. */
bool hs_evacuation_exchange_handle(hs_evacuation_exchange *exchange, const Hs__PeerMessage *message,
                                   const struct sockaddr_in *from);

/** Sends the evacuated zones if that is due. Only the ticker calls it, in each round. */
void hs_evacuation_exchange_tick(hs_evacuation_exchange *exchange, uint64_t now_ms);

/**
 * Returns the set for a daemon that starts while the store does not answer, encoded as Evacuations;
 * NULL if it is not known yet. Free with g_bytes_unref.
 */
GBytes *hs_evacuation_exchange_encode(hs_fleet_engines *engines);

/** Applies a set that another daemon encoded. A malformed set is logged and changes nothing. */
void hs_evacuation_exchange_apply_encoded(hs_fleet_engines *engines, GBytes *encoded);

#endif
