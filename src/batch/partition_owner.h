/**
 * @file partition_owner.h
 * A partition owned by this daemon: the grants of items and a thread that reads the partition's
 * stream, removes ended grants, recovers run-once attempts without a scheduler and writes
 * snapshots. The functions are thread-safe, but for hs_partition_owner_stop().
 */
#ifndef HS_BATCH_PARTITION_OWNER_H
#define HS_BATCH_PARTITION_OWNER_H

#include "batch/coordinator.h"
#include "batch/grant_table.h"

typedef struct hs_partition_owner hs_partition_owner;

/** Starts the thread for @p partition in @p epoch. @p context is borrowed. */
hs_partition_owner *hs_partition_owner_start(const hs_coordinator_context *context,
                                             uint32_t partition, uint32_t epoch);

/** Stops granting items. The thread ends after the current read of the stream. */
void hs_partition_owner_stop_granting(hs_partition_owner *owner);

/** Joins the thread, which may wait for the current read of the stream, and frees the owner. */
void hs_partition_owner_stop(hs_partition_owner *owner);

uint32_t hs_partition_owner_get_epoch(const hs_partition_owner *owner);

/** Returns false after a later claim or a release was read, or granting was stopped. */
bool hs_partition_owner_is_valid(const hs_partition_owner *owner);

/** Returns whether an item can be granted, as of the last update. */
bool hs_partition_owner_has_ready_items(const hs_partition_owner *owner);

/** Grants items to the requesting scheduler and sends the reply to @p from. */
void hs_partition_owner_handle_pull(hs_partition_owner *owner, const Hs__PeerMessage *message,
                                    const struct sockaddr_in *from);

/**
 * Extends the lease of a grant; returns false if the grant is not valid. @p start_within_ms
 * receives the time within which its items may start, 0: none may, as the stream was not read
 * recently.
 */
bool hs_partition_owner_renew(hs_partition_owner *owner, const Hs__GrantRef *ref,
                              const char *scheduler_id, uint32_t *start_within_ms);

/** Revokes the grants of a job whose cancellation is in the stream, and grants no more of it. */
void hs_partition_owner_cancel_job(hs_partition_owner *owner, const char *job_id);

#endif
