/**
 * @file config_store.h
 * Holds the current configuration of this daemon. A thread folds the configuration stream; a state
 * with a higher offset may also be adopted from a peer. The offset never decreases.
 *
 * The functions may be called from any thread, except for new, free, start and stop.
 */
#ifndef HS_CONFIG_CONFIG_STORE_H
#define HS_CONFIG_CONFIG_STORE_H

#include "config/config_view.h"
#include "store/log_client.h"

#define HS_CONFIG_STREAM "config"

typedef struct hs_config_store hs_config_store;

/** Creates a store with an empty configuration at offset 0. @p log must outlive the store. */
hs_config_store *hs_config_store_new(const hs_log_client *log);

/** Frees a store whose reader thread was never started. */
void hs_config_store_free(hs_config_store *store);

/** Starts the reader thread. */
void hs_config_store_start(hs_config_store *store);

/**
 * Requests the reader thread to end, without waiting for it. The thread may still be in a read, so
 * the store must not be freed afterwards.
 */
void hs_config_store_stop(hs_config_store *store);

/** Returns a reference to the current view; release with hs_config_view_release. */
hs_config_view *hs_config_store_acquire_view(hs_config_store *store);

/** Returns the offset of the next record to fold. */
uint64_t hs_config_store_offset(hs_config_store *store);

/**
 * Returns whether the configuration is confirmed as current: the end of the stream was read, or
 * hs_config_store_confirm was called. hs_config_store_mark_unconfirmed resets this.
 */
bool hs_config_store_is_confirmed(hs_config_store *store);

/** Marks the configuration as possibly outdated until it is confirmed again. */
void hs_config_store_mark_unconfirmed(hs_config_store *store);

/**
 * Reads the stream to its end on the caller's thread and confirms the configuration. Returns false
 * if a read fails.
 */
bool hs_config_store_catch_up(hs_config_store *store);

/** Confirms the configuration, as enough peers report no higher offset. */
void hs_config_store_confirm(hs_config_store *store);

/**
 * Replaces the configuration by @p fold, a peer's state, if its offset is higher. Takes ownership
 * of @p fold in any case. Returns whether the state was adopted.
 */
bool hs_config_store_adopt(hs_config_store *store, hs_config_fold *fold);

/** Calls @p reader with the fold while the store is locked; the fold must not be kept. */
void hs_config_store_read(hs_config_store *store,
                          void (*reader)(const hs_config_fold *fold, void *user_data),
                          void *user_data);

/** Watches for the verdict on a change. Call before the change is appended. */
void hs_config_store_watch(hs_config_store *store, const char *change_id);

/**
 * Waits for the verdict on a watched change until @p deadline_ms of the monotonic clock. Returns
 * whether the verdict is known; then @p verdict and the object's @p revision are set.
 */
bool hs_config_store_await(hs_config_store *store, const char *change_id, uint64_t deadline_ms,
                           hs_change_verdict *verdict, uint64_t *revision);

/** Stops watching a change. */
void hs_config_store_unwatch(hs_config_store *store, const char *change_id);

#endif
