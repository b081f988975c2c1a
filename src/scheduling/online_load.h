/**
 * @file online_load.h
 * Online requests on one engine, as the edges tell its scheduler. Pure.
 *
 * Each notice carries the edge's whole count, so that a lost one is healed by the next, and a
 * sequence number, so that a late one is dropped. An edge that died stops counting.
 */
#ifndef HS_SCHEDULING_ONLINE_LOAD_H
#define HS_SCHEDULING_ONLINE_LOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    GHashTable *edges; /**< daemon id -> count of that edge */
    uint32_t total;
    uint64_t ended_ms; /**< When the total last fell to 0. */
} hs_online_load;

void hs_online_load_init(hs_online_load *load);
void hs_online_load_clear(hs_online_load *load);

/** Take a notice; false when it is older than one already taken. */
bool hs_online_load_notice(hs_online_load *load, const char *edge_id, uint64_t incarnation,
                           uint64_t sequence, uint32_t in_flight, uint64_t now_ms);

/** Forget edges for which @p is_live says no, and counts nobody renewed for @p stale_ms. */
void hs_online_load_prune(hs_online_load *load,
                          bool (*is_live)(const char *edge_id, void *user_data), void *user_data,
                          uint64_t now_ms, uint64_t stale_ms);

#endif
