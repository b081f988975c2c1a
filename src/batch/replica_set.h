/** @file replica_set.h  The replicas of all partitions, made when first asked for. */
#ifndef HS_BATCH_REPLICA_SET_H
#define HS_BATCH_REPLICA_SET_H

#include "batch/replica.h"

typedef struct hs_replica_set hs_replica_set;

/** @p log is borrowed. */
hs_replica_set *hs_replica_set_new(const hs_log_client *log, uint32_t partition_count,
                                   uint64_t window_ms);
void hs_replica_set_free(hs_replica_set *set);

/** The partition's replica, borrowed; NULL when there is no such partition. */
hs_replica *hs_replica_set_get(hs_replica_set *set, uint32_t partition);

/** Drop the states of replicas that nobody reads any more. @return how many. */
uint32_t hs_replica_set_trim(hs_replica_set *set, uint64_t now_ms, uint64_t idle_ms);

uint32_t hs_replica_set_count(const hs_replica_set *set);

#endif
