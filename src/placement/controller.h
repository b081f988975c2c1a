/**
 * @file controller.h
 * Controls which models the engines of a group hold. Each engine group has one controller: the
 * daemon that owns the group's partition. Orders carry the partition's epoch, so engines reject
 * orders of a former controller.
 */
#ifndef HS_PLACEMENT_CONTROLLER_H
#define HS_PLACEMENT_CONTROLLER_H

#include "batch/coordinator.h"
#include "config/config_store.h"
#include "placement/demand.h"
#include "routing/engine_table.h"

typedef struct hs_placement_controller hs_placement_controller;

/** Dependencies of the controller; all must outlive it. */
typedef struct {
    const hs_settings *settings;
    hs_config_store *config;
    hs_engine_table *engines;
    hs_membership_service *membership;
    hs_coordinator *coordinator;
    hs_demand *counted; /**< Requests received by this daemon. */
} hs_placement_context;

/** Starts the controller's thread. Stop with hs_placement_controller_stop. */
hs_placement_controller *hs_placement_controller_start(const hs_placement_context *context);

/** Stops the thread and waits for its end; does not free the controller. */
void hs_placement_controller_stop(hs_placement_controller *controller);

/** Handles the message if it is a demand report; returns whether it is. Thread-safe. */
bool hs_placement_controller_handle(hs_placement_controller *controller,
                                    const Hs__PeerMessage *message);

#endif
