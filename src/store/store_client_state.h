/** @file store_client_state.h  Internals of a store client, shared by its parts. */
#ifndef HS_STORE_STORE_CLIENT_STATE_H
#define HS_STORE_STORE_CLIENT_STATE_H

#include "store/store_client.h"

#include "http/client_connection.h"
#include "store/read_times.h"

#include <glib.h>

/** Maximum size of a response. */
#define HS_STORE_MAX_RESPONSE_BYTES (32U * 1024 * 1024)

struct hs_store_client {
    uint32_t address;
    uint16_t port;
    char host[32];
    GMutex lock;
    GQueue idle; /**< Of hs_client_connection*; the most recently used last. */
    hs_store_counters counters;
    uint32_t consecutive_failures;
    uint64_t last_failed_read_ms; /**< See hs_store_client_last_failed_read_ms. */
    GCond recovered;              /**< Calls no longer fail, or the client is interrupted. */
    uint64_t next_store_probe_ms; /**< While calls fail: when the next append may be sent. */
    bool is_interrupted;
    double mean_write_ms; /**< Moving average of the response times of small writes. */
    hs_read_times read_times;
    hs_interrupt calls_interrupt;
};

/** Returns an idle connection from the pool, or NULL. */
hs_client_connection *hs_store_client_take_idle(hs_store_client *client);

/** Connects to the store. Returns NULL on failure. */
hs_client_connection *hs_store_client_connect(hs_store_client *client, const hs_wait *wait);

/** Puts a connection whose response is complete into the pool, or closes it. */
void hs_store_client_return(hs_store_client *client, hs_client_connection *connection);

/** Closes all idle connections; used when one was lost, as the others may be lost too. */
void hs_store_client_close_idle(hs_store_client *client);

/** Returns the head of the request for @p call with the target @p target. */
GString *hs_store_client_write_head(const hs_store_client *client, const hs_store_call *call,
                                    const char *target);

/** Counts a request that was sent, and its response. */
void hs_store_client_count_call(hs_store_client *client, size_t sent, size_t received);

/** Counts the outcome of a call, and wakes waiting appends if calls no longer fail. */
void hs_store_client_note_outcome(hs_store_client *client, hs_store_outcome outcome);

/** Returns the outcome that a response's status stands for. */
hs_store_outcome hs_store_client_classify_status(uint32_t status);

/**
 * Makes a read. It is sent again on a new connection while there is no answer; the first answer
 * counts. Notes the outcome.
 */
hs_store_outcome hs_store_client_read(hs_store_client *client, const hs_store_call *call,
                                      const hs_wait *wait, GByteArray *response);

#endif
