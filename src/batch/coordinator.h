/**
 * @file coordinator.h
 * Owns partitions: claims them by record, follows their streams, hands out their items.
 *
 * A thread decides which partitions to claim or hand over; each owned partition has a thread that
 * follows its stream, settles grants, recovers run-once attempts whose scheduler is gone and
 * writes snapshots. Losing a claim is learned from the stream, before anything else is appended.
 */
#ifndef HS_BATCH_COORDINATOR_H
#define HS_BATCH_COORDINATOR_H

#include "batch/item_runner.h"
#include "heathsail/settings.h"
#include "membership/membership_service.h"

typedef struct hs_coordinator hs_coordinator;

/** What the coordinator works with; all borrowed. */
typedef struct {
    const hs_settings *settings;
    hs_membership_service *membership;
    hs_replica_set *replicas;
    hs_appender *appender;
    hs_item_runner *runner;
    /** What to say of ourselves in gossip besides partitions. */
    uint64_t (*config_offset)(void *user_data);
    GPtrArray *(*leaving_engines)(void *user_data); /**< of char*; freed by the coordinator */
    void *gossip_user_data;
} hs_coordinator_context;

hs_coordinator *hs_coordinator_new(const hs_coordinator_context *context);
void hs_coordinator_start(hs_coordinator *coordinator);

/** Release every partition by record and claim no more. Blocks until the records are appended. */
void hs_coordinator_release_all(hs_coordinator *coordinator);

void hs_coordinator_stop(hs_coordinator *coordinator);
void hs_coordinator_free(hs_coordinator *coordinator);

/** True when the message was for the coordinator and was handled. Any thread. */
bool hs_coordinator_handle(hs_coordinator *coordinator, const Hs__PeerMessage *message,
                           const struct sockaddr_in *from);

/** Our epoch of the partition, 0 when it is not ours. Any thread. */
uint32_t hs_coordinator_epoch(hs_coordinator *coordinator, uint32_t partition);

/** Partitions owned now. */
uint32_t hs_coordinator_owned_count(hs_coordinator *coordinator);

#endif
