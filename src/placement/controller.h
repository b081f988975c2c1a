/**
 * @file controller.h
 * One controller an engine group: the owner of the group's partition. Its epoch fences its orders,
 * so that one that was overtaken cannot undo what its successor ordered.
 */
#ifndef HS_PLACEMENT_CONTROLLER_H
#define HS_PLACEMENT_CONTROLLER_H

#include "batch/coordinator.h"
#include "config/config_store.h"
#include "placement/demand.h"
#include "routing/engine_table.h"

typedef struct hs_placement_controller hs_placement_controller;

/** What the controller works with; all borrowed. */
typedef struct {
    const hs_settings *settings;
    hs_config_store *config;
    hs_engine_table *engines;
    hs_membership_service *membership;
    hs_coordinator *coordinator;
    hs_demand *counted; /**< Requests that came in here. */
} hs_placement_context;

hs_placement_controller *hs_placement_controller_start(const hs_placement_context *context);
void hs_placement_controller_stop(hs_placement_controller *controller);

/** True when the message was a report of demand and was taken. Any thread. */
bool hs_placement_controller_handle(hs_placement_controller *controller,
                                    const Hs__PeerMessage *message);

#endif
