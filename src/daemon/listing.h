/**
 * @file listing.h
 * Thread that polls the platform's machine list: engines go to the engine table, daemons are
 * proposed to membership. The thread also evicts idle replicas, renews the counts of open online
 * requests, applies peers' knowledge of leaving engines and synchronises the configuration.
 */
#ifndef HS_DAEMON_LISTING_H
#define HS_DAEMON_LISTING_H

#include "node/node.h"

typedef struct hs_listing hs_listing;

/** Starts the thread. @p node is borrowed. */
hs_listing *hs_listing_start(hs_node *node);
/** Stops and joins the thread and frees @p listing. */
void hs_listing_stop(hs_listing *listing);

#endif
