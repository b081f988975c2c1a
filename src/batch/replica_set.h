/** @file replica_set.h  Replicas of all partitions, created on first use. Thread-safe. */
#ifndef HS_BATCH_REPLICA_SET_H
#define HS_BATCH_REPLICA_SET_H

#include "batch/replica.h"

typedef struct hs_replica_set hs_replica_set;

/** @p log is borrowed and must outlive the set. */
hs_replica_set *hs_replica_set_new(const hs_log_client *log, uint32_t partition_count,
                                   uint64_t ended_retention_ms);
void hs_replica_set_free(hs_replica_set *set);

/** Returns the partition's replica, or NULL if the partition does not exist. Borrowed. */
hs_replica *hs_replica_set_get(hs_replica_set *set, uint32_t partition);

/** Frees the states of replicas not read for @p idle_ms. Returns the number of states freed. */
uint32_t hs_replica_set_evict_idle(hs_replica_set *set, uint64_t now_ms, uint64_t idle_ms);

/** Returns the number of partitions. */
uint32_t hs_replica_set_count(const hs_replica_set *set);

#endif
