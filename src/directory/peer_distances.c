/** @file peer_distances.c  See peer_distances.h. */
#include "directory/peer_distances.h"

#include <glib.h>

#define PORT_BITS 16

struct hs_peer_distances {
    const hs_topology *topology;
    GMutex lock;
    GHashTable *by_address; /**< uint64_t* address and port -> hs_distance as a pointer */
};

static uint64_t key_of(uint32_t address, uint16_t port) {
    return (uint64_t)address << PORT_BITS | port;
}

hs_peer_distances *hs_peer_distances_new(const hs_topology *topology) {
    hs_peer_distances *distances = g_new0(hs_peer_distances, 1);
    distances->topology = topology;
    g_mutex_init(&distances->lock);
    distances->by_address = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    return distances;
}

void hs_peer_distances_free(hs_peer_distances *distances) {
    if (distances == NULL)
        return;
    g_hash_table_destroy(distances->by_address);
    g_mutex_clear(&distances->lock);
    g_free(distances);
}

void hs_peer_distances_update(hs_peer_distances *distances, const hs_membership *membership) {
    const char *zone = hs_membership_self(membership)->zone;
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership_list(membership, members);
    g_mutex_lock(&distances->lock);
    g_hash_table_remove_all(distances->by_address);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        uint64_t key = key_of(member->address, member->peer_port);
        hs_distance distance = hs_topology_distance(distances->topology, zone, member->zone);
        if (member->state != HS_MEMBER_PROPOSED)
            g_hash_table_insert(distances->by_address, g_memdup2(&key, sizeof key),
                                GINT_TO_POINTER(distance));
    }
    g_mutex_unlock(&distances->lock);
}

hs_distance hs_peer_distances_find(hs_peer_distances *distances, uint32_t address, uint16_t port) {
    uint64_t key = key_of(address, port);
    gpointer value = NULL;
    g_mutex_lock(&distances->lock);
    bool is_known = g_hash_table_lookup_extended(distances->by_address, &key, NULL, &value);
    g_mutex_unlock(&distances->lock);
    return is_known ? (hs_distance)GPOINTER_TO_INT(value) : HS_DISTANCE_OTHER_ZONE;
}
