/**
 * @file online_load.h
 * Counts the online requests on one engine from the notices of edges, the daemons that send the
 * requests. No I/O, no locks.
 *
 * A notice carries the edge's total count, so that the next notice replaces a lost one, and a
 * sequence number, by which late notices are dropped. Dead edges are not counted.
 */
#ifndef HS_SCHEDULING_ONLINE_LOAD_H
#define HS_SCHEDULING_ONLINE_LOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    GHashTable *edges; /**< daemon id -> edge_count */
    uint32_t total;
    uint64_t ended_ms; /**< Time at which the total last fell to 0; 0: never. */
} hs_online_load;

void hs_online_load_init(hs_online_load *load);
void hs_online_load_clear(hs_online_load *load);

/** Applies a notice. Returns false if a newer notice of the edge was applied before. */
bool hs_online_load_apply_notice(hs_online_load *load, const char *edge_id, uint64_t incarnation,
                                 uint64_t sequence, uint32_t in_flight, uint64_t now_ms);

/**
 * Removes the edges for which @p is_live returns false, and sets the counts of edges without a
 * notice for @p stale_ms to 0.
 */
void hs_online_load_prune(hs_online_load *load,
                          bool (*is_live)(const char *edge_id, void *user_data), void *user_data,
                          uint64_t now_ms, uint64_t stale_ms);

#endif
