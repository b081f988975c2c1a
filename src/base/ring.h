/**
 * @file ring.h
 * A bounded ring of pointers between duties (libck), with a blocking take.
 *
 * Many producers, many consumers. A full ring is back pressure: the producer is told at once and
 * decides, it never waits.
 */
#ifndef HS_BASE_RING_H
#define HS_BASE_RING_H

#include <stdbool.h>
#include <stdint.h>

typedef struct hs_ring hs_ring;

/** Make a ring of at least @p capacity entries. The caller frees it with hs_ring_free. */
hs_ring *hs_ring_new(uint32_t capacity);

/** Free the ring, not the entries left in it. */
void hs_ring_free(hs_ring *ring);

/** Put @p entry; false when the ring is full. */
bool hs_ring_put(hs_ring *ring, void *entry);

/** Take an entry, waiting at most @p wait_ms; NULL when none came. */
void *hs_ring_take(hs_ring *ring, uint32_t wait_ms);

/** Entries now in the ring; a snapshot, for metrics. */
uint32_t hs_ring_size(const hs_ring *ring);

#endif
