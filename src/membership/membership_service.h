/**
 * @file membership_service.h
 * Runs the membership state machine: a ticker thread that probes, and the handling of probes.
 */
#ifndef HS_MEMBERSHIP_MEMBERSHIP_SERVICE_H
#define HS_MEMBERSHIP_MEMBERSHIP_SERVICE_H

#include "membership/membership.h"
#include "peer/peer_socket.h"

typedef struct hs_membership_service hs_membership_service;

typedef struct {
    uint32_t probe_interval_ms;
    hs_membership_settings membership;
} hs_membership_service_settings;

/** @p socket is borrowed. */
hs_membership_service *hs_membership_service_new(const hs_member *self,
                                                 const hs_membership_service_settings *settings,
                                                 hs_peer_socket *socket);
void hs_membership_service_start(hs_membership_service *service);
void hs_membership_service_stop(hs_membership_service *service);
void hs_membership_service_free(hs_membership_service *service);

/** One round of the ticker, for drivers that bring their own thread (directory/daemon_directory.c).
 */
void hs_membership_service_tick(hs_membership_service *service, uint64_t now_ms);

/** True when the message was a probe or an answer to one, and was handled. */
bool hs_membership_service_handle(hs_membership_service *service, const Hs__PeerMessage *message,
                                  const struct sockaddr_in *from);

/** Lock and borrow the state; unlock when done. */
hs_membership *hs_membership_service_lock(hs_membership_service *service);
void hs_membership_service_unlock(hs_membership_service *service);

/** Tell everyone that we leave, a few times over, since datagrams may be lost. */
void hs_membership_service_leave(hs_membership_service *service);

/** Our incarnation now. */
uint64_t hs_membership_service_incarnation(hs_membership_service *service);

/** Fill sender id and incarnation. The id is borrowed from the service. */
void hs_membership_service_sign(hs_membership_service *service, Hs__PeerMessage *message);

/** Sign @p message and send it to the peer port @p port of @p address; port 0: nowhere. */
void hs_membership_service_send(hs_membership_service *service, uint32_t address, uint16_t port,
                                Hs__PeerMessage *message);

/** Sign @p message and send it to where another one came from. */
void hs_membership_service_reply(hs_membership_service *service, const struct sockaddr_in *to,
                                 Hs__PeerMessage *message);

/** Sign @p message and send it to the partition's owner; dropped when no owner is known. */
void hs_membership_service_send_to_owner(hs_membership_service *service, uint32_t partition,
                                         Hs__PeerMessage *message);

/** Sign @p message and send it to the live member that comes first for @p key by rendezvous. */
void hs_membership_service_send_to_first(hs_membership_service *service, const char *key,
                                         Hs__PeerMessage *message);

/** Address of a member by id; false when unknown. */
bool hs_membership_service_address(hs_membership_service *service, const char *id,
                                   uint32_t *address, uint16_t *peer_port);

/** True once some probe round was run with every known member asked. */
bool hs_membership_service_has_probed(hs_membership_service *service);

#endif
