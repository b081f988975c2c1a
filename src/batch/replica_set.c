/** @file replica_set.c  See replica_set.h. */
#include "batch/replica_set.h"

struct hs_replica_set {
    const hs_log_client *log;
    uint32_t count;
    uint64_t ended_retention_ms;
    GMutex lock;
    hs_replica **replicas;
};

hs_replica_set *hs_replica_set_new(const hs_log_client *log, uint32_t partition_count,
                                   uint64_t ended_retention_ms) {
    hs_replica_set *set = g_new0(hs_replica_set, 1);
    set->log = log;
    set->count = partition_count;
    set->ended_retention_ms = ended_retention_ms;
    set->replicas = g_new0(hs_replica *, partition_count);
    g_mutex_init(&set->lock);
    return set;
}

void hs_replica_set_free(hs_replica_set *set) {
    for (uint32_t index = 0; index < set->count; index++)
        if (set->replicas[index] != NULL)
            hs_replica_free(set->replicas[index]);
    g_free(set->replicas);
    g_mutex_clear(&set->lock);
    g_free(set);
}

hs_replica *hs_replica_set_get(hs_replica_set *set, uint32_t partition) {
    if (partition >= set->count)
        return NULL;
    g_mutex_lock(&set->lock);
    if (set->replicas[partition] == NULL)
        set->replicas[partition] = hs_replica_new(set->log, partition, set->ended_retention_ms);
    hs_replica *replica = set->replicas[partition];
    g_mutex_unlock(&set->lock);
    return replica;
}

uint32_t hs_replica_set_evict_idle(hs_replica_set *set, uint64_t now_ms, uint64_t idle_ms) {
    uint32_t evicted_count = 0;
    for (uint32_t index = 0; index < set->count; index++) {
        g_mutex_lock(&set->lock);
        hs_replica *replica = set->replicas[index];
        g_mutex_unlock(&set->lock);
        evicted_count += replica != NULL && hs_replica_evict_idle(replica, now_ms, idle_ms);
    }
    return evicted_count;
}

uint32_t hs_replica_set_count(const hs_replica_set *set) {
    return set->count;
}
