/**
 * @file crash_exchange.h
 * What daemons tell each other about requests that crash engines.
 *
 * News goes out within a round of the directory's ticker: to all daemons of a small fleet, and in a
 * large one to some by chance, who tell it on. What was missed is found by a digest that rides on
 * the loads which daemons tell each other anyway: one that differs is answered with the evidence.
 */
#ifndef HS_DIRECTORY_CRASH_EXCHANGE_H
#define HS_DIRECTORY_CRASH_EXCHANGE_H

#include "fleet/crash_watch.h"
#include "membership/membership_service.h"

typedef struct hs_crash_exchange hs_crash_exchange;

/** All are borrowed. */
hs_crash_exchange *hs_crash_exchange_new(hs_crash_watch *watch, hs_membership_service *membership);
void hs_crash_exchange_free(hs_crash_exchange *exchange);

/** True when the message was about crashes or trials, and was handled. */
bool hs_crash_exchange_handle(hs_crash_exchange *exchange, const Hs__PeerMessage *message,
                              const struct sockaddr_in *from);

/** Another daemon told its digest: answer it with what it may lack, where the two differ. */
void hs_crash_exchange_compare(hs_crash_exchange *exchange, uint64_t digest,
                               const struct sockaddr_in *from);

/** One round of the ticker: send what is news, judge anew. */
void hs_crash_exchange_tick(hs_crash_exchange *exchange, uint64_t now_ms);

#endif
