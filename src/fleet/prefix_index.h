/**
 * @file prefix_index.h
 * Estimates which prompt prefixes one engine has in its cache, from the prompts sent to it. Not
 * thread-safe.
 *
 * The entries are chained hashes of prompt parts, since a cached part is useful only together with
 * all parts before it. The least recently used entries are evicted first, as in the engine.
 */
#ifndef HS_FLEET_PREFIX_INDEX_H
#define HS_FLEET_PREFIX_INDEX_H

#include "heathsail/fleet.h"

typedef struct hs_prefix_index hs_prefix_index;

/** Returns an empty index; free it with hs_prefix_index_free. @p capacity: tokens cached. */
hs_prefix_index *hs_prefix_index_new(uint64_t capacity);

/** Sets the engine's assumed capacity in tokens; hs_prefix_index_note evicts entries beyond it. */
void hs_prefix_index_set_capacity(hs_prefix_index *index, uint64_t capacity);

/** Frees the index; NULL is allowed. */
void hs_prefix_index_free(hs_prefix_index *index);

/** Returns the number of tokens at the start of the prompt that are probably cached. */
uint32_t hs_prefix_index_match(const hs_prefix_index *index, const hs_request_size *size);

/** Notes that the prompt was sent to the engine at @p now_ms, and evicts entries if needed. */
void hs_prefix_index_note(hs_prefix_index *index, const hs_request_size *size, uint64_t now_ms);

/**
 * Returns the hash of the parts that the prompt may share with others, which are all but the last
 * one; 0 if there are none.
 */
uint64_t hs_prompt_shared_hash(const hs_request_size *size);

/** Returns the number of tokens in the parts that the prompt may share with others. */
uint32_t hs_prompt_shared_tokens(const hs_request_size *size);

#endif
