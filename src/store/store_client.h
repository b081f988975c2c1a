/**
 * @file store_client.h
 * Calls to the platform's log store over kept connections; shared by all duties of a daemon.
 *
 * A call that got no answer may have been done, or may be done later. That is HS_STORE_UNKNOWN and
 * never anything else, so that a caller can't take it for a refusal.
 */
#ifndef HS_STORE_STORE_CLIENT_H
#define HS_STORE_STORE_CLIENT_H

#include "base/interrupt.h"
#include "heathsail/fleet.h"
#include "platform/store_codec.h"

#include <glib.h>
#include <stdint.h>

/** What is known of a call's effect. */
typedef enum {
    HS_STORE_DONE,
    HS_STORE_REFUSED,  /**< Nothing was done; later it may be. */
    HS_STORE_FULL,     /**< Nothing was done: no room. */
    HS_STORE_CONFLICT, /**< Nothing was done: a condition did not hold. */
    HS_STORE_GONE,     /**< The records asked for were removed. */
    HS_STORE_INVALID,  /**< Nothing was done: the call was wrong. */
    HS_STORE_UNKNOWN,  /**< No answer. */
} hs_store_outcome;

typedef struct hs_store_client hs_store_client;

/** Counters of calls, for metrics. */
typedef struct {
    uint64_t calls;
    uint64_t refused;
    uint64_t unknown;
    uint64_t bytes_sent;
    uint64_t bytes_received;
} hs_store_counters;

/** Make a client of the store at an IPv4 address. Nothing is sent yet. */
hs_store_client *hs_store_client_new(uint32_t address, uint16_t port);

/** NULL is allowed. No call may be under way. */
void hs_store_client_free(hs_store_client *client);

/**
 * Send @p call, free its parts and put the answer's body into @p answer (emptied first). While the
 * store is away (hs_store_client_is_failing) an append may be held back for a moment and end as
 * HS_STORE_REFUSED without being sent.
 * @p interrupt: see hs_wait; may be NULL.
 */
hs_store_outcome hs_store_client_send(hs_store_client *client, hs_store_call *call,
                                      hs_deadline deadline, hs_interrupt *interrupt,
                                      GByteArray *answer);

/**
 * Time in ms to wait for the answer of the @p attempt-th try (from 0) of a write of @p bytes: a few
 * times what answers to writes took of late, since a lost answer never comes, and longer each time.
 */
uint64_t hs_store_client_patience_ms(hs_store_client *client, uint32_t attempt, size_t bytes);

/** Whether calls failed of late, several in a row: the store is away, or turns this daemon away. */
bool hs_store_client_is_failing(hs_store_client *client);

/** Interrupt all calls, now and from now on; for the daemon's stop. */
void hs_store_client_abandon(hs_store_client *client);

hs_store_counters hs_store_client_counters(hs_store_client *client);

/** Text of an outcome, for logs. */
const char *hs_store_outcome_name(hs_store_outcome outcome);

#endif
