/**
 * @file ring.c  See ring.h.
 *
 * Consumers lock the mutex only to wait. Producers hold the mutex to enqueue: libck's lock-free
 * enqueue spins until producers before it finish, which wastes CPU time if one of many producers is
 * descheduled.
 */
#include "base/ring.h"

#include "base/clock.h"

#include <ck_ring.h>
#include <glib.h>

struct hs_ring {
    ck_ring_t indexes;
    ck_ring_buffer_t *slots;
    GMutex lock;
    GCond entry_added;
};

static uint32_t next_power_of_two(uint32_t value) {
    uint32_t power = 2;
    while (power < value + 1)
        power *= 2;
    return power;
}

hs_ring *hs_ring_new(uint32_t capacity) {
    hs_ring *ring = g_new0(hs_ring, 1);
    uint32_t size = next_power_of_two(capacity);
    ring->slots = g_new0(ck_ring_buffer_t, size);
    ck_ring_init(&ring->indexes, size);
    g_mutex_init(&ring->lock);
    g_cond_init(&ring->entry_added);
    return ring;
}

void hs_ring_free(hs_ring *ring) {
    if (ring == NULL)
        return;
    g_mutex_clear(&ring->lock);
    g_cond_clear(&ring->entry_added);
    g_free(ring->slots);
    g_free(ring);
}

bool hs_ring_put(hs_ring *ring, void *entry) {
    g_mutex_lock(&ring->lock);
    bool added = ck_ring_enqueue_mpmc(&ring->indexes, ring->slots, entry);
    if (added)
        g_cond_signal(&ring->entry_added);
    g_mutex_unlock(&ring->lock);
    return added;
}

void *hs_ring_take(hs_ring *ring, uint32_t wait_ms) {
    void *entry = NULL;
    if (ck_ring_dequeue_mpmc(&ring->indexes, ring->slots, &entry))
        return entry;
    if (wait_ms == 0)
        return NULL;
    hs_pause pause = hs_clock_pause_begin(wait_ms);
    g_mutex_lock(&ring->lock);
    while (!ck_ring_dequeue_mpmc(&ring->indexes, ring->slots, &entry))
        if (!hs_clock_pause_wait(&pause, &ring->entry_added, &ring->lock))
            break;
    g_mutex_unlock(&ring->lock);
    return entry;
}

uint32_t hs_ring_size(const hs_ring *ring) {
    return ck_ring_size(&ring->indexes);
}
