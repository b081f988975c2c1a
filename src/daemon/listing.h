/**
 * @file listing.h
 * Reads the platform's machine list again and again: engines into the engine table, daemons as
 * proposals to membership. While it is at it, it renews the counts of open online requests and,
 * when a peer holds a newer configuration, fetches it.
 */
#ifndef HS_DAEMON_LISTING_H
#define HS_DAEMON_LISTING_H

#include "node/node.h"

typedef struct hs_listing hs_listing;

hs_listing *hs_listing_start(hs_node *node);
void hs_listing_stop(hs_listing *listing);

#endif
