/**
 * @file peer_socket.h
 * Datagrams between daemons (UDP, protobuf-c). Small, repeatable, and safe to lose.
 */
#ifndef HS_PEER_PEER_SOCKET_H
#define HS_PEER_PEER_SOCKET_H

#include "heathsail/error.h"

#include "gen/peer.pb-c.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdint.h>

#define HS_DATAGRAM_MAX 65000

typedef struct hs_peer_socket hs_peer_socket;

/** Runs on the receiving thread; @p from is the sender's address. */
typedef void (*hs_peer_handler)(const Hs__PeerMessage *message, const struct sockaddr_in *from,
                                void *user_data);

typedef struct {
    uint64_t sent_messages;
    uint64_t sent_bytes;
    uint64_t received_messages;
    uint64_t received_bytes;
    uint64_t malformed;
} hs_peer_counters;

/** Bind to an IPv4 number and port; NULL with @p error on failure. */
hs_peer_socket *hs_peer_socket_new(const char *address, uint16_t port, hs_error *error);

/** Start the receiving thread. */
void hs_peer_socket_start(hs_peer_socket *socket, hs_peer_handler handler, void *user_data);
void hs_peer_socket_stop(hs_peer_socket *socket);
void hs_peer_socket_free(hs_peer_socket *socket);

/** Send; a datagram that cannot be sent is dropped. Safe from any thread. */
void hs_peer_socket_send(hs_peer_socket *socket, uint32_t address, uint16_t port,
                         const Hs__PeerMessage *message);

hs_peer_counters hs_peer_socket_counters(hs_peer_socket *socket);

#endif
