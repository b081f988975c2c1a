/**
 * @file coordinator.h
 * Claims and releases partitions on behalf of this daemon and answers schedulers' grant requests.
 *
 * One thread decides which partitions to claim or to hand over. Each owned partition has a thread
 * of its own (see partition_owner.h) that reads the partition's stream and detects there that
 * another daemon has claimed the partition.
 */
#ifndef HS_BATCH_COORDINATOR_H
#define HS_BATCH_COORDINATOR_H

#include "batch/item_runner.h"
#include "heathsail/settings.h"
#include "membership/membership_service.h"

typedef struct hs_coordinator hs_coordinator;

/** Collaborators of the coordinator. All are borrowed and must outlive it. */
typedef struct {
    const hs_settings *settings;
    hs_membership_service *membership;
    hs_replica_set *replicas;
    hs_appender *appender;
    hs_item_runner *runner;
    /** Next configuration offset, announced by gossip together with the owned partitions. */
    uint64_t (*config_offset)(void *user_data);
    GPtrArray *(*leaving_engines)(void *user_data); /**< of char*; the coordinator frees it */
    void *gossip_user_data;
} hs_coordinator_context;

hs_coordinator *hs_coordinator_new(const hs_coordinator_context *context);
void hs_coordinator_start(hs_coordinator *coordinator);

/**
 * Waits until the coordinator has released every partition, at most until the monotonic time
 * @p deadline_ms. Without effect unless the daemon has announced before that it is leaving.
 */
void hs_coordinator_wait_for_release(hs_coordinator *coordinator, uint64_t deadline_ms);

void hs_coordinator_stop(hs_coordinator *coordinator);
void hs_coordinator_free(hs_coordinator *coordinator);

/** Handles grant requests and renewals; returns false for other messages. Thread-safe. */
bool hs_coordinator_handle(hs_coordinator *coordinator, const Hs__PeerMessage *message,
                           const struct sockaddr_in *from);

/**
 * Stops granting the items of a job whose cancellation is in the partition's stream, and revokes
 * their grants. Returns false if this daemon does not own the partition. Thread-safe.
 */
bool hs_coordinator_cancel_job(hs_coordinator *coordinator, uint32_t partition, const char *job_id);

/** Returns the epoch of an owned partition, or 0 if this daemon does not own it. Thread-safe. */
uint32_t hs_coordinator_get_epoch(hs_coordinator *coordinator, uint32_t partition);

/** Thread-safe. */
uint32_t hs_coordinator_owned_count(hs_coordinator *coordinator);

#endif
