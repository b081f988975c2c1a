/**
 * @file online_key.h
 * Run-once online requests under an idempotency key: the log holds which attempt may run, so that
 * a request resent through any daemon runs at most once.
 */
#ifndef HS_COMMANDS_ONLINE_KEY_H
#define HS_COMMANDS_ONLINE_KEY_H

#include "node/node.h"

typedef enum {
    HS_KEY_OURS,    /**< Our attempt may be sent to the named engine. */
    HS_KEY_TAKEN,   /**< Another attempt holds the key; @c holder tells which. */
    HS_KEY_UNKNOWN, /**< The log cannot tell now; nothing was sent, nor will be. */
} hs_key_result;

/** The attempt that holds a key. */
typedef struct {
    char attempt_id[96];
    char engine_url[64];
} hs_key_holder;

/** Digest of tenant and key. Free with g_free. */
char *hs_online_key_hash(const char *tenant, const char *key);

/** Write our intent for the engine and read it back. */
hs_key_result hs_online_key_take(hs_node *node, const char *key_hash, const char *attempt_id,
                                 const char *engine_url, hs_key_holder *holder);

/** Free the key: our attempt was never sent. Retries for a while; runs on a worker thread. */
void hs_online_key_void(hs_node *node, const char *key_hash, const char *attempt_id);

#endif
