/**
 * @file config_store.h
 * The configuration in force on this daemon: folded from the log by a thread of its own, or taken
 * from a peer that is ahead. The folded offset only ever grows.
 */
#ifndef HS_CONFIG_CONFIG_STORE_H
#define HS_CONFIG_CONFIG_STORE_H

#include "config/config_view.h"
#include "store/log_client.h"

#define HS_CONFIG_STREAM "config"

typedef struct hs_config_store hs_config_store;

/** @p log is borrowed and must outlive the store. */
hs_config_store *hs_config_store_new(const hs_log_client *log);
void hs_config_store_free(hs_config_store *store);

void hs_config_store_start(hs_config_store *store);
/** Ask the reader to end; it may still be in its last read, so that the store is not freed. */
void hs_config_store_stop(hs_config_store *store);

/** The view in force. Release with hs_config_view_release. */
hs_config_view *hs_config_store_view(hs_config_store *store);

uint64_t hs_config_store_offset(hs_config_store *store);

/** True once the stream's end was reached, or a peer's state was confirmed. */
bool hs_config_store_is_confirmed(hs_config_store *store);

/** What is known may be old: the offset must be confirmed anew. */
void hs_config_store_doubt(hs_config_store *store);

/** Read the stream to its end at once, on the caller's thread; confirms. False when it fails. */
bool hs_config_store_catch_up(hs_config_store *store);

/** Say that enough peers hold no higher offset (see daemon/config_sync.c). */
void hs_config_store_confirm(hs_config_store *store);

/** Take over a peer's state if it is ahead; takes ownership of @p fold. True when adopted. */
bool hs_config_store_adopt(hs_config_store *store, hs_config_fold *fold);

/** Run @p reader on the fold under the lock. */
void hs_config_store_read(hs_config_store *store,
                          void (*reader)(const hs_config_fold *fold, void *user_data),
                          void *user_data);

/** Register interest in a change before it is appended. */
void hs_config_store_watch(hs_config_store *store, const char *change_id);

/**
 * Wait for the verdict on a watched change, at most until @p deadline_ms of the monotonic clock.
 * @return true when known; @p verdict and the object's @p revision are set.
 */
bool hs_config_store_await(hs_config_store *store, const char *change_id, uint64_t deadline_ms,
                           hs_change_verdict *verdict, uint64_t *revision);

/** End the interest in a change. */
void hs_config_store_unwatch(hs_config_store *store, const char *change_id);

#endif
