/**
 * @file config_sync.h
 * Configuration from peers while the log cannot be read: a peer whose gossip names a higher
 * offset is asked for its whole fold. After a bound a daemon that was never confirmed by the log
 * serves all the same, if a majority of the members it can name was heard, or the bound is over.
 */
#ifndef HS_DAEMON_CONFIG_SYNC_H
#define HS_DAEMON_CONFIG_SYNC_H

#include "node/node.h"

typedef struct hs_config_sync hs_config_sync;

hs_config_sync *hs_config_sync_new(hs_node *node);
void hs_config_sync_free(hs_config_sync *sync);

/** Back from READY to STARTING, until the offset is confirmed again. */
void hs_config_sync_restart(hs_config_sync *sync, uint64_t now_ms);

/** One step; also moves the node from STARTING to READY. */
void hs_config_sync_step(hs_config_sync *sync, uint64_t now_ms);

#endif
