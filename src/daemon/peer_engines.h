/**
 * @file peer_engines.h
 * Fetches the engine list from a peer, for a daemon that starts while the machine list cannot be
 * read.
 */
#ifndef HS_DAEMON_PEER_ENGINES_H
#define HS_DAEMON_PEER_ENGINES_H

#include "node/node.h"

/**
 * Fetches the engines of one live peer and puts them into the engine table. Returns false if no
 * peer is known, the peer does not respond or lists no engine.
 */
bool hs_peer_engines_fetch(hs_node *node);

#endif
