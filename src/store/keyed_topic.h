/**
 * @file keyed_topic.h
 * Reads and writes the records of a topic for which the store keeps the newest record of each key.
 */
#ifndef HS_STORE_KEYED_TOPIC_H
#define HS_STORE_KEYED_TOPIC_H

#include "store/store_client.h"

/** Receives one record, valid during the call. A removed key has a value of length 0. */
typedef void (*hs_keyed_topic_callback)(const hs_newest_entry *entry, void *user_data);

/**
 * Reads the newest record of each key, page by page, and calls @p on_record for each. The pages are
 * no common snapshot. @p timeout_ms is the timeout of each page. Returns false if a page could not
 * be read; the records of earlier pages were passed to @p on_record.
 */
bool hs_keyed_topic_read(hs_store_client *store, hs_topic topic, uint32_t timeout_ms,
                         hs_keyed_topic_callback on_record, void *user_data);

/** Writes one record; @p length 0 removes the key. */
hs_store_outcome hs_keyed_topic_write(hs_store_client *store, hs_topic topic, const char *key,
                                      const void *value, size_t length, uint32_t timeout_ms);

#endif
