/**
 * @file online_request.h
 * An online request. A worker thread runs attempts on engines and queues token events, up to a
 * limit, for the connection's thread.
 *
 * At the deadline, or when the caller disconnects, the connection's thread abandons the request,
 * which cancels the attempt at its engine over a second connection. Requests are reference-counted;
 * @c lock guards the fields that both threads use.
 */
#ifndef HS_COMMANDS_ONLINE_REQUEST_H
#define HS_COMMANDS_ONLINE_REQUEST_H

#include "node/node.h"

#include <jansson.h>

/** The worker moves a request from RUNNING to one of the other states, once. */
typedef enum {
    HS_ONLINE_RUNNING,
    HS_ONLINE_COMPLETED,
    HS_ONLINE_INVALID,      /**< The engine rejected the request as invalid; it did not run. */
    HS_ONLINE_NOT_RUN,      /**< No engine accepted the request; it did not run. */
    HS_ONLINE_MAY_HAVE_RUN, /**< The request failed after an engine may have received it. */
    HS_ONLINE_DUPLICATE     /**< Another attempt holds the key and its response cannot be read. */
} hs_online_state;

typedef struct {
    hs_node *node; /**< Borrowed. */
    char *request_id;
    char *tenant;
    char *model;
    json_t *body;
    bool chat;
    bool stream; /**< The caller receives tokens as they arrive; none may be sent twice. */
    bool run_once;
    char *key_hash;        /**< Digest of the idempotency key of a run-once request; NULL: none. */
    int caller_descriptor; /**< Caller's socket, checked for disconnection only; -1: none. */
    uint64_t prefix_hash;
    uint64_t deadline_ms; /**< Monotonic clock. */
    uint64_t started_ms;
    hs_config_view *view;
    const hs_engine_group *group; /**< Owned by @c view. */

    GMutex lock;
    GCond changed;
    GQueue events; /**< Of json_t *: token events not yet sent to the caller. */
    hs_online_state state;
    bool abandoned; /**< The connection no longer waits for the result. */
    uint32_t token_count;
    char attempt_id[96]; /**< Attempt to cancel if the request is abandoned; empty: none. */
    char engine_url[64];
    char failure[160];            /**< Why the request did not complete. */
    bool may_have_reached_engine; /**< An engine may have received an attempt. */
} hs_online_request;

/**
 * Starts the request on a worker thread. Takes ownership of what the fields of @p fields above
 * @c lock point to. Free the returned reference with hs_online_request_release.
 */
hs_online_request *hs_online_request_start(hs_node *node, const hs_online_request *fields);

void hs_online_request_release(hs_online_request *request);

/**
 * Waits for the next token event until the deadline, until the caller disconnects or until the
 * daemon's stop ends open requests.
 * @return the event (caller owns it), or NULL if the request has ended or is not waited for any
 *         longer; @p state is RUNNING in the latter case.
 */
json_t *hs_online_request_wait_for_event(hs_online_request *request, hs_online_state *state);

/** Stops the running attempt and cancels it at the engine. */
void hs_online_request_abandon(hs_online_request *request);

/** Runs a request's attempts and drops the worker's reference; a GFunc of the node's thread pool.
 */
void hs_online_request_work(gpointer request, gpointer unused);

#endif
