/**
 * @file replica.h
 * Local replica of a partition's state, updated from the partition's stream.
 *
 * Any daemon may have a replica of any partition, owned or not. A replica is initialised from the
 * newest snapshot. After hs_replica_refresh() the state is current. Thread-safe.
 */
#ifndef HS_BATCH_REPLICA_H
#define HS_BATCH_REPLICA_H

#include "batch/partition_state.h"
#include "store/log_client.h"

typedef struct hs_replica hs_replica;

/** @p log is borrowed and must outlive the replica. */
hs_replica *hs_replica_new(const hs_log_client *log, uint32_t partition,
                           uint64_t ended_retention_ms);
void hs_replica_free(hs_replica *replica);

uint32_t hs_replica_partition(const hs_replica *replica);

/** Returns the name of the partition's stream. Borrowed. */
const char *hs_replica_stream(const hs_replica *replica);

/**
 * Returns the time in ms since the state was last known to include the whole stream, UINT64_MAX:
 * never.
 */
uint64_t hs_replica_age_ms(hs_replica *replica);

/** Reads to the current end of the stream. */
int hs_replica_refresh(hs_replica *replica, hs_error *error);

/** Reads once and waits at most @p wait_ms for a record. Sets @p applied to the records read. */
int hs_replica_poll(hs_replica *replica, uint32_t wait_ms, uint32_t *applied, hs_error *error);

/**
 * Frees the state of a replica that was not read for @p idle_ms. The next read starts from the
 * newest snapshot. A partition's owner reads all the time, which keeps the replica's state.
 * Returns whether the state was freed.
 */
bool hs_replica_evict_idle(hs_replica *replica, uint64_t now_ms, uint64_t idle_ms);

/**
 * Locks and returns the state. The state and pointers into it are valid until the unlock. Do no I/O
 * while holding the lock.
 */
hs_partition *hs_replica_lock(hs_replica *replica);
void hs_replica_unlock(hs_replica *replica);

/** Writes a snapshot if at least @p min_records were applied since the last snapshot. */
int hs_replica_write_snapshot(hs_replica *replica, uint64_t min_records, hs_error *error);

#endif
