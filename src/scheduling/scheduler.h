/**
 * @file scheduler.h
 * Starts and preempts the batch items on the engines scheduled by this daemon.
 *
 * Each engine is scheduled by one live daemon, chosen by rendezvous hash, in the engine's zone if
 * possible. Edges report their online requests to that daemon by datagram. The scheduler limits
 * batch items beside online requests, pulls items from partition owners while slots are free, and
 * preempts items by cancelling them at the engine. While daemons disagree on the membership, two
 * of them may schedule one engine; this reduces efficiency, but every result stays correct.
 *
 * One thread owns the state; other threads send events through a bounded ring.
 */
#ifndef HS_SCHEDULING_SCHEDULER_H
#define HS_SCHEDULING_SCHEDULER_H

#include "batch/item_runner.h"
#include "config/config_store.h"
#include "heathsail/settings.h"
#include "membership/membership_service.h"
#include "routing/engine_table.h"

typedef struct hs_scheduler hs_scheduler;

/** Dependencies of the scheduler, borrowed for its lifetime. */
typedef struct {
    const hs_settings *settings;
    hs_membership_service *membership;
    hs_engine_table *engines;
    hs_config_store *config;
    hs_item_runner *runner;
} hs_scheduler_context;

hs_scheduler *hs_scheduler_new(const hs_scheduler_context *context);
/** Starts the scheduler's thread. */
void hs_scheduler_start(hs_scheduler *scheduler);

/** Stops pulling items and drops the queued ones; running items continue. Any thread. */
void hs_scheduler_drain(hs_scheduler *scheduler);

/** Returns the number of queued and running items. Any thread. */
uint32_t hs_scheduler_busy_count(hs_scheduler *scheduler);

/** Ends the scheduler's thread and waits for it. */
void hs_scheduler_stop(hs_scheduler *scheduler);
void hs_scheduler_free(hs_scheduler *scheduler);

/**
 * Queues a copy of a message meant for the scheduler, or drops the message if the ring is full.
 * Returns false if the message is not for the scheduler. Any thread.
 */
bool hs_scheduler_handle(hs_scheduler *scheduler, const Hs__PeerMessage *message,
                         const struct sockaddr_in *from);

/** An engine scheduled by this daemon. */
typedef struct {
    char id[64];
    char url[64];
} hs_scheduled_engine;

/**
 * Returns a copy of the engines scheduled by this daemon, of hs_scheduled_engine. Free with
 * g_array_unref. Any thread.
 */
GArray *hs_scheduler_engines(hs_scheduler *scheduler);

/** Counters for status queries. The last three are current values, the others totals. */
typedef struct {
    uint64_t notices; /**< Notices of online requests. */
    uint64_t pulls;   /**< Requests for items sent to partition owners. */
    uint64_t items_started;
    uint64_t items_recorded;
    uint64_t items_retried; /**< Runs without a result whose item was queued again. */
    uint64_t preemptions;
    uint32_t engines;
    uint32_t running;
    uint32_t queued;
} hs_scheduler_counters;

/** Any thread. */
hs_scheduler_counters hs_scheduler_read_counters(hs_scheduler *scheduler);

#endif
