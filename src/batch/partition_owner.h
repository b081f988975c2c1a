/**
 * @file partition_owner.h
 * One owned partition: its grants, and the thread that follows its stream.
 */
#ifndef HS_BATCH_PARTITION_OWNER_H
#define HS_BATCH_PARTITION_OWNER_H

#include "batch/coordinator.h"
#include "batch/grant_table.h"

typedef struct hs_partition_owner hs_partition_owner;

/** Start following @p partition under @p epoch. @p context is borrowed. */
hs_partition_owner *hs_partition_owner_start(const hs_coordinator_context *context,
                                             uint32_t partition, uint32_t epoch);

/** Grant nothing more; a record that follows ends the thread's wait. */
void hs_partition_owner_close(hs_partition_owner *owner);

/** Stop the thread and free; waits for its read of the stream to end. */
void hs_partition_owner_stop(hs_partition_owner *owner);

uint32_t hs_partition_owner_epoch(const hs_partition_owner *owner);

/** False once another's claim was read. */
bool hs_partition_owner_is_valid(const hs_partition_owner *owner);

bool hs_partition_owner_has_ready(const hs_partition_owner *owner);

/** Hand out items to a scheduler and send it the grants. */
void hs_partition_owner_pull(hs_partition_owner *owner, const Hs__PeerMessage *message,
                             const struct sockaddr_in *from);

/** Keep a grant alive; false when it no longer stands. */
bool hs_partition_owner_renew(hs_partition_owner *owner, const Hs__GrantRef *ref,
                              const char *scheduler_id);

#endif
