/** @file engine_ring.c  See engine_ring.h. */
#include "fleet/engine_ring.h"

#include "base/compare.h"

#include <stdbool.h>

/** The engines of one service. */
typedef struct {
    GHashTable *by_zone; /**< zone -> GTree*: hash -> engine. */
    uint32_t count;
} service_rings;

struct hs_engine_rings {
    GHashTable *by_service; /**< service -> service_rings* */
};

static void free_service(gpointer data) {
    service_rings *service = data;
    g_hash_table_destroy(service->by_zone);
    g_free(service);
}

static void free_ring(gpointer ring) {
    g_tree_destroy(ring);
}

hs_engine_rings *hs_engine_rings_new(void) {
    hs_engine_rings *rings = g_new0(hs_engine_rings, 1);
    rings->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_service);
    return rings;
}

void hs_engine_rings_free(hs_engine_rings *rings) {
    if (rings == NULL)
        return;
    g_hash_table_destroy(rings->by_service);
    g_free(rings);
}

static service_rings *find_service(const hs_engine_rings *rings, const char *service) {
    return g_hash_table_lookup(rings->by_service, service);
}

static GTree *find_ring(const hs_engine_rings *rings, const char *service, const char *zone) {
    const service_rings *found = find_service(rings, service);
    return found != NULL ? g_hash_table_lookup(found->by_zone, zone) : NULL;
}

void hs_engine_rings_add(hs_engine_rings *rings, const char *service, const char *zone,
                         uint64_t hash, gpointer engine) {
    service_rings *of_service = find_service(rings, service);
    if (of_service == NULL) {
        of_service = g_new0(service_rings, 1);
        of_service->by_zone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_ring);
        g_hash_table_insert(rings->by_service, g_strdup(service), of_service);
    }
    GTree *ring = g_hash_table_lookup(of_service->by_zone, zone);
    if (ring == NULL) {
        ring = g_tree_new_full(hs_compare_uint64_with_data, NULL, g_free, NULL);
        g_hash_table_insert(of_service->by_zone, g_strdup(zone), ring);
    }
    of_service->count += g_tree_lookup(ring, &hash) == NULL;
    g_tree_replace(ring, g_memdup2(&hash, sizeof hash), engine);
}

void hs_engine_rings_remove(hs_engine_rings *rings, const char *service, const char *zone,
                            uint64_t hash) {
    GTree *ring = find_ring(rings, service, zone);
    if (ring == NULL || !g_tree_remove(ring, &hash))
        return;
    service_rings *of_service = find_service(rings, service);
    of_service->count--;
    if (g_tree_nnodes(ring) == 0)
        g_hash_table_remove(of_service->by_zone, zone);
    if (of_service->count == 0)
        g_hash_table_remove(rings->by_service, service);
}

uint32_t hs_engine_rings_count(const hs_engine_rings *rings, const char *service) {
    const service_rings *found = find_service(rings, service);
    return found != NULL ? found->count : 0;
}

/** Returns the node at or after a position, past the end the first one. */
static GTreeNode *find_node(GTree *ring, uint64_t position) {
    GTreeNode *node = g_tree_lower_bound(ring, &position);
    return node != NULL ? node : g_tree_node_first(ring);
}

static void take_from_ring(GTree *ring, uint64_t position, uint32_t count, GHashTable *found) {
    GTreeNode *node = find_node(ring, position);
    uint32_t limit = MIN(count, (uint32_t)g_tree_nnodes(ring));
    for (uint32_t taken = 0; taken < limit; taken++) {
        g_hash_table_add(found, g_tree_node_value(node));
        node = g_tree_node_next(node);
        if (node == NULL)
            node = g_tree_node_first(ring);
    }
}

void hs_engine_rings_take(const hs_engine_rings *rings, const char *service,
                          const hs_engine_ring_part *part, GHashTable *found) {
    const service_rings *of_service = find_service(rings, service);
    if (of_service == NULL)
        return;
    const GTree *own = g_hash_table_lookup(of_service->by_zone, part->zone);
    GHashTableIter iterator;
    gpointer ring = NULL;
    g_hash_table_iter_init(&iterator, of_service->by_zone);
    while (g_hash_table_iter_next(&iterator, NULL, &ring)) {
        bool is_near = own == NULL || ring == own;
        take_from_ring(ring, part->position, is_near ? part->zone_count : part->far_count, found);
    }
}

gpointer hs_engine_rings_first(const hs_engine_rings *rings, const char *service, const char *zone,
                               uint64_t position) {
    GTree *ring = find_ring(rings, service, zone);
    return ring != NULL ? g_tree_node_value(find_node(ring, position)) : NULL;
}
