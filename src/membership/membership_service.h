/**
 * @file membership_service.h
 * Runs the membership state machine: a thread that sends probes, and the handling of peer messages.
 * Thread-safe; one mutex protects the state.
 */
#ifndef HS_MEMBERSHIP_MEMBERSHIP_SERVICE_H
#define HS_MEMBERSHIP_MEMBERSHIP_SERVICE_H

#include "membership/membership.h"
#include "peer/peer_socket.h"

/**
 * Time in ms after its start in which a daemon requests missing records with each probe: about the
 * time in which all daemons of a fleet start.
 */
#define HS_MEMBERSHIP_JOINING_MS 1500

typedef struct hs_membership_service hs_membership_service;

typedef struct {
    uint32_t probe_interval_ms;
    hs_membership_settings membership;
} hs_membership_service_settings;

/** @p self is copied; @p socket must outlive the service. Free with hs_membership_service_free. */
hs_membership_service *hs_membership_service_new(const hs_member *self,
                                                 const hs_membership_service_settings *settings,
                                                 hs_peer_socket *socket);

/** Starts the thread that calls hs_membership_service_tick. */
void hs_membership_service_start(hs_membership_service *service);

/** Stops the thread and waits for its end. */
void hs_membership_service_stop(hs_membership_service *service);

/** Frees a service whose thread was stopped or never started. */
void hs_membership_service_free(hs_membership_service *service);

/**
 * Sends the probes that are due; for callers that use a thread of their own instead of
 * hs_membership_service_start.
 */
void hs_membership_service_tick(hs_membership_service *service, uint64_t now_ms);

/** Handles a probe, an acknowledgement or a member list; returns false for other messages. */
bool hs_membership_service_handle(hs_membership_service *service, const Hs__PeerMessage *message,
                                  const struct sockaddr_in *from);

/** Locks and returns the state, valid until hs_membership_service_unlock. */
hs_membership *hs_membership_service_lock(hs_membership_service *service);
void hs_membership_service_unlock(hs_membership_service *service);

/** Marks this daemon as leaving and notifies some live members; others are notified by gossip. */
void hs_membership_service_leave(hs_membership_service *service);

/** Returns this daemon's current incarnation. */
uint64_t hs_membership_service_incarnation(hs_membership_service *service);

/** Sets the message's sender id and incarnation. The id is owned by the service. */
void hs_membership_service_set_sender(hs_membership_service *service, Hs__PeerMessage *message);

/**
 * Sends @p message to @p max_count other alive members chosen at random, or to all if there are no
 * more.
 */
void hs_membership_service_send_to_random(hs_membership_service *service, uint32_t max_count,
                                          Hs__PeerMessage *message);

/** Sets the sender of @p message and sends it; drops it if @p port is 0. */
void hs_membership_service_send(hs_membership_service *service, uint32_t address, uint16_t port,
                                Hs__PeerMessage *message);

/** Sets the sender of @p message and sends it to @p to, the source of another message. */
void hs_membership_service_reply(hs_membership_service *service, const struct sockaddr_in *to,
                                 Hs__PeerMessage *message);

/** Sets the sender of @p message and sends it to the partition's owner, if one is known. */
void hs_membership_service_send_to_owner(hs_membership_service *service, uint32_t partition,
                                         Hs__PeerMessage *message);

/**
 * Returns how many live members rank before this daemon for @p key, at most @p max_rank.
 */
uint32_t hs_membership_service_rank(hs_membership_service *service, const char *key,
                                    uint32_t max_rank);

/** Returns whether this daemon is the highest-ranked live member for @p key. */
bool hs_membership_service_is_first(hs_membership_service *service, const char *key);

/** Sets the sender of @p message and sends it to the highest-ranked live member for @p key. */
void hs_membership_service_send_to_first(hs_membership_service *service, const char *key,
                                         Hs__PeerMessage *message);

/** Gets the address of a member; returns false if the member is unknown. */
bool hs_membership_service_find_address(hs_membership_service *service, const char *id,
                                        uint32_t *address, uint16_t *peer_port);

/** Returns whether at least two probe intervals have begun. */
bool hs_membership_service_has_probed(hs_membership_service *service);

#endif
