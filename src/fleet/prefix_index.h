/**
 * @file prefix_index.h
 * Which prompt beginnings one engine probably still caches, from what was sent to it. Pure.
 *
 * Entries are chained hashes of parts, since a cached part counts only with all before it. The
 * least recently used give way first, as they do in the engine.
 */
#ifndef HS_FLEET_PREFIX_INDEX_H
#define HS_FLEET_PREFIX_INDEX_H

#include "heathsail/fleet.h"

typedef struct hs_prefix_index hs_prefix_index;

/** @p capacity: tokens that the engine is believed to keep. */
hs_prefix_index *hs_prefix_index_new(uint64_t capacity);

/** Change what the engine is believed to keep. */
void hs_prefix_index_set_capacity(hs_prefix_index *index, uint64_t capacity);

void hs_prefix_index_free(hs_prefix_index *index);

/** Tokens of the prompt's beginning that are believed cached. */
uint32_t hs_prefix_index_match(const hs_prefix_index *index, const hs_request_size *size);

/** The prompt was sent there at @p now_ms. */
void hs_prefix_index_note(hs_prefix_index *index, const hs_request_size *size, uint64_t now_ms);

/** Hash of the parts that the prompt shares with others: all but its last; 0 when none. */
uint64_t hs_prompt_shared_hash(const hs_request_size *size);

/** Tokens of the parts shared with others. */
uint32_t hs_prompt_shared_tokens(const hs_request_size *size);

#endif
