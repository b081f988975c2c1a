/**
 * @file log_store.h
 * Stand-in for the platform's log store, run in the process of the test: topics with partitions,
 * keyed topics, one consumer group, trimming, and injected faults. There are no limits on size or
 * rate. The functions are thread-safe, except log_store_stop.
 */
#ifndef STANDIN_LOG_STORE_LOG_STORE_H
#define STANDIN_LOG_STORE_LOG_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct log_store log_store;

/** How the store handles calls. */
typedef enum {
    LOG_STORE_HEALTHY,
    LOG_STORE_REFUSES,      /**< Status 503; the call has no effect. */
    LOG_STORE_THROTTLES,    /**< Status 429; the call has no effect. */
    LOG_STORE_UNRESPONSIVE, /**< No response; the call has no effect. */
    LOG_STORE_LOSES_ANSWER, /**< No response and a closed connection; the call takes effect. */
    LOG_STORE_DROPS_CALLS,  /**< No response and a closed connection; the call has no effect. */
} log_store_mode;

/** Listens on 127.0.0.1, on a leased port if @p port is 0. Free with log_store_stop. */
log_store *log_store_start(uint16_t port);
void log_store_stop(log_store *store);
uint16_t log_store_port(const log_store *store);

/** Sets the mode of the next @p count calls whose target begins with @p prefix (NULL: any). */
void log_store_set_mode(log_store *store, log_store_mode mode, const char *prefix, uint32_t count);

/** Delays each call. */
void log_store_set_delay(log_store *store, uint32_t delay_ms);

/** Appends a record to a keyed topic. An empty value deletes the key. */
void log_store_put(log_store *store, const char *topic, const char *key, const char *value);

/** Appends a record of a keyed topic as it is, also one without a valid key. */
void log_store_put_raw(log_store *store, const char *topic, const void *record, size_t length);

/** Removes all records of a topic. The newest values of a keyed topic remain. */
void log_store_discard_records(log_store *store, const char *topic);

/** Revokes all partitions and assigns each one to the next member. */
void log_store_rebalance(log_store *store);

/** Returns the count of calls whose target begins with @p prefix, failed ones included. */
uint32_t log_store_call_count(log_store *store, const char *prefix);

#endif
