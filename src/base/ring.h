/**
 * @file ring.h
 * A bounded queue of pointers for many producers and many consumers, based on libck. Thread-safe.
 *
 * A put into a full queue fails at once and leaves the decision to the producer; a take can wait.
 */
#ifndef HS_BASE_RING_H
#define HS_BASE_RING_H

#include <stdbool.h>
#include <stdint.h>

typedef struct hs_ring hs_ring;

/** Returns a ring for at least @p capacity entries. Free with hs_ring_free. */
hs_ring *hs_ring_new(uint32_t capacity);

/** Frees the ring but not the entries left in it. @p ring may be NULL; no thread may use it. */
void hs_ring_free(hs_ring *ring);

/** Appends @p entry, which must not be NULL. Returns false if the ring is full. */
bool hs_ring_put(hs_ring *ring, void *entry);

/** Removes the oldest entry, waiting up to @p wait_ms for one. Returns NULL if there is none. */
void *hs_ring_take(hs_ring *ring, uint32_t wait_ms);

/** Returns the current number of entries; approximate while other threads use the ring. */
uint32_t hs_ring_size(const hs_ring *ring);

#endif
