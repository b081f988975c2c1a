/** @file held_requests.c  See held_requests.h. */
#include "online/held_requests.h"

#include "base/clock.h"
#include "online/hold_queue.h"

#include <glib.h>

struct hs_held_requests {
    GMutex lock;
    GHashTable *by_service; /**< name -> hs_hold_queue* */
};

hs_held_requests *hs_held_requests_new(void) {
    hs_held_requests *held = g_new0(hs_held_requests, 1);
    g_mutex_init(&held->lock);
    held->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return held;
}

void hs_held_requests_free(hs_held_requests *held) {
    if (held == NULL)
        return;
    g_hash_table_destroy(held->by_service);
    g_mutex_clear(&held->lock);
    g_free(held);
}

/** The caller holds the lock. */
static hs_hold_queue *queue_of(hs_held_requests *held, const char *service) {
    hs_hold_queue *queue = g_hash_table_lookup(held->by_service, service);
    if (queue != NULL)
        return queue;
    queue = g_new0(hs_hold_queue, 1);
    g_hash_table_insert(held->by_service, g_strdup(service), queue);
    return queue;
}

void hs_held_requests_enter(hs_held_requests *held, const char *service) {
    g_mutex_lock(&held->lock);
    hs_hold_queue_enter(queue_of(held, service), hs_clock_monotonic_ms());
    g_mutex_unlock(&held->lock);
}

void hs_held_requests_leave(hs_held_requests *held, const char *service, bool is_placed) {
    g_mutex_lock(&held->lock);
    hs_hold_queue_leave(queue_of(held, service), is_placed, hs_clock_monotonic_ms());
    g_mutex_unlock(&held->lock);
}

uint64_t hs_held_requests_expected_ms(hs_held_requests *held, const char *service) {
    g_mutex_lock(&held->lock);
    uint64_t expected_ms =
        hs_hold_queue_expected_ms(queue_of(held, service), hs_clock_monotonic_ms());
    g_mutex_unlock(&held->lock);
    return expected_ms;
}
