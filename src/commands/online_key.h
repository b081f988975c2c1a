/**
 * @file online_key.h
 * Idempotency keys of run-once online requests. The log records which attempt holds a key, so that
 * a request resent through any daemon runs at most once. Functions may be called by any thread and
 * block on the log.
 */
#ifndef HS_COMMANDS_ONLINE_KEY_H
#define HS_COMMANDS_ONLINE_KEY_H

#include "node/node.h"

typedef enum {
    HS_ONLINE_KEY_ACQUIRED, /**< The attempt holds the key and may be sent to the engine. */
    HS_ONLINE_KEY_HELD,     /**< Another attempt holds the key. */
    HS_ONLINE_KEY_UNKNOWN,  /**< The key's holder is unknown; the attempt must not be sent. */
} hs_online_key_result;

/** The attempt that holds a key. */
typedef struct {
    char attempt_id[96];
    char engine_url[64];
} hs_online_key_holder;

/** Returns a digest of tenant and key. Free with g_free. */
char *hs_online_key_hash(const char *tenant, const char *key);

/**
 * Appends the attempt's intent to run on the engine and reads the log back. @p holder receives the
 * attempt that holds the key; empty if none does.
 */
hs_online_key_result hs_online_key_acquire(hs_node *node, const char *key_hash,
                                           const char *attempt_id, const char *engine_url,
                                           hs_online_key_holder *holder);

/**
 * Releases the key of an attempt that was not sent. Blocks for up to a minute while the log cannot
 * be written, so that only worker threads may call it.
 */
void hs_online_key_release(hs_node *node, const char *key_hash, const char *attempt_id);

#endif
