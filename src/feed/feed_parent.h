/**
 * @file feed_parent.h
 * The connection to the daemon that is followed, and when to follow another one. The decisions are
 * pure; only hs_feed_parent_ask does I/O. Used by one thread.
 */
#ifndef HS_FEED_FEED_PARENT_H
#define HS_FEED_FEED_PARENT_H

#include "base/interrupt.h"
#include "feed/feed_codec.h"
#include "feed/feed_tree.h"
#include "http/client_connection.h"

/** How a request ended. */
typedef enum {
    HS_FEED_ASK_FRESH,    /**< Records that are recent enough, or more recent than those held. */
    HS_FEED_ASK_STALE,    /**< Records that the store has not confirmed for long. */
    HS_FEED_ASK_CUT_OFF,  /**< Records that nothing confirms; see feed_duty.h. */
    HS_FEED_ASK_REFUSED,  /**< The daemon has no records yet, or too many followers. */
    HS_FEED_ASK_FAILED,   /**< No answer in time, or no connection. */
    HS_FEED_ASK_REJECTED, /**< A malformed answer. */
} hs_feed_ask_result;

/** Returns the name of a result for log lines. */
const char *hs_feed_ask_result_name(hs_feed_ask_result result);

/** Which daemon is followed. Zero-initialise. */
typedef struct {
    uint32_t attempt;  /**< See hs_feed_tree_parent. */
    uint64_t since_ms; /**< Since when this attempt is used. */
    bool is_fresh;     /**< The last answer was; unset after a read of the store. */
    hs_client_connection *connection;
    uint32_t address; /**< Of the connection. */
    uint16_t port;
} hs_feed_parent;

/**
 * Records a result and decides whom to ask next: after a failure another daemon at once, after
 * stale or refused answers once they last; after a time with another daemon the parent again. A
 * reader, which lacks the store then and which others follow, looks for recent records without
 * patience. Returns whether another daemon is to be asked because of the result.
 */
bool hs_feed_parent_note(hs_feed_parent *parent, hs_feed_ask_result result, bool is_reader,
                         uint64_t now_ms);

/**
 * Sends a request for changes of the topic @p name to @p node and reads the answer, on a kept
 * connection if there is one. Returns the status of the answer, 0 if there is none; the answer's
 * bytes replace those in @p body.
 */
uint32_t hs_feed_parent_ask(hs_feed_parent *parent, const hs_feed_node *node, const char *name,
                            const hs_feed_request *request, hs_interrupt *stop, GByteArray *body);

/** Closes the connection. */
void hs_feed_parent_clear(hs_feed_parent *parent);

#endif
