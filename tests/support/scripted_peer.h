/**
 * @file scripted_peer.h
 * A TCP server that answers each request with the bytes of a script, for responses that a
 * conforming HTTP server does not send. The script may be replaced by any thread.
 */
#ifndef TESTS_SUPPORT_SCRIPTED_PEER_H
#define TESTS_SUPPORT_SCRIPTED_PEER_H

#include <stddef.h>
#include <stdint.h>

typedef struct scripted_peer scripted_peer;

/** What the peer does after the script's bytes. */
typedef enum {
    PEER_CLOSES,
    PEER_RESETS,
    PEER_GOES_SILENT,
    PEER_KEEPS_OPEN, /**< Reads the next request on the connection and answers again. */
} peer_ending;

/** How the peer answers each request. */
typedef struct {
    const char *bytes;
    size_t length;
    peer_ending ending;
    size_t read_limit; /**< Bytes of the request to read before the answer; 0: the head. */
} peer_script;

scripted_peer *scripted_peer_start(void);
void scripted_peer_stop(scripted_peer *peer);
uint16_t scripted_peer_port(const scripted_peer *peer);

/** Sets the script of later requests, also on open connections; copies the bytes. */
void scripted_peer_set(scripted_peer *peer, const peer_script *script);

/** Returns the count of requests read so far. */
uint32_t scripted_peer_request_count(scripted_peer *peer);

#endif
