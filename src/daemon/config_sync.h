/**
 * @file config_sync.h
 * Fetches the configuration from peers while the log cannot be read, and decides when a starting
 * daemon is ready. If gossip announces a higher configuration offset, the whole fold is fetched
 * from that peer. A daemon becomes ready once the log or a majority of the known members has
 * confirmed its offset, or unconfirmed after a time limit. Used by one thread.
 */
#ifndef HS_DAEMON_CONFIG_SYNC_H
#define HS_DAEMON_CONFIG_SYNC_H

#include "node/node.h"

typedef struct hs_config_sync hs_config_sync;

/** Free with hs_config_sync_free. @p node is borrowed. */
hs_config_sync *hs_config_sync_new(hs_node *node);
void hs_config_sync_free(hs_config_sync *sync);

/** Moves a READY node back to STARTING until its configuration offset is confirmed again. */
void hs_config_sync_restart(hs_config_sync *sync, uint64_t now_ms);

/** Fetches a newer configuration if one is announced and moves the node to READY when possible. */
void hs_config_sync_step(hs_config_sync *sync, uint64_t now_ms);

#endif
