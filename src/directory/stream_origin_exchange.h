/**
 * @file stream_origin_exchange.h
 * Tells other daemons which software began a stream, and asks them for it.
 *
 * Each stream has a few daemons that keep its origin, by rendezvous hashing of its name. Daemons
 * with different views of the members may disagree on these, so more daemons are asked than told.
 * Thread-safe.
 */
#ifndef HS_DIRECTORY_STREAM_ORIGIN_EXCHANGE_H
#define HS_DIRECTORY_STREAM_ORIGIN_EXCHANGE_H

#include "fleet/stream_origins.h"
#include "membership/membership_service.h"

typedef struct hs_stream_origin_exchange hs_stream_origin_exchange;

/** Reports whether this daemon knows the other members; see hs_daemon_directory_is_settled. */
typedef bool (*hs_member_knowledge)(void *user_data);

/** Creates an exchange, which sets the calls of @p origins. The arguments are borrowed. */
hs_stream_origin_exchange *hs_stream_origin_exchange_new(hs_stream_origins *origins,
                                                         hs_membership_service *membership,
                                                         hs_member_knowledge knows_members,
                                                         void *user_data);

/** Repeats announcements while the other members are not known. Only the ticker calls it. */
void hs_stream_origin_exchange_tick(hs_stream_origin_exchange *exchange);

/** Frees the exchange; no request may be open. NULL is allowed. */
void hs_stream_origin_exchange_free(hs_stream_origin_exchange *exchange);

/** Handles a message on origins of streams. Returns false for any other message. */
bool hs_stream_origin_exchange_handle(hs_stream_origin_exchange *exchange,
                                      const Hs__PeerMessage *message,
                                      const struct sockaddr_in *from);

#endif
