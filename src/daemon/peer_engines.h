/**
 * @file peer_engines.h
 * Engines from a peer, for a daemon that starts while the machine list cannot be read.
 */
#ifndef HS_DAEMON_PEER_ENGINES_H
#define HS_DAEMON_PEER_ENGINES_H

#include "node/node.h"

/** Ask one live peer for its engines and list them. False when none answered. */
bool hs_peer_engines_fetch(hs_node *node);

#endif
