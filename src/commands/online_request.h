/**
 * @file online_request.h
 * One online request on its way: attempts at engines on a worker thread, its tokens taken by the
 * connection's thread through a bounded queue.
 *
 * The connection gives up at the deadline or when the caller hangs up: it answers at once, and
 * cancels at the engine over a second connection.
 */
#ifndef HS_COMMANDS_ONLINE_REQUEST_H
#define HS_COMMANDS_ONLINE_REQUEST_H

#include "node/node.h"

#include <jansson.h>

/** RUNNING -> one of the others, once, by the worker (or DEADLINE, by the connection). */
typedef enum {
    HS_ONLINE_RUNNING,
    HS_ONLINE_WHOLE,
    HS_ONLINE_INVALID,      /**< The engine calls it invalid; it did not run. */
    HS_ONLINE_NOT_RUN,      /**< No engine took it; it certainly did not run. */
    HS_ONLINE_MAY_HAVE_RUN, /**< It failed after a byte may have reached an engine. */
    HS_ONLINE_DUPLICATE     /**< Another attempt holds its key, and its answer cannot be read. */
} hs_online_state;

typedef struct {
    hs_node *node; /**< Borrowed. */
    char *request_id;
    char *tenant;
    char *model;
    json_t *body;
    bool chat;
    bool stream; /**< Tokens are passed on as they come, so that no other attempt may start. */
    bool run_once;
    char *key_hash;        /**< Of a run-once request with an idempotency key; NULL: none. */
    int caller_descriptor; /**< The caller's socket, to be watched only; -1: none. */
    uint64_t prefix_hash;
    uint64_t deadline_ms; /**< Of the monotonic clock. */
    uint64_t started_ms;
    hs_config_view *view;
    const hs_engine_group *group; /**< Of the view. */

    GMutex lock;
    GCond changed;
    GQueue events; /**< of json_t*: token events not yet taken */
    hs_online_state state;
    bool abandoned; /**< Nobody waits for it any more. */
    uint32_t token_count;
    char attempt_id[96]; /**< At the engine now working on it; empty: none. */
    char engine_url[64];
    char failure[160];       /**< Why it did not come whole. */
    bool byte_may_have_left; /**< Some attempt may have reached an engine. */
} hs_online_request;

/** Start the request; the fields above @c lock are taken over. Returns a reference. */
hs_online_request *hs_online_request_start(hs_node *node, const hs_online_request *fields);

void hs_online_request_release(hs_online_request *request);

/**
 * Wait for the next token event until the deadline, or until the caller has left.
 * @return the event (owned), or NULL when the request has ended, the deadline passed or the caller
 *         has left; @p state tells which (RUNNING: one of the latter two).
 */
json_t *hs_online_request_next(hs_online_request *request, hs_online_state *state);

/** Nobody waits any more: stop the attempt and cancel it at the engine. */
void hs_online_request_abandon(hs_online_request *request);

/** The worker's body; given to the node's thread pool. */
void hs_online_request_work(gpointer request, gpointer unused);

#endif
