/**
 * @file peer_socket.h
 * Exchange of protobuf messages between daemons over UDP. Messages may be lost or duplicated.
 */
#ifndef HS_PEER_PEER_SOCKET_H
#define HS_PEER_PEER_SOCKET_H

#include "base/topology.h"
#include "heathsail/error.h"

#include "gen/peer.pb-c.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdint.h>

#define HS_MAX_DATAGRAM_BYTES 65000

typedef struct hs_peer_socket hs_peer_socket;

/** Handles a message on the receiving thread. @p from: the sender's address. */
typedef void (*hs_peer_handler)(const Hs__PeerMessage *message, const struct sockaddr_in *from,
                                void *user_data);

/** Returns the network distance to the daemon at an IPv4 address in host order. Thread-safe. */
typedef hs_distance (*hs_peer_distance_lookup)(uint32_t address, uint16_t port, void *user_data);

/** Counters since the creation of the socket. */
typedef struct {
    uint64_t sent_messages;
    uint64_t sent_bytes;
    uint64_t received_messages;
    uint64_t received_bytes;
    uint64_t malformed; /**< Datagrams received that are no valid message. */
} hs_peer_counters;

/** Binds to an IPv4 address and a port. Returns NULL with @p error on failure. */
hs_peer_socket *hs_peer_socket_new(const char *address, uint16_t port, hs_error *error);

/**
 * Sets the lookup by which sent bytes are counted; without it, each distance is to another zone. To
 * be called before the first message is sent.
 */
void hs_peer_socket_set_distance_lookup(hs_peer_socket *socket, hs_peer_distance_lookup lookup,
                                        void *user_data);

/** Starts the receiving thread. */
void hs_peer_socket_start(hs_peer_socket *socket, hs_peer_handler handler, void *user_data);
/** Ends the receiving thread. Only allowed after the start. */
void hs_peer_socket_stop(hs_peer_socket *socket);
/** Frees a socket whose thread does not run. NULL is allowed. */
void hs_peer_socket_free(hs_peer_socket *socket);

/**
 * Sends a message to an IPv4 address in host order. A message that is too large or cannot be sent
 * is dropped. Thread-safe.
 */
void hs_peer_socket_send(hs_peer_socket *socket, uint32_t address, uint16_t port,
                         const Hs__PeerMessage *message);

/** Metrics of the sent bytes by kind of message and distance. Thread-safe. Free with g_free. */
char *hs_peer_socket_describe(hs_peer_socket *socket);

/** Returns a copy of the counters. Thread-safe. */
hs_peer_counters hs_peer_socket_counters(hs_peer_socket *socket);

#endif
