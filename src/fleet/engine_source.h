/**
 * @file engine_source.h
 * Follows the engines' topic into the table of engines.
 *
 * Each engine writes there with every heartbeat, so the topic is read at an interval, not by long
 * polls that wake for each beat. The interval derives from the time within which a leaving engine
 * must get no new work.
 */
#ifndef HS_FLEET_ENGINE_SOURCE_H
#define HS_FLEET_ENGINE_SOURCE_H

#include "fleet/fleet_engines.h"
#include "platform/entry_codec.h"
#include "store/store_client.h"

typedef struct hs_engine_source hs_engine_source;

/**
 * Both are borrowed. @p drain_ms: see above. @p heartbeat_ms: time between an engine's beats.
 * Entries may run out while the store is away, since engines cannot beat; those that are gone just
 * after are kept for two beats, in which sound engines list themselves again.
 */
hs_engine_source *hs_engine_source_new(hs_store_client *store, hs_fleet_engines *engines,
                                       uint32_t drain_ms, uint32_t heartbeat_ms);

/** Start the duty thread. */
void hs_engine_source_start(hs_engine_source *source);

/** Entries so far that named no engine for a reason; those of others hold. */
uint32_t hs_engine_source_rejected(hs_engine_source *source, hs_entry_fault fault);

/** Whether the store gave no answer to the last read. */
bool hs_engine_source_is_cut_off(hs_engine_source *source);

/** Join the thread (the store client was abandoned before) and free. NULL is allowed. */
void hs_engine_source_free(hs_engine_source *source);

/** Monotonic time of the last word from the store; 0: none yet. */
uint64_t hs_engine_source_heard_ms(hs_engine_source *source);

/** The engines are what the store had at this time or later; monotonic, 0: not known. */
uint64_t hs_engine_source_as_of_ms(hs_engine_source *source);

#endif
