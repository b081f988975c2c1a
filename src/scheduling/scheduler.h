/**
 * @file scheduler.h
 * The duty that alone admits batch work onto the engines this daemon schedules.
 *
 * An engine has one scheduler among the live daemons, by rendezvous hash with its zone first.
 * Edges tell it of online requests by datagram; it keeps batch few or none beside them, pulls
 * items from partition owners when there is room, and steps aside by cancelling at the engine.
 * Two schedulers for one engine during a change of membership cost efficiency, not correctness.
 *
 * All state is the scheduler thread's; others reach it through a bounded ring of events.
 */
#ifndef HS_SCHEDULING_SCHEDULER_H
#define HS_SCHEDULING_SCHEDULER_H

#include "batch/item_runner.h"
#include "config/config_store.h"
#include "heathsail/settings.h"
#include "membership/membership_service.h"
#include "routing/engine_table.h"

typedef struct hs_scheduler hs_scheduler;

/** What the scheduler works with; all borrowed. */
typedef struct {
    const hs_settings *settings;
    hs_membership_service *membership;
    hs_engine_table *engines;
    hs_config_store *config;
    hs_item_runner *runner;
} hs_scheduler_context;

hs_scheduler *hs_scheduler_new(const hs_scheduler_context *context);
void hs_scheduler_start(hs_scheduler *scheduler);

/** Pull no more items; those running go on. */
void hs_scheduler_drain(hs_scheduler *scheduler);

/** Items queued or running now. */
uint32_t hs_scheduler_busy_count(hs_scheduler *scheduler);

void hs_scheduler_stop(hs_scheduler *scheduler);
void hs_scheduler_free(hs_scheduler *scheduler);

/** True when the message was for the scheduler and was taken. Any thread. */
bool hs_scheduler_handle(hs_scheduler *scheduler, const Hs__PeerMessage *message,
                         const struct sockaddr_in *from);

/** An engine that is scheduled here. */
typedef struct {
    char id[64];
    char url[64];
} hs_scheduled_engine;

/** Engines scheduled here, of hs_scheduled_engine. Free with g_array_unref. Any thread. */
GArray *hs_scheduler_engines(hs_scheduler *scheduler);

/** Counters for metrics; snapshots. */
typedef struct {
    uint64_t notices;
    uint64_t pulls;
    uint64_t items_started;
    uint64_t items_recorded;
    uint64_t items_again;
    uint64_t preemptions;
    uint32_t engines;
    uint32_t running;
    uint32_t queued;
} hs_scheduler_counters;

hs_scheduler_counters hs_scheduler_read_counters(hs_scheduler *scheduler);

#endif
