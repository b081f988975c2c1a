/**
 * @file scripted_peer.h
 * A TCP server that reads one request a connection and answers with given bytes, cut where the
 * test wants it. For everything that a well-behaved HTTP library would not send.
 */
#ifndef TESTS_SUPPORT_SCRIPTED_PEER_H
#define TESTS_SUPPORT_SCRIPTED_PEER_H

#include <stddef.h>
#include <stdint.h>

typedef struct scripted_peer scripted_peer;

/** What follows the bytes. */
typedef enum {
    PEER_CLOSES,
    PEER_RESETS,
    PEER_GOES_SILENT,
    PEER_KEEPS_OPEN, /**< Reads the next request and answers with the same bytes again. */
} peer_ending;

/** What the peer does with each request. */
typedef struct {
    const char *bytes;
    size_t length;
    peer_ending ending;
    size_t read_limit; /**< Bytes of the request to read before answering; 0: its head. */
} peer_script;

scripted_peer *scripted_peer_start(void);
void scripted_peer_stop(scripted_peer *peer);
uint16_t scripted_peer_port(const scripted_peer *peer);

/** For requests from now on, also on open connections; the bytes are borrowed. */
void scripted_peer_set(scripted_peer *peer, const peer_script *script);

/** Requests whose head was read so far. */
uint32_t scripted_peer_requests(scripted_peer *peer);

#endif
