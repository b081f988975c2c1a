/**
 * @file engine_source.h
 * Applies the records of the store's engine topic to the engine table.
 *
 * A thread reads the topic's feed (feed/state_feed.h): in a small fleet at a fixed interval, as the
 * number of changes is not bounded; in a large one with long polls, of which few reach the store. A
 * source may be used by any thread from its creation until it is freed.
 */
#ifndef HS_FLEET_ENGINE_SOURCE_H
#define HS_FLEET_ENGINE_SOURCE_H

#include "feed/state_feed.h"
#include "fleet/fleet_engines.h"
#include "fleet/peer_state.h"
#include "platform/entry_codec.h"
#include "store/store_client.h"

typedef struct hs_engine_source hs_engine_source;

/**
 * Creates a source; free with hs_engine_source_free. @p store and @p engines are borrowed.
 * @p drain_ms is the time after which a draining engine must get no new requests; the read interval
 * is a fraction of that time. @p heartbeat_ms is the time between heartbeats of an engine.
 *
 * Entries may expire while the store is unavailable, because engines cannot write heartbeats. After
 * such an outage, engines without an entry stay in the table for a short time, in which healthy
 * engines register again.
 */
hs_engine_source *hs_engine_source_new(hs_store_client *store, hs_fleet_engines *engines,
                                       uint32_t drain_ms, uint32_t heartbeat_ms);

/** Returns the feed of the topic, which the source owns. */
hs_state_feed *hs_engine_source_feed(hs_engine_source *source);

/** Starts the thread. */
void hs_engine_source_start(hs_engine_source *source);

/** Returns the number of entries rejected so far because of @p fault. */
uint32_t hs_engine_source_rejected_count(hs_engine_source *source, hs_entry_fault fault);

/** Whether the last read of the store failed, and no daemon has given more recent entries. */
bool hs_engine_source_is_disconnected(hs_engine_source *source);

/**
 * Joins the thread; what it read stays readable. May be called more than once. The store client
 * must have been abandoned before, so that a read in progress ends.
 */
void hs_engine_source_stop(hs_engine_source *source);

/** Stops and frees the source. NULL is allowed. */
void hs_engine_source_free(hs_engine_source *source);

/** Whether the list of engines is known, from the store or from another daemon. */
bool hs_engine_source_has_list(hs_engine_source *source);

/**
 * Returns the engines' entries with the ages of their reads; they are given to other daemons.
 * Free with g_ptr_array_unref.
 */
GPtrArray *hs_engine_source_list_entries(hs_engine_source *source, uint64_t now_ms);

/**
 * Applies the entries (of hs_peer_entry*) that another daemon gave. Their ages, and @p age_ms of
 * the whole list, count from @p asked_ms, when the daemon was asked. Does nothing once a list is
 * known. The store's first list replaces these engines, or, after an outage in which entries may
 * have expired, does so as after any such outage. Returns whether the entries were applied.
 */
bool hs_engine_source_apply_from_peer(hs_engine_source *source, const GPtrArray *entries,
                                      uint64_t asked_ms, uint64_t age_ms);

/**
 * Returns the monotonic time at which the last answered read of the store was sent, by this daemon
 * or by one from which it has the entries: the table reflects the store at that time or later. 0:
 * unknown.
 */
uint64_t hs_engine_source_as_of_ms(hs_engine_source *source);

#endif
