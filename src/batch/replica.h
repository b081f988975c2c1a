/**
 * @file replica.h
 * A partition's fold on this daemon, kept up by reading its stream.
 *
 * Any daemon may hold any partition's replica: a status is answered after reading to the stream's
 * end, so that it is true whoever owns the partition. It starts from the newest snapshot.
 */
#ifndef HS_BATCH_REPLICA_H
#define HS_BATCH_REPLICA_H

#include "batch/partition_state.h"
#include "store/log_client.h"

typedef struct hs_replica hs_replica;

/** @p log is borrowed. */
hs_replica *hs_replica_new(const hs_log_client *log, uint32_t partition, uint64_t window_ms);
void hs_replica_free(hs_replica *replica);

uint32_t hs_replica_partition(const hs_replica *replica);

/** Name of the partition's stream. Borrowed. */
const char *hs_replica_stream(const hs_replica *replica);

/** Read to the end of the stream as it is now. */
int hs_replica_refresh(hs_replica *replica, hs_error *error);

/** Read once, waiting at most @p wait_ms for a record. @p applied: records that came. */
int hs_replica_follow(hs_replica *replica, uint32_t wait_ms, uint32_t *applied, hs_error *error);

/**
 * Drop the state of a replica that nobody followed for @p idle_ms; the next read starts from the
 * newest snapshot again. An owner's replica is followed all the time, and so is never dropped.
 * @return true when it was dropped.
 */
bool hs_replica_trim(hs_replica *replica, uint64_t now_ms, uint64_t idle_ms);

/**
 * Lock and borrow the state; unlock when done, and keep no pointer into it. Hold it for short
 * computations only.
 */
hs_partition *hs_replica_lock(hs_replica *replica);
void hs_replica_unlock(hs_replica *replica);

/** Write a snapshot if @p minimum_records were folded since the last one. */
int hs_replica_write_snapshot(hs_replica *replica, uint64_t minimum_records, hs_error *error);

#endif
