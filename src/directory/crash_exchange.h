/**
 * @file crash_exchange.h
 * Exchanges crash evidence and requests for trial runs with other daemons.
 *
 * New evidence is sent in the next round of the directory's ticker: to all daemons of a small
 * fleet, and in a large one to some chosen at random, which relay it. Daemons also send a digest of
 * their ledger with their load reports. A daemon that receives a different digest sends its
 * evidence back, which recovers what was lost on the way. The functions are thread-safe, but for
 * hs_crash_exchange_tick.
 */
#ifndef HS_DIRECTORY_CRASH_EXCHANGE_H
#define HS_DIRECTORY_CRASH_EXCHANGE_H

#include "fleet/crash_watch.h"
#include "membership/membership_service.h"

typedef struct hs_crash_exchange hs_crash_exchange;

/** Creates an exchange. The arguments are borrowed. */
hs_crash_exchange *hs_crash_exchange_new(hs_crash_watch *watch, hs_membership_service *membership);

/** Frees the exchange. NULL is allowed. */
void hs_crash_exchange_free(hs_crash_exchange *exchange);

/** Handles a message on crash evidence or trial runs. Returns false for any other message. */
bool hs_crash_exchange_handle(hs_crash_exchange *exchange, const Hs__PeerMessage *message,
                              const struct sockaddr_in *from);

/** Compares another daemon's digest with this daemon's, and sends it evidence if they differ. */
void hs_crash_exchange_compare(hs_crash_exchange *exchange, uint64_t digest,
                               const struct sockaddr_in *from);

/** Sends new evidence and, at intervals, evaluates the ledger. Only the ticker calls it. */
void hs_crash_exchange_tick(hs_crash_exchange *exchange, uint64_t now_ms);

#endif
