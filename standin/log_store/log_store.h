/**
 * @file log_store.h
 * Stand-in for the platform's log store, in the process of whoever starts it: topics with
 * partitions, keyed topics, groups, producers' epochs, trimming; and switches for its faults.
 * Sizes, rates and prices are not kept.
 */
#ifndef STANDIN_LOG_STORE_LOG_STORE_H
#define STANDIN_LOG_STORE_LOG_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct log_store log_store;

/** How the store behaves towards calls; a pattern of targets may limit it. */
typedef enum {
    LOG_STORE_SOUND,
    LOG_STORE_REFUSES,      /**< 503: nothing is done. */
    LOG_STORE_THROTTLES,    /**< 429: nothing is done. */
    LOG_STORE_SILENT,       /**< Nothing is done, no answer comes. */
    LOG_STORE_LOSES_ANSWER, /**< Done, and the connection ends without an answer. */
    LOG_STORE_DROPS,        /**< Nothing is done, and the connection ends without an answer. */
} log_store_mode;

/** Listen on 127.0.0.1; the port is chosen by the system when @p port is 0. */
log_store *log_store_start(uint16_t port);
void log_store_stop(log_store *store);
uint16_t log_store_port(const log_store *store);

/** Faults for calls whose target begins with @p prefix (NULL: all), for the next @p count calls. */
void log_store_set_mode(log_store *store, log_store_mode mode, const char *prefix, uint32_t count);

/** Answer each call this much later. */
void log_store_set_delay(log_store *store, uint32_t delay_ms);

/** Write a record under a key, as operators and engines do; an empty value drops the key. */
void log_store_put(log_store *store, const char *topic, const char *key, const char *value);

/** Forget the records of a topic; in keyed topics the newest of each key stays. */
void log_store_forget(log_store *store, const char *topic);

/** Deal all partitions of all groups anew. */
void log_store_rebalance(log_store *store);

/** Calls so far whose target begins with @p prefix. */
uint32_t log_store_calls(log_store *store, const char *prefix);

#endif
