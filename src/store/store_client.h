/**
 * @file store_client.h
 * Client of the platform's log store over a pool of reused connections. A client may be used by any
 * thread; all components of a daemon share it.
 *
 * A call without a response may have taken effect, or may do so later. Its outcome is always
 * HS_STORE_UNKNOWN, so that it cannot be mistaken for a refusal.
 */
#ifndef HS_STORE_STORE_CLIENT_H
#define HS_STORE_STORE_CLIENT_H

#include "base/interrupt.h"
#include "heathsail/fleet.h"
#include "platform/store_codec.h"

#include <glib.h>
#include <stdint.h>

/** What is known about the effect of a call. */
typedef enum {
    HS_STORE_DONE,
    HS_STORE_REFUSED,  /**< No effect; a retry may succeed. */
    HS_STORE_FULL,     /**< No effect: the store has no capacity left. */
    HS_STORE_CONFLICT, /**< No effect: a condition of the call did not hold. */
    HS_STORE_GONE,     /**< The requested records have been removed. */
    HS_STORE_INVALID,  /**< No effect: the call is invalid. */
    HS_STORE_UNKNOWN,  /**< No usable response: the call may have taken effect. */
} hs_store_outcome;

typedef struct hs_store_client hs_store_client;

/** Totals since the client was created. */
typedef struct {
    uint64_t calls;
    uint64_t refused;
    uint64_t unknown;
    uint64_t bytes_sent;
    uint64_t bytes_received;
} hs_store_counters;

/** Creates a client of the store at an IPv4 address (host byte order), without connecting to it. */
hs_store_client *hs_store_client_new(uint32_t address, uint16_t port);

/** Frees a client without calls in progress. NULL is allowed. */
void hs_store_client_free(hs_store_client *client);

/**
 * Sends @p call, clears it, and replaces the contents of @p response by the response body. While
 * hs_store_client_is_failing, most appends are not sent: they wait for a short time and end as
 * HS_STORE_REFUSED. A read or a refused call that gets no body on a reused connection is repeated
 * once on a new connection. A read without an answer is sent again on new connections, see
 * hs_read_times_repeat_ms, and the first answer counts: a connection may be silent while new ones
 * work, and the store may merely be slow.
 * @p interrupt ends the call; if NULL, hs_store_client_interrupt_calls does. See hs_wait.
 */
hs_store_outcome hs_store_client_send(hs_store_client *client, hs_store_call *call,
                                      hs_deadline deadline, hs_interrupt *interrupt,
                                      GByteArray *response);

/**
 * Returns the timeout in ms for attempt @p attempt (from 0) of a write of @p bytes. The timeout is
 * a multiple of the recent mean response time of writes, doubles with each attempt and is bounded.
 */
uint64_t hs_store_client_write_timeout_ms(hs_store_client *client, uint32_t attempt, size_t bytes);

/**
 * Returns the limit in ms for attempt @p attempt (from 0) of a read that is given @p usual_ms while
 * the store is fast; see hs_read_times_limit_ms.
 */
uint64_t hs_store_client_read_limit_ms(hs_store_client *client, uint64_t usual_ms,
                                       uint32_t attempt);

/** Returns the monotonic time in ms at which a read failed last; 0: none has. */
uint64_t hs_store_client_last_failed_read_ms(hs_store_client *client);

/** Returns whether the last calls failed, several in a row. */
bool hs_store_client_is_failing(hs_store_client *client);

/** Ends all current and future calls that have no interrupt of their own; for shutdown. */
void hs_store_client_interrupt_calls(hs_store_client *client);

/** Returns a copy of the counters. */
hs_store_counters hs_store_client_get_counters(hs_store_client *client);

/** Returns the name of an outcome for log lines. */
const char *hs_store_outcome_name(hs_store_outcome outcome);

#endif
