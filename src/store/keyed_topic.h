/**
 * @file keyed_topic.h
 * Records under keys of one topic, of which the store keeps the newest: read all, write one.
 */
#ifndef HS_STORE_KEYED_TOPIC_H
#define HS_STORE_KEYED_TOPIC_H

#include "store/store_client.h"

/** Takes one record; a record that was dropped comes with no value. Nothing is to be kept. */
typedef void (*hs_keyed_taker)(const hs_newest_entry *entry, void *user_data);

/**
 * Read the newest record of each key, page by page: no snapshot. @p call_limit_ms: for each page.
 * False when it was not read to its end; what was read before has been taken.
 */
bool hs_keyed_topic_read(hs_store_client *store, hs_topic topic, uint32_t call_limit_ms,
                         hs_keyed_taker take, void *user_data);

/** Write one record; @p length 0 drops the key. */
hs_store_outcome hs_keyed_topic_write(hs_store_client *store, hs_topic topic, const char *key,
                                      const void *value, size_t length, uint32_t call_limit_ms);

#endif
